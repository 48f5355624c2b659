#include "fleet_workers.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS          20
#define HEARTBEAT_MS     1000
#define MAINTENANCE_MS   400
#define LOST_ANSWER_MS   2500
#define WORKER_CPU_MILLI 16000
#define TASK_CPU_MILLI   1000
#define CRASH_DOWN_MS    1500
/* The first task of each step of a job with this spec crashes its worker. */
#define CRASH_SPEC       "crash"
#define WORKER_MEMORY_MB 32768
/* Most ends in the answer to one hold. */
#define MAX_LISTED_ENDS 500

struct run
{
  char *task;
  int64_t id;
  int64_t started_ms;
};

struct end
{
  int64_t number; /* acknowledged by this number */
  char *task;
  int64_t run_id;
  const char *reason;
};

/* An exchange that is answered later. */
struct held
{
  struct mt_exchange *exchange;
  int64_t deadline_ms;
  int64_t seen;
  bool lost; /* answered after the caller's time-out */
};

/* An order that is carried out late, by whatever incarnation is up then. */
struct late_order
{
  int64_t due_ms;
  char *path;
  json_t *root;
};

struct worker
{
  struct fleet_workers *fleet;
  struct mt_http_front *front;
  char *id; /* differs by incarnation */
  char *machine;
  int64_t started_ms;
  int64_t down_until_ms; /* end of maintenance or of a crash; 0: up */
  bool crash_pending;    /* crashes at the next tick */
  bool crashed;          /* down, and answers no call in time */
  int64_t fencing_token; /* highest received */
  int64_t lease_end_ms;  /* by the worker's clock; 0: no lease */
  GQueue runs;
  GQueue ends;
  GQueue held;
  GQueue late;          /* of struct late_order */
  GQueue unanswered;    /* of struct mt_exchange: calls received during an outage */
  int64_t outage_ms;    /* begins for that long with its next answer to a hold; 0: none */
  int64_t back_at_ms;   /* end of the present outage; 0: none */
  int64_t age_ms;       /* reading of its clock at started_ms */
  bool is_contacted;    /* this incarnation has answered a hold */
  int64_t cut_until_ms; /* receives nothing until then; its runs go on */
  int64_t last_end_number;
  int64_t seq;
  unsigned incarnations;
};

