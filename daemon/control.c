#include "control.h"

#include "gather.h"
#include "instances.h"
#include "medlartrack/lease.h"
#include "medlartrack/log.h"
#include "platform.h"

#include <string.h>

#define WATCH_TIMEOUT_US        (5 * MT_SECOND)
#define RETRY_DELAY_US          (1 * MT_SECOND)
#define TICK_INTERVAL_US        (1 * MT_SECOND)
#define MAX_REBOOT_ANSWER_BYTES (64UL * 1024)

struct mt_control
{
  struct mt_control_options options;
  struct mt_http_client *client;
  struct mt_platform *platform;
  const struct mt_store *store;
  /* A client for watches alone. A kept connection keeps the timeout of the call that opened it: a
   * watch on a connection that an ordinary call opened would end early, and look like an
   * unreachable platform. */
  struct mt_http_client *watch_client;
  struct mt_platform *watch_platform;
  const struct mt_store *watch_store;
  char *key; /* of the assignment document */
  char *holder_key;
  gint refs; /* atomic: the owner's and the watcher's */
  GThread *planner;

  GMutex offer_lock; /* held while the watcher accesses the views; acquired before lock */
  GMutex lock;       /* guards all below */
  GCond changed;
  bool stopping; /* the watcher no longer accesses the views; set under both locks */
  bool woken;
  bool registered;
  bool reachable;
  uint64_t index;       /* of the document in the platform's store */
  int64_t confirmed_us; /* when the document was last read there; 0: never */
  bool planning;
  GPtrArray *reports; /* of the last planner step */
  unsigned moves;
  unsigned reboots;

  /* Accessed by the planner thread only. */
  struct mt_lease *lease; /* whose holder is the planner */
  struct mt_capacity *capacity;
  GHashTable *leaving_epochs; /* minion that reported leaving -> epoch of its record then */
};

static void
control_unref (struct mt_control *control)
{
  if (!g_atomic_int_dec_and_test (&control->refs))
    return;
  mt_platform_destroy (control->platform);
  mt_platform_destroy (control->watch_platform);
  mt_http_client_destroy (control->client);
  mt_http_client_destroy (control->watch_client);
  mt_capacity_destroy (control->capacity);
  g_hash_table_destroy (control->leaving_epochs);
  g_ptr_array_free (control->reports, TRUE);
  g_mutex_clear (&control->offer_lock);
  g_mutex_clear (&control->lock);
  g_cond_clear (&control->changed);
  g_free (control->key);
  g_free (control->holder_key);
  g_free (control);
}

static bool
is_stopping (struct mt_control *control)
{
  bool stopping;

  g_mutex_lock (&control->lock);
  stopping = control->stopping;
  g_mutex_unlock (&control->lock);
  return stopping;
}

static void
wait_us (struct mt_control *control, int64_t us, bool wakes)
{
  gint64 until = g_get_monotonic_time () + us;

  g_mutex_lock (&control->lock);
  while (!control->stopping && !(wakes && control->woken)
         && g_cond_wait_until (&control->changed, &control->lock, until))
    ;
  if (wakes)
    control->woken = false;
  g_mutex_unlock (&control->lock);
}

static int64_t
now_us (const struct mt_control *control)
{
  return mt_clock_now (control->options.clock);
}

static int64_t
wall_s (const struct mt_control *control)
{
  return mt_clock_wall (control->options.clock) / MT_SECOND;
}

/* Writes this daemon's holder key if it is not yet written. Returns false if that failed. A planner
 * waits until every daemon that may hold a document confirms it, and finds these daemons by their
 * holder keys. So a daemon reads no document before its key is written: a planner that does not see
 * the key wrote the document that it waits for before this daemon reads. */
static bool
register_holder (struct mt_control *control)
{
  enum mt_store_write_result put;

  if (control->registered)
    return true;
  put = control->store->ops->put (control->store->ctx, control->holder_key, MT_STR ("{}"), 0, NULL);
  g_mutex_lock (&control->lock);
  control->registered = put == MT_STORE_DONE || put == MT_STORE_CONFLICT;
  g_mutex_unlock (&control->lock);
  return control->registered;
}

