#include "fleet_leader.h"

#include "forecast_store.h"
#include "grants_wire.h"
#include "journal.h"
#include "loop.h"
#include "medlartrack/controller.h"
#include "medlartrack/grants.h"
#include "order_window.h"
#include "pool_report.h"
#include "watcher.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which pools are queried, and so the longest delay until a surge is noticed. */
#define TICK_MS 150
/* Interval of queries while a pool is short of machines or a machine is to be drained: draining one
 * takes three rounds of query and reply, and callers of the overloaded pool wait for them. */
#define TICK_PRESSURE_MS 75
/* Intervals at which machines are listed: while orders or waves are in progress, and otherwise. */
#define LIST_MS      500
#define LIST_IDLE_MS 4000
/* Longest wait of the watch on waves; a change ends the wait. */
#define WAVES_WAIT_MS 2500
/* Time-out of a pool's report; the pool is queried again at the next tick. */
#define REPORT_TIMEOUT_MS 400
/* Time-out of reads and writes of the store. A write without an answer is sent again unchanged. */
#define TXN_TIMEOUT_MS 800
/* Cordons and other directives expire after this time unless renewed: the fleet leader may be
 * gone. */
#define DIRECTIVE_TTL_MS 1200
#define PROGRESS_PREFIX  "medlartrack/wave/"
#define HOMES_KEY        "medlartrack/homes"

struct wave
{
  struct mt_wave *request;
  int64_t number;
  int64_t seen_wall_ms; /* Unix time in ms at which a fleet leader first saw the wave */
  char **done;          /* ids of the machines that are done, as stored */
  bool progress_read;   /* the stored progress has been read */
  bool active_written;
  bool completed_written;
  bool call_in_flight;
  int64_t retry_at; /* earliest time of the next write, after one that the store did not accept */
  guint stored;     /* number of machines in the stored progress */
};

/* Reference-counted: one reference for the owner and one for each call in flight. */
struct mt_fleet_leader
{
  struct mt_fleet_leader_options options;
  char *leader_key;
  struct mt_controller *controller;
  struct mt_forecast_store *forecast_store; /* NULL: no method of forecasting */
  struct mt_grants *grants;
  struct mt_watcher *watch;
  struct mt_timer *tick;
  GHashTable *waves; /* key -> struct wave */
  GPtrArray *pools;  /* names of the pools, without standby pools */
  bool destroyed;
  bool list_in_flight;
  int64_t list_requested_at;

  struct mt_order_window orders;

  bool homes_read; /* the stored home pools of machines have been read */
  bool homes_in_flight;
  int64_t homes_retry_at; /* as in struct wave */
  char **homes_sent;      /* as last written; see mt_controller_unstored_homes */
};

static struct mt_fleet_leader *
ref (struct mt_fleet_leader *lead)
{
  return g_rc_box_acquire (lead);
}

static void
free_wave (void *data)
{
  struct wave *w = data;

  mt_wave_free (w->request);
  g_strfreev (w->done);
  g_free (w);
}

static void
clear_leader (void *data)
{
  struct mt_fleet_leader *lead = data;

  mt_controller_destroy (lead->controller);
  mt_grants_destroy (lead->grants);
  mt_timer_destroy (lead->tick);
  g_hash_table_unref (lead->waves);
  g_ptr_array_unref (lead->pools);
  g_strfreev (lead->homes_sent);
  g_free (lead->leader_key);
}

static void
unref (struct mt_fleet_leader *lead)
{
  g_rc_box_release_full (lead, clear_leader);
}

/* A call in flight for a wave or a pool. */
/* A value that the store does not accept is sent again after this time: it may have changed. */
#define REJECTED_RETRY_MS 5000

/* Returns the earliest time of the next write of the value. */
static int64_t
next_write_at (const struct mt_fleet_leader *lead, const char *key, enum mt_kv_status status)
{
  if (status != MT_KV_REJECTED)
    return 0;
  mt_journal_log (lead->options.journal, "RECORD_REJECTED", "pool=- key=%s", key);
  return mt_loop_now () + REJECTED_RETRY_MS;
}

struct named_call
{
  struct mt_fleet_leader *leader;
  char *name;      /* key of the wave or name of the pool */
  uint64_t number; /* sequence number of the grant message in a query of a pool */
};

static struct named_call *
new_named_call (struct mt_fleet_leader *lead, const char *name)
{
  struct named_call *call = g_new0 (struct named_call, 1);

  call->leader = ref (lead);
  call->name = g_strdup (name);
  return call;
}

