#include "medlartrack/dispatch.h"

#include "medlartrack/ejection.h"
#include "medlartrack/retry_budget.h"
#include "medlartrack/service_time.h"

#include <string.h>
#include <xxhash.h>

#define REFUSAL_BACKOFF_US (20 * MT_MS)    /* time without requests after a refusal */
#define PENALTY_US         (1 * MT_SECOND) /* time for which a failure counts as load */
#define BORROW_BACKOFF_US  (1 * MT_SECOND) /* time without borrowed slots after a refusal */

struct minion
{
  char *name;
  char *address;
  uint64_t key;
  size_t index; /* in minions and loads */
  unsigned slots;
  unsigned connections;
  bool present; /* in the current tables */
  bool leaving; /* the minion announced it */
  int64_t refused_until_us;
  int64_t borrow_from_us;
  struct mt_health health;
};

struct mt_dispatch
{
  const struct mt_clock *clock;
  const struct mt_dispatch_callbacks *callbacks;
  const struct mt_balance *policy;
  struct mt_balance_state balance_state;
  GHashTable *by_name; /* name -> struct minion */
  GPtrArray *minions;  /* the same minions, indexed as loads is */
  GArray *loads;       /* of struct mt_balance_load */
  struct mt_share share;
  /* Sums over all minions; n_free and n_usable count slots. */
  unsigned n_free;
  unsigned n_usable;
  unsigned in_flight;
  /* Sums over the minions in the current tables. */
  unsigned n_present;
  unsigned n_ejected;
  uint64_t failure_rate_sum;
  int64_t next_refresh_us; /* when usable slots or penalties next change without a call */
  struct mt_service_time service_time;
  struct mt_retry_budget retry_budget;
  struct mt_fair_queue *queue;
};

static void
free_minion (gpointer data)
{
  struct minion *minion = data;

  g_free (minion->name);
  g_free (minion->address);
  g_free (minion);
}

static struct mt_balance_load *
get_load (const struct mt_dispatch *dispatch, const struct minion *minion)
{
  return &g_array_index (dispatch->loads, struct mt_balance_load, minion->index);
}

static unsigned
count_free_slots (const struct mt_balance_load *load)
{
  return load->usable_slots > load->in_flight ? load->usable_slots - load->in_flight : 0;
}

static void
schedule_refresh (struct mt_dispatch *dispatch, int64_t when_us, int64_t now_us)
{
  if (when_us > now_us)
    dispatch->next_refresh_us = MIN (dispatch->next_refresh_us, when_us);
}

static unsigned
compute_usable_slots (struct mt_dispatch *dispatch, const struct minion *minion, int64_t now_us)
{
  enum mt_health_state health = mt_health_state (&minion->health, now_us);

  if (!minion->present || minion->leaving)
    return 0;
  schedule_refresh (dispatch, minion->refused_until_us, now_us);
  schedule_refresh (dispatch, minion->borrow_from_us, now_us);
  if (health == MT_HEALTH_EJECTED)
    schedule_refresh (dispatch, minion->health.probe_from_us, now_us);
  if (health == MT_HEALTH_EJECTED || minion->refused_until_us > now_us)
    return 0;
  if (health == MT_HEALTH_PROBING)
    return 1;
  if (minion->borrow_from_us > now_us)
    return mt_share_own (dispatch->share, minion->slots, minion->key);
  return mt_share_with_borrowed (dispatch->share, minion->slots, minion->key,
                                 get_load (dispatch, minion)->others_in_flight);
}

/* Recent failures count as load, so that a failing minion that looks idle attracts no requests
 * before it is ejected. They expire after PENALTY_US and do not count against a probe: a minion
 * that gets no requests could never show that it has recovered. */
static unsigned
compute_penalty (struct mt_dispatch *dispatch, const struct minion *minion, int64_t now_us)
{
  int64_t until_us = minion->health.last_failure_us + PENALTY_US;

  if (minion->health.failure_rate == 0 || minion->health.ejected || until_us <= now_us)
    return 0;
  schedule_refresh (dispatch, until_us, now_us);
  return minion->health.failure_rate * minion->slots / MT_HEALTH_MAX_FAILURE_RATE;
}