/* Parses a document and offers it to the views. */
static void
offer_document (struct mt_control *control, struct mt_str json)
{
  g_autoptr (GError) error = NULL;
  struct mt_assign *assign = mt_assign_parse (json, &error);

  if (assign == NULL)
    {
      mt_log_event (MT_EVENT_ASSIGN_REFUSED, "why=%s", error->message);
      return;
    }
  g_mutex_lock (&control->offer_lock);
  if (is_stopping (control))
    mt_assign_destroy (assign);
  else
    mt_view_offer_assign (control->options.views, assign);
  g_mutex_unlock (&control->offer_lock);
}

static void
record_read (struct mt_control *control, bool ok, uint64_t index)
{
  g_mutex_lock (&control->lock);
  control->reachable = ok;
  if (ok)
    {
      control->index = index;
      control->confirmed_us = now_us (control);
    }
  control->woken = true;
  g_cond_broadcast (&control->changed);
  g_mutex_unlock (&control->lock);
}

static void
watch_step (struct mt_control *control, uint64_t *index)
{
  struct mt_store_value value = { 0 };
  bool ok = register_holder (control)
            && control->watch_store->ops->watch (control->watch_store->ctx, control->key, *index,
                                                 WATCH_TIMEOUT_US, &value, NULL);

  if (ok && value.found && value.index != *index)
    offer_document (control, (struct mt_str){ value.data, value.len });
  record_read (control, ok, value.index);
  if (ok)
    *index = value.index;
  /* Before the first document there is no index to wait at and the watch returns at once. Without
   * this delay each daemon of a fleet without tables would poll in a busy loop. */
  if (!ok || !value.found)
    wait_us (control, RETRY_DELAY_US, false);
  mt_store_value_clear (&value);
}

static gpointer
run_watcher (gpointer data)
{
  struct mt_control *control = data;
  uint64_t index = 0;

  while (!is_stopping (control))
    watch_step (control, &index);
  control_unref (control);
  return NULL;
}

static void
set_planning (struct mt_control *control, bool planning)
{
  if (control->planning == planning)
    return;
  mt_log_event (planning ? MT_EVENT_PLANNER_TOOK_OVER : MT_EVENT_PLANNER_LOST, "zone=%s",
                control->options.zone);
  g_mutex_lock (&control->lock);
  control->planning = planning;
  g_ptr_array_set_size (control->reports, 0);
  g_mutex_unlock (&control->lock);
  /* A new planner starts without the demand that the previous one measured: it is not known here.
   */
  mt_capacity_destroy (control->capacity);
  control->capacity = planning ? mt_capacity_create (control->options.policy) : NULL;
}

/* The lease only keeps planners from working against each other. It is the compare-and-swap that
 * keeps a planner which was paused until after its lease expired from doing harm. */
static void
renew_lease (struct mt_control *control)
{
  set_planning (control, mt_lease_step (control->lease));
}

static struct mt_instances *
read_instances (struct mt_control *control)
{
  struct mt_store_value value = { 0 };
  struct mt_instances *list;

  control->store->ops->get (control->store->ctx, MT_INSTANCES_KEY, &value, NULL);
  list = mt_instances_parse ((struct mt_str){ value.data, value.len });
  mt_store_value_clear (&value);
  return list;
}

/* Adds the daemons that may hold a document. Returns false if the store can't list them. */
static bool
add_registered (struct mt_control *control, struct mt_gather *gather)
{
  g_autofree char *prefix = g_strdup_printf ("%s%s/", MT_HOLDERS_PREFIX, control->options.zone);
  GPtrArray *keys = NULL;

  if (!control->store->ops->list (control->store->ctx, prefix, &keys, NULL))
    return false;
  for (guint i = 0; keys != NULL && i < keys->len; i++)
    {
      const struct mt_store_value *value = keys->pdata[i];
      g_autofree char *name = g_strdup (value->key + strlen (prefix));

      g_strdelimit (name, "/", '\0');
      mt_gather_add_registered (gather, name);
    }
  if (keys != NULL)
    g_ptr_array_unref (keys);
  return true;
}

static char *
generate_id (const struct mt_control *control)
{
  return g_strdup_printf ("%s-%08x%08x", control->options.name, g_random_int (), g_random_int ());
}

