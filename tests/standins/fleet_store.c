#include "fleet_store.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS        20
#define MAX_PAGE_ITEMS 200
#define UNANSWERED_S   3 /* an unanswered exchange gets status 500 after this time */
#define SLOW_MS        700
#define MAX_ENTRIES    32
#define VALUE_BYTES    (1024 * 1024)

struct item
{
  char *key;
  char *value;
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct change
{
  char *key;
  char *value; /* NULL: removed */
  int64_t revision;
  int64_t created;
  int64_t lease;
};

struct watch
{
  struct mt_exchange *exchange;
  char *prefix;
  int64_t after_revision;
  int64_t deadline_ms; /* answered without events at this time */
};

struct late_answer
{
  struct mt_exchange *exchange;
  unsigned status;
  json_t *body;
  int64_t due_ms;
};

struct fleet_store
{
  struct event_base *base;
  struct event *tick;
  GHashTable *items;
  GArray *changes; /* struct change, oldest first */
  int64_t revision;
  int64_t compacted_revision; /* watches that start before it get 410 */
  GHashTable *leases;         /* id -> int64_t[3]: id, TTL in ms, expiry time in ms */
  int64_t next_lease;
  GQueue watches;
  GQueue late;       /* struct late_answer, by time */
  GQueue unanswered; /* struct watch without prefix: exchanges held back, by deadline */
  char *mode;
  size_t value_bytes; /* longest value that is accepted */
  GQueue faults;      /* of the next calls, as GINT_TO_POINTER */
  GQueue held_calls;  /* of struct mt_exchange, to be handled late */
  unsigned calls;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
fleet_answer (struct mt_exchange *exchange, unsigned status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  mt_exchange_answer (exchange, status, "application/json", mt_str_from (text), 0);
  free (text);
  json_decref (body);
}

static void
free_item (void *data)
{
  struct item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static void
set_item (struct fleet_store *s, const char *key, const char *value, int64_t lease)
{
  struct item *item = g_hash_table_lookup (s->items, key);
  struct change change = { .key = g_strdup (key), .value = g_strdup (value), .lease = lease };

  s->revision++;
  change.revision = s->revision;
  change.created = item != NULL ? item->created : s->revision;
  g_array_append_val (s->changes, change);
  if (value == NULL)
    {
      g_hash_table_remove (s->items, key);
      return;
    }
  item = g_new0 (struct item, 1);
  *item = (struct item){ g_strdup (key), g_strdup (value), s->revision, change.created, lease };
  g_hash_table_replace (s->items, item->key, item);
}

static json_t *
encode_base64 (const char *value)
{
  g_autofree char *text = g_base64_encode ((const guchar *) value, strlen (value));

  return json_string (text);
}

static json_t *
item_to_json (const struct item *item)
{
  return json_pack ("{ss so sI sI sI}", "key", item->key, "value", encode_base64 (item->value),
                    "revision", item->revision, "created-rev", item->created, "lease", item->lease);
}

/* ---- reads ---- */

static void
handle_get (struct fleet_store *s, struct mt_exchange *exchange)
{
  const char *key = mt_exchange_query (exchange, "key");
  const struct item *item = key != NULL ? g_hash_table_lookup (s->items, key) : NULL;
  json_t *body = item != NULL ? item_to_json (item) : json_object ();

  json_object_set_new (body, "at-rev", json_integer (s->revision));
  fleet_answer (exchange, item != NULL ? 200 : 404, body);
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static void
handle_range (struct fleet_store *s, struct mt_exchange *exchange)
{
  const char *prefix = mt_exchange_query (exchange, "prefix");
  const char *after = mt_exchange_query (exchange, "after");
  guint n = 0;
  const char **keys = (const char **) g_hash_table_get_keys_as_array (s->items, &n);
  json_t *list = json_array ();
  bool more = false;

  qsort (keys, n, sizeof *keys, compare_keys);
  for (guint i = 0; i < n && !more; i++)
    {
      if (!g_str_has_prefix (keys[i], prefix != NULL ? prefix : "")
          || (after != NULL && strcmp (keys[i], after) <= 0))
        continue;
      more = json_array_size (list) >= MAX_PAGE_ITEMS;
      if (!more)
        json_array_append_new (list, item_to_json (g_hash_table_lookup (s->items, keys[i])));
    }
  g_free (keys);
  fleet_answer (exchange, 200,
                json_pack ("{so sb sI}", "items", list, "has-more", more, "at-rev", s->revision));
}

static json_t *
changes_since (const struct fleet_store *s, const char *prefix, int64_t after)
{
  json_t *list = json_array ();

  for (guint i = 0; i < s->changes->len; i++)
    {
      const struct change *c = &g_array_index (s->changes, struct change, i);

      if (c->revision <= after || !g_str_has_prefix (c->key, prefix))
        continue;
      if (c->value == NULL)
        json_array_append_new (
            list, json_pack ("{ss sI sb}", "key", c->key, "revision", c->revision, "deleted", 1));
      else
        json_array_append_new (list, json_pack ("{ss so sI sI sI}", "key", c->key, "value",
                                                encode_base64 (c->value), "revision", c->revision,
                                                "created-rev", c->created, "lease", c->lease));
    }
  return list;
}

static void
free_watch (void *data)
{
  struct watch *w = data;

  g_free (w->prefix);
  g_free (w);
}

static bool
answer_watch (struct fleet_store *s, const struct watch *w)
{
  json_t *events = changes_since (s, w->prefix, w->after_revision);

  if (json_array_size (events) == 0 && now_ms () < w->deadline_ms)
    {
      json_decref (events);
      return false;
    }
  fleet_answer (w->exchange, 200, json_pack ("{so sI}", "events", events, "at-rev", s->revision));
  return true;
}

static void
handle_watch (struct fleet_store *s, struct mt_exchange *exchange)
{
  const char *prefix = mt_exchange_query (exchange, "prefix");
  const char *after = mt_exchange_query (exchange, "after");
  const char *wait = mt_exchange_query (exchange, "wait-ms");
  struct watch *w;

  if (after != NULL && atoll (after) < s->compacted_revision)
    {
      fleet_answer (exchange, 410, json_object ());
      return;
    }
  w = g_new0 (struct watch, 1);
  *w = (struct watch){ exchange, g_strdup (prefix != NULL ? prefix : ""),
                       after != NULL ? atoll (after) : 0,
                       now_ms () + (wait != NULL ? atoll (wait) : 0) };
  if (strcmp (s->mode, "mute") != 0 && answer_watch (s, w))
    free_watch (w);
  else
    g_queue_push_tail (&s->watches, w);
}

static void
answer_watches (struct fleet_store *s)
{
  GList *next;

  if (strcmp (s->mode, "mute") == 0)
    return;
  for (GList *l = s->watches.head; l != NULL; l = next)
    {
      next = l->next;
      if (!answer_watch (s, l->data))
        continue;
      free_watch (l->data);
      g_queue_delete_link (&s->watches, l);
    }
}

/* ---- writes ---- */

static json_t *
check_expected (struct fleet_store *s, const json_t *expected, bool *any_conflict)
{
  json_t *list = json_array ();
  size_t i;
  const json_t *row;

  json_array_foreach (expected, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));
    const struct item *item = g_hash_table_lookup (s->items, key);
    int64_t found = item != NULL ? item->revision : 0;

    *any_conflict |= found != json_integer_value (json_object_get (row, "revision"));
    json_array_append_new (list, item != NULL ? item_to_json (item)
                                              : json_pack ("{ss sI}", "key", key, "revision", 0LL));
  }
  return list;
}

static bool
is_lease_valid (const struct fleet_store *s, int64_t lease)
{
  return lease == 0 || g_hash_table_contains (s->leases, &lease);
}

/* Returns whether the store takes the transaction as it is. */
static bool
is_acceptable (const struct fleet_store *s, const json_t *root)
{
  const json_t *puts = json_object_get (root, "puts");
  size_t entries = json_array_size (puts) + json_array_size (json_object_get (root, "expected"))
                   + json_array_size (json_object_get (root, "remove"));
  size_t i;
  const json_t *row;

  json_array_foreach (puts, i, row)
  {
    const char *value = json_string_value (json_object_get (row, "value"));

    if (value != NULL && strlen (value) / 4 * 3 > s->value_bytes)
      return false;
  }
  return entries <= MAX_ENTRIES;
}

/* Applies a transaction of expected revisions, puts and removals, or nothing of it. Sets the HTTP
 * status: 200, 412 (a revision differs) or 404 (a lease is unknown). Returns the answer's body. */
static json_t *
apply_txn (struct fleet_store *s, const json_t *root, unsigned *status)
{
  bool any_conflict = false;
  json_t *found = check_expected (s, json_object_get (root, "expected"), &any_conflict);
  const json_t *puts = json_object_get (root, "puts");
  size_t i;
  const json_t *row;

  *status = any_conflict ? 412 : 200;
  if (any_conflict)
    return json_pack ("{so}", "items", found);
  json_decref (found);
  json_array_foreach (
      puts, i,
      row) if (!is_lease_valid (s, json_integer_value (json_object_get (row, "lease")))) *status
      = 404;
  if (*status != 200)
    return json_object ();
  json_array_foreach (puts, i, row)
  {
    gsize len = 0;
    g_autofree guchar *bytes
        = g_base64_decode (json_string_value (json_object_get (row, "value")), &len);
    g_autofree char *text = g_strndup ((const char *) bytes, len);

    set_item (s, json_string_value (json_object_get (row, "key")), text,
              json_integer_value (json_object_get (row, "lease")));
  }
  json_array_foreach (json_object_get (root, "remove"), i,
                      row) if (g_hash_table_contains (s->items, json_string_value (row)))
      set_item (s, json_string_value (row), NULL, 0);
  return json_pack ("{sI}", "revision", s->revision);
}

static void
leave_unanswered (struct fleet_store *s, struct mt_exchange *exchange)
{
  struct watch *held = g_new0 (struct watch, 1);

  *held = (struct watch){ .exchange = exchange, .deadline_ms = now_ms () + UNANSWERED_S * 1000 };
  g_queue_push_tail (&s->unanswered, held);
}

static void
answer_late (struct fleet_store *s, struct mt_exchange *exchange, unsigned status, json_t *body)
{
  struct late_answer *late = g_new0 (struct late_answer, 1);

  *late = (struct late_answer){ exchange, status, body, now_ms () + SLOW_MS };
  g_queue_push_tail (&s->late, late);
}

static void
send_late_answers (struct fleet_store *s)
{
  struct late_answer *late;

  while ((late = g_queue_peek_head (&s->late)) != NULL && late->due_ms <= now_ms ())
    {
      g_queue_pop_head (&s->late);
      fleet_answer (late->exchange, late->status, late->body);
      g_free (late);
    }
}

static void
handle_txn (struct fleet_store *s, struct mt_exchange *exchange)
{
  struct mt_str body = mt_exchange_body (exchange);
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  unsigned status = 400;
  json_t *answer
      = root != NULL && is_acceptable (s, root) ? apply_txn (s, root, &status) : json_object ();

  json_decref (root);
  if (strcmp (s->mode, "slow") == 0)
    answer_late (s, exchange, status, answer);
  else if (strcmp (s->mode, "lost") != 0)
    fleet_answer (exchange, status, answer);
  else
    {
      leave_unanswered (s, exchange);
      json_decref (answer);
    }
  answer_watches (s);
}

/* Removes the lease and the items held under it. */
static void
end_lease (struct fleet_store *s, int64_t id)
{
  GHashTableIter it;
  struct item *item;
  g_autoptr (GPtrArray) gone = g_ptr_array_new_with_free_func (g_free);

  g_hash_table_remove (s->leases, &id);
  g_hash_table_iter_init (&it, s->items);
  while (g_hash_table_iter_next (&it, NULL, (void **) &item))
    if (item->lease == id)
      g_ptr_array_add (gone, g_strdup (item->key));
  for (guint i = 0; i < gone->len; i++)
    set_item (s, gone->pdata[i], NULL, 0);
}

static void
handle_keep (struct fleet_store *s, struct mt_exchange *exchange, int64_t id)
{
  int64_t *lease = g_hash_table_lookup (s->leases, &id);

  if (lease == NULL)
    {
      fleet_answer (exchange, 404, json_object ());
      return;
    }
  lease[2] = now_ms () + lease[1];
  fleet_answer (exchange, 200, json_pack ("{sI}", "ttl-ms", lease[1]));
}

static void
handle_grant (struct fleet_store *s, struct mt_exchange *exchange)
{
  struct mt_str body = mt_exchange_body (exchange);
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  int64_t *lease = g_new (int64_t, 3);

  lease[0] = ++s->next_lease;
  lease[1] = json_integer_value (json_object_get (root, "ttl-ms"));
  lease[2] = now_ms () + lease[1];
  json_decref (root);
  g_hash_table_insert (s->leases, &lease[0], lease);
  fleet_answer (exchange, 200, json_pack ("{sI sI}", "lease", lease[0], "ttl-ms", lease[1]));
}

/* ---- calls ---- */

static bool
is_poll (const struct mt_exchange *exchange)
{
  return strcmp (mt_exchange_path (exchange), "/kv-watch") == 0
         && g_strcmp0 (mt_exchange_query (exchange, "wait-ms"), "0") == 0;
}

static void
handle_key_call (struct fleet_store *s, struct mt_exchange *exchange)
{
  if (strcmp (mt_exchange_path (exchange), "/kv-key") == 0)
    handle_get (s, exchange);
  else if (is_poll (exchange))
    handle_watch (s, exchange);
  else
    handle_txn (s, exchange);
}

static void
handle_with_fault (struct fleet_store *s, struct mt_exchange *exchange)
{
  enum fleet_fault fault = (enum fleet_fault) GPOINTER_TO_INT (g_queue_pop_head (&s->faults));

  s->calls++;
  switch (fault)
    {
    case FLEET_FAULT_LOSE_ANSWER:
      if (strcmp (mt_exchange_path (exchange), "/kv-txn") == 0)
        {
          fleet_store_set_mode (s, "lost");
          handle_txn (s, exchange);
          fleet_store_set_mode (s, "up");
          return;
        }
      leave_unanswered (s, exchange);
      return;
    case FLEET_FAULT_LOSE_REQUEST:
      leave_unanswered (s, exchange);
      return;
    case FLEET_FAULT_BUSY:
      fleet_answer (exchange, 503, json_object ());
      return;
    case FLEET_FAULT_LATE:
      g_queue_push_tail (&s->held_calls, exchange);
      return;
    default:
      handle_key_call (s, exchange);
    }
}

void
fleet_store_fault_next (struct fleet_store *s, const enum fleet_fault *faults, size_t n)
{
  g_queue_clear (&s->faults);
  for (size_t i = 0; i < n; i++)
    g_queue_push_tail (&s->faults, GINT_TO_POINTER (faults[i]));
}

void
fleet_store_release_late (struct fleet_store *s)
{
  while (!g_queue_is_empty (&s->held_calls))
    handle_key_call (s, g_queue_pop_head (&s->held_calls));
}

unsigned
fleet_store_count_puts (const struct fleet_store *s, const char *value)
{
  unsigned n = 0;

  for (guint i = 0; i < s->changes->len; i++)
    n += g_strcmp0 (g_array_index (s->changes, struct change, i).value, value) == 0;
  return n;
}

int64_t
fleet_store_revision (const struct fleet_store *s, const char *key)
{
  const struct item *item = g_hash_table_lookup (s->items, key);

  return item != NULL ? item->revision : 0;
}

int64_t
fleet_store_lease (const struct fleet_store *s, const char *key)
{
  const struct item *item = g_hash_table_lookup (s->items, key);

  return item != NULL ? item->lease : 0;
}

unsigned
fleet_store_calls (const struct fleet_store *s)
{
  return s->calls;
}

unsigned
fleet_store_watches (const struct fleet_store *s)
{
  return s->watches.length;
}

void
fleet_store_handle (struct fleet_store *s, struct mt_exchange *exchange)
{
  const char *path = mt_exchange_path (exchange);

  if (strcmp (s->mode, "busy") == 0)
    fleet_answer (exchange, 503, json_object ());
  else if (strcmp (s->mode, "silent") == 0)
    leave_unanswered (s, exchange);
  else if (strcmp (path, "/kv-key") == 0 || strcmp (path, "/kv-txn") == 0 || is_poll (exchange))
    handle_with_fault (s, exchange);
  else if (strcmp (path, "/kv-range") == 0)
    handle_range (s, exchange);
  else if (strcmp (path, "/kv-watch") == 0)
    handle_watch (s, exchange);
  else if (strcmp (path, "/kv-lease") == 0)
    handle_grant (s, exchange);
  else if (g_str_has_prefix (path, "/kv-keep/"))
    handle_keep (s, exchange, atoll (path + strlen ("/kv-keep/")));
  else if (g_str_has_prefix (path, "/kv-lease-end/"))
    {
      end_lease (s, atoll (path + strlen ("/kv-lease-end/")));
      fleet_answer (exchange, 200, json_object ());
      answer_watches (s);
    }
  else
    fleet_answer (exchange, 404, json_object ());
}

static void
end_unanswered (struct fleet_store *s)
{
  while (!g_queue_is_empty (&s->unanswered)
         && ((struct watch *) g_queue_peek_head (&s->unanswered))->deadline_ms < now_ms ())
    {
      struct watch *w = g_queue_pop_head (&s->unanswered);

      fleet_answer (w->exchange, 500, json_object ());
      free_watch (w);
    }
}

/* While the store is unavailable, expiry times move on, so that no lease expires. */
static void
expire_leases (struct fleet_store *s)
{
  GHashTableIter it;
  int64_t *lease;
  int64_t expired_id = 0;

  if (strcmp (s->mode, "busy") == 0 || strcmp (s->mode, "silent") == 0)
    {
      g_hash_table_iter_init (&it, s->leases);
      while (g_hash_table_iter_next (&it, NULL, (void **) &lease))
        lease[2] += TICK_MS;
      return;
    }
  g_hash_table_iter_init (&it, s->leases);
  while (g_hash_table_iter_next (&it, NULL, (void **) &lease))
    if (lease[2] < now_ms ())
      expired_id = lease[0];
  if (expired_id != 0)
    end_lease (s, expired_id);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  end_unanswered (ctx);
  send_late_answers (ctx);
  expire_leases (ctx);
  answer_watches (ctx);
}

struct fleet_store *
fleet_store_create (struct event_base *base)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct fleet_store *s = g_new0 (struct fleet_store, 1);

