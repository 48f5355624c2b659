#include "fake_store.h"

#include "medlartrack/error.h"

#include <string.h>

struct entry
{
  char *data;
  size_t len;
  uint64_t index;
  char *lease; /* id of the lease that holds the key, or NULL */
};

struct lease
{
  int64_t ttl_us;
  int64_t expires_us;
};

/* A write that has not taken effect yet. */
struct write
{
  char *key;
  char *data;
  size_t len;
  uint64_t index; /* of a put: the entry's expected index; 0: no entry */
  char *lease;    /* of an acquire; else NULL */
  bool is_removal;
};

struct fake_store
{
  const struct mt_clock *clock;
  struct mt_store store;
  void (*hook) (void *ctx);
  void *hook_ctx;
  GMutex lock;        /* guards all below */
  GTree *entries;     /* key -> struct entry */
  GHashTable *leases; /* id -> struct lease */
  GQueue delayed;     /* of struct write, in the order sent */
  uint64_t index;
  uint64_t next_lease;
  uint64_t reads;
  uint64_t writes;
  bool down;
  enum fake_fault next_fault;
  unsigned next_times;
  bool next_writes_only;
  GRand *rand;
  unsigned fault_permille; /* chance of a random fault in each call */
};

static void
free_entry (gpointer data)
{
  struct entry *entry = data;

  g_free (entry->data);
  g_free (entry->lease);
  g_free (entry);
}

static void
free_write (gpointer data)
{
  struct write *write = data;

  g_free (write->key);
  g_free (write->data);
  g_free (write->lease);
  g_free (write);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static gboolean
release_if_held (gpointer key, gpointer value, gpointer id)
{
  struct entry *entry = value;

  if (g_strcmp0 (entry->lease, id) == 0)
    g_clear_pointer (&entry->lease, g_free);
  return FALSE;
}

static gboolean
remove_if_expired (gpointer id, gpointer value, gpointer data)
{
  struct fake_store *fake = data;
  const struct lease *lease = value;

  if (lease->expires_us > mt_clock_now (fake->clock))
    return FALSE;
  g_tree_foreach (fake->entries, release_if_held, id);
  return TRUE;
}

static enum fake_fault
draw_fault (struct fake_store *fake, bool is_write)
{
  if (fake->down)
    return FAKE_FAULT_FAIL;
  if (fake->next_times > 0 && (is_write || !fake->next_writes_only))
    {
      fake->next_times--;
      return fake->next_fault;
    }
  if (fake->fault_permille > 0
      && (unsigned) g_rand_int_range (fake->rand, 0, 1000) < fake->fault_permille)
    return (enum fake_fault) g_rand_int_range (fake->rand, FAKE_FAULT_FAIL, FAKE_FAULT_LAST);
  return FAKE_FAULT_NONE;
}

/* Counts the call, takes the lock and returns the call's fault. end_call releases the lock. */
static enum fake_fault
begin_call (struct fake_store *fake, bool is_write)
{
  if (fake->hook != NULL)
    fake->hook (fake->hook_ctx);
  g_mutex_lock (&fake->lock);
  if (is_write)
    fake->writes++;
  else
    fake->reads++;
  g_hash_table_foreach_remove (fake->leases, remove_if_expired, fake);
  return draw_fault (fake, is_write);
}

static bool
end_call (struct fake_store *fake, enum fake_fault fault, GError **error)
{
  g_mutex_unlock (&fake->lock);
  if (fault == FAKE_FAULT_NONE)
    return true;
  g_set_error_literal (error, MT_ERROR, MT_ERROR_UNAVAILABLE, "fault injected by the test");
  return false;
}

static void
copy_value (const char *key, const struct entry *entry, struct mt_store_value *out)
{
  *out = (struct mt_store_value){ 0 };
  if (entry == NULL)
    return;
  out->found = true;
  out->data = g_malloc0 (entry->len + 1);
  memcpy (out->data, entry->data, entry->len);
  out->len = entry->len;
  out->index = entry->index;
  out->leased = entry->lease != NULL;
  out->key = g_strdup (key);
}

static bool
fake_get (void *ctx, const char *key, struct mt_store_value *out, GError **error)
{
  struct fake_store *fake = ctx;
  enum fake_fault fault = begin_call (fake, false);

  *out = (struct mt_store_value){ 0 };
  if (fault == FAKE_FAULT_NONE)
    copy_value (key, g_tree_lookup (fake->entries, key), out);
  return end_call (fake, fault, error);
}

static bool
fake_watch (void *ctx,
            const char *key,
            uint64_t index,
            int64_t wait_us,
            struct mt_store_value *out,
            GError **error)
{
  return fake_get (ctx, key, out, error);
}

struct walk
{
  const char *prefix;
  GPtrArray *values; /* of struct mt_store_value, or NULL */
  GPtrArray *keys;   /* of char *, borrowed, or NULL */
  unsigned count;
};

static gboolean
collect (gpointer key, gpointer value, gpointer data)
{
  struct walk *walk = data;
  struct mt_store_value *copy;

  if (!g_str_has_prefix (key, walk->prefix))
    return FALSE;
  walk->count++;
  if (walk->keys != NULL)
    g_ptr_array_add (walk->keys, key);
  if (walk->values == NULL)
    return FALSE;
  copy = g_new0 (struct mt_store_value, 1);
  copy_value (key, value, copy);
  g_ptr_array_add (walk->values, copy);
  return FALSE;
}

static bool
fake_list (void *ctx, const char *prefix, GPtrArray **out, GError **error)
{
  struct fake_store *fake = ctx;
  enum fake_fault fault = begin_call (fake, false);
  struct walk walk = { .prefix = prefix };

  *out = NULL;
  if (fault == FAKE_FAULT_NONE)
    {
      *out = g_ptr_array_new_with_free_func (mt_store_value_free);
      walk.values = *out;
      g_tree_foreach (fake->entries, collect, &walk);
    }
  return end_call (fake, fault, error);
}

static void
store_entry (struct fake_store *fake, const struct write *write)
{
  struct entry *entry = g_new0 (struct entry, 1);
  const struct entry *old = g_tree_lookup (fake->entries, write->key);

  entry->data = g_memdup2 (write->data, write->len);
  entry->len = write->len;
  entry->index = ++fake->index;
  entry->lease = g_strdup (write->lease != NULL ? write->lease : old != NULL ? old->lease : NULL);
  g_tree_replace (fake->entries, g_strdup (write->key), entry);
}

static void
remove_prefix (struct fake_store *fake, const char *prefix)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  struct walk walk = { .prefix = prefix, .keys = keys };

  g_tree_foreach (fake->entries, collect, &walk);
  for (guint i = 0; i < keys->len; i++)
    g_tree_remove (fake->entries, keys->pdata[i]);
  fake->index++;
}

