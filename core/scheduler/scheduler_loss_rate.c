/* The rate at which the pool's workers are lost by themselves: what happens to those on which no
 * run has begun lately. A task that crashes its workers does so after its start, so that such
 * losses are not its doing. While few workers are without a recent start, the losses of all that
 * have no suspect aboard count as well. */
#include "scheduler_internal.h"

#include <math.h>

enum window
{
  SHORT_WINDOW, /* follows a rate that has just risen */
  LONG_WINDOW,  /* is exact */
};

static const double time_constants_ms[MT_LOSS_WINDOWS] = { 5000, 30000 };
/* What is assumed of a pool without a history: one loss in 160 s of a worker, with the weight of
 * 16 s. */
#define PRIOR_LOSSES    0.1
#define PRIOR_WORKER_MS 16000.0
/* Weight of the rate of all workers in that of those without a recent start. */
#define BLEND_WORKER_MS 6000.0
/* However rare losses are, several must agree. */
#define MAX_EVIDENCE_PER_LOSS 3.0
/* With this many losses in the last seconds, and suspects that are started at a fixed time after
 * the last one, losses at regular intervals would meet them more often than their rate says. */
#define MIN_REGULAR_LOSSES 1.5
/* The time of idle workers and their losses count MT_IDLE_SLOTS of this later: some of the losses
 * show only once the registry entry has expired. */
#define IDLE_SLOT_MS 500
/* A start is recent for this long. */
#define RECENT_START_MS 1000

static double
weight (unsigned window, int64_t age_ms)
{
  return exp (-(double) MAX (age_ms, 0) / time_constants_ms[window]);
}

static void
decay (struct mt_loss_rate *rate, int64_t now)
{
  for (unsigned i = 0; i < MT_LOSS_WINDOWS; i++)
    for (unsigned g = 0; g < MT_LOSS_GROUPS; g++)
      {
        rate->losses[i][g] *= weight (i, now - rate->updated_at);
        rate->worker_ms[i][g] *= weight (i, now - rate->updated_at);
      }
  rate->updated_at = MAX (now, rate->updated_at);
}

bool
mt_worker_is_in_loss_group (const struct mt_worker *w, enum mt_loss_group group, int64_t now)
{
  if (group == MT_LOSS_WITHOUT_SUSPECT)
    return w->isolated_tasks == 0;
  return w->start_sent_at == 0 || now - w->start_sent_at > RECENT_START_MS;
}

/* Adds the time of idle workers up to the slot, which is used anew. */
static void
add_due_idle_time (struct mt_loss_rate *rate, unsigned slot)
{
  for (; rate->idle_slot != slot; rate->idle_slot = (rate->idle_slot + 1) % MT_IDLE_SLOTS)
    {
      unsigned next = (rate->idle_slot + 1) % MT_IDLE_SLOTS;

      for (unsigned i = 0; i < MT_LOSS_WINDOWS; i++)
        {
          rate->worker_ms[i][MT_LOSS_WITHOUT_START] += rate->idle_ms[next];
          rate->losses[i][MT_LOSS_WITHOUT_START] += rate->idle_losses[next];
        }
      rate->idle_ms[next] = rate->idle_losses[next] = 0;
    }
}

void
mt_loss_rate_add_time (struct mt_loss_rate *rate,
                       const unsigned workers[MT_LOSS_GROUPS],
                       unsigned idle,
                       int64_t ms,
                       int64_t now)
{
  unsigned slot = (unsigned) (now / IDLE_SLOT_MS % MT_IDLE_SLOTS);

  decay (rate, now);
  add_due_idle_time (rate, slot);
  rate->idle_ms[slot] += (double) idle * (double) ms;
  for (unsigned i = 0; i < MT_LOSS_WINDOWS; i++)
    for (unsigned g = 0; g < MT_LOSS_GROUPS; g++)
      rate->worker_ms[i][g] += (double) workers[g] * (double) ms;
}

bool
mt_worker_was_in_loss_group (const struct mt_worker *w, enum mt_loss_group group)
{
  if (group == MT_LOSS_WITHOUT_SUSPECT)
    return w->isolated_tasks == 0;
  return w->start_before_answer_at == 0
         || w->answered_at - w->start_before_answer_at > RECENT_START_MS;
}