static void
free_named_call (struct named_call *call)
{
  unref (call->leader);
  g_free (call->name);
  g_free (call);
}

/* ---- waves ---- */

static char *
progress_key (const struct wave *w)
{
  return g_strdup_printf (PROGRESS_PREFIX "%" G_GINT64_FORMAT, w->number);
}

static void
add_wave (struct mt_fleet_leader *lead, struct wave *w)
{
  int64_t age = CLAMP (mt_loop_wall_ms () - w->seen_wall_ms, 0, w->request->deadline_ms);

  mt_controller_update_wave (lead->controller, w->number, w->request->machines, w->done,
                             w->request->max_unavailable,
                             mt_loop_now () + w->request->deadline_ms - age);
  w->progress_read = true;
}

static void
parse_progress (struct wave *w, struct mt_str text)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  json_t *done = json_object_get (root, "done");
  json_int_t seen = json_integer_value (json_object_get (root, "seen_ms"));

  if (seen > 0)
    w->seen_wall_ms = seen;
  g_strfreev (w->done);
  w->done = g_new0 (char *, json_array_size (done) + 1);
  w->stored = 0;
  for (size_t i = 0; i < json_array_size (done); i++)
    if (json_is_string (json_array_get (done, i)))
      w->done[w->stored++] = g_strdup (json_string_value (json_array_get (done, i)));
  json_decref (root);
}

static void
on_progress (void *data, const struct mt_kv_reply *reply)
{
  struct named_call *call = data;
  struct mt_fleet_leader *lead = call->leader;
  struct wave *w = !lead->destroyed ? g_hash_table_lookup (lead->waves, call->name) : NULL;

  if (w != NULL && !w->progress_read)
    {
      if (reply->status == MT_KV_OK && reply->n_items > 0)
        parse_progress (w, reply->items[0].value);
      if (reply->status == MT_KV_OK || reply->status == MT_KV_MISSING)
        add_wave (lead, w);
    }
  if (w != NULL)
    w->call_in_flight = false;
  free_named_call (call);
}

static void
read_wave (struct mt_fleet_leader *lead, const char *key)
{
  struct wave *w = g_hash_table_lookup (lead->waves, key);
  g_autofree char *stored_key = progress_key (w);

  w->call_in_flight = true;
  mt_kv_read (&lead->options.kv, stored_key, TXN_TIMEOUT_MS, on_progress,
              new_named_call (lead, key));
}

static void
on_wave (void *ctx, const struct mt_kv_item *item)
{
  struct mt_fleet_leader *lead = ctx;
  struct mt_wave *request
      = item->deleted ? NULL : lead->options.codec->ops->parse_wave (item->value);
  struct wave *w;

  if (request == NULL || g_hash_table_contains (lead->waves, item->key))
    {
      mt_wave_free (request);
      return;
    }
  w = g_new0 (struct wave, 1);
  w->request = request;
  w->number = request->number;
  w->seen_wall_ms = mt_loop_wall_ms ();
  g_hash_table_insert (lead->waves, g_strdup (item->key), w);
  mt_journal_log (lead->options.journal, "WAVE_SEEN",
                  "wave=%" G_GINT64_FORMAT " machines=%u cap=%u due_ms=%" G_GINT64_FORMAT,
                  w->number, g_strv_length (request->machines), request->max_unavailable,
                  request->deadline_ms);
}