struct fleet_workers
{
  struct event_base *base;
  struct fleet_store *store;
  char *pool;
  struct worker *workers;
  unsigned n;
  int64_t run_ms;
  int64_t max_hold_ms;
  unsigned lose_percent;
  unsigned late_percent;
  int64_t late_ms;
  unsigned carried_out_late;
  unsigned calls;
  GHashTable *machine_tokens; /* machine -> highest fencing token received */
  unsigned started;
  unsigned duplicates; /* starts of a task that ran already */
  unsigned lapsed;     /* runs that ended because the lease expired */
  unsigned max_down;   /* most workers down when a maintenance started */
  unsigned crashes;
  unsigned overbooked; /* starts beyond a worker's capacity */
  int64_t cpu_milli;   /* of each worker */
  int64_t next_heartbeat_ms;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static int64_t
worker_clock_ms (const struct worker *w)
{
  return w->age_ms + now_ms () - w->started_ms;
}

/* ---- runs ---- */

static struct run *
find_run (const struct worker *w, const char *task)
{
  for (GList *l = w->runs.head; l != NULL; l = l->next)
    if (strcmp (((struct run *) l->data)->task, task) == 0)
      return l->data;
  return NULL;
}

static void
end_run (struct worker *w, struct run *run, const char *reason)
{
  struct end *end = g_new0 (struct end, 1);

  *end = (struct end){ ++w->last_end_number, run->task, run->id, reason };
  g_queue_push_tail (&w->ends, end);
  g_queue_remove (&w->runs, run);
  g_free (run);
}

static void
end_all_runs (struct worker *w, const char *reason)
{
  while (!g_queue_is_empty (&w->runs))
    end_run (w, g_queue_peek_head (&w->runs), reason);
}

/* True if the request's fencing token is older than the newest one received, which it updates. */
static bool
is_fenced (struct worker *w, const json_t *root)
{
  int64_t token = json_integer_value (json_object_get (root, "fencing-token"));

  if (token < w->fencing_token)
    return true;
  w->fencing_token = token;
  return false;
}

static void
extend_lease (struct worker *w, const json_t *root)
{
  int64_t lease = json_integer_value (json_object_get (root, "deadline-ms"));

  lease = MIN (lease, worker_clock_ms (w) + w->fleet->max_hold_ms);
  w->lease_end_ms = MAX (w->lease_end_ms, lease);
}

static json_t *
make_answer (const struct worker *w, const char *reason)
{
  json_t *body = json_pack ("{sI sI}", "clock-ms", worker_clock_ms (w), "born", w->started_ms);

  if (reason != NULL)
    json_object_set_new (body, "reason", json_string (reason));
  return body;
}

static unsigned
handle_start (struct worker *w, const json_t *root, json_t **body)
{
  const char *task = json_string_value (json_object_get (root, "task"));
  int64_t number = json_integer_value (json_object_get (root, "run-id"));
  struct run *run = find_run (w, task);

  *body = make_answer (w, is_fenced (w, root) ? "fence" : NULL);
  if (json_object_get (*body, "reason") != NULL)
    return 409;
  extend_lease (w, root);
  if (run != NULL && run->id == number)
    return 200;
  w->fleet->overbooked += (int64_t) (w->runs.length + 1) * TASK_CPU_MILLI > w->fleet->cpu_milli;
  w->crash_pending
      |= g_str_has_suffix (task, ".0")
         && g_strcmp0 (json_string_value (json_object_get (root, "spec")), CRASH_SPEC) == 0;
  for (unsigned i = 0; i < w->fleet->n; i++)
    w->fleet->duplicates += find_run (&w->fleet->workers[i], task) != NULL;
  run = g_new0 (struct run, 1);
  *run = (struct run){ g_strdup (task), number, now_ms () };
  g_queue_push_tail (&w->runs, run);
  w->fleet->started++;
  return 200;
}

static unsigned
handle_stop (struct worker *w, const json_t *root, json_t **body)
{
  struct run *run = find_run (w, json_string_value (json_object_get (root, "task")));

  *body = make_answer (w, is_fenced (w, root) ? "fence" : NULL);
  if (json_object_get (*body, "reason") != NULL)
    return 409;
  if (run != NULL)
    end_run (w, run, "stopped");
  return 200;
}

/* ---- holds ---- */

static json_t *
runs_to_json (const struct worker *w)
{
  json_t *list = json_array ();

  for (const GList *l = w->runs.head; l != NULL; l = l->next)
    {
      const struct run *run = l->data;
      int64_t percent = MIN (100 * (now_ms () - run->started_ms) / MAX (w->fleet->run_ms, 1), 100);

      json_array_append_new (list,
                             json_pack ("[s, I, s, I, i]", run->task, run->id, "", percent, 0));
    }
  return list;
}

static json_t *
ends_to_json (const struct worker *w)
{
  json_t *list = json_array ();

  for (const GList *l = w->ends.head; l != NULL && json_array_size (list) < MAX_LISTED_ENDS;
       l = l->next)
    {
      const struct end *end = l->data;

      json_array_append_new (list, json_pack ("[I, s, I, s, s]", end->number, end->task,
                                              end->run_id, end->reason, ""));
    }
  return list;
}

static void
drop_runs_and_ends (struct worker *w)
{
  while (!g_queue_is_empty (&w->runs))
    {
      struct run *run = g_queue_pop_head (&w->runs);

      g_free (run->task);
      g_free (run);
    }
  g_queue_clear_full (&w->ends, g_free);
}

static void
lose_held_answers (struct worker *w)
{
  for (GList *l = w->held.head; l != NULL; l = l->next)
    {
      struct held *held = l->data;

      held->lost = true;
      held->deadline_ms = now_ms () + LOST_ANSWER_MS;
    }
}

static void
begin_outage (struct worker *w)
{
  drop_runs_and_ends (w);
  lose_held_answers (w);
  w->back_at_ms = now_ms () + w->outage_ms;
  w->outage_ms = 0;
  w->fleet->crashes++;
}

/* Answers the holds that have run ends to report or whose time has passed. */
static void
answer_holds (struct worker *w)
{
  bool answered = false;
  GList *next;

  for (GList *l = w->held.head; l != NULL; l = next)
    {
      struct held *held = l->data;
      json_t *body;

      next = l->next;
      if (now_ms () < held->deadline_ms && (held->lost || g_queue_is_empty (&w->ends)))
        continue;
      body = make_answer (w, NULL);
      json_object_set_new (body, "running", runs_to_json (w));
      json_object_set_new (body, "ended", ends_to_json (w));
      fleet_answer (held->exchange, 200, body);
      answered |= !held->lost;
      g_free (held);
      g_queue_delete_link (&w->held, l);
    }
  if (answered && w->outage_ms != 0)
    begin_outage (w);
}

static void
handle_hold (struct worker *w, const json_t *root, struct mt_exchange *exchange)
{
  int64_t seen = json_integer_value (json_object_get (root, "last-seen"));
  struct held *held;

  if (is_fenced (w, root))
    {
      fleet_answer (exchange, 409, make_answer (w, "fence"));
      return;
    }
  extend_lease (w, root);
  while (!g_queue_is_empty (&w->ends)
         && ((struct end *) g_queue_peek_head (&w->ends))->number <= seen)
    g_free (g_queue_pop_head (&w->ends));
  held = g_new0 (struct held, 1);
  w->is_contacted = true;
  *held
      = (struct held){ exchange, now_ms () + json_integer_value (json_object_get (root, "wait-ms")),
                       seen, false };
  g_queue_push_tail (&w->held, held);
  answer_holds (w);
}

/* Answers only after the caller has given up. */
static void
answer_late (struct worker *w, struct mt_exchange *exchange)
{
  struct held *held = g_new0 (struct held, 1);

  *held = (struct held){ exchange, now_ms () + LOST_ANSWER_MS, 0, true };
  g_queue_push_tail (&w->held, held);
}

static void
delay_order (struct worker *w, const char *path, json_t *root)
{
  struct late_order *late = g_new0 (struct late_order, 1);

  *late = (struct late_order){ now_ms () + w->fleet->late_ms, g_strdup (path), json_incref (root) };
  g_queue_push_tail (&w->late, late);
}

/* An order of a former incarnation looks like any other: only its token can tell. A hold grants its
 * lease and acknowledges nothing. */
static void
carry_out_late (struct worker *w, const struct late_order *late)
{
  json_t *body = NULL;

  w->fleet->carried_out_late++;
  if (strcmp (late->path, "/run-start") == 0)
    handle_start (w, late->root, &body);
  else if (strcmp (late->path, "/run-stop") == 0)
    handle_stop (w, late->root, &body);
  else if (strcmp (late->path, "/hold") == 0 && !is_fenced (w, late->root))
    extend_lease (w, late->root);
  json_decref (body);
}

static void
carry_out_late_orders (struct worker *w)
{
  GList *next;

  for (GList *l = w->late.head; l != NULL && w->is_contacted && w->down_until_ms == 0; l = next)
    {
      struct late_order *late = l->data;

      next = l->next;
      if (now_ms () < late->due_ms)
        continue;
      carry_out_late (w, late);
      g_queue_delete_link (&w->late, l);
      json_decref (late->root);
      g_free (late->path);
      g_free (late);
    }
}

static void
handle_call (struct worker *w, struct mt_exchange *exchange)
{
  struct mt_str text = mt_exchange_body (exchange);
  const char *expected = mt_exchange_header (exchange, "X-Medlartrack-Expect-Instance");
  const char *path = mt_exchange_path (exchange);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  json_t *body = NULL;
  unsigned status = 404;
  bool lost = ++w->fleet->calls % 100 < w->fleet->lose_percent;
  bool late = w->fleet->calls % 100 < w->fleet->late_percent;

  if (w->crashed || now_ms () < w->cut_until_ms)
    answer_late (w, exchange);
  else if (late && w->down_until_ms == 0)
    {
      delay_order (w, path, root);
      answer_late (w, exchange);
    }
  else if (w->down_until_ms != 0)
    fleet_answer (exchange, 503, json_object ());
  else if (expected == NULL || strcmp (expected, w->id) != 0)
    fleet_answer (exchange, 421, json_object ());
  else if (strcmp (path, "/hold") == 0)
    handle_hold (w, root, exchange);
  else
    {
      if (strcmp (path, "/run-start") == 0)
        status = handle_start (w, root, &body);
      else if (strcmp (path, "/run-stop") == 0)
        status = handle_stop (w, root, &body);
      else if (strcmp (path, "/pace") == 0)
        {
          status = 200;
          body = make_answer (w, NULL);
        }
      if (lost)
        {
          json_decref (body);
          answer_late (w, exchange);
        }
      else
        fleet_answer (exchange, status, body != NULL ? body : json_object ());
    }
  json_decref (root);
}

static void
on_call (void *ctx, struct mt_exchange *exchange)
{
  struct worker *w = ctx;

  if (w->back_at_ms != 0)
    g_queue_push_tail (&w->unanswered, exchange);
  else
    handle_call (w, exchange);
}

/* ---- registry and machines ---- */

static void
publish_entry (struct worker *w)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", w->id);
  json_t *entry
      = json_pack ("{ss so ss ss si ss si s{si si si} s[ss] sI sI}", "service", w->fleet->pool,
                   "address", json_sprintf ("127.0.0.1:%u", mt_http_front_port (w->front)), "zone",
                   "west", "version", "v1", "slots", 8, "state", "ready", "cold-remaining-ms", 0,
                   "capacity", "cpu", (int) w->fleet->cpu_milli, "mem-mb", WORKER_MEMORY_MB, "gpu",
                   0, "labels", "a", "r1", "seq-no", ++w->seq, "born", w->started_ms);
  char *text = json_dumps (entry, JSON_COMPACT);