static bool
may_acquire (struct fake_store *fake, const struct entry *entry, const char *lease)
{
  if (!g_hash_table_contains (fake->leases, lease))
    return false;
  return entry == NULL || entry->lease == NULL || strcmp (entry->lease, lease) == 0;
}

static enum mt_store_write_result
apply_write (struct fake_store *fake, const struct write *write)
{
  const struct entry *entry = g_tree_lookup (fake->entries, write->key);

  if (write->is_removal)
    {
      remove_prefix (fake, write->key);
      return MT_STORE_DONE;
    }
  if (write->lease != NULL && !may_acquire (fake, entry, write->lease))
    return MT_STORE_CONFLICT;
  if (write->lease == NULL && write->index != (entry != NULL ? entry->index : 0))
    return MT_STORE_CONFLICT;
  store_entry (fake, write);
  return MT_STORE_DONE;
}

/* Takes ownership of the write. */
static enum mt_store_write_result
do_write (struct fake_store *fake, struct write *write, GError **error)
{
  enum fake_fault fault = begin_call (fake, true);
  enum mt_store_write_result result = MT_STORE_UNKNOWN;

  if (fault == FAKE_FAULT_NONE)
    result = apply_write (fake, write);
  else if (fault == FAKE_FAULT_FAIL)
    result = MT_STORE_FAILED;
  else if (fault == FAKE_FAULT_LOSE_ANSWER)
    apply_write (fake, write);
  else if (fault == FAKE_FAULT_DELAY)
    g_queue_push_tail (&fake->delayed, g_steal_pointer (&write));
  if (write != NULL)
    free_write (write);
  end_call (fake, fault, error);
  return result;
}

static struct write *
make_write (const char *key, struct mt_str value)
{
  struct write *write = g_new0 (struct write, 1);

  write->key = g_strdup (key);
  write->data = value.len > 0 ? g_memdup2 (value.data, value.len) : NULL;
  write->len = value.len;
  return write;
}

static enum mt_store_write_result
fake_put (void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error)
{
  struct write *write = make_write (key, value);

  write->index = index;
  return do_write (ctx, write, error);
}

static enum mt_store_write_result
fake_remove (void *ctx, const char *prefix, GError **error)
{
  struct write *write = make_write (prefix, (struct mt_str){ 0 });

  write->is_removal = true;
  return do_write (ctx, write, error);
}

static bool
fake_lease_grant (void *ctx, unsigned ttl_s, char **id, GError **error)
{
  struct fake_store *fake = ctx;
  enum fake_fault fault = begin_call (fake, true);
  struct lease *lease;

  *id = NULL;
  if (fault == FAKE_FAULT_NONE)
    {
      lease = g_new0 (struct lease, 1);
      lease->ttl_us = ttl_s * MT_SECOND;
      lease->expires_us = mt_clock_now (fake->clock) + lease->ttl_us;
      *id = g_strdup_printf ("lease-%" G_GUINT64_FORMAT, ++fake->next_lease);
      g_hash_table_insert (fake->leases, g_strdup (*id), lease);
    }
  return end_call (fake, fault, error);
}