static char *
format_progress (const struct wave *w, char **done)
{
  json_t *root = json_object ();
  json_t *list = json_array ();
  char *text;

  for (char **id = done; *id != NULL; id++)
    json_array_append_new (list, json_string (*id));
  json_object_set_new (root, "seen_ms", json_integer (w->seen_wall_ms));
  json_object_set_new (root, "done", list);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static void
on_written (void *data, const struct mt_kv_reply *reply)
{
  struct named_call *call = data;
  struct wave *w
      = !call->leader->destroyed ? g_hash_table_lookup (call->leader->waves, call->name) : NULL;

  if (w != NULL)
    {
      w->call_in_flight = false;
      w->retry_at = next_write_at (call->leader, call->name, reply->status);
      if (reply->status != MT_KV_OK)
        {
          w->stored = 0;
          w->active_written = false;
          w->completed_written = false;
        }
    }
  free_named_call (call);
}

/* Writes the wave's progress, and its status for the operator: completed only once the maintenance
 * of every machine has been seen to begin. The precondition is that this daemon still holds the
 * leadership. */
static void
write_wave (struct mt_fleet_leader *lead, const char *key, struct wave *w)
{
  bool completed = mt_controller_wave_done (lead->controller, w->number);
  g_auto (GStrv) done = mt_controller_wave_progress (lead->controller, w->number);
  guint n = g_strv_length (done);
  g_autofree char *stored_key = NULL;
  g_autofree char *status_key = NULL;
  g_autofree char *status = NULL;
  char *progress;
  struct mt_kv_expect expect = { lead->leader_key, lead->options.token };
  struct mt_kv_put puts[2];
  struct mt_kv_txn txn = { &expect, 1, puts, 2, NULL, 0 };

  if (n == w->stored && w->active_written && completed == w->completed_written)
    return;
  stored_key = progress_key (w);
  status_key
      = g_strdup_printf ("%s%" G_GINT64_FORMAT, lead->options.codec->wave_status_prefix, w->number);
  status = lead->options.codec->ops->format_wave_status (completed);
  progress = format_progress (w, done);
  puts[0] = (struct mt_kv_put){ stored_key, mt_str_from (progress), 0 };
  puts[1] = (struct mt_kv_put){ status_key, mt_str_from (status), 0 };
  if (completed && !w->completed_written)
    mt_journal_log (lead->options.journal, "WAVE_ENDED",
                    "wave=%" G_GINT64_FORMAT " machines=%u took_ms=%" G_GINT64_FORMAT, w->number, n,
                    mt_loop_wall_ms () - w->seen_wall_ms);
  w->call_in_flight = true;
  w->active_written = true;
  w->completed_written = completed;
  w->stored = n;
  mt_kv_write (&lead->options.kv, &txn, TXN_TIMEOUT_MS, on_written, new_named_call (lead, key));
  free (progress);
}

static bool
advance_waves (struct mt_fleet_leader *lead)
{
  GHashTableIter it;
  const char *key;
  struct wave *w;
  bool unfinished = false;

  g_hash_table_iter_init (&it, lead->waves);
  while (g_hash_table_iter_next (&it, (void **) &key, (void **) &w))
    {
      unfinished |= !w->completed_written;
      if (w->call_in_flight || w->completed_written || mt_loop_now () < w->retry_at)
        continue;
      if (w->progress_read)
        write_wave (lead, key, w);
      else
        read_wave (lead, key);
    }
  return unfinished;
}

/* ---- machines ---- */

static void
on_machines (void *data, const struct mt_machine *machines, size_t n, bool is_whole)
{
  struct mt_fleet_leader *lead = data;
  struct mt_controller_machine_info *rows = g_new0 (struct mt_controller_machine_info, n + 1);

  lead->list_in_flight = false;
  if (!lead->destroyed && machines != NULL)
    {
      for (size_t i = 0; i < n; i++)
        rows[i] = (struct mt_controller_machine_info){
          .id = machines[i].id,
          .pool = machines[i].pool,
          .rack = machines[i].rack,
          .worker
          = machines[i].worker != NULL && machines[i].worker[0] != '\0' ? machines[i].worker : NULL,
          .up = machines[i].state == MT_MACHINE_UP,
          .in_maintenance = machines[i].state == MT_MACHINE_MAINTENANCE,
          .resources = machines[i].resources
        };
      mt_controller_update_machines (lead->controller, rows, n, is_whole, lead->list_requested_at,
                                     mt_loop_now ());
    }
  g_free (rows);
  unref (lead);
}

static void
list_machines (struct mt_fleet_leader *lead, bool unfinished)
{
  int64_t now = mt_loop_now ();

  if (lead->list_in_flight || now - lead->list_requested_at < (unfinished ? LIST_MS : LIST_IDLE_MS))
    return;
  lead->list_in_flight = true;
  lead->list_requested_at = now;
  lead->options.machines.ops->list (lead->options.machines.ctx, on_machines, ref (lead));
}

/* ---- pools ---- */

static void plan_and_send (struct mt_fleet_leader *lead);

static void
apply_report (struct mt_fleet_leader *lead, const char *pool, uint64_t number, struct mt_str bytes)
{
  struct mt_pool_report report;

  if (!mt_pool_report_unpack (bytes, &report))
    {
      mt_journal_log (lead->options.journal, "REPORT_UNREADABLE", "pool=%s bytes=%zu", pool,
                      bytes.len);
      return;
    }
  mt_controller_update_pool (lead->controller, pool, &report.load, report.workers, report.n_workers,
                             mt_loop_now ());
  mt_grants_acknowledge (lead->grants, pool, number, report.accounts, report.n_accounts,
                         mt_loop_now ());
  mt_pool_report_clear (&report);
}

static void
log_forecast (struct mt_fleet_leader *lead, const struct mt_forecast_event *event)
{
  int64_t unix_offset = mt_loop_wall_ms () - mt_loop_now ();
  struct mt_controller_counts counts = { 0 };

  mt_controller_count (lead->controller, event->pool, &counts);
  mt_journal_log (lead->options.journal, "FORECAST",
                  "pool=%s began=%d expected_ms=%" G_GINT64_FORMAT " began_ms=%" G_GINT64_FORMAT
                  " cpu=%.0f confidence=%.0f planned=%u present=%u arriving=%u",
                  event->pool, event->began,
                  event->expected_at != 0 ? event->expected_at + unix_offset : 0,
                  event->began_at != 0 ? event->began_at + unix_offset : 0, event->cpu,
                  1000 * event->confidence, counts.planned, counts.present, counts.arriving);
}

static void
log_forecasts (struct mt_fleet_leader *lead)
{
  struct mt_forecast *forecast = mt_controller_forecast (lead->controller);
  struct mt_forecast_event event;

  while (forecast != NULL && mt_forecast_next_event (forecast, &event))
    log_forecast (lead, &event);
}

/* Applies the report, and sends the orders that it allows without waiting for the next tick. */
static void
on_report (void *ctx, const struct mt_mesh_args *args)
{
  struct named_call *call = ctx;

  if (!call->leader->destroyed && args != NULL && args->n == 1)
    {
      apply_report (call->leader, call->name, call->number, args->at[0]);
      plan_and_send (call->leader);
    }
  free_named_call (call);
}

/* Returns the ended workers and their incarnations as ID:STARTED_AT, separated by commas. */
static char *
join_ended (const struct mt_controller_directives *directives)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; directives->ended_workers[i] != NULL; i++)
    g_string_append_printf (text, "%s%s:%" G_GINT64_FORMAT, i > 0 ? "," : "",
                            directives->ended_workers[i], directives->ended_started_at_ms[i]);
  return g_string_free (text, FALSE);
}

