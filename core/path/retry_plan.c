/* Retry-After values during store outages.
 *
 * Designed for outages of 1 to 12 s at the start of a surge of up to ten times the mean, with
 * callers that retry at most four times: a fixed second used up the retries of 100 of 294 callers
 * in an outage of 6 s. Each refused caller gets a place on a timeline that holds no more callers
 * than the store takes, after the expected end of the outage, and behind the more urgent ones. */
#include "medlartrack/retry_plan.h"

#include <glib.h>
#include <math.h>

/* Places are counted in slots of this length: shorter than the second of Retry-After, so that
 * callers refused together at one moment of a second don't fill it. */
#define SLOT_MS 250
/* 64 s of places: 12 s of a surge of ten times the mean return within half of that. */
#define SLOTS 256
/* Share of the store's writes that returning callers may use; the rest is for new submissions. */
#define RETURNING_SHARE 0.8
/* Expected length of an outage before any was seen. */
#define FIRST_OUTAGE_MS 2000
/* Shortest expectation while an outage is longer than the past ones. */
#define MIN_REMAINING_MS 500
/* Weight of the last outage in the mean. */
#define OUTAGE_WEIGHT (1.0 / 3)
/* The longest outage counts this much less with each later one. */
#define LONGEST_DECAY 0.7
/* An outage that begins this soon after the last one continues it: calls that were in flight, such
 * as watches, are answered during an outage and look like its end. */
#define SAME_OUTAGE_MS 1000
/* How long the store's return may go unnoticed: a call is retried every 80 ms. */
#define NOTICE_MS 500
/* Daemons notice an outage at times that differ by up to this; 0.59 s were seen among three. */
#define SKEW_MS 600
/* Growth of the time between a caller's retries. In a model of outages of 1 to 12 s, callers return
 * 1.84 s after the end on average with 1.5, 1.75 s with 1.2 and 1.69 s with 1, but 0.71 s instead
 * of 0.41 s after an outage of 2 s with 1. */
#define RETRY_EXPONENT 1.2
/* Jobs are ranked by priority, then by their objective. */
#define PRIORITIES 4
#define OBJECTIVES 4
#define RANKS      (PRIORITIES * OBJECTIVES)

struct slot
{
  int64_t number; /* time / SLOT_MS; another number than expected: the slot is empty */
  uint16_t callers[RANKS];
};

/* Past outages of one kind. */
struct history
{
  double mean_ms;    /* decaying mean; 0: none yet */
  double longest_ms; /* longest recent one; 0: none yet */
};

struct mt_retry_plan
{
  struct mt_retry_settings settings;
  bool away;
  bool everywhere;
  enum mt_store_failure failure;
  int64_t away_since;
  double past_ms;     /* mean length of past outages when the present one began; 0: none yet */
  int64_t back_since; /* when the last outage ended; 0: never */
  enum mt_store_failure last_failure; /* kind of the last outage, and its figures before it */
  struct history before;
  struct history past[MT_STORE_FAILURES];
  struct slot slots[SLOTS];
};

const char *const mt_store_failure_names[] = {
  [MT_STORE_REFUSES] = "refuses", [MT_STORE_RESETS] = "resets", [MT_STORE_NO_ANSWER] = "no_answer"
};

struct mt_retry_plan *
mt_retry_plan_create (const struct mt_retry_settings *settings)
{
  struct mt_retry_plan *plan = g_new0 (struct mt_retry_plan, 1);

  plan->settings = *settings;
  plan->settings.max_retries = MAX (settings->max_retries, 1U);
  return plan;
}

void
mt_retry_plan_destroy (struct mt_retry_plan *plan)
{
  g_free (plan);
}

/* ---- outages ---- */

/* Returns the history of the kind of failure, or of another kind if there is none. */
static const struct history *
find_history (const struct mt_retry_plan *plan)
{
  const struct history *past = &plan->past[plan->failure];

  for (unsigned i = 0; past->mean_ms == 0 && i < MT_STORE_FAILURES; i++)
    past = &plan->past[i];
  return past;
}