  fleet_store_put (w->fleet->store, key, text);
  free (text);
  json_decref (entry);
}

/* Begins an incarnation, under the present id, that knows nothing of those before. */
static void
reset_worker (struct worker *w)
{
  w->is_contacted = false;
  w->started_ms = now_ms ();
  w->down_until_ms = 0;
  w->crash_pending = w->crashed = false;
  w->fencing_token = w->lease_end_ms = w->last_end_number = 0;
  w->age_ms = 0;
  publish_entry (w);
}

static void
start_incarnation (struct worker *w)
{
  g_free (w->id);
  w->id = g_strdup_printf ("i-%s-%u", w->machine, ++w->incarnations);
  reset_worker (w);
}

static void
start_maintenance (struct worker *w)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", w->id);
  unsigned down = 0;

  end_all_runs (w, "stopped");
  g_queue_clear_full (&w->ends, g_free);
  w->down_until_ms = now_ms () + MAINTENANCE_MS;
  fleet_store_put (w->fleet->store, key, NULL);
  for (unsigned i = 0; i < w->fleet->n; i++)
    down += w->fleet->workers[i].down_until_ms != 0;
  w->fleet->max_down = MAX (w->fleet->max_down, down);
}

/* Drops all runs. The registry entry stays until the worker restarts as a new incarnation. */
static void
crash (struct worker *w)
{
  drop_runs_and_ends (w);
  lose_held_answers (w);
  w->crash_pending = false;
  w->crashed = true;
  w->down_until_ms = now_ms () + CRASH_DOWN_MS;
  w->fleet->crashes++;
}