static void
query_pool (struct mt_fleet_leader *lead, const char *name)
{
  struct mt_pool *local_pool = lead->options.local_pool (lead->options.ctx, name);
  const char *holder = mt_cluster_holder (lead->options.cluster, name);
  struct mt_controller_directives directives
      = mt_controller_pool_directives (lead->controller, name, mt_loop_now ());
  g_autofree char *cordon = g_strjoinv (",", directives.cordon);
  g_autofree char *ended = join_ended (&directives);
  g_autofree char *drain_later = g_strjoinv (",", directives.maintenance_due);
  g_autofree char *expected_cpu = g_strdup_printf ("%" G_GINT64_FORMAT, directives.planned_cpu);
  struct mt_grant_message message = mt_grants_next_message (lead->grants, name, mt_loop_now ());
  size_t grants_len = 0;
  g_autofree char *grants = mt_grants_pack (&message, &grants_len);
  struct mt_pool_directives packed = { mt_str_from (cordon),
                                       mt_str_from (ended),
                                       mt_str_from (drain_later),
                                       mt_str_from (expected_cpu),
                                       { grants, grants_len } };

  g_free ((struct mt_grant *) message.grants);
  mt_controller_directives_clear (&directives);
  if (local_pool != NULL)
    {
      size_t len = 0;
      g_autofree char *bytes = mt_pool_apply_directives (local_pool, &packed, &len);

      if (bytes != NULL)
        apply_report (lead, name, message.sequence, (struct mt_str){ bytes, len });
    }
  else if (holder != NULL)
    {
      struct mt_mesh_args args = { 6,
                                   { mt_str_from (name), packed.cordon, packed.ended,
                                     packed.drain_later, packed.expected_cpu, packed.grants } };
      struct named_call *call = new_named_call (lead, name);

      call->number = message.sequence;
      mt_mesh_send (lead->options.mesh, holder, MT_MESH_CORDON, &args, REPORT_TIMEOUT_MS, on_report,
                    call);
    }
}