  s->base = base;
  s->revision = 1;
  s->mode = g_strdup ("up");
  s->value_bytes = VALUE_BYTES;
  s->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  s->changes = g_array_new (FALSE, FALSE, sizeof (struct change));
  s->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  s->tick = event_new (base, -1, EV_PERSIST, on_tick, s);
  event_add (s->tick, &tick);
  return s;
}

static void
free_change (void *data)
{
  struct change *change = data;

  g_free (change->key);
  g_free (change->value);
}

void
fleet_store_destroy (struct fleet_store *s)
{
  event_free (s->tick);
  g_hash_table_unref (s->items);
  g_array_set_clear_func (s->changes, free_change);
  g_array_unref (s->changes);
  g_hash_table_unref (s->leases);
  g_queue_clear_full (&s->watches, free_watch);
  g_queue_clear_full (&s->unanswered, free_watch);
  g_queue_clear (&s->faults);
  g_queue_clear (&s->held_calls);
  g_queue_clear_full (&s->late, g_free);
  g_free (s->mode);
  g_free (s);
}

void
fleet_store_put (struct fleet_store *s, const char *key, const char *value)
{
  set_item (s, key, value, 0);
  answer_watches (s);
}

char *
fleet_store_get (const struct fleet_store *s, const char *key)
{
  const struct item *item = g_hash_table_lookup (s->items, key);

  return item != NULL ? g_strdup (item->value) : NULL;
}

void
fleet_store_set_value_bytes (struct fleet_store *s, size_t bytes)
{
  s->value_bytes = bytes;
}

void
fleet_store_set_mode (struct fleet_store *s, const char *mode)
{
  g_free (s->mode);
  s->mode = g_strdup (mode);
}

void
fleet_store_compact (struct fleet_store *s)
{
  s->compacted_revision = s->revision;
  for (GList *l = s->watches.head; l != NULL; l = l->next)
    {
      fleet_answer (((struct watch *) l->data)->exchange, 410, json_object ());
      free_watch (l->data);
    }
  g_queue_clear (&s->watches);
}

unsigned
fleet_store_count (const struct fleet_store *s, const char *prefix)
{
  GHashTableIter it;
  const char *key;
  unsigned n = 0;

  g_hash_table_iter_init (&it, s->items);
  while (g_hash_table_iter_next (&it, (void **) &key, NULL))
    n += g_str_has_prefix (key, prefix);
  return n;
}