static void
list_machines (const struct fleet_workers *fleet, struct mt_exchange *exchange)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct worker *w = &fleet->workers[i];

      json_array_append_new (list, json_pack ("{ss ss ss ss s[ss] s{si si si} ss}", "machine",
                                              w->machine, "pool", fleet->pool, "state",
                                              w->down_until_ms != 0 ? "upkeep" : "up", "zone",
                                              "west", "labels", "a", "r1", "capacity", "cpu",
                                              WORKER_CPU_MILLI, "mem-mb", WORKER_MEMORY_MB, "gpu",
                                              0, "id", w->down_until_ms != 0 ? "" : w->id));
    }
  fleet_answer (exchange, 200, json_pack ("{so sn}", "machines", list, "next-token"));
}

static bool
is_stale_machine_token (struct fleet_workers *fleet, const char *machine, int64_t token)
{
  int64_t *highest = g_hash_table_lookup (fleet->machine_tokens, machine);

  if (highest != NULL && *highest > token)
    return true;
  highest = g_new (int64_t, 1);
  *highest = token;
  g_hash_table_replace (fleet->machine_tokens, g_strdup (machine), highest);
  return false;
}

void
fleet_workers_handle_machines (struct fleet_workers *fleet, struct mt_exchange *exchange)
{
  struct mt_str text = mt_exchange_body (exchange);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  const char *machine = json_string_value (json_object_get (root, "machine"));
  const char *token = mt_exchange_header (exchange, "X-Medlartrack-Fencing-Token");
  struct worker *found = NULL;

  for (unsigned i = 0; machine != NULL && i < fleet->n; i++)
    if (strcmp (fleet->workers[i].machine, machine) == 0)
      found = &fleet->workers[i];
  if (strcmp (mt_exchange_path (exchange), "/machines") == 0)
    list_machines (fleet, exchange);
  else if (found == NULL || strcmp (mt_exchange_path (exchange), "/machine-upkeep") != 0)
    fleet_answer (exchange, 400, json_object ());
  else if (token == NULL || is_stale_machine_token (fleet, machine, atoll (token)))
    fleet_answer (exchange, 409, json_pack ("{ss}", "reason", "fence"));
  else if (found->down_until_ms != 0)
    fleet_answer (exchange, 409, json_pack ("{ss}", "reason", "busy"));
  else
    {
      start_maintenance (found);
      fleet_answer (exchange, 200, json_object ());
    }
  json_decref (root);
}