void
mt_loss_rate_add_loss (struct mt_loss_rate *rate, const bool counts[MT_LOSS_GROUPS], int64_t now)
{
  decay (rate, now);
  for (unsigned i = 0; i < MT_LOSS_WINDOWS; i++)
    for (unsigned g = 0; g < MT_LOSS_GROUPS; g++)
      rate->losses[i][g] += counts[g] ? 1 : 0;
}

void
mt_loss_rate_add_idle_loss (struct mt_loss_rate *rate,
                            const bool counts[MT_LOSS_GROUPS],
                            int64_t now)
{
  bool now_counts[MT_LOSS_GROUPS] = { [MT_LOSS_WITHOUT_SUSPECT] = counts[MT_LOSS_WITHOUT_SUSPECT] };

  mt_loss_rate_add_loss (rate, now_counts, now);
  rate->idle_losses[rate->idle_slot] += counts[MT_LOSS_WITHOUT_START];
}

void
mt_loss_rate_remove (struct mt_loss_rate *rate, const struct mt_counted_losses *own, int64_t now)
{
  decay (rate, now);
  for (unsigned i = 0; i < MT_LOSS_WINDOWS; i++)
    for (unsigned g = 0; g < MT_LOSS_GROUPS; g++)
      rate->losses[i][g] = MAX (rate->losses[i][g] - own->n[g] * weight (i, now - own->last_at), 0);
}

/* Returns the rate plus its standard error: too low a rate costs sound jobs. */
static double
upper_rate (double losses, double worker_ms, double prior_losses, double prior_worker_ms)
{
  return (losses + sqrt (losses) + prior_losses) / (worker_ms + prior_worker_ms);
}

/* Returns the pool's rate, in losses per worker and ms. */
static double
estimate_rate (const struct mt_loss_rate *rate)
{
  const double *losses = rate->losses[LONG_WINDOW];
  const double *worker_ms = rate->worker_ms[LONG_WINDOW];
  double all = upper_rate (losses[MT_LOSS_WITHOUT_SUSPECT], worker_ms[MT_LOSS_WITHOUT_SUSPECT],
                           PRIOR_LOSSES, PRIOR_WORKER_MS);
  double steady = upper_rate (losses[MT_LOSS_WITHOUT_START], worker_ms[MT_LOSS_WITHOUT_START],
                              all * BLEND_WORKER_MS, BLEND_WORKER_MS);
  double recent = upper_rate (rate->losses[SHORT_WINDOW][MT_LOSS_WITHOUT_START],
                              rate->worker_ms[SHORT_WINDOW][MT_LOSS_WITHOUT_START],
                              steady * BLEND_WORKER_MS, BLEND_WORKER_MS);

  return MAX (steady, recent);
}

bool
mt_loss_rate_may_be_regular (const struct mt_loss_rate *rate, int64_t now)
{
  return rate->losses[SHORT_WINDOW][MT_LOSS_WITHOUT_START]
             * weight (SHORT_WINDOW, now - rate->updated_at)
         >= MIN_REGULAR_LOSSES;
}

void
mt_loss_evidence_add (struct mt_loss_evidence *evidence,
                      const struct mt_loss_rate *rate,
                      double density_per_ms,
                      bool with_own,
                      int64_t now)
{
  struct mt_loss_rate others = *rate;
  double log_rate;
  double density;
  double whole;

  if (with_own)
    decay (&others, now);
  else
    mt_loss_rate_remove (&others, &evidence->counted, now);
  log_rate = log10 (estimate_rate (&others));
  density = log10 (density_per_ms);
  evidence->n += evidence->n < G_MAXUINT8;
  evidence->density += density;
  /* The rate may have been underestimated before. */
  whole = evidence->restored + evidence->density - evidence->n * log_rate;
  evidence->total = MIN (evidence->total + MIN (density - log_rate, MAX_EVIDENCE_PER_LOSS), whole);
  if (evidence->total > 0)
    return;
  evidence->total = evidence->restored = evidence->density = 0;
  evidence->n = 0;
}