static void
refresh_minion (struct mt_dispatch *dispatch, const struct minion *minion, int64_t now_us)
{
  struct mt_balance_load *load = get_load (dispatch, minion);

  dispatch->n_free -= count_free_slots (load);
  dispatch->n_usable -= load->usable_slots;
  load->usable_slots = compute_usable_slots (dispatch, minion, now_us);
  load->penalty = compute_penalty (dispatch, minion, now_us);
  dispatch->n_usable += load->usable_slots;
  dispatch->n_free += count_free_slots (load);
}

static void
refresh_all (struct mt_dispatch *dispatch, int64_t now_us)
{
  dispatch->next_refresh_us = INT64_MAX;
  for (guint i = 0; i < dispatch->minions->len; i++)
    refresh_minion (dispatch, g_ptr_array_index (dispatch->minions, i), now_us);
}

static void
add_in_flight (struct mt_dispatch *dispatch, const struct minion *minion, int delta)
{
  struct mt_balance_load *load = get_load (dispatch, minion);

  dispatch->n_free -= count_free_slots (load);
  load->in_flight += (unsigned) delta;
  dispatch->in_flight += (unsigned) delta;
  dispatch->n_free += count_free_slots (load);
}

static size_t
pick_minion (struct mt_dispatch *dispatch, size_t avoid)
{
  return dispatch->policy->pick (&dispatch->balance_state,
                                 (const struct mt_balance_load *) dispatch->loads->data,
                                 dispatch->loads->len, avoid);
}

static bool
try_grant (struct mt_dispatch *dispatch, struct mt_ticket *ticket)
{
  const struct minion *avoid = NULL;
  struct minion *minion;
  size_t i;

  if (dispatch->n_free == 0)
    return false;
  if (ticket->avoid != NULL)
    avoid = g_hash_table_lookup (dispatch->by_name, ticket->avoid);
  i = pick_minion (dispatch, avoid != NULL ? avoid->index : MT_BALANCE_NONE);
  if (i == MT_BALANCE_NONE)
    i = pick_minion (dispatch, MT_BALANCE_NONE);
  if (i == MT_BALANCE_NONE)
    return false;
  minion = g_ptr_array_index (dispatch->minions, i);
  add_in_flight (dispatch, minion, 1);
  ticket->minion = minion->name;
  ticket->address = minion->address;
  ticket->connections = MAX (minion->connections / MAX (dispatch->share.daemons, 1), 1);
  ticket->granted_us = mt_clock_now (dispatch->clock);
  return true;
}

static void
expire_ticket (struct mt_dispatch *dispatch, struct mt_ticket *ticket, enum mt_refusal refusal)
{
  ticket->refusal = refusal;
  dispatch->callbacks->expired (ticket);
}

/* Returns whether a queued ticket may get a slot before until_us. Requests in flight on minions
 * that accept no new work free no slot for it. */
static bool
may_get_slot (const struct mt_dispatch *dispatch, int64_t until_us)
{
  return dispatch->n_usable > 0 || dispatch->next_refresh_us < until_us;
}

static void
grant_queued (struct mt_dispatch *dispatch, int64_t now_us)
{
  struct mt_fair_item *item;

  if (now_us >= dispatch->next_refresh_us)
    refresh_all (dispatch, now_us);
  while ((item = mt_fair_queue_pop_expired (dispatch->queue, now_us)) != NULL)
    expire_ticket (dispatch, item->owner, MT_REFUSAL_DEADLINE);
  while (!may_get_slot (dispatch, INT64_MAX)
         && (item = mt_fair_queue_pop (dispatch->queue)) != NULL)
    expire_ticket (dispatch, item->owner, MT_REFUSAL_NO_MINION);
  while (dispatch->n_free > 0 && (item = mt_fair_queue_pop (dispatch->queue)) != NULL)
    {
      struct mt_ticket *ticket = item->owner;

      if (try_grant (dispatch, ticket))
        dispatch->callbacks->granted (ticket);
      else
        expire_ticket (dispatch, ticket, MT_REFUSAL_NO_MINION);
    }
}