/* ---- timer ---- */

/* The calls that its former incarnation was sent reach the worker once it is back. */
static void
end_outage (struct worker *w)
{
  w->back_at_ms = 0;
  reset_worker (w);
  while (!g_queue_is_empty (&w->unanswered))
    {
      w->fleet->carried_out_late++;
      handle_call (w, g_queue_pop_head (&w->unanswered));
    }
}

static bool
sends_heartbeats (const struct worker *w)
{
  return w->down_until_ms == 0 && w->back_at_ms == 0 && now_ms () >= w->cut_until_ms;
}

static void
advance_worker (struct worker *w)
{
  GList *next;

  if (w->back_at_ms != 0 && now_ms () >= w->back_at_ms)
    end_outage (w);
  if (w->crash_pending)
    crash (w);
  if (w->down_until_ms != 0 && now_ms () >= w->down_until_ms)
    start_incarnation (w);
  if (w->lease_end_ms != 0 && worker_clock_ms (w) > w->lease_end_ms)
    {
      w->fleet->lapsed += w->runs.length;
      end_all_runs (w, "lapsed");
    }
  for (GList *l = w->runs.head; l != NULL; l = next)
    {
      struct run *run = l->data;

      next = l->next;
      if (w->fleet->run_ms > 0 && now_ms () - run->started_ms >= w->fleet->run_ms)
        end_run (w, run, "done");
    }
  carry_out_late_orders (w);
  if (now_ms () >= w->cut_until_ms)
    answer_holds (w);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  struct fleet_workers *fleet = ctx;
  bool heartbeat_due = now_ms () >= fleet->next_heartbeat_ms;

  for (unsigned i = 0; i < fleet->n; i++)
    {
      advance_worker (&fleet->workers[i]);
      if (heartbeat_due && sends_heartbeats (&fleet->workers[i]))
        publish_entry (&fleet->workers[i]);
    }
  if (heartbeat_due)
    fleet->next_heartbeat_ms = now_ms () + HEARTBEAT_MS;
}

