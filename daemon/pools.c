#include "pools.h"

#include <string.h>

struct pool
{
  GMutex lock; /* guards dispatch and all slots of the pool */
  struct mt_dispatch *dispatch;
  /* minion -> guint64, epoch of the record that assigned it to the pool; guarded by lock */
  GHashTable *epochs;
};

struct mt_pools
{
  const struct mt_clock *clock;
  struct mt_view_holder *views;
  char *zone;
  GRWLock lock;        /* guards the map; a pool in it lives until mt_pools_destroy */
  GHashTable *by_name; /* name -> struct pool */
  struct mt_share share;
};

enum slot_state
{
  SLOT_WAITING,
  SLOT_GRANTED,
  SLOT_EXPIRED,
};

struct mt_slot
{
  struct pool *pool;
  struct mt_ticket ticket; /* guarded by the pool's lock until granted */
  enum slot_state state;   /* guarded by the pool's lock */
  bool waited;
  GCond changed;
};

static void
on_granted (struct mt_ticket *ticket)
{
  struct mt_slot *slot = ticket->owner;

  slot->state = SLOT_GRANTED;
  g_cond_signal (&slot->changed);
}

static void
on_expired (struct mt_ticket *ticket)
{
  struct mt_slot *slot = ticket->owner;

  slot->state = SLOT_EXPIRED;
  g_cond_signal (&slot->changed);
}

static const struct mt_dispatch_callbacks wake_waiter = {
  .name = "wake-waiter",
  .description = "wakes the connection's thread that waits for the slot",
  .granted = on_granted,
  .expired = on_expired,
};

static void
free_pool (gpointer data)
{
  struct pool *pool = data;

  mt_dispatch_destroy (pool->dispatch);
  g_hash_table_destroy (pool->epochs);
  g_mutex_clear (&pool->lock);
  g_free (pool);
}

struct mt_pools *
mt_pools_create (const struct mt_clock *clock, struct mt_view_holder *views, const char *zone)
{
  struct mt_pools *pools = g_new0 (struct mt_pools, 1);

  pools->clock = clock;
  pools->views = views;
  pools->zone = g_strdup (zone);
  pools->share = (struct mt_share){ .daemons = 1 };
  g_rw_lock_init (&pools->lock);
  pools->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_pool);
  return pools;
}

void
mt_pools_destroy (struct mt_pools *pools)
{
  if (pools == NULL)
    return;
  g_hash_table_destroy (pools->by_name);
  g_rw_lock_clear (&pools->lock);
  g_free (pools->zone);
  g_free (pools);
}

static struct pool *
find_pool (struct mt_pools *pools, const char *name)
{
  struct pool *pool;

  g_rw_lock_reader_lock (&pools->lock);
  pool = g_hash_table_lookup (pools->by_name, name);
  g_rw_lock_reader_unlock (&pools->lock);
  return pool;
}

static uint64_t
generate_seed (void)
{
  return (uint64_t) g_random_int () << 32 | g_random_int ();
}

static struct pool *
get_or_create_pool (struct mt_pools *pools, const char *name)
{
  struct pool *pool = find_pool (pools, name);

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct pool, 1);
  g_mutex_init (&pool->lock);
  pool->epochs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pool->dispatch = mt_dispatch_create (pools->clock, &wake_waiter, NULL, generate_seed ());
  g_rw_lock_writer_lock (&pools->lock);
  mt_dispatch_set_share (pool->dispatch, pools->share, NULL, NULL);
  g_hash_table_insert (pools->by_name, g_strdup (name), pool);
  g_rw_lock_writer_unlock (&pools->lock);
  return pool;
}

/* Keeps the entries of minions that are gone: a slot granted earlier may still need its epoch. */
static void
record_epochs (struct pool *pool, const GPtrArray *serving, const struct mt_assign *assign)
{
  for (guint i = 0; i < serving->len; i++)
    {
      const struct mt_instance *instance = serving->pdata[i];
      const struct mt_assign_record *record = mt_assign_find (assign, instance->name.data);

      g_hash_table_replace (pool->epochs, g_strdup (instance->name.data),
                            g_memdup2 (&record->epoch, sizeof record->epoch));
    }
}

/* Whether an instance serves the pool depends on its assignment record alone. Its row in the tables
 * only says where the instance is, not which pool it serves now or whether it may serve at all. */