void
mt_retry_plan_store_away (struct mt_retry_plan *plan,
                          enum mt_store_failure failure,
                          bool everywhere,
                          int64_t now)
{
  plan->failure = failure;
  plan->everywhere = everywhere;
  if (plan->away)
    return;
  plan->away = true;
  if (plan->back_since != 0 && now - plan->back_since < SAME_OUTAGE_MS)
    {
      plan->past[plan->last_failure] = plan->before;
      return;
    }
  plan->away_since = now;
  plan->past_ms = find_history (plan)->mean_ms;
}

void
mt_retry_plan_store_back (struct mt_retry_plan *plan, int64_t now)
{
  /* A longer one, such as a partition of this daemon, says little about the next: callers would be
   * told a minute in each short outage after it. */
  double length = (double) MIN (now - plan->away_since, plan->settings.longest_outage_ms);
  struct history *past = &plan->past[plan->failure];

  if (!plan->away)
    return;
  plan->away = false;
  plan->back_since = now;
  plan->last_failure = plan->failure;
  plan->before = *past;
  past->mean_ms
      = past->mean_ms == 0 ? length : past->mean_ms + OUTAGE_WEIGHT * (length - past->mean_ms);
  past->longest_ms = MAX (length, LONGEST_DECAY * past->longest_ms);
}

int64_t
mt_retry_plan_away_ms (const struct mt_retry_plan *plan, int64_t now)
{
  return plan->away ? now - plan->away_since : 0;
}

/* Longest expectation while an outage is longer than the past ones. */
static int64_t
max_remaining_ms (const struct mt_retry_plan *plan)
{
  return plan->settings.longest_outage_ms / plan->settings.max_retries;
}

int64_t
mt_retry_plan_remaining_ms (const struct mt_retry_plan *plan, int64_t now)
{
  int64_t away_ms = mt_retry_plan_away_ms (plan, now);
  const struct history *past = find_history (plan);
  int64_t mean_ms = past->mean_ms > 0 ? (int64_t) past->mean_ms : FIRST_OUTAGE_MS;
  int64_t longest_ms = (int64_t) past->longest_ms;

  if (!plan->away)
    return 0;
  if (away_ms < mean_ms)
    return mean_ms - away_ms;
  if (away_ms < longest_ms)
    return longest_ms - away_ms;
  /* Of outages of unknown length, those that have lasted longer last longer. */
  return CLAMP (away_ms / 2, MIN_REMAINING_MS, max_remaining_ms (plan));
}

bool
mt_retry_plan_may_wait (const struct mt_retry_plan *plan,
                        const struct mt_retry_request *request,
                        unsigned waiting,
                        int64_t now)
{
  int64_t longest_wait = MIN (request->remaining_ms, plan->settings.max_wait_ms);

  return waiting < plan->settings.max_waiting
         && mt_retry_plan_remaining_ms (plan, now) < longest_wait;
}

/* ---- places ---- */

static unsigned
find_rank (const struct mt_retry_request *request)
{
  static const int64_t objectives_ms[OBJECTIVES - 1] = { 2000, 4000, 8000 };
  unsigned priority = (unsigned) CLAMP (request->priority, 0, PRIORITIES - 1);
  unsigned objective = request->objective_ms == 0 ? OBJECTIVES - 1 : 0;

  while (objective < OBJECTIVES - 1 && request->objective_ms >= objectives_ms[objective])
    objective++;
  return priority * OBJECTIVES + objective;
}

static struct slot *
find_slot (struct mt_retry_plan *plan, int64_t at)
{
  struct slot *slot = &plan->slots[(at / SLOT_MS) % SLOTS];

  if (slot->number != at / SLOT_MS)
    *slot = (struct slot){ .number = at / SLOT_MS };
  return slot;
}

static bool
has_place (struct mt_retry_plan *plan, int64_t at)
{
  const struct slot *slot = find_slot (plan, at);
  double capacity = plan->settings.writes_per_s * RETURNING_SHARE * SLOT_MS / 1000;
  unsigned callers = 0;

  for (unsigned i = 0; i < RANKS; i++)
    callers += slot->callers[i];
  return callers < (unsigned) MAX (capacity, 1);
}

