#include "medlartrack/dispatch.h"

#include "medlartrack/ejection.h"
#include "medlartrack/retry_budget.h"
#include "medlartrack/service_time.h"

#include <string.h>
#include <xxhash.h>

#define REFUSED_REST_US (20 * MT_MS)    /* a full minion gets nothing for so long */
#define PENALTY_US      (1 * MT_SECOND) /* a failure counts as load for so long */
#define BORROW_REST_US  (1 * MT_SECOND) /* and its borrowed slots are left for so long */

struct minion
{
  char *name;
  char *address;
  uint64_t key;
  size_t index; /* of its load */
  unsigned slots;
  unsigned connections;
  bool present; /* in the tables now */
  bool leaving; /* by its own word */
  int64_t closed_until_us;
  int64_t borrow_from_us;
  struct mt_health health;
};

struct mt_dispatch
{
  const struct mt_clock *clock;
  const struct mt_dispatch_callbacks *callbacks;
  const struct mt_balance *policy;
  struct mt_balance_state state;
  GHashTable *by_name; /* name -> struct minion */
  GPtrArray *minions;  /* the same, in the order of the loads */
  GArray *loads;       /* of struct mt_balance_load */
  struct mt_share share;
  /* Slots, over all minions. */
  unsigned n_free;
  unsigned n_usable;
  unsigned in_flight;
  /* Of those in the tables. */
  unsigned n_present;
  unsigned ejected;
  uint64_t failing_sum;
  int64_t wake_us; /* the next time at which a minion's usable slots change by themselves */
  struct mt_service_time service;
  struct mt_retry_budget retries;
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
load_of (const struct mt_dispatch *dispatch, const struct minion *minion)
{
  return &g_array_index (dispatch->loads, struct mt_balance_load, minion->index);
}

static unsigned
count_free (const struct mt_balance_load *load)
{
  return load->usable_slots > load->in_flight ? load->usable_slots - load->in_flight : 0;
}

static void
wake_at (struct mt_dispatch *dispatch, int64_t when_us, int64_t now_us)
{
  if (when_us > now_us)
    dispatch->wake_us = MIN (dispatch->wake_us, when_us);
}

static unsigned
work_out_usable (struct mt_dispatch *dispatch, const struct minion *minion, int64_t now_us)
{
  enum mt_health_state health = mt_health_state (&minion->health, now_us);

  if (!minion->present || minion->leaving)
    return 0;
  wake_at (dispatch, minion->closed_until_us, now_us);
  wake_at (dispatch, minion->borrow_from_us, now_us);
  if (health == MT_HEALTH_EJECTED)
    wake_at (dispatch, minion->health.probe_from_us, now_us);
  if (health == MT_HEALTH_EJECTED || minion->closed_until_us > now_us)
    return 0;
  if (health == MT_HEALTH_PROBING)
    return 1;
  if (minion->borrow_from_us > now_us)
    return mt_share_own (dispatch->share, minion->slots, minion->key);
  return mt_share_with_borrowed (dispatch->share, minion->slots, minion->key,
                                 load_of (dispatch, minion)->others_in_flight);
}

/* Recent failures count as load, so that an idle look attracts nothing before the ejection decides.
 * They are forgotten after a moment, and don't count against a probe: a minion that gets no request
 * could never show that it is well again. */
static unsigned
work_out_penalty (struct mt_dispatch *dispatch, const struct minion *minion, int64_t now_us)
{
  int64_t until_us = minion->health.last_failure_us + PENALTY_US;

  if (minion->health.failure_rate == 0 || minion->health.ejected || until_us <= now_us)
    return 0;
  wake_at (dispatch, until_us, now_us);
  return minion->health.failure_rate * minion->slots / MT_HEALTH_MAX_FAILURE_RATE;
}

static void
refresh_minion (struct mt_dispatch *dispatch, const struct minion *minion, int64_t now_us)
{
  struct mt_balance_load *load = load_of (dispatch, minion);

  dispatch->n_free -= count_free (load);
  dispatch->n_usable -= load->usable_slots;
  load->usable_slots = work_out_usable (dispatch, minion, now_us);
  load->penalty = work_out_penalty (dispatch, minion, now_us);
  dispatch->n_usable += load->usable_slots;
  dispatch->n_free += count_free (load);
}

static void
refresh_all (struct mt_dispatch *dispatch, int64_t now_us)
{
  dispatch->wake_us = INT64_MAX;
  for (guint i = 0; i < dispatch->minions->len; i++)
    refresh_minion (dispatch, g_ptr_array_index (dispatch->minions, i), now_us);
}

static void
count_in_flight (struct mt_dispatch *dispatch, const struct minion *minion, int by)
{
  struct mt_balance_load *load = load_of (dispatch, minion);

  dispatch->n_free -= count_free (load);
  load->in_flight += (unsigned) by;
  dispatch->in_flight += (unsigned) by;
  dispatch->n_free += count_free (load);
}

static size_t
pick (struct mt_dispatch *dispatch, size_t avoid)
{
  return dispatch->policy->pick (&dispatch->state,
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
  i = pick (dispatch, avoid != NULL ? avoid->index : MT_BALANCE_NONE);
  if (i == MT_BALANCE_NONE)
    i = pick (dispatch, MT_BALANCE_NONE);
  if (i == MT_BALANCE_NONE)
    return false;
  minion = g_ptr_array_index (dispatch->minions, i);
  count_in_flight (dispatch, minion, 1);
  ticket->minion = minion->name;
  ticket->address = minion->address;
  ticket->connections = MAX (minion->connections / MAX (dispatch->share.daemons, 1), 1);
  ticket->granted_us = mt_clock_now (dispatch->clock);
  return true;
}

static void
give_up (struct mt_dispatch *dispatch, struct mt_ticket *ticket, enum mt_refusal refusal)
{
  ticket->refusal = refusal;
  dispatch->callbacks->expired (ticket);
}

/* What still runs on minions that take nothing new frees no slot for anybody who waits. */
static bool
has_hope (const struct mt_dispatch *dispatch, int64_t until_us)
{
  return dispatch->n_usable > 0 || dispatch->wake_us < until_us;
}

static void
grant_waiters (struct mt_dispatch *dispatch, int64_t now_us)
{
  struct mt_fair_item *item;

  if (now_us >= dispatch->wake_us)
    refresh_all (dispatch, now_us);
  while ((item = mt_fair_queue_pop_expired (dispatch->queue, now_us)) != NULL)
    give_up (dispatch, item->owner, MT_REFUSAL_DEADLINE);
  while (!has_hope (dispatch, INT64_MAX) && (item = mt_fair_queue_pop (dispatch->queue)) != NULL)
    give_up (dispatch, item->owner, MT_REFUSAL_NO_MINION);
  while (dispatch->n_free > 0 && (item = mt_fair_queue_pop (dispatch->queue)) != NULL)
    {
      struct mt_ticket *ticket = item->owner;

      if (try_grant (dispatch, ticket))
        dispatch->callbacks->granted (ticket);
      else
        give_up (dispatch, ticket, MT_REFUSAL_NO_MINION);
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
  dispatch->state.random_state = seed | 1;
  dispatch->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_minion);
  dispatch->minions = g_ptr_array_new ();
  dispatch->loads = g_array_new (FALSE, TRUE, sizeof (struct mt_balance_load));
  dispatch->share = (struct mt_share){ .daemons = 1 };
  dispatch->wake_us = INT64_MAX;
  mt_retry_budget_init (&dispatch->retries);
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

/* A minion back at a new address is a new one: what was known of the old one says nothing of it. */
static void
take_instance (struct mt_dispatch *dispatch, const struct mt_instance *instance)
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

/* The last one takes its place, so that the loads stay dense. */
static void
remove_minion (struct mt_dispatch *dispatch, struct minion *minion)
{
  struct minion *last = g_ptr_array_index (dispatch->minions, dispatch->minions->len - 1);

  dispatch->n_free -= count_free (load_of (dispatch, minion));
  dispatch->n_usable -= load_of (dispatch, minion)->usable_slots;
  g_ptr_array_remove_index_fast (dispatch->minions, (guint) minion->index);
  g_array_remove_index_fast (dispatch->loads, (guint) minion->index);
  last->index = minion->index;
  g_hash_table_remove (dispatch->by_name, minion->name);
}

static void
remove_gone (struct mt_dispatch *dispatch)
{
  for (guint i = dispatch->minions->len; i > 0; i--)
    {
      struct minion *minion = g_ptr_array_index (dispatch->minions, i - 1);

      if (!minion->present)
        minion->leaving = false;
      if (!minion->present && load_of (dispatch, minion)->in_flight == 0)
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

/* A pool of sick minions serves better than an empty one: half at most are out. */
static void
keep_half_in (struct mt_dispatch *dispatch)
{
  dispatch->n_present = count_present (dispatch);
  dispatch->ejected = 0;
  dispatch->failing_sum = 0;
  for (guint i = 0; i < dispatch->minions->len; i++)
    {
      struct minion *minion = g_ptr_array_index (dispatch->minions, i);

      if (!minion->present)
        continue;
      if (minion->health.ejected && (dispatch->ejected + 1) * 2 > dispatch->n_present)
        mt_health_reinstate (&minion->health);
      dispatch->ejected += minion->health.ejected ? 1 : 0;
      dispatch->failing_sum += minion->health.failure_rate;
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
    take_instance (dispatch, instances[i]);
  remove_gone (dispatch);
  keep_half_in (dispatch);
  refresh_all (dispatch, now);
  grant_waiters (dispatch, now);
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

      load_of (dispatch, minion)->others_in_flight
          = others != NULL ? others (ctx, minion->name) : 0;
    }
  refresh_all (dispatch, now);
  grant_waiters (dispatch, now);
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
  grant_waiters (dispatch, now);
}

/* By what now holds slots: a pool whose minions are all full still works through its queue. */
static unsigned
count_servers (const struct mt_dispatch *dispatch)
{
  return MAX (dispatch->in_flight + dispatch->n_free, 1);
}

static int64_t
estimate_wait (const struct mt_dispatch *dispatch, unsigned ahead)
{
  return (int64_t) (ahead + 1) * dispatch->service.mean_us / count_servers (dispatch);
}

/* A request that gets its slot later than this would as likely as not be answered too late, and so
 * would take the slot from one that has time. Half of what is left at most, so that a short
 * deadline still gets its chance. */
static int64_t
time_to_give_up (const struct mt_dispatch *dispatch, const struct mt_ticket *ticket, int64_t now_us)
{
  int64_t needed = mt_service_time_upper_estimate_us (&dispatch->service);

  return ticket->deadline_us - MIN (needed, (ticket->deadline_us - now_us) / 2);
}

/* Only asked where no slot is free, so that there are samples coming: an estimate that is too high
 * refuses nobody while the pool is idle, and is soon corrected while it isn't. */
static enum mt_refusal
judge (const struct mt_dispatch *dispatch,
       const struct mt_ticket *ticket,
       unsigned queue_limit,
       int64_t now_us)
{
  unsigned ahead;

  if (!has_hope (dispatch, time_to_give_up (dispatch, ticket, now_us)))
    return MT_REFUSAL_NO_MINION;
  if (mt_fair_queue_length (dispatch->queue) >= queue_limit)
    return MT_REFUSAL_QUEUE_FULL;
  ahead = mt_fair_queue_count_ahead (dispatch->queue, ticket->audience);
  if (now_us + estimate_wait (dispatch, ahead) >= time_to_give_up (dispatch, ticket, now_us))
    return MT_REFUSAL_DEADLINE;
  return MT_REFUSAL_NONE;
}

static bool
pay_for_try (struct mt_dispatch *dispatch, const struct mt_ticket *ticket)
{
  if (ticket->is_retry)
    return mt_retry_budget_take (&dispatch->retries);
  mt_retry_budget_deposit (&dispatch->retries);
  return true;
}

enum mt_dispatch_admission
mt_dispatch_submit (struct mt_dispatch *dispatch, struct mt_ticket *ticket, unsigned queue_limit)
{
  int64_t now = mt_clock_now (dispatch->clock);

  ticket->refusal = MT_REFUSAL_NONE;
  if (now >= ticket->deadline_us)
    ticket->refusal = MT_REFUSAL_DEADLINE;
  else if (!pay_for_try (dispatch, ticket))
    ticket->refusal = MT_REFUSAL_RETRY_BUDGET;
  if (ticket->refusal != MT_REFUSAL_NONE)
    return MT_ADMISSION_REFUSED;
  grant_waiters (dispatch, now);
  if (try_grant (dispatch, ticket))
    return MT_ADMISSION_GRANTED;
  ticket->refusal = judge (dispatch, ticket, queue_limit, now);
  if (ticket->refusal != MT_REFUSAL_NONE)
    return MT_ADMISSION_REFUSED;
  ticket->item = (struct mt_fair_item){ .audience = ticket->audience,
                                        .expires_us = time_to_give_up (dispatch, ticket, now),
                                        .owner = ticket };
  mt_fair_queue_push (dispatch->queue, &ticket->item);
  return MT_ADMISSION_QUEUED;
}

static void
learn_health (struct mt_dispatch *dispatch,
              struct minion *minion,
              enum mt_dispatch_result result,
              int64_t now_us)
{
  struct mt_health *health = &minion->health;
  unsigned present = minion->present ? dispatch->n_present : 0;
  uint64_t others = dispatch->failing_sum - (minion->present ? health->failure_rate : 0);
  unsigned mean = present > 1 ? (unsigned) (others / (present - 1)) : 0;
  bool was = health->ejected;
  bool out = mt_health_record_answer (health, result == MT_DISPATCH_SUCCESS, mean, now_us);

  if (out && (was || (present > 0 && (dispatch->ejected + 1) * 2 <= present)))
    mt_health_eject (health, now_us);
  if (!minion->present)
    return;
  dispatch->failing_sum = others + health->failure_rate;
  dispatch->ejected += (health->ejected ? 1U : 0U) - (was ? 1U : 0U);
}

static void
learn_refusal (struct minion *minion, int64_t now_us)
{
  minion->closed_until_us = now_us + REFUSED_REST_US;
  minion->borrow_from_us = now_us + BORROW_REST_US;
}

void
mt_dispatch_complete (struct mt_dispatch *dispatch,
                      struct mt_ticket *ticket,
                      enum mt_dispatch_result result)
{
  struct minion *minion = g_hash_table_lookup (dispatch->by_name, ticket->minion);
  int64_t now = mt_clock_now (dispatch->clock);

  count_in_flight (dispatch, minion, -1);
  if (result == MT_DISPATCH_REFUSED)
    learn_refusal (minion, now);
  else if (result != MT_DISPATCH_UNUSED)
    learn_health (dispatch, minion, result, now);
  /* Errors may be fast and refusals always are: only real work tells how long work takes. */
  if (result == MT_DISPATCH_SUCCESS || result == MT_DISPATCH_LOST)
    mt_service_time_add_sample (&dispatch->service, now - ticket->granted_us);
  refresh_minion (dispatch, minion, now);
  ticket->minion = NULL;
  ticket->address = NULL;
  grant_waiters (dispatch, now);
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
  grant_waiters (dispatch, mt_clock_now (dispatch->clock));
}

int64_t
mt_dispatch_next_tick_us (const struct mt_dispatch *dispatch, const struct mt_ticket *ticket)
{
  return MIN (ticket->item.expires_us, dispatch->wake_us);
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
  return minion != NULL ? load_of (dispatch, minion)->in_flight : 0;
}

unsigned
mt_dispatch_usable_slots (const struct mt_dispatch *dispatch, const char *name)
{
  const struct minion *minion;

  if (name == NULL)
    return dispatch->n_usable;
  minion = g_hash_table_lookup (dispatch->by_name, name);
  return minion != NULL ? load_of (dispatch, minion)->usable_slots : 0;
}

unsigned
mt_dispatch_ejected_count (const struct mt_dispatch *dispatch)
{
  return dispatch->ejected;
}

int64_t
mt_dispatch_backlog_us (const struct mt_dispatch *dispatch)
{
  return estimate_wait (dispatch, mt_fair_queue_length (dispatch->queue));
}

int64_t
mt_dispatch_service_us (const struct mt_dispatch *dispatch)
{
  return dispatch->service.mean_us;
}

void
mt_dispatch_each (const struct mt_dispatch *dispatch,
                  void (*visit) (void *ctx, const char *minion, unsigned in_flight),
                  void *ctx)
{
  for (guint i = 0; i < dispatch->minions->len; i++)
    {
      const struct minion *minion = g_ptr_array_index (dispatch->minions, i);

      visit (ctx, minion->name, load_of (dispatch, minion)->in_flight);
    }
}