static void
refresh_pool (struct mt_pools *pools,
              struct pool *pool,
              const char *name,
              const struct mt_tables *tables,
              const struct mt_assign *assign)
{
  g_autoptr (GPtrArray) serving = g_ptr_array_new ();

  for (size_t p = 0; p < tables->n_pools; p++)
    for (size_t i = 0; i < tables->pools[p].n_instances; i++)
      {
        const struct mt_instance *instance = &tables->pools[p].instances[i];

        /* Each data centre serves from its own minions, so that a partition between data centres
         * interrupts no request. */
        if (mt_str_equal (instance->zone, mt_str_from (pools->zone))
            && mt_assign_serves (assign, instance->name.data, name))
          g_ptr_array_add (serving, (gpointer) instance);
      }
  g_mutex_lock (&pool->lock);
  record_epochs (pool, serving, assign);
  mt_dispatch_update (pool->dispatch, (const struct mt_instance *const *) serving->pdata,
                      serving->len);
  g_mutex_unlock (&pool->lock);
}

void
mt_pools_refresh (void *ctx)
{
  struct mt_pools *pools = ctx;
  const struct mt_tables *tables = mt_view_begin (pools->views);
  GHashTableIter iter;
  gpointer name;
  gpointer pool;

  for (size_t i = 0; tables != NULL && i < tables->n_pools; i++)
    get_or_create_pool (pools, tables->pools[i].name.data);
  g_rw_lock_reader_lock (&pools->lock);
  g_hash_table_iter_init (&iter, pools->by_name);
  while (tables != NULL && g_hash_table_iter_next (&iter, &name, &pool))
    refresh_pool (pools, pool, name, tables, mt_view_assign (pools->views));
  g_rw_lock_reader_unlock (&pools->lock);
  mt_view_end ();
}

static void
free_slot (struct mt_slot *slot)
{
  g_cond_clear (&slot->changed);
  g_free (slot);
}

/* The pool's lock is held. */
static void
wait_for_grant (const struct mt_pools *pools, struct mt_slot *slot)
{
  while (slot->state == SLOT_WAITING)
    {
      int64_t remaining_us = mt_dispatch_next_tick_us (slot->pool->dispatch, &slot->ticket)
                             - mt_clock_now (pools->clock);

      if (remaining_us <= 0
          || !g_cond_wait_until (&slot->changed, &slot->pool->lock,
                                 g_get_monotonic_time () + remaining_us))
        mt_dispatch_tick (slot->pool->dispatch);
    }
}

static enum mt_slot_result
to_slot_result (enum mt_refusal refusal)
{
  switch (refusal)
    {
    case MT_REFUSAL_QUEUE_FULL:
      return MT_SLOT_QUEUE_FULL;
    case MT_REFUSAL_DEADLINE:
      return MT_SLOT_TOO_LATE;
    case MT_REFUSAL_RETRY_BUDGET:
      return MT_SLOT_RETRY_BUDGET;
    case MT_REFUSAL_NO_MINION:
    case MT_REFUSAL_NONE:
      break;
    }
  return MT_SLOT_NO_MINION;
}

static struct mt_slot *
make_slot (struct pool *pool, const struct mt_slot_request *request)
{
  struct mt_slot *slot = g_new0 (struct mt_slot, 1);

  slot->pool = pool;
  g_cond_init (&slot->changed);
  slot->ticket.audience = request->audience;
  slot->ticket.deadline_us = request->deadline_us;
  slot->ticket.avoid = request->avoid;
  slot->ticket.is_retry = request->is_retry;
  slot->ticket.owner = slot;
  return slot;
}

enum mt_slot_result
mt_pools_acquire_slot (struct mt_pools *pools,
                       const struct mt_slot_request *request,
                       struct mt_slot **out)
{
  struct pool *pool = find_pool (pools, request->pool);
  struct mt_slot *slot;
  enum mt_slot_result result = MT_SLOT_GRANTED;
  enum mt_dispatch_admission admission;

  if (pool == NULL)
    return MT_SLOT_NO_POOL;
  slot = make_slot (pool, request);
  g_mutex_lock (&pool->lock);
  admission = mt_dispatch_submit (pool->dispatch, &slot->ticket, request->queue_limit);
  slot->waited = admission == MT_ADMISSION_QUEUED;
  if (slot->waited)
    wait_for_grant (pools, slot);
  if (admission == MT_ADMISSION_REFUSED || slot->state == SLOT_EXPIRED)
    result = to_slot_result (slot->ticket.refusal);
  g_mutex_unlock (&pool->lock);
  if (result == MT_SLOT_GRANTED)
    *out = slot;
  else
    free_slot (slot);
  return result;
}

const char *
mt_slot_minion (const struct mt_slot *slot)
{
  return slot->ticket.minion;
}

const char *
mt_slot_address (const struct mt_slot *slot)
{
  return slot->ticket.address;
}

uint64_t
mt_slot_epoch (const struct mt_slot *slot)
{
  const guint64 *epoch;
  uint64_t copy;

  g_mutex_lock (&slot->pool->lock);
  epoch = g_hash_table_lookup (slot->pool->epochs, slot->ticket.minion);
  copy = epoch != NULL ? *epoch : 0;
  g_mutex_unlock (&slot->pool->lock);
  return copy;
}

