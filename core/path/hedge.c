/* Designed for a store that answers in 4 to 13 ms at the median, loses up to one answer in 20, and
 * at times is 60 times slower for all callers. */
#include "medlartrack/hedge.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLES 128
/* With fewer samples the delay is the maximum: the 95th percentile is then the slowest answer. */
#define MIN_SAMPLES 20
/* The percentile is recalculated after this number of samples. */
#define RECALCULATE_EVERY 8
#define QUANTILE          0.95
/* Sums of the budget's share are inexact: ten tenths may be slightly less than one. */
#define ONE_CALL (1 - 1e-9)

struct mt_hedge
{
  struct mt_hedge_settings settings;
  int64_t samples[SAMPLES]; /* ring of the last answer times */
  unsigned n_samples;
  unsigned next_sample;
  unsigned until_recalculation;
  int64_t delay_ms;
  double tokens; /* hedged calls in the budget */
  /* Time of the first hedged call since the last answer; -1 if there was none. */
  int64_t hedged_unanswered_at;
  struct mt_hedge_counts counts;
};

struct mt_hedge *
mt_hedge_create (const struct mt_hedge_settings *settings)
{
  struct mt_hedge *h = g_new0 (struct mt_hedge, 1);

  h->settings = *settings;
  h->delay_ms = settings->max_delay_ms;
  h->until_recalculation = MIN_SAMPLES;
  h->tokens = settings->budget_burst;
  h->hedged_unanswered_at = -1;
  return h;
}

void
mt_hedge_destroy (struct mt_hedge *h)
{
  g_free (h);
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return x < y ? -1 : x > y;
}

static void
recalculate_delay (struct mt_hedge *h)
{
  int64_t sorted[SAMPLES];
  int64_t quantile;

  memcpy (sorted, h->samples, h->n_samples * sizeof *sorted);
  qsort (sorted, h->n_samples, sizeof *sorted, compare_times);
  quantile = sorted[(unsigned) (QUANTILE * (h->n_samples - 1))];
  h->delay_ms = CLAMP ((int64_t) (h->settings.quantile_factor * (double) quantile),
                       h->settings.min_delay_ms, h->settings.max_delay_ms);
  h->until_recalculation = RECALCULATE_EVERY;
}

void
mt_hedge_record (struct mt_hedge *h, int64_t took_ms)
{
  h->samples[h->next_sample] = took_ms;
  h->next_sample = (h->next_sample + 1) % SAMPLES;
  h->n_samples = MIN (h->n_samples + 1, SAMPLES);
  h->tokens = MIN (h->tokens + h->settings.budget_share, h->settings.budget_burst);
  h->hedged_unanswered_at = -1;
  if (--h->until_recalculation == 0)
    recalculate_delay (h);
}

int64_t
mt_hedge_delay_ms (const struct mt_hedge *h)
{
  return h->delay_ms;
}

int64_t
mt_hedge_unresponsive_ms (const struct mt_hedge *h)
{
  return h->delay_ms < h->settings.max_delay_ms ? h->delay_ms : 0;
}

/* Returns whether the service answers no call at all, so that a second copy would be lost too. The
 * budget is then kept for the time when it answers again. */
static bool
is_unanswered (const struct mt_hedge *h, int64_t now)
{
  return h->hedged_unanswered_at >= 0 && now - h->hedged_unanswered_at > h->settings.max_delay_ms;
}

bool
mt_hedge_take (struct mt_hedge *h, int64_t now)
{
  if (h->tokens < ONE_CALL || is_unanswered (h, now))
    {
      h->counts.denied++;
      return false;
    }
  h->tokens -= 1;
  h->counts.sent++;
  if (h->hedged_unanswered_at < 0)
    h->hedged_unanswered_at = now;
  return true;
}

void
mt_hedge_count_answered_first (struct mt_hedge *h)
{
  h->counts.answered_first++;
}

struct mt_hedge_counts
mt_hedge_counts (const struct mt_hedge *h)
{
  return h->counts;
}

void
mt_hedged_call_send_copy (struct mt_hedged_call *call)
{
  call->in_flight++;
}

bool
mt_hedged_call_end_copy (struct mt_hedged_call *call,
                         enum mt_hedge_end end,
                         enum mt_hedge_end *outcome)
{
  call->in_flight--;
  call->any_unknown |= end == MT_HEDGE_UNKNOWN;
  if (call->completed || (end != MT_HEDGE_DEFINITE && call->in_flight > 0))
    return false;
  call->completed = true;
  *outcome = end;
  if (end == MT_HEDGE_REFUSED && call->any_unknown)
    *outcome = MT_HEDGE_UNKNOWN;
  return true;
}