struct mt_dispatch *
mt_dispatch_create (const struct mt_clock *clock,
                    const struct mt_dispatch_callbacks *callbacks,
                    const struct mt_balance *policy,
                    uint64_t seed)
{
  struct mt_dispatch *dispatch = g_new0 (struct mt_dispatch, 1);

  dispatch->clock = clock;
  dispatch->callbacks = callbacks;
  dispatch->policy = policy != NULL ? policy : mt_balance_policies[0];
  dispatch->balance_state.random_state = seed | 1;
  dispatch->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_minion);
  dispatch->minions = g_ptr_array_new ();
  dispatch->loads = g_array_new (FALSE, TRUE, sizeof (struct mt_balance_load));
  dispatch->share = (struct mt_share){ .daemons = 1 };
  dispatch->next_refresh_us = INT64_MAX;
  mt_retry_budget_init (&dispatch->retry_budget);
  dispatch->queue = mt_fair_queue_create ();
  return dispatch;
}

void
mt_dispatch_destroy (struct mt_dispatch *dispatch)
{
  if (dispatch == NULL)
    return;
  mt_fair_queue_destroy (dispatch->queue);
  g_array_free (dispatch->loads, TRUE);
  g_ptr_array_free (dispatch->minions, TRUE);
  g_hash_table_destroy (dispatch->by_name);
  g_free (dispatch);
}

static void
add_minion (struct mt_dispatch *dispatch, const struct mt_instance *instance)
{
  struct minion *minion = g_new0 (struct minion, 1);
  struct mt_balance_load load = { 0 };

  minion->name = g_strndup (instance->name.data, instance->name.len);
  minion->key = XXH3_64bits (instance->name.data, instance->name.len);
  minion->index = dispatch->loads->len;
  g_array_append_val (dispatch->loads, load);
  g_ptr_array_add (dispatch->minions, minion);
  g_hash_table_insert (dispatch->by_name, minion->name, minion);
}

/* A minion that reappears at a new address is a new process: the health and the leaving state of
 * the old one do not apply to it. */
static void
update_minion (struct mt_dispatch *dispatch, const struct mt_instance *instance)
{
  struct minion *minion;

  if (!g_hash_table_contains (dispatch->by_name, instance->name.data))
    add_minion (dispatch, instance);
  minion = g_hash_table_lookup (dispatch->by_name, instance->name.data);
  if (g_strcmp0 (minion->address, instance->address.data) != 0)
    {
      g_free (minion->address);
      minion->address = g_strndup (instance->address.data, instance->address.len);
      minion->leaving = false;
      minion->health = (struct mt_health){ 0 };
    }
  minion->slots = instance->slots;
  minion->connections = instance->connections;
  minion->present = !instance->leaving;
}

/* The last minion takes the freed index, so that the arrays stay dense. */
static void
remove_minion (struct mt_dispatch *dispatch, struct minion *minion)
{
  struct minion *last = g_ptr_array_index (dispatch->minions, dispatch->minions->len - 1);

  dispatch->n_free -= count_free_slots (get_load (dispatch, minion));
  dispatch->n_usable -= get_load (dispatch, minion)->usable_slots;
  g_ptr_array_remove_index_fast (dispatch->minions, (guint) minion->index);
  g_array_remove_index_fast (dispatch->loads, (guint) minion->index);
  last->index = minion->index;
  g_hash_table_remove (dispatch->by_name, minion->name);
}

