#include "registry.h"

#include "address.h"
#include "medlartrack/error.h"

#define LEASE_S           60
#define RENEW_INTERVAL_US (20 * MT_SECOND)
#define RENEWALS_PER_LIST 3 /* renewals per read of the list of daemons */
/* Delay after a failed call, plus a random part of the jitter, so that the daemons don't all return
 * at once after an outage. */
#define RETRY_DELAY_US  (5 * MT_SECOND)
#define RETRY_JITTER_US (5 * MT_SECOND)

struct mt_registry
{
  const struct mt_store *store;
  const struct mt_clock *clock;
  struct mt_peers *peers;
  char *prefix; /* of this daemon's keys; ends in '/' so that NAME does not match NAME2 */
  char *key;
  GThread *thread;
  GMutex lock;
  GCond wake;
  gint held;     /* atomic */
  bool stopping; /* guarded by lock */
  /* Accessed by the thread only. */
  char *lease;
  unsigned renewals;
};

static bool
list_members (struct mt_registry *registry)
{
  GPtrArray *values;
  struct sockaddr_in ignored;

  if (!registry->store->ops->list (registry->store->ctx, MT_REGISTRY_PREFIX, &values, NULL))
    return false;
  for (guint i = 0; i < values->len; i++)
    {
      const struct mt_store_value *value = values->pdata[i];
      const char *address = value->data;

      if (address != NULL && mt_address_parse (address, &ignored, NULL))
        mt_peers_add_addresses (registry->peers, &address, 1);
    }
  g_ptr_array_unref (values);
  return true;
}

/* Renews the lease, or acquires the entry under a new one if the lease expired while this daemon
 * was paused. */
static bool
renew_entry (struct mt_registry *registry)
{
  const struct mt_store_ops *ops = registry->store->ops;
  void *ctx = registry->store->ctx;
  g_autoptr (GError) error = NULL;

  if (registry->lease != NULL && ops->lease_renew (ctx, registry->lease, &error))
    return true;
  if (error != NULL && !g_error_matches (error, MT_ERROR, MT_ERROR_STALE))
    return false;
  g_clear_pointer (&registry->lease, g_free);
  if (!ops->lease_grant (ctx, LEASE_S, &registry->lease, NULL))
    return false;
  return ops->acquire (ctx, registry->key, mt_str_from (mt_peers_address (registry->peers)),
                       registry->lease, NULL)
         == MT_STORE_DONE;
}

static int64_t
renew_and_list (struct mt_registry *registry)
{
  bool ok = registry->renewals % RENEWALS_PER_LIST != 0 || list_members (registry);

  ok = ok && renew_entry (registry);
  g_atomic_int_set (&registry->held, ok);
  if (!ok)
    return RETRY_DELAY_US + g_random_int_range (0, RETRY_JITTER_US);
  registry->renewals++;
  return RENEW_INTERVAL_US;
}

static gpointer
run_registry (gpointer data)
{
  struct mt_registry *registry = data;

  g_mutex_lock (&registry->lock);
  while (!registry->stopping)
    {
      int64_t until;

      g_mutex_unlock (&registry->lock);
      until = renew_and_list (registry) + g_get_monotonic_time ();
      g_mutex_lock (&registry->lock);
      while (!registry->stopping && g_cond_wait_until (&registry->wake, &registry->lock, until))
        ;
    }
  g_mutex_unlock (&registry->lock);
  return NULL;
}

struct mt_registry *
mt_registry_create (const struct mt_store *store,
                    const struct mt_clock *clock,
                    struct mt_peers *peers,
                    const char *name)
{
  struct mt_registry *registry = g_new0 (struct mt_registry, 1);

  registry->store = store;
  registry->clock = clock;
  registry->peers = peers;
  registry->prefix = g_strdup_printf (MT_REGISTRY_PREFIX "%s/", name);
  registry->key = g_strconcat (registry->prefix, "address", NULL);
  g_mutex_init (&registry->lock);
  g_cond_init (&registry->wake);
  registry->thread = g_thread_new ("registry", run_registry, registry);
  return registry;
}

bool
mt_registry_is_held (const struct mt_registry *registry)
{
  return registry != NULL && g_atomic_int_get (&registry->held) != 0;
}

void
mt_registry_destroy (struct mt_registry *registry)
{
  const struct mt_store *store;

  if (registry == NULL)
    return;
  store = registry->store;
  g_mutex_lock (&registry->lock);
  registry->stopping = true;
  g_cond_signal (&registry->wake);
  g_mutex_unlock (&registry->lock);
  g_thread_join (registry->thread);
  if (registry->lease != NULL)
    {
      store->ops->remove (store->ctx, registry->prefix, NULL);
      store->ops->lease_end (store->ctx, registry->lease);
    }
  g_mutex_clear (&registry->lock);
  g_cond_clear (&registry->wake);
  g_free (registry->lease);
  g_free (registry->prefix);
  g_free (registry->key);
  g_free (registry);
}
