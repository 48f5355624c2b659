#include "store_wait.h"

#include "journal.h"
#include "loop.h"

#include <glib.h>

/* Interval at which the state of the store is read; a waiting submission is released or refused at
 * most this late. */
#define CHECK_MS 50
/* Limits of the waiting submissions: a daemon with 160 MB also needs memory for its pools. */
#define MAX_WAITING       256U
#define MAX_WAITING_BYTES (1024 * 1024)
/* The platform's store takes 1,200 writes a second from 38 daemons, and a submission that comes
 * alone costs one write. */
#define WRITES_PER_S 30
/* A caller retries at most this often, and outages last this long at most. */
#define CALLER_RETRIES    4
#define LONGEST_OUTAGE_MS 12000

struct waiting
{
  void *submission;
  size_t bytes;
  int64_t answer_by;
};

struct mt_store_wait
{
  struct mt_store_wait_options options;
  struct mt_retry_plan *plan;
  struct mt_timer *timer;
  GQueue waiting; /* struct waiting */
  size_t bytes;
  enum mt_store_failure failure; /* kind of the last failed call */
  bool away;
  unsigned refused; /* callers refused in the present outage */
  unsigned held;    /* submissions held in the present outage */
};

static void
log_away (const struct mt_store_wait *wait, bool everywhere)
{
  mt_journal_log (wait->options.journal, "STORE_AWAY",
                  "kind=%s everywhere=%d expected_ms=%" G_GINT64_FORMAT,
                  mt_store_failure_names[wait->failure], everywhere,
                  mt_retry_plan_remaining_ms (wait->plan, mt_loop_now ()));
}

static void
log_back (const struct mt_store_wait *wait)
{
  mt_journal_log (wait->options.journal, "STORE_BACK",
                  "away_ms=%" G_GINT64_FORMAT " kind=%s refused=%u held=%u waiting=%u",
                  mt_retry_plan_away_ms (wait->plan, mt_loop_now ()),
                  mt_store_failure_names[wait->failure], wait->refused, wait->held,
                  wait->waiting.length);
}

/* The released submissions may fail and be added again. */
static void
release_all (struct mt_store_wait *wait)
{
  GQueue released = wait->waiting;
  struct waiting *w;

  g_queue_init (&wait->waiting);
  wait->bytes = 0;
  while ((w = g_queue_pop_head (&released)) != NULL)
    {
      wait->options.release (wait->options.ctx, w->submission);
      g_free (w);
    }
}

/* Refuses the submissions that the store is not expected to be back for. */
static void
refuse_hopeless (struct mt_store_wait *wait)
{
  int64_t now = mt_loop_now ();
  int64_t back_at = now + mt_retry_plan_remaining_ms (wait->plan, now);
  GList *next;

  for (GList *l = wait->waiting.head; l != NULL; l = next)
    {
      struct waiting *w = l->data;

      next = l->next;
      if (back_at < w->answer_by)
        continue;
      g_queue_delete_link (&wait->waiting, l);
      wait->bytes -= w->bytes;
      wait->options.refuse (wait->options.ctx, w->submission);
      g_free (w);
    }
}

static void
follow_store (struct mt_store_wait *wait)
{
  int64_t now = mt_loop_now ();
  bool away = !wait->options.store_answers (wait->options.ctx);
  bool everywhere = away && wait->options.store_is_down (wait->options.ctx);

  if (away)
    mt_retry_plan_store_away (wait->plan, wait->failure, everywhere, now);
  if (away == wait->away)
    return;
  wait->away = away;
  if (away)
    {
      wait->refused = wait->held = 0;
      log_away (wait, everywhere);
      return;
    }
  log_back (wait);
  mt_retry_plan_store_back (wait->plan, now);
}

static void
on_check (void *ctx)
{
  struct mt_store_wait *wait = ctx;

  mt_timer_set (wait->timer, CHECK_MS);
  follow_store (wait);
  if (wait->away)
    refuse_hopeless (wait);
  else
    release_all (wait);
}

struct mt_store_wait *
mt_store_wait_create (struct event_base *base, const struct mt_store_wait_options *options)
{
  struct mt_store_wait *wait = g_new0 (struct mt_store_wait, 1);
  struct mt_retry_settings settings = { .writes_per_s = WRITES_PER_S,
                                        .max_retries = CALLER_RETRIES,
                                        .longest_outage_ms = LONGEST_OUTAGE_MS,
                                        .max_waiting = MAX_WAITING,
                                        .max_wait_ms = options->max_wait_ms };

  wait->options = *options;
  wait->plan = mt_retry_plan_create (&settings);
  wait->timer = mt_timer_create (base, on_check, wait);
  mt_timer_set (wait->timer, CHECK_MS);
  return wait;
}

void
mt_store_wait_clear (struct mt_store_wait *wait, void (*drop) (void *submission))
{
  struct waiting *w;

  while (wait != NULL && (w = g_queue_pop_head (&wait->waiting)) != NULL)
    {
      wait->bytes -= w->bytes;
      drop (w->submission);
      g_free (w);
    }
}

void
mt_store_wait_destroy (struct mt_store_wait *wait, void (*drop) (void *submission))
{
  if (wait == NULL)
    return;
  mt_store_wait_clear (wait, drop);
  mt_timer_destroy (wait->timer);
  mt_retry_plan_destroy (wait->plan);
  g_free (wait);
}

void
mt_store_wait_record_failure (struct mt_store_wait *wait, enum mt_store_failure failure)
{
  wait->failure = failure;
}

bool
mt_store_wait_store_answers (struct mt_store_wait *wait)
{
  follow_store (wait);
  return !wait->away;
}

bool
mt_store_wait_add (struct mt_store_wait *wait,
                   void *submission,
                   size_t bytes,
                   const struct mt_retry_request *request,
                   int64_t answer_by)
{
  int64_t now = mt_loop_now ();
  struct mt_retry_request left = *request;
  struct waiting *w;

  left.remaining_ms = answer_by - now;
  if (wait->bytes + bytes > MAX_WAITING_BYTES
      || !mt_retry_plan_may_wait (wait->plan, &left, wait->waiting.length, now))
    return false;
  w = g_new0 (struct waiting, 1);
  *w = (struct waiting){ submission, bytes, answer_by };
  g_queue_push_tail (&wait->waiting, w);
  wait->bytes += bytes;
  wait->held++;
  return true;
}

unsigned
mt_store_wait_retry_after_s (struct mt_store_wait *wait, const struct mt_retry_request *request)
{
  wait->refused++;
  return mt_retry_plan_retry_after_s (wait->plan, request, mt_loop_now ());
}

int64_t
mt_store_wait_away_ms (const struct mt_store_wait *wait)
{
  return mt_retry_plan_away_ms (wait->plan, mt_loop_now ());
}