unsigned
mt_slot_max_connections (const struct mt_slot *slot)
{
  return slot->ticket.connections;
}

bool
mt_slot_has_waited (const struct mt_slot *slot)
{
  return slot->waited;
}

void
mt_slot_set_leaving (struct mt_slot *slot)
{
  g_mutex_lock (&slot->pool->lock);
  mt_dispatch_set_leaving (slot->pool->dispatch, slot->ticket.minion);
  g_mutex_unlock (&slot->pool->lock);
}

void
mt_slot_release (struct mt_slot *slot, enum mt_dispatch_result result)
{
  struct pool *pool = slot->pool;

  g_mutex_lock (&pool->lock);
  mt_dispatch_complete (pool->dispatch, &slot->ticket, result);
  g_mutex_unlock (&pool->lock);
  free_slot (slot);
}

int64_t
mt_pools_backlog_us (struct mt_pools *pools, const char *name)
{
  struct pool *pool = find_pool (pools, name);
  int64_t backlog;

  if (pool == NULL)
    return 0;
  g_mutex_lock (&pool->lock);
  backlog = mt_dispatch_backlog_us (pool->dispatch);
  g_mutex_unlock (&pool->lock);
  return backlog;
}

void
mt_pools_set_shares (struct mt_pools *pools, struct mt_shares *shares)
{
  GHashTableIter iter;
  gpointer value;

  g_rw_lock_writer_lock (&pools->lock);
  pools->share = mt_shares_own_share (shares);
  g_hash_table_iter_init (&iter, pools->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool *pool = value;

      g_mutex_lock (&pool->lock);
      mt_dispatch_set_share (pool->dispatch, pools->share, mt_shares_in_flight_elsewhere, shares);
      g_mutex_unlock (&pool->lock);
    }
  g_rw_lock_writer_unlock (&pools->lock);
}

bool
mt_pools_is_leaving (struct mt_pools *pools, const char *name, const char *minion)
{
  struct pool *pool = find_pool (pools, name);
  bool leaving;

  if (pool == NULL)
    return false;
  g_mutex_lock (&pool->lock);
  leaving = mt_dispatch_is_leaving (pool->dispatch, minion);
  g_mutex_unlock (&pool->lock);
  return leaving;
}

void
mt_pools_rejoin (struct mt_pools *pools, const char *name, const char *minion)
{
  struct pool *pool = find_pool (pools, name);

  if (pool == NULL)
    return;
  g_mutex_lock (&pool->lock);
  mt_dispatch_rejoin (pool->dispatch, minion);
  g_mutex_unlock (&pool->lock);
}

void
mt_pools_each (struct mt_pools *pools, const struct mt_pools_visitor *visitor)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_rw_lock_reader_lock (&pools->lock);
  g_hash_table_iter_init (&iter, pools->by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct pool *pool = value;

      g_mutex_lock (&pool->lock);
      visitor->pool (visitor->ctx, name, mt_dispatch_queue_length (pool->dispatch),
                     mt_dispatch_in_flight (pool->dispatch, NULL));
      mt_dispatch_each (pool->dispatch, visitor->minion, visitor->ctx);
      g_mutex_unlock (&pool->lock);
    }
  g_rw_lock_reader_unlock (&pools->lock);
}

static void
dump_minion (void *ctx, const char *minion, unsigned in_flight)
{
  if (in_flight > 0)
    json_object_set_new (ctx, minion, json_integer (in_flight));
}

/* The pool's lock is held. */
static json_t *
dump_pool (const struct mt_dispatch *dispatch)
{
  json_t *minions = json_object ();

  mt_dispatch_each (dispatch, dump_minion, minions);
  return json_pack ("{si si si si sI so}", "waiting", (int) mt_dispatch_queue_length (dispatch),
                    "in_flight", (int) mt_dispatch_in_flight (dispatch, NULL), "usable_slots",
                    (int) mt_dispatch_usable_slots (dispatch, NULL), "ejected",
                    (int) mt_dispatch_ejected_count (dispatch), "service_us",
                    (json_int_t) mt_dispatch_service_us (dispatch), "minions_in_flight", minions);
}

void
mt_pools_dump (struct mt_pools *pools, json_t *out)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_rw_lock_reader_lock (&pools->lock);
  g_hash_table_iter_init (&iter, pools->by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      struct pool *pool = value;

      g_mutex_lock (&pool->lock);
      json_object_set_new (out, name, dump_pool (pool->dispatch));
      g_mutex_unlock (&pool->lock);
    }
  g_rw_lock_reader_unlock (&pools->lock);
}