struct fleet_workers *
fleet_workers_create (struct event_base *base,
                      struct fleet_store *store,
                      const struct fleet_workers_options *options)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct fleet_workers *fleet = g_new0 (struct fleet_workers, 1);
  struct event *timer = event_new (base, -1, EV_PERSIST, on_tick, fleet);

  fleet->base = base;
  fleet->store = store;
  fleet->pool = g_strdup (options->pool);
  fleet->n = options->n;
  fleet->run_ms = options->run_ms;
  fleet->max_hold_ms = options->max_hold_ms;
  fleet->cpu_milli = WORKER_CPU_MILLI;
  fleet->workers = g_new0 (struct worker, fleet->n);
  fleet->machine_tokens = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (unsigned i = 0; i < fleet->n; i++)
    {
      struct worker *w = &fleet->workers[i];
      struct mt_http_front_options front = { .address = "127.0.0.1:0",
                                             .max_connections = 64,
                                             .idle_timeout_s = 60,
                                             .max_body_bytes = 65536,
                                             .handle = on_call,
                                             .ctx = w };

      w->fleet = fleet;
      w->machine = g_strdup_printf ("m%u", i);
      w->front = mt_http_front_create (base, &front, NULL);
      start_incarnation (w);
      w->age_ms = options->age_ms;
    }
  event_add (timer, &tick);
  return fleet;
}

json_t *
fleet_workers_report (const struct fleet_workers *fleet)
{
  unsigned running = 0;
  unsigned cut_off = 0;

  for (unsigned i = 0; i < fleet->n; i++)
    {
      const struct worker *w = &fleet->workers[i];

      running += w->runs.length;
      cut_off += now_ms () < w->cut_until_ms ? w->runs.length : 0;
    }
  return json_pack ("{si si si si si si si si si}", "cut_off", cut_off, "late",
                    fleet->carried_out_late, "started", fleet->started, "twice", fleet->duplicates,
                    "running", running, "lapsed", fleet->lapsed, "down_most", fleet->max_down,
                    "crashes", fleet->crashes, "overbooked", fleet->overbooked);
}

void
fleet_workers_resize (struct fleet_workers *fleet, int64_t cpu)
{
  fleet->cpu_milli = cpu;
}

void
fleet_workers_lose_answers (struct fleet_workers *fleet, unsigned percent)
{
  fleet->lose_percent = percent;
}

void
fleet_workers_delay_orders (struct fleet_workers *fleet, unsigned percent, int64_t ms)
{
  fleet->late_percent = percent;
  fleet->late_ms = ms;
}

void
fleet_workers_restart (struct fleet_workers *fleet, unsigned worker)
{
  struct worker *w = &fleet->workers[worker % fleet->n];

  drop_runs_and_ends (w);
  reset_worker (w);
}

void
fleet_workers_cut (struct fleet_workers *fleet, unsigned worker, int64_t ms)
{
  fleet->workers[worker % fleet->n].cut_until_ms = now_ms () + ms;
}

void
fleet_workers_crash (struct fleet_workers *fleet, unsigned worker, int64_t ms)
{
  fleet->workers[worker % fleet->n].outage_ms = ms;
}