/* Returns a copy of the document in force to be edited, an empty one before the first document;
 * NULL if the last read of the platform failed. *index is the store's index for the
 * compare-and-swap; *draining is set if any record drains. */
static struct mt_assign *
copy_document (struct mt_control *control, uint64_t *index, bool *draining)
{
  g_autofree char *id = generate_id (control);
  struct mt_assign *empty = mt_assign_create ();
  struct mt_assign *next = NULL;
  const struct mt_assign *held;
  bool reachable;

  g_mutex_lock (&control->lock);
  *index = control->index;
  reachable = control->reachable;
  g_mutex_unlock (&control->lock);
  if (reachable)
    {
      mt_view_begin (control->options.views);
      held = mt_view_assign (control->options.views);
      next = mt_assign_next (held != NULL ? held : empty, id);
      mt_view_end ();
    }
  mt_assign_destroy (empty);
  *draining = false;
  for (size_t i = 0; next != NULL && i < next->n_records; i++)
    *draining |= next->records[i].state == MT_ASSIGN_DRAINING;
  return next;
}

/* A lost response needs no handling: the watch reads what is stored, and the next step starts from
 * that. */
static bool
write_document (struct mt_control *control, const struct mt_assign *next, uint64_t index)
{
  g_autofree char *text = mt_assign_format (next);

  return control->store->ops->put (control->store->ctx, control->key, mt_str_from (text), index,
                                   NULL)
         == MT_STORE_DONE;
}

static void
order_reboot (struct mt_control *control, const struct mt_planner_reboot *reboot)
{
  struct mt_arena *arena = mt_arena_create (MAX_REBOOT_ANSWER_BYTES);
  g_autofree char *path = g_strdup_printf ("/v1/instance/%s/reboot?epoch=%" G_GUINT64_FORMAT,
                                           reboot->instance, reboot->epoch);
  struct mt_http_call call = { .method = "PUT",
                               .path = path,
                               .deadline_us = now_us (control) + control->options.call_timeout_us,
                               .max_answer_bytes = MAX_REBOOT_ANSWER_BYTES };
  struct mt_http_answer answer;

  if (mt_http_client_call (control->client, control->options.platform, &call, arena, &answer, NULL)
          == MT_HTTP_COMPLETE
      && answer.status == 200)
    {
      mt_log_event (MT_EVENT_REBOOT_ORDERED, "instance=%s epoch=%" G_GUINT64_FORMAT,
                    reboot->instance, reboot->epoch);
      g_mutex_lock (&control->lock);
      control->reboots++;
      g_mutex_unlock (&control->lock);
    }
  mt_arena_destroy (arena);
}

static bool
was_reported (const GPtrArray *reports, const char *text)
{
  for (guint i = 0; i < reports->len; i++)
    if (strcmp (reports->pdata[i], text) == 0)
      return true;
  return false;
}

static void
publish_reports (struct mt_control *control, const struct mt_planner_result *result)
{
  GPtrArray *reports = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < result->reports->len; i++)
    {
      const char *text = result->reports->pdata[i];

      if (!was_reported (control->reports, text))
        mt_log_event (MT_EVENT_PLANNER_REPORT, "what=%s", text);
      g_ptr_array_add (reports, g_strdup (text));
    }
  g_mutex_lock (&control->lock);
  g_ptr_array_free (control->reports, TRUE);
  control->reports = reports;
  g_mutex_unlock (&control->lock);
}

/* Returns false if there are no tables. Nothing may block while the view is read; the planner step
 * does not. */
static bool
run_planner_step (struct mt_control *control,
                  struct mt_planner_input *input,
                  struct mt_assign *next,
                  struct mt_planner_result *result)
{
  input->tables = mt_view_begin (control->options.views);
  if (input->tables != NULL)
    mt_planner_step (input, next, result);
  mt_view_end ();
  return input->tables != NULL;
}

static void
apply_result (struct mt_control *control,
              const struct mt_assign *next,
              uint64_t index,
              const struct mt_planner_result *result)
{
  publish_reports (control, result);
  if (result->changed && !write_document (control, next, index))
    return;
  g_mutex_lock (&control->lock);
  control->moves += result->moves;
  g_mutex_unlock (&control->lock);
  for (guint i = 0; i < result->reboots->len; i++)
    order_reboot (control, &g_array_index (result->reboots, struct mt_planner_reboot, i));
}