static char **
split_ids (struct mt_str ids)
{
  g_autofree char *text = g_strndup (ids.data, ids.len);

  return g_strsplit (text, ",", 0);
}

/* Returns false for a message that can't be read or is not newer than the last one. It gets no
 * report, which its sender could take for an answer to a later message. */
static bool
apply_grants (struct mt_scheduler *sched, struct mt_str bytes, int64_t now)
{
  struct mt_grant_message message;
  bool taken
      = mt_grants_unpack (bytes, &message) && mt_scheduler_apply_grants (sched, &message, now);

  mt_grants_clear (&message);
  return taken;
}

/* text: ID or ID:STARTED_AT, as from join_ended. */
static void
apply_ended (struct mt_scheduler *sched, char *text, int64_t now)
{
  char *colon = strrchr (text, ':');
  int64_t started_at_ms = colon != NULL ? g_ascii_strtoll (colon + 1, NULL, 10) : 0;

  if (colon != NULL)
    *colon = '\0';
  mt_scheduler_worker_ended (sched, text, started_at_ms, now,
                             "its machine was ordered to move or into maintenance");
}

char *
mt_pool_apply_directives (struct mt_pool *pool,
                          const struct mt_pool_directives *directives,
                          size_t *len)
{
  g_auto (GStrv) cordon = split_ids (directives->cordon);
  g_auto (GStrv) ended = split_ids (directives->ended);
  g_auto (GStrv) drain_later = split_ids (directives->drain_later);
  unsigned long long expected_cpu = 0;
  int64_t now = mt_loop_now ();

  if (!mt_pool_is_loaded (pool)
      || !apply_grants (mt_pool_scheduler (pool), directives->grants, now))
    return NULL;
  if (mt_str_to_u64 (directives->expected_cpu, &expected_cpu))
    mt_scheduler_expect_capacity (mt_pool_scheduler (pool), (int64_t) expected_cpu,
                                  now + DIRECTIVE_TTL_MS);
  for (char **text = ended; *text != NULL; text++)
    apply_ended (mt_pool_scheduler (pool), *text, now);
  for (char **id = cordon; *id != NULL; id++)
    mt_scheduler_cordon (mt_pool_scheduler (pool), *id, now + DIRECTIVE_TTL_MS, true);
  for (char **id = drain_later; *id != NULL; id++)
    mt_scheduler_announce_drain (mt_pool_scheduler (pool), *id, now + DIRECTIVE_TTL_MS);
  mt_pool_wake (pool);
  return mt_pool_report_pack (mt_pool_scheduler (pool), now, len);
}

/* ---- orders ---- */

struct order_call
{
  struct mt_fleet_leader *leader;
  char *machine;
  char *order_name;
};

static void send_orders (struct mt_fleet_leader *lead);

static void
on_ordered (void *data, enum mt_machine_answer answer)
{
  static const struct
  {
    enum mt_controller_order_result result;
    const char *text;
  } answers[] = {
    [MT_MACHINE_DONE] = { MT_CONTROLLER_ORDER_DONE, "done" },
    [MT_MACHINE_FENCED] = { MT_CONTROLLER_ORDER_RETRY, "fenced" },
    [MT_MACHINE_BUSY] = { MT_CONTROLLER_ORDER_RETRY, "busy" },
    [MT_MACHINE_REFUSED] = { MT_CONTROLLER_ORDER_REJECTED, "refused" },
    [MT_MACHINE_LIMITED] = { MT_CONTROLLER_ORDER_UNKNOWN, "too many orders" },
    [MT_MACHINE_UNKNOWN] = { MT_CONTROLLER_ORDER_UNKNOWN, "no answer" },
  };
  struct order_call *call = data;
  struct mt_fleet_leader *lead = call->leader;

  mt_order_window_answered (&lead->orders, answer, mt_loop_now ());
  if (!lead->destroyed)
    {
      if (answer != MT_MACHINE_DONE)
        mt_journal_log (lead->options.journal, "MACHINE_REFUSED", "machine=%s order=%s why=%s",
                        call->machine, call->order_name, answers[answer].text);
      mt_controller_handle_result (lead->controller, call->machine, answers[answer].result,
                                   mt_loop_now ());
      if (answer == MT_MACHINE_FENCED)
        mt_cluster_drop_leadership (lead->options.cluster, lead->options.leadership,
                                    "a machine has seen a higher fencing token");
      else
        send_orders (lead);
    }
  unref (lead);
  g_free (call->machine);
  g_free (call->order_name);
  g_free (call);
}

