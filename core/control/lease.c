#include "medlartrack/lease.h"

#include "medlartrack/error.h"

#include <string.h>

#define MAX_INTERVAL_US (4 * MT_SECOND) /* between renewals or attempts to acquire */

struct mt_lease
{
  const struct mt_store *store;
  const struct mt_clock *clock;
  char *key;
  char *holder;
  GRand *jitter; /* seeded by the holder's name, so that daemons don't act in step */
  char *id;      /* of the lease in the platform's store, or NULL */
  bool held;
  int64_t renewed_us;
  int64_t next_us;
};

struct mt_lease *
mt_lease_create (const struct mt_store *store,
                 const struct mt_clock *clock,
                 const char *key,
                 const char *holder)
{
  struct mt_lease *lease = g_new0 (struct mt_lease, 1);

  lease->store = store;
  lease->clock = clock;
  lease->key = g_strdup (key);
  lease->holder = g_strdup (holder);
  lease->jitter = g_rand_new_with_seed (g_str_hash (holder));
  return lease;
}

static void
end_lease (struct mt_lease *lease)
{
  if (lease->id != NULL)
    lease->store->ops->lease_end (lease->store->ctx, lease->id);
  g_clear_pointer (&lease->id, g_free);
}

void
mt_lease_destroy (struct mt_lease *lease)
{
  if (lease == NULL)
    return;
  end_lease (lease);
  g_rand_free (lease->jitter);
  g_free (lease->key);
  g_free (lease->holder);
  g_free (lease);
}

static bool
renew (struct mt_lease *lease)
{
  g_autoptr (GError) error = NULL;

  if (lease->store->ops->lease_renew (lease->store->ctx, lease->id, &error))
    return true;
  if (g_error_matches (error, MT_ERROR, MT_ERROR_STALE))
    g_clear_pointer (&lease->id, g_free);
  return false;
}

/* Returns whether an attempt to acquire may succeed. Without this read, each attempt of a standby
 * would cost the platform two writes, which with 42 daemons is two thirds of the writes that the
 * whole fleet may do; a read costs it little. A key with this holder's name and lease comes from an
 * acquire whose answer was lost. */
static bool
may_acquire (struct mt_lease *lease)
{
  struct mt_store_value value = { 0 };
  bool is_free = lease->store->ops->get (lease->store->ctx, lease->key, &value, NULL);

  if (is_free && value.found && value.leased)
    is_free = lease->id != NULL && strcmp (value.data, lease->holder) == 0;
  mt_store_value_clear (&value);
  return is_free;
}

static bool
try_acquire (struct mt_lease *lease)
{
  const struct mt_store *store = lease->store;

  if (!may_acquire (lease) || (lease->id != NULL && !renew (lease)))
    return false;
  if (lease->id == NULL && !store->ops->lease_grant (store->ctx, MT_LEASE_S, &lease->id, NULL))
    return false;
  switch (
      store->ops->acquire (store->ctx, lease->key, mt_str_from (lease->holder), lease->id, NULL))
    {
    case MT_STORE_DONE:
      return true;
    case MT_STORE_CONFLICT:
      end_lease (lease);
      return false;
    default:
      return false;
    }
}

bool
mt_lease_step (struct mt_lease *lease)
{
  int64_t now = mt_clock_now (lease->clock);

  if (lease->held && now - lease->renewed_us > MT_LEASE_S * MT_SECOND)
    {
      g_clear_pointer (&lease->id, g_free);
      lease->held = false;
    }
  if (now < lease->next_us)
    return lease->held;
  lease->next_us
      = now + (int64_t) g_rand_double_range (lease->jitter, MAX_INTERVAL_US / 2.0, MAX_INTERVAL_US);
  if (lease->held ? renew (lease) : try_acquire (lease))
    {
      lease->renewed_us = now;
      lease->held = true;
    }
  else if (lease->id == NULL)
    lease->held = false;
  return lease->held;
}