static void
remove_absent_minions (struct mt_dispatch *dispatch)
{
  for (guint i = dispatch->minions->len; i > 0; i--)
    {
      struct minion *minion = g_ptr_array_index (dispatch->minions, i - 1);

      if (!minion->present)
        minion->leaving = false;
      if (!minion->present && get_load (dispatch, minion)->in_flight == 0)
        remove_minion (dispatch, minion);
    }
}

static unsigned
count_present (const struct mt_dispatch *dispatch)
{
  unsigned n = 0;

  for (guint i = 0; i < dispatch->minions->len; i++)
    {
      const struct minion *minion = g_ptr_array_index (dispatch->minions, i);

      n += minion->present ? 1 : 0;
    }
  return n;
}

/* Reinstates minions until at most half are ejected: a pool of failing minions serves better than
 * an empty one. */
static void
limit_ejections (struct mt_dispatch *dispatch)
{
  dispatch->n_present = count_present (dispatch);
  dispatch->n_ejected = 0;
  dispatch->failure_rate_sum = 0;
  for (guint i = 0; i < dispatch->minions->len; i++)
    {
      struct minion *minion = g_ptr_array_index (dispatch->minions, i);

      if (!minion->present)
        continue;
      if (minion->health.ejected && (dispatch->n_ejected + 1) * 2 > dispatch->n_present)
        mt_health_reinstate (&minion->health);
      dispatch->n_ejected += minion->health.ejected ? 1 : 0;
      dispatch->failure_rate_sum += minion->health.failure_rate;
    }
}

void
mt_dispatch_update (struct mt_dispatch *dispatch,
                    const struct mt_instance *const *instances,
                    size_t n)
{
  int64_t now = mt_clock_now (dispatch->clock);

  for (guint i = 0; i < dispatch->minions->len; i++)
    ((struct minion *) g_ptr_array_index (dispatch->minions, i))->present = false;
  for (size_t i = 0; i < n; i++)
    update_minion (dispatch, instances[i]);
  remove_absent_minions (dispatch);
  limit_ejections (dispatch);
  refresh_all (dispatch, now);
  grant_queued (dispatch, now);
}

void
mt_dispatch_set_share (struct mt_dispatch *dispatch,
                       struct mt_share share,
                       unsigned (*others) (void *ctx, const char *minion),
                       void *ctx)
{
  int64_t now = mt_clock_now (dispatch->clock);

  dispatch->share = share;
  for (guint i = 0; i < dispatch->minions->len; i++)
    {
      const struct minion *minion = g_ptr_array_index (dispatch->minions, i);

      get_load (dispatch, minion)->others_in_flight
          = others != NULL ? others (ctx, minion->name) : 0;
    }
  refresh_all (dispatch, now);
  grant_queued (dispatch, now);
}

void
mt_dispatch_set_leaving (struct mt_dispatch *dispatch, const char *name)
{
  struct minion *minion = g_hash_table_lookup (dispatch->by_name, name);

  if (minion == NULL)
    return;
  minion->leaving = true;
  refresh_minion (dispatch, minion, mt_clock_now (dispatch->clock));
}

bool
mt_dispatch_is_leaving (const struct mt_dispatch *dispatch, const char *name)
{
  const struct minion *minion = g_hash_table_lookup (dispatch->by_name, name);

  return minion != NULL && minion->leaving;
}

void
mt_dispatch_rejoin (struct mt_dispatch *dispatch, const char *name)
{
  struct minion *minion = g_hash_table_lookup (dispatch->by_name, name);
  int64_t now = mt_clock_now (dispatch->clock);

  if (minion == NULL)
    return;
  minion->leaving = false;
  refresh_minion (dispatch, minion, now);
  grant_queued (dispatch, now);
}

/* Returns the number of slots that work through the queue: those in use, as a pool whose minions
 * are all full still serves it, and the free ones. */
static unsigned
count_busy_and_free_slots (const struct mt_dispatch *dispatch)
{
  return MAX (dispatch->in_flight + dispatch->n_free, 1);
}