/* Returns the number of more urgent callers that are expected to return after now: those refused
 * already, and as many as their rate so far gives for the rest of the outage. */
static double
count_more_urgent (const struct mt_retry_plan *plan, unsigned rank, int64_t now)
{
  int64_t away_ms = MAX (mt_retry_plan_away_ms (plan, now), MIN_REMAINING_MS);
  double growth = 1 + (double) mt_retry_plan_remaining_ms (plan, now) / (double) away_ms;
  unsigned callers = 0;

  for (unsigned i = 0; i < SLOTS; i++)
    for (unsigned r = 0; plan->slots[i].number >= now / SLOT_MS && r < rank; r++)
      callers += plan->slots[i].callers[r];
  return callers * growth;
}

/* Returns the earliest time since the outage began at which a caller makes its n-th retry. The last
 * one comes after the longest outage. The second one comes when past outages ended; the first is
 * for a daemon that takes the outage for its own, and sends the caller to another. */
static int64_t
earliest_retry_ms (const struct mt_retry_plan *plan, unsigned n)
{
  unsigned retries = plan->settings.max_retries;
  double last = (double) (plan->settings.longest_outage_ms + NOTICE_MS + SKEW_MS);
  double first = last * pow (1.0 / retries, RETRY_EXPONENT);
  double past = MIN (plan->past_ms, last);

  if (n < 2 || retries < 3 || past <= first)
    return (int64_t) (last * pow ((double) n / retries, RETRY_EXPONENT));
  return (int64_t) (past + (last - past) * pow ((double) (n - 2) / (retries - 2), RETRY_EXPONENT));
}

/* Returns the shortest time until the next retry. A caller may have made as many retries as the
 * schedule allows by now, at other daemons too, which noticed the outage a little earlier. */
static int64_t
min_retry_ms (const struct mt_retry_plan *plan, int64_t now)
{
  int64_t away_ms = mt_retry_plan_away_ms (plan, now);
  unsigned made = 0;

  while (made + 1 < plan->settings.max_retries
         && earliest_retry_ms (plan, made + 1) <= away_ms + SKEW_MS)
    made++;
  return earliest_retry_ms (plan, made + 1) - away_ms;
}

static unsigned
round_up_s (int64_t ms)
{
  return (unsigned) MAX ((ms + 999) / 1000, 1);
}

/* Returns the first second from `from` to `to` with a place; 0 if there is none. */
static unsigned
find_place (struct mt_retry_plan *plan, unsigned from, unsigned to, int64_t now)
{
  for (unsigned s = from; s <= to; s++)
    if (has_place (plan, now + s * 1000))
      return s;
  return 0;
}

unsigned
mt_retry_plan_retry_after_s (struct mt_retry_plan *plan,
                             const struct mt_retry_request *request,
                             int64_t now)
{
  static const unsigned last_s = (SLOTS - 1) * SLOT_MS / 1000;
  unsigned rank = find_rank (request);
  unsigned useful_s = (unsigned) (request->useful_ms / 1000);
  /* Another daemon may store the job at once; the balancer leaves this one out. As that is not
   * certain, the caller's retries must last all the same. */
  bool elsewhere = plan->away && !plan->everywhere;
  int64_t remaining_ms = elsewhere ? 0 : mt_retry_plan_remaining_ms (plan, now);
  double ahead = elsewhere ? 0 : count_more_urgent (plan, rank, now);
  int64_t behind_ms = (int64_t) (1000 * ahead / plan->settings.writes_per_s);
  unsigned after_s;

  after_s = round_up_s (MAX (remaining_ms + behind_ms, plan->away ? min_retry_ms (plan, now) : 0));
  after_s = find_place (plan, MIN (after_s, last_s), last_s, now);
  if (after_s == 0)
    after_s = last_s;
  if (request->useful_ms > 0 && after_s > useful_s)
    {
      unsigned useful
          = find_place (plan, round_up_s (mt_retry_plan_remaining_ms (plan, now)), useful_s, now);

      after_s = useful > 0 ? useful : after_s;
    }
  find_slot (plan, now + after_s * 1000)->callers[rank]++;
  return after_s;
}