static void
plan_and_write (struct mt_control *control,
                struct mt_gather *gather,
                const struct mt_instances *list)
{
  struct mt_planner_result *result = mt_planner_result_create ();
  struct mt_planner_input input = { .zone = control->options.zone, .capacity = control->capacity };
  uint64_t index;
  bool draining;
  struct mt_assign *next = copy_document (control, &index, &draining);

  if (next != NULL && (!draining || add_registered (control, gather)))
    {
      mt_gather_mark_gone (gather, list);
      input.now_s = wall_s (control);
      input.members = mt_gather_members (gather, &input.n_members);
      input.instances = mt_instances_all (list, &input.n_instances);
      input.demands = mt_gather_demands (gather, &input.n_demands);
      if (run_planner_step (control, &input, next, result))
        apply_result (control, next, index, result);
    }
  mt_assign_destroy (next);
  mt_planner_result_destroy (result);
}

/* Returns true if the minion of a serving record reported to this daemon that it leaves, and the
 * document does not show that yet. If the record is serving again under a later epoch, the minion
 * has rejoined since. */
static bool
is_newly_leaving (struct mt_control *control, const struct mt_assign_record *record)
{
  struct mt_pools *pools = control->options.pools;
  gpointer epoch;

  if (record->state != MT_ASSIGN_SERVING
      || !mt_pools_is_leaving (pools, record->pool, record->instance))
    return false;
  if (g_hash_table_lookup_extended (control->leaving_epochs, record->instance, NULL, &epoch)
      && record->epoch > *(guint64 *) epoch)
    {
      mt_pools_rejoin (pools, record->pool, record->instance);
      g_hash_table_remove (control->leaving_epochs, record->instance);
      return false;
    }
  return true;
}

static void
record_leaving (struct mt_control *control, const struct mt_assign_record *record)
{
  if (g_hash_table_contains (control->leaving_epochs, record->instance))
    return;
  mt_log_event (MT_EVENT_MINION_LEAVES, "minion=%s pool=%s", record->instance, record->pool);
  g_hash_table_insert (control->leaving_epochs, g_strdup (record->instance),
                       g_memdup2 (&record->epoch, sizeof record->epoch));
}

/* Marks the minions in the document that reported leaving to this daemon, so that no other daemon
 * sends them work. Any daemon does this; the write is fenced like a planner's. */
static void
write_leaving_minions (struct mt_control *control)
{
  struct mt_instances *list = NULL;
  bool changed = false;
  bool draining;
  uint64_t index;
  struct mt_assign *next = copy_document (control, &index, &draining);

  for (size_t i = 0; next != NULL && i < next->n_records; i++)
    {
      struct mt_assign_record *record = &next->records[i];
      const struct mt_planner_instance *listed;

      if (!is_newly_leaving (control, record))
        continue;
      record_leaving (control, record);
      list = list != NULL ? list : read_instances (control);
      listed = mt_instances_find (list, record->instance);
      changed |= mt_assign_leave (next, record, MT_LEAVE_REFUSAL, listed != NULL ? listed->boot : 0,
                                  wall_s (control));
    }
  if (changed)
    write_document (control, next, index);
  mt_instances_destroy (list);
  mt_assign_destroy (next);
}

static void
run_step (struct mt_control *control)
{
  struct mt_gather *gather = mt_gather_create (&control->options);

  write_leaving_minions (control);
  mt_proxied_register (control->options.proxied, control->store);
  renew_lease (control);
  if (control->planning)
    {
      struct mt_instances *list = read_instances (control);

      plan_and_write (control, gather, list);
      mt_instances_destroy (list);
    }
  mt_gather_destroy (gather);
}

static gpointer
run_planner (gpointer data)
{
  struct mt_control *control = data;

  while (!is_stopping (control))
    {
      run_step (control);
      wait_us (control, TICK_INTERVAL_US, true);
    }
  mt_lease_destroy (control->lease);
  return NULL;
}

/* View listener: wakes the planner at once when the view changes. */
static void
wake_planner (void *ctx)
{
  struct mt_control *control = ctx;

  g_mutex_lock (&control->lock);
  control->woken = true;
  g_cond_broadcast (&control->changed);
  g_mutex_unlock (&control->lock);
}