static void
send_order (struct mt_fleet_leader *lead, const struct mt_controller_order *order)
{
  const struct mt_machines *machines = &lead->options.machines;
  struct order_call *call = g_new0 (struct order_call, 1);
  bool maintenance = order->kind == MT_CONTROLLER_MAINTENANCE;

  mt_order_window_sent (&lead->orders);
  call->leader = ref (lead);
  call->machine = g_strdup (order->machine);
  call->order_name = g_strdup (maintenance ? "upkeep" : order->to);
  mt_journal_log (lead->options.journal, maintenance ? "UPKEEP_ORDERED" : "MACHINE_MOVED",
                  "machine=%s worker=%s pool=%s to=%s wave=%" G_GINT64_FORMAT, order->machine,
                  order->worker != NULL ? order->worker : "-", order->pool,
                  maintenance ? "-" : order->to, order->wave);
  if (maintenance)
    machines->ops->maintain (machines->ctx, order->machine, order->wave, lead->options.token,
                             on_ordered, call);
  else
    machines->ops->move (machines->ctx, order->machine, order->to, lead->options.token, on_ordered,
                         call);
}

/* Sends orders only while this daemon's lease is valid: after that they could contradict the orders
 * of a successor. */
static void
send_orders (struct mt_fleet_leader *lead)
{
  struct mt_controller_order order;

  while (mt_cluster_lease_is_valid (lead->options.cluster)
         && mt_order_window_may_send (&lead->orders, mt_loop_now ())
         && mt_controller_next_order (lead->controller, mt_loop_now (), &order))
    send_order (lead, &order);
}

/* ---- home pools of machines ---- */

static void
on_homes_read (void *data, const struct mt_kv_reply *reply)
{
  struct mt_fleet_leader *lead = data;

  lead->homes_in_flight = false;
  if (!lead->destroyed && (reply->status == MT_KV_OK || reply->status == MT_KV_MISSING))
    {
      json_t *root
          = reply->n_items > 0 && reply->status == MT_KV_OK
                ? json_loadb (reply->items[0].value.data, reply->items[0].value.len, 0, NULL)
                : NULL;
      const char *machine;
      json_t *pool;

      json_object_foreach (root, machine, pool) if (json_is_string (pool))
          mt_controller_set_home (lead->controller, machine, json_string_value (pool));
      json_decref (root);
      lead->homes_read = true;
    }
  unref (lead);
}

static void
on_homes_written (void *data, const struct mt_kv_reply *reply)
{
  struct mt_fleet_leader *lead = data;

  lead->homes_in_flight = false;
  if (!lead->destroyed)
    lead->homes_retry_at = next_write_at (lead, HOMES_KEY, reply->status);
  if (!lead->destroyed && reply->status == MT_KV_OK)
    {
      mt_controller_homes_stored (lead->controller, lead->homes_sent);
      send_orders (lead);
    }
  unref (lead);
}

static void
write_homes (struct mt_fleet_leader *lead)
{
  bool waits = lead->homes_in_flight || mt_loop_now () < lead->homes_retry_at;
  char **homes = waits ? NULL : mt_controller_unstored_homes (lead->controller);
  json_t *root;
  char *text;
  struct mt_kv_expect expect = { lead->leader_key, lead->options.token };
  struct mt_kv_put put = { .key = HOMES_KEY };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  if (homes == NULL)
    return;
  root = json_object ();
  for (char **at = homes; at[0] != NULL; at += 2)
    json_object_set_new (root, at[0], json_string (at[1]));
  text = json_dumps (root, JSON_COMPACT);
  put.value = mt_str_from (text);
  g_strfreev (lead->homes_sent);
  lead->homes_sent = homes;
  lead->homes_in_flight = true;
  mt_kv_write (&lead->options.kv, &txn, TXN_TIMEOUT_MS, on_homes_written, ref (lead));
  free (text);
  json_decref (root);
}

static void
read_homes (struct mt_fleet_leader *lead)
{
  if (lead->homes_in_flight)
    return;
  lead->homes_in_flight = true;
  mt_kv_read (&lead->options.kv, HOMES_KEY, TXN_TIMEOUT_MS, on_homes_read, ref (lead));
}