static int64_t
estimate_wait (const struct mt_dispatch *dispatch, unsigned ahead)
{
  return (int64_t) (ahead + 1) * dispatch->service_time.mean_us
         / count_busy_and_free_slots (dispatch);
}

/* Returns the latest useful time for the ticket to get a slot. After it the request would probably
 * miss its deadline, and would take the slot from a request that can still meet its own. The margin
 * before the deadline is at most half of the remaining time, so that a request with a short
 * deadline still gets a chance. */
static int64_t
compute_expiry (const struct mt_dispatch *dispatch, const struct mt_ticket *ticket, int64_t now_us)
{
  int64_t needed = mt_service_time_upper_estimate_us (&dispatch->service_time);

  return ticket->deadline_us - MIN (needed, (ticket->deadline_us - now_us) / 2);
}

/* Returns the reason to refuse the ticket, or MT_REFUSAL_NONE. To be called only when no slot is
 * free: requests in flight then give new samples of the service time. So an estimate that is too
 * high refuses no requests while the pool is idle, and is soon corrected while it is busy. */
static enum mt_refusal
check_admission (const struct mt_dispatch *dispatch,
                 const struct mt_ticket *ticket,
                 unsigned queue_limit,
                 int64_t now_us)
{
  unsigned ahead;

  if (!may_get_slot (dispatch, compute_expiry (dispatch, ticket, now_us)))
    return MT_REFUSAL_NO_MINION;
  if (mt_fair_queue_length (dispatch->queue) >= queue_limit)
    return MT_REFUSAL_QUEUE_FULL;
  ahead = mt_fair_queue_count_ahead (dispatch->queue, ticket->audience);
  if (now_us + estimate_wait (dispatch, ahead) >= compute_expiry (dispatch, ticket, now_us))
    return MT_REFUSAL_DEADLINE;
  return MT_REFUSAL_NONE;
}

static bool
charge_retry_budget (struct mt_dispatch *dispatch, const struct mt_ticket *ticket)
{
  if (ticket->is_retry)
    return mt_retry_budget_take (&dispatch->retry_budget);
  mt_retry_budget_deposit (&dispatch->retry_budget);
  return true;
}

enum mt_dispatch_admission
mt_dispatch_submit (struct mt_dispatch *dispatch, struct mt_ticket *ticket, unsigned queue_limit)
{
  int64_t now = mt_clock_now (dispatch->clock);

  ticket->refusal = MT_REFUSAL_NONE;
  if (now >= ticket->deadline_us)
    ticket->refusal = MT_REFUSAL_DEADLINE;
  else if (!charge_retry_budget (dispatch, ticket))
    ticket->refusal = MT_REFUSAL_RETRY_BUDGET;
  if (ticket->refusal != MT_REFUSAL_NONE)
    return MT_ADMISSION_REFUSED;
  grant_queued (dispatch, now);
  if (try_grant (dispatch, ticket))
    return MT_ADMISSION_GRANTED;
  ticket->refusal = check_admission (dispatch, ticket, queue_limit, now);
  if (ticket->refusal != MT_REFUSAL_NONE)
    return MT_ADMISSION_REFUSED;
  ticket->item = (struct mt_fair_item){ .audience = ticket->audience,
                                        .expires_us = compute_expiry (dispatch, ticket, now),
                                        .owner = ticket };
  mt_fair_queue_push (dispatch->queue, &ticket->item);
  return MT_ADMISSION_QUEUED;
}

static void
update_health (struct mt_dispatch *dispatch,
               struct minion *minion,
               enum mt_dispatch_result result,
               int64_t now_us)
{
  struct mt_health *health = &minion->health;
  unsigned present = minion->present ? dispatch->n_present : 0;
  uint64_t others = dispatch->failure_rate_sum - (minion->present ? health->failure_rate : 0);
  unsigned mean = present > 1 ? (unsigned) (others / (present - 1)) : 0;
  bool was_ejected = health->ejected;
  bool should_eject = mt_health_record_answer (health, result == MT_DISPATCH_SUCCESS, mean, now_us);

  if (should_eject && (was_ejected || (present > 0 && (dispatch->n_ejected + 1) * 2 <= present)))
    mt_health_eject (health, now_us);
  if (!minion->present)
    return;
  dispatch->failure_rate_sum = others + health->failure_rate;
  dispatch->n_ejected += (health->ejected ? 1U : 0U) - (was_ejected ? 1U : 0U);
}