static bool
fake_lease_renew (void *ctx, const char *id, GError **error)
{
  struct fake_store *fake = ctx;
  enum fake_fault fault = begin_call (fake, true);
  struct lease *lease = g_hash_table_lookup (fake->leases, id);

  if (fault == FAKE_FAULT_NONE && lease != NULL)
    lease->expires_us = mt_clock_now (fake->clock) + lease->ttl_us;
  if (!end_call (fake, fault, error))
    return false;
  if (lease == NULL)
    g_set_error_literal (error, MT_ERROR, MT_ERROR_STALE, "the lease has lapsed; take a new one");
  return lease != NULL;
}

static void
fake_lease_end (void *ctx, const char *id)
{
  struct fake_store *fake = ctx;
  enum fake_fault fault = begin_call (fake, true);

  if (fault == FAKE_FAULT_NONE || fault == FAKE_FAULT_LOSE_ANSWER)
    {
      g_tree_foreach (fake->entries, release_if_held, (gpointer) id);
      g_hash_table_remove (fake->leases, id);
    }
  end_call (fake, fault, NULL);
}

static enum mt_store_write_result
fake_acquire (void *ctx, const char *key, struct mt_str value, const char *lease, GError **error)
{
  struct write *write = make_write (key, value);

  write->lease = g_strdup (lease);
  return do_write (ctx, write, error);
}

static const struct mt_store_ops fake_ops = {
  .name = "fake",
  .description = "in-memory store with faults on request",
  .get = fake_get,
  .watch = fake_watch,
  .list = fake_list,
  .put = fake_put,
  .remove = fake_remove,
  .lease_grant = fake_lease_grant,
  .lease_renew = fake_lease_renew,
  .lease_end = fake_lease_end,
  .acquire = fake_acquire,
};

struct fake_store *
fake_store_create (const struct mt_clock *clock)
{
  struct fake_store *fake = g_new0 (struct fake_store, 1);

  fake->clock = clock;
  fake->store.ops = &fake_ops;
  fake->store.ctx = fake;
  g_mutex_init (&fake->lock);
  fake->entries = g_tree_new_full (compare_keys, NULL, g_free, free_entry);
  fake->leases = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fake->rand = g_rand_new_with_seed (1);
  return fake;
}

void
fake_store_destroy (struct fake_store *fake)
{
  g_tree_destroy (fake->entries);
  g_hash_table_destroy (fake->leases);
  g_queue_clear_full (&fake->delayed, free_write);
  g_rand_free (fake->rand);
  g_mutex_clear (&fake->lock);
  g_free (fake);
}

const struct mt_store *
fake_store_store (struct fake_store *fake)
{
  return &fake->store;
}

void
fake_store_set_down (struct fake_store *fake, bool down)
{
  g_mutex_lock (&fake->lock);
  fake->down = down;
  g_mutex_unlock (&fake->lock);
}

void
fake_store_fault_next (struct fake_store *fake,
                       enum fake_fault fault,
                       unsigned times,
                       bool writes_only)
{
  g_mutex_lock (&fake->lock);
  fake->next_fault = fault;
  fake->next_times = times;
  fake->next_writes_only = writes_only;
  g_mutex_unlock (&fake->lock);
}

void
fake_store_fault_by_seed (struct fake_store *fake, uint64_t seed, unsigned permille)
{
  g_mutex_lock (&fake->lock);
  g_rand_set_seed (fake->rand, (guint32) (seed ^ (seed >> 32)));
  fake->fault_permille = permille;
  g_mutex_unlock (&fake->lock);
}

void
fake_store_deliver_delayed (struct fake_store *fake)
{
  struct write *write;

  g_mutex_lock (&fake->lock);
  while ((write = g_queue_pop_head (&fake->delayed)) != NULL)
    {
      apply_write (fake, write);
      free_write (write);
    }
  g_mutex_unlock (&fake->lock);
}

void
fake_store_set_call_hook (struct fake_store *fake, void (*hook) (void *ctx), void *ctx)
{
  fake->hook = hook;
  fake->hook_ctx = ctx;
}

void
fake_store_force (struct fake_store *fake, const char *key, const char *data)
{
  struct write write = { .key = (char *) key, .data = (char *) data };

  g_mutex_lock (&fake->lock);
  if (data == NULL)
    g_tree_remove (fake->entries, key);
  else
    {
      write.len = strlen (data);
      store_entry (fake, &write);
    }
  g_mutex_unlock (&fake->lock);
}

uint64_t
fake_store_reads (struct fake_store *fake)
{
  uint64_t n;

  g_mutex_lock (&fake->lock);
  n = fake->reads;
  g_mutex_unlock (&fake->lock);
  return n;
}

uint64_t
fake_store_writes (struct fake_store *fake)
{
  uint64_t n;

  g_mutex_lock (&fake->lock);
  n = fake->writes;
  g_mutex_unlock (&fake->lock);
  return n;
}

unsigned
fake_store_count (struct fake_store *fake, const char *prefix)
{
  struct walk walk = { .prefix = prefix };

  g_mutex_lock (&fake->lock);
  g_tree_foreach (fake->entries, collect, &walk);
  g_mutex_unlock (&fake->lock);
  return walk.count;
}