static void
plan_and_send (struct mt_fleet_leader *lead)
{
  ref (lead);
  mt_controller_plan (lead->controller, mt_loop_now ());
  write_homes (lead);
  send_orders (lead);
  unref (lead);
}

static void
on_tick (void *ctx)
{
  struct mt_fleet_leader *lead = ctx;
  bool unfinished = advance_waves (lead);
  bool under_pressure = mt_controller_needs_frequent_loads (lead->controller);

  mt_timer_set (lead->tick, under_pressure ? TICK_PRESSURE_MS : TICK_MS);
  if (!lead->homes_read)
    {
      read_homes (lead);
      return;
    }
  if (lead->forecast_store != NULL)
    mt_forecast_store_tick (lead->forecast_store, mt_loop_now (), mt_loop_wall_ms ());
  list_machines (lead, unfinished || mt_controller_expects_changes (lead->controller));
  for (guint i = 0; i < lead->pools->len; i++)
    query_pool (lead, lead->pools->pdata[i]);
  plan_and_send (lead);
  log_forecasts (lead);
}

/* ---- creation and destruction ---- */

void
mt_fleet_leader_set_config (struct mt_fleet_leader *lead, const struct mt_fleet_config *config)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  g_ptr_array_set_size (lead->pools, 0);
  for (size_t i = 0; i < config->n_pools; i++)
    {
      mt_controller_set_pool (lead->controller, config->pools[i].name, config->pools[i].standby);
      if (config->pools[i].standby)
        continue;
      g_ptr_array_add (lead->pools, g_strdup (config->pools[i].name));
      g_ptr_array_add (names, config->pools[i].name);
    }
  g_ptr_array_add (names, NULL);
  mt_grants_configure (lead->grants, (const char *const *) names->pdata, config->workspaces);
}

void
mt_fleet_leader_for_each_pool (struct mt_fleet_leader *lead,
                               void (*each) (void *ctx,
                                             const char *pool,
                                             const struct mt_controller_counts *counts),
                               void *ctx)
{
  struct mt_controller_counts counts;

  for (guint i = 0; i < lead->pools->len; i++)
    if (mt_controller_count (lead->controller, lead->pools->pdata[i], &counts))
      each (ctx, lead->pools->pdata[i], &counts);
}

static void
create_forecast_store (struct mt_fleet_leader *lead)
{
  struct mt_forecast_store_options options
      = { .kv = lead->options.kv,
          .leader_key = lead->leader_key,
          .token = lead->options.token,
          .forecast = mt_controller_forecast (lead->controller),
          .journal = lead->options.journal };

  if (options.forecast != NULL)
    lead->forecast_store = mt_forecast_store_create (&options);
}

struct mt_fleet_leader *
mt_fleet_leader_create (struct event_base *base, const struct mt_fleet_leader_options *options)
{
  struct mt_fleet_leader *lead = g_rc_box_new0 (struct mt_fleet_leader);
  struct mt_controller_settings settings = { .move_ms = options->move_ms,
                                             .maintenance_ms = options->maintenance_ms,
                                             .stop_grace_ms = options->stop_grace_ms,
                                             .allow_moves = true,
                                             .forecast = options->forecast,
                                             .idle_cost = options->idle_cost };
  struct mt_watcher_options watch = { .prefix = options->codec->waves_prefix,
                                      .wait_ms = WAVES_WAIT_MS,
                                      .journal = options->journal,
                                      .on_item = on_wave,
                                      .ctx = lead };

  lead->options = *options;
  lead->leader_key = mt_cluster_leader_key (options->leadership);
  lead->controller = mt_controller_create (&settings);
  create_forecast_store (lead);
  lead->grants = mt_grants_create (options->token, mt_loop_now ());
  lead->waves = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_wave);
  lead->pools = g_ptr_array_new_with_free_func (g_free);
  lead->list_requested_at = -LIST_IDLE_MS;
  lead->orders = mt_order_window_make ();
  lead->tick = mt_timer_create (base, on_tick, lead);
  lead->watch = mt_watcher_create (base, options->kv, &watch);
  mt_timer_set (lead->tick, TICK_MS);
  return lead;
}

void
mt_fleet_leader_destroy (struct mt_fleet_leader *lead)
{
  if (lead == NULL)
    return;
  lead->destroyed = true;
  mt_forecast_store_destroy (lead->forecast_store);
  mt_timer_clear (lead->tick);
  mt_watcher_destroy (lead->watch);
  unref (lead);
}