struct mt_control *
mt_control_create (const struct mt_control_options *options)
{
  g_autofree char *lease_key = NULL;
  struct mt_control *control = g_new0 (struct mt_control, 1);

  control->options = *options;
  control->client = mt_http_client_create (options->clock);
  control->platform = mt_platform_create (control->client, options->clock, options->platform,
                                          options->call_timeout_us);
  control->store = mt_platform_store (control->platform);
  lease_key = g_strdup_printf ("%s%s", MT_PLANNER_PREFIX, options->zone);
  control->lease = mt_lease_create (control->store, options->clock, lease_key, options->name);
  control->watch_client = mt_http_client_create (options->clock);
  control->watch_platform = mt_platform_create (control->watch_client, options->clock,
                                                options->platform, options->call_timeout_us);
  control->watch_store = mt_platform_store (control->watch_platform);
  control->key = g_strdup_printf ("%s%s", MT_ASSIGN_PREFIX, options->zone);
  control->holder_key
      = g_strdup_printf ("%s%s/%s/", MT_HOLDERS_PREFIX, options->zone, options->name);
  control->reports = g_ptr_array_new_with_free_func (g_free);
  control->leaving_epochs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_mutex_init (&control->offer_lock);
  g_mutex_init (&control->lock);
  g_cond_init (&control->changed);
  control->refs = 2;
  mt_view_add_after_listener (options->views, wake_planner, control);
  g_thread_unref (g_thread_new ("assign", run_watcher, control));
  control->planner = g_thread_new ("planner", run_planner, control);
  return control;
}

/* The watcher thread is not joined: its watch would delay the stop by seconds. */
void
mt_control_destroy (struct mt_control *control)
{
  if (control == NULL)
    return;
  g_mutex_lock (&control->offer_lock);
  g_mutex_lock (&control->lock);
  control->stopping = true;
  g_cond_broadcast (&control->changed);
  g_mutex_unlock (&control->lock);
  g_mutex_unlock (&control->offer_lock);
  g_thread_join (control->planner);
  control_unref (control);
}

bool
mt_control_is_planner (struct mt_control *control)
{
  bool planning;

  g_mutex_lock (&control->lock);
  planning = control->planning;
  g_mutex_unlock (&control->lock);
  return planning;
}

uint64_t
mt_control_calls (const struct mt_control *control)
{
  return mt_platform_calls (control->platform) + mt_platform_calls (control->watch_platform);
}

static json_t *
dump_reports (const struct mt_control *control)
{
  json_t *out = json_array ();

  for (guint i = 0; i < control->reports->len; i++)
    json_array_append_new (out, json_string (control->reports->pdata[i]));
  return out;
}

static json_t *
dump_records (const struct mt_control *control)
{
  static const char *const states[] = { "serving", "draining", "rebooting", "out" };
  const struct mt_assign *assign;
  json_t *out = json_object ();

  mt_view_begin (control->options.views);
  assign = mt_view_assign (control->options.views);
  for (size_t i = 0; assign != NULL && i < assign->n_records; i++)
    {
      const struct mt_assign_record *record = &assign->records[i];

      json_object_set_new (out, record->instance,
                           json_pack ("{ss ss sI}", "pool", record->pool, "state",
                                      states[record->state], "epoch", (json_int_t) record->epoch));
    }
  mt_view_end ();
  return out;
}

void
mt_control_dump (struct mt_control *control, json_t *out)
{
  int64_t age_us;

  g_mutex_lock (&control->lock);
  age_us = control->confirmed_us != 0 ? now_us (control) - control->confirmed_us : -1;
  json_object_update_new (
      out, json_pack ("{sI sI sb sb si si so so}", "assign_version",
                      (json_int_t) mt_view_assign_in_force (control->options.views),
                      "assign_age_ms", (json_int_t) (age_us / MT_MS), "cut_off",
                      !control->reachable, "planner", control->planning, "moves",
                      (int) control->moves, "reboots", (int) control->reboots, "reports",
                      dump_reports (control), "instances", dump_records (control)));
  g_mutex_unlock (&control->lock);
}