static void
handle_refusal (struct minion *minion, int64_t now_us)
{
  minion->refused_until_us = now_us + REFUSAL_BACKOFF_US;
  minion->borrow_from_us = now_us + BORROW_BACKOFF_US;
}

void
mt_dispatch_complete (struct mt_dispatch *dispatch,
                      struct mt_ticket *ticket,
                      enum mt_dispatch_result result)
{
  struct minion *minion = g_hash_table_lookup (dispatch->by_name, ticket->minion);
  int64_t now = mt_clock_now (dispatch->clock);

  add_in_flight (dispatch, minion, -1);
  if (result == MT_DISPATCH_REFUSED)
    handle_refusal (minion, now);
  else if (result != MT_DISPATCH_UNUSED)
    update_health (dispatch, minion, result, now);
  /* Errors may be fast and refusals always are: neither gives a service time sample. */
  if (result == MT_DISPATCH_SUCCESS || result == MT_DISPATCH_LOST)
    mt_service_time_add_sample (&dispatch->service_time, now - ticket->granted_us);
  refresh_minion (dispatch, minion, now);
  ticket->minion = NULL;
  ticket->address = NULL;
  grant_queued (dispatch, now);
}

void
mt_dispatch_cancel (struct mt_dispatch *dispatch, struct mt_ticket *ticket)
{
  if (ticket->item.flow != NULL)
    mt_fair_queue_remove (dispatch->queue, &ticket->item);
}

void
mt_dispatch_tick (struct mt_dispatch *dispatch)
{
  grant_queued (dispatch, mt_clock_now (dispatch->clock));
}

int64_t
mt_dispatch_next_tick_us (const struct mt_dispatch *dispatch, const struct mt_ticket *ticket)
{
  return MIN (ticket->item.expires_us, dispatch->next_refresh_us);
}

unsigned
mt_dispatch_queue_length (const struct mt_dispatch *dispatch)
{
  return mt_fair_queue_length (dispatch->queue);
}

unsigned
mt_dispatch_in_flight (const struct mt_dispatch *dispatch, const char *name)
{
  const struct minion *minion;

  if (name == NULL)
    return dispatch->in_flight;
  minion = g_hash_table_lookup (dispatch->by_name, name);
  return minion != NULL ? get_load (dispatch, minion)->in_flight : 0;
}

unsigned
mt_dispatch_usable_slots (const struct mt_dispatch *dispatch, const char *name)
{
  const struct minion *minion;

  if (name == NULL)
    return dispatch->n_usable;
  minion = g_hash_table_lookup (dispatch->by_name, name);
  return minion != NULL ? get_load (dispatch, minion)->usable_slots : 0;
}

unsigned
mt_dispatch_ejected_count (const struct mt_dispatch *dispatch)
{
  return dispatch->n_ejected;
}

int64_t
mt_dispatch_backlog_us (const struct mt_dispatch *dispatch)
{
  return estimate_wait (dispatch, mt_fair_queue_length (dispatch->queue));
}

int64_t
mt_dispatch_service_us (const struct mt_dispatch *dispatch)
{
  return dispatch->service_time.mean_us;
}

void
mt_dispatch_each (const struct mt_dispatch *dispatch,
                  void (*visit) (void *ctx, const char *minion, unsigned in_flight),
                  void *ctx)
{
  for (guint i = 0; i < dispatch->minions->len; i++)
    {
      const struct minion *minion = g_ptr_array_index (dispatch->minions, i);

      visit (ctx, minion->name, get_load (dispatch, minion)->in_flight);
    }
}
