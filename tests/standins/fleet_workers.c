#include "fleet_workers.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS     20
#define BEAT_MS     1000
#define UPKEEP_MS   400
#define MAX_HOLD_MS 6000
#define LOST_MS     2500
#define CPU         16000
#define TASK_CPU    1000
#define CRASH_MS    1500
/* The first task of each step of a job with this spec takes its worker down. */
#define CRASH_SPEC "crash"
#define MEM        32768

struct run
{
  char *task;
  int64_t run;
  int64_t began;
};

struct end
{
  int64_t number;
  char *task;
  int64_t run;
  const char *how;
};

struct held
{
  struct mt_exchange *exchange;
  int64_t until;
  int64_t seen;
  bool lost; /* gets no answer in time */
};

struct worker
{
  struct fleet_workers *all;
  struct mt_http_front *front;
  char *id;
  char *machine;
  int64_t born;
  int64_t up_at; /* down for upkeep until then; 0 */
  bool crashing; /* goes down at the next tick */
  bool crashed;  /* down, and answers nobody */
  int64_t token;
  int64_t lease;
  GQueue runs;
  GQueue ends;
  GQueue held;
  int64_t last_end;
  int64_t seq;
  unsigned lives;
};

struct fleet_workers
{
  struct event_base *base;
  struct fleet_store *store;
  char *pool;
  struct worker *workers;
  unsigned n;
  int64_t run_ms;
  unsigned lose_percent;
  unsigned orders;
  GHashTable *token_of; /* machine to highest token */
  unsigned started;
  unsigned twice;
  unsigned lapsed;
  unsigned down_most;
  unsigned crashes;
  unsigned overbooked; /* starts beyond a worker's room */
  int64_t cpu;
  int64_t beat_at;
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static int64_t
clock_of (const struct worker *w)
{
  return now_ms () - w->born;
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
end_run (struct worker *w, struct run *run, const char *how)
{
  struct end *end = g_new0 (struct end, 1);

  *end = (struct end){ ++w->last_end, run->task, run->run, how };
  g_queue_push_tail (&w->ends, end);
  g_queue_remove (&w->runs, run);
  g_free (run);
}

static void
end_all (struct worker *w, const char *how)
{
  while (!g_queue_is_empty (&w->runs))
    end_run (w, g_queue_peek_head (&w->runs), how);
}

static bool
is_fenced (struct worker *w, const json_t *root)
{
  int64_t token = json_integer_value (json_object_get (root, "fencing-token"));

  if (token < w->token)
    return true;
  w->token = token;
  return false;
}

static void
extend (struct worker *w, const json_t *root)
{
  int64_t lease = json_integer_value (json_object_get (root, "deadline-ms"));

  lease = MIN (lease, clock_of (w) + MAX_HOLD_MS);
  w->lease = MAX (w->lease, lease);
}

static json_t *
said (const struct worker *w, const char *reason)
{
  json_t *body = json_pack ("{sI sI}", "clock-ms", clock_of (w), "born", w->born);

  if (reason != NULL)
    json_object_set_new (body, "reason", json_string (reason));
  return body;
}

static unsigned
start (struct worker *w, const json_t *root, json_t **body)
{
  const char *task = json_string_value (json_object_get (root, "task"));
  int64_t number = json_integer_value (json_object_get (root, "run-id"));
  struct run *run = find_run (w, task);

  *body = said (w, is_fenced (w, root) ? "fence" : NULL);
  if (json_object_get (*body, "reason") != NULL)
    return 409;
  extend (w, root);
  if (run != NULL && run->run == number)
    return 200;
  w->all->overbooked += (int64_t) (w->runs.length + 1) * TASK_CPU > w->all->cpu;
  w->crashing |= g_str_has_suffix (task, ".0")
                 && g_strcmp0 (json_string_value (json_object_get (root, "spec")), CRASH_SPEC) == 0;
  for (unsigned i = 0; i < w->all->n; i++)
    w->all->twice += find_run (&w->all->workers[i], task) != NULL;
  run = g_new0 (struct run, 1);
  *run = (struct run){ g_strdup (task), number, now_ms () };
  g_queue_push_tail (&w->runs, run);
  w->all->started++;
  return 200;
}

static unsigned
stop (struct worker *w, const json_t *root, json_t **body)
{
  struct run *run = find_run (w, json_string_value (json_object_get (root, "task")));

  *body = said (w, is_fenced (w, root) ? "fence" : NULL);
  if (json_object_get (*body, "reason") != NULL)
    return 409;
  if (run != NULL)
    end_run (w, run, "stopped");
  return 200;
}

/* ---- holds ---- */

static json_t *
show_runs (const struct worker *w)
{
  json_t *list = json_array ();

  for (const GList *l = w->runs.head; l != NULL; l = l->next)
    {
      const struct run *run = l->data;
      int64_t percent = MIN (100 * (now_ms () - run->began) / MAX (w->all->run_ms, 1), 100);

      json_array_append_new (list,
                             json_pack ("[s, I, s, I, i]", run->task, run->run, "", percent, 0));
    }
  return list;
}

static json_t *
show_ends (const struct worker *w)
{
  json_t *list = json_array ();

  for (const GList *l = w->ends.head; l != NULL; l = l->next)
    {
      const struct end *end = l->data;

      json_array_append_new (
          list, json_pack ("[I, s, I, s, s]", end->number, end->task, end->run, end->how, ""));
    }
  return list;
}

static void
answer_held (struct worker *w)
{
  GList *next;

  for (GList *l = w->held.head; l != NULL; l = next)
    {
      struct held *held = l->data;
      json_t *body;

      next = l->next;
      if (now_ms () < held->until && (held->lost || g_queue_is_empty (&w->ends)))
        continue;
      body = said (w, NULL);
      json_object_set_new (body, "running", show_runs (w));
      json_object_set_new (body, "ended", show_ends (w));
      fleet_answer (held->exchange, 200, body);
      g_free (held);
      g_queue_delete_link (&w->held, l);
    }
}

static void
hold (struct worker *w, const json_t *root, struct mt_exchange *exchange)
{
  int64_t seen = json_integer_value (json_object_get (root, "last-seen"));
  struct held *held;

  if (is_fenced (w, root))
    {
      fleet_answer (exchange, 409, said (w, "fence"));
      return;
    }
  extend (w, root);
  while (!g_queue_is_empty (&w->ends)
         && ((struct end *) g_queue_peek_head (&w->ends))->number <= seen)
    g_free (g_queue_pop_head (&w->ends));
  held = g_new0 (struct held, 1);
  *held
      = (struct held){ exchange, now_ms () + json_integer_value (json_object_get (root, "wait-ms")),
                       seen, false };
  g_queue_push_tail (&w->held, held);
  answer_held (w);
}

static void
answer_late (struct worker *w, struct mt_exchange *exchange)
{
  struct held *held = g_new0 (struct held, 1);

  *held = (struct held){ exchange, now_ms () + LOST_MS, 0, true };
  g_queue_push_tail (&w->held, held);
}

static void
on_order (void *ctx, struct mt_exchange *exchange)
{
  struct worker *w = ctx;
  struct mt_str text = mt_exchange_body (exchange);
  const char *expected = mt_exchange_header (exchange, "X-Medlartrack-Expect-Instance");
  const char *path = mt_exchange_path (exchange);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  json_t *body = NULL;
  unsigned status = 404;
  bool lost = ++w->all->orders % 100 < w->all->lose_percent;

  if (w->crashed)
    answer_late (w, exchange);
  else if (w->up_at != 0)
    fleet_answer (exchange, 503, json_object ());
  else if (expected == NULL || strcmp (expected, w->id) != 0)
    fleet_answer (exchange, 421, json_object ());
  else if (strcmp (path, "/hold") == 0)
    hold (w, root, exchange);
  else
    {
      if (strcmp (path, "/run-start") == 0)
        status = start (w, root, &body);
      else if (strcmp (path, "/run-stop") == 0)
        status = stop (w, root, &body);
      else if (strcmp (path, "/pace") == 0)
        {
          status = 200;
          body = said (w, NULL);
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

/* ---- registry and machines ---- */

static void
beat (struct worker *w)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", w->id);
  json_t *entry = json_pack (
      "{ss so ss ss si ss si s{si si si} s[ss] sI sI}", "service", w->all->pool, "address",
      json_sprintf ("127.0.0.1:%u", mt_http_front_port (w->front)), "zone", "west", "version", "v1",
      "slots", 8, "state", "ready", "cold-remaining-ms", 0, "capacity", "cpu", (int) w->all->cpu,
      "mem-mb", MEM, "gpu", 0, "labels", "a", "r1", "seq-no", ++w->seq, "born", w->born);
  char *text = json_dumps (entry, JSON_COMPACT);

  fleet_store_put (w->all->store, key, text);
  free (text);
  json_decref (entry);
}

static void
begin_life (struct worker *w)
{
  g_free (w->id);
  w->id = g_strdup_printf ("i-%s-%u", w->machine, ++w->lives);
  w->born = now_ms ();
  w->up_at = 0;
  w->crashing = w->crashed = false;
  w->token = w->lease = w->last_end = 0;
  beat (w);
}

static void
go_down (struct worker *w)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", w->id);
  unsigned down = 0;

  end_all (w, "stopped");
  g_queue_clear_full (&w->ends, g_free);
  w->up_at = now_ms () + UPKEEP_MS;
  fleet_store_put (w->all->store, key, NULL);
  for (unsigned i = 0; i < w->all->n; i++)
    down += w->all->workers[i].up_at != 0;
  w->all->down_most = MAX (w->all->down_most, down);
}

/* Its entry stays until it is back as another life. */
static void
crash (struct worker *w)
{
  while (!g_queue_is_empty (&w->runs))
    {
      struct run *run = g_queue_pop_head (&w->runs);

      g_free (run->task);
      g_free (run);
    }
  g_queue_clear_full (&w->ends, g_free);
  for (GList *l = w->held.head; l != NULL; l = l->next)
    {
      struct held *held = l->data;

      held->lost = true;
      held->until = now_ms () + LOST_MS;
    }
  w->crashing = false;
  w->crashed = true;
  w->up_at = now_ms () + CRASH_MS;
  w->all->crashes++;
}

static void
list_machines (const struct fleet_workers *all, struct mt_exchange *exchange)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < all->n; i++)
    {
      const struct worker *w = &all->workers[i];

      json_array_append_new (list,
                             json_pack ("{ss ss ss ss s[ss] s{si si si} ss}", "machine", w->machine,
                                        "pool", all->pool, "state", w->up_at != 0 ? "upkeep" : "up",
                                        "zone", "west", "labels", "a", "r1", "capacity", "cpu", CPU,
                                        "mem-mb", MEM, "gpu", 0, "id", w->up_at != 0 ? "" : w->id));
    }
  fleet_answer (exchange, 200, json_pack ("{so sn}", "machines", list, "next-token"));
}

static bool
is_old_token (struct fleet_workers *all, const char *machine, int64_t token)
{
  int64_t *highest = g_hash_table_lookup (all->token_of, machine);

  if (highest != NULL && *highest > token)
    return true;
  highest = g_new (int64_t, 1);
  *highest = token;
  g_hash_table_replace (all->token_of, g_strdup (machine), highest);
  return false;
}

void
fleet_workers_handle_machines (struct fleet_workers *all, struct mt_exchange *exchange)
{
  struct mt_str text = mt_exchange_body (exchange);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  const char *machine = json_string_value (json_object_get (root, "machine"));
  const char *token = mt_exchange_header (exchange, "X-Medlartrack-Fencing-Token");
  struct worker *found = NULL;

  for (unsigned i = 0; machine != NULL && i < all->n; i++)
    if (strcmp (all->workers[i].machine, machine) == 0)
      found = &all->workers[i];
  if (strcmp (mt_exchange_path (exchange), "/machines") == 0)
    list_machines (all, exchange);
  else if (found == NULL || strcmp (mt_exchange_path (exchange), "/machine-upkeep") != 0)
    fleet_answer (exchange, 400, json_object ());
  else if (token == NULL || is_old_token (all, machine, atoll (token)))
    fleet_answer (exchange, 409, json_pack ("{ss}", "reason", "fence"));
  else if (found->up_at != 0)
    fleet_answer (exchange, 409, json_pack ("{ss}", "reason", "busy"));
  else
    {
      go_down (found);
      fleet_answer (exchange, 200, json_object ());
    }
  json_decref (root);
}

/* ---- time ---- */

static void
work (struct worker *w)
{
  GList *next;

  if (w->crashing)
    crash (w);
  if (w->up_at != 0 && now_ms () >= w->up_at)
    begin_life (w);
  if (w->lease != 0 && clock_of (w) > w->lease)
    {
      w->all->lapsed += w->runs.length;
      end_all (w, "lapsed");
    }
  for (GList *l = w->runs.head; l != NULL; l = next)
    {
      struct run *run = l->data;

      next = l->next;
      if (w->all->run_ms > 0 && now_ms () - run->began >= w->all->run_ms)
        end_run (w, run, "done");
    }
  answer_held (w);
}

static void
on_tick (evutil_socket_t fd, short what, void *ctx)
{
  struct fleet_workers *all = ctx;
  bool beats = now_ms () >= all->beat_at;

  for (unsigned i = 0; i < all->n; i++)
    {
      work (&all->workers[i]);
      if (beats && all->workers[i].up_at == 0)
        beat (&all->workers[i]);
    }
  if (beats)
    all->beat_at = now_ms () + BEAT_MS;
}

struct fleet_workers *
fleet_workers_create (struct event_base *base,
                      struct fleet_store *store,
                      const char *pool,
                      unsigned n,
                      unsigned run_ms)
{
  static const struct timeval tick = { 0, TICK_MS * 1000 };
  struct fleet_workers *all = g_new0 (struct fleet_workers, 1);
  struct event *timer = event_new (base, -1, EV_PERSIST, on_tick, all);

  all->base = base;
  all->store = store;
  all->pool = g_strdup (pool);
  all->n = n;
  all->run_ms = run_ms;
  all->cpu = CPU;
  all->workers = g_new0 (struct worker, n);
  all->token_of = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (unsigned i = 0; i < n; i++)
    {
      struct worker *w = &all->workers[i];
      struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                               .max_connections = 64,
                                               .idle_timeout_s = 60,
                                               .max_body_bytes = 65536,
                                               .handle = on_order,
                                               .ctx = w };

      w->all = all;
      w->machine = g_strdup_printf ("m%u", i);
      w->front = mt_http_front_create (base, &options, NULL);
      begin_life (w);
    }
  event_add (timer, &tick);
  return all;
}

json_t *
fleet_workers_report (const struct fleet_workers *all)
{
  unsigned running = 0;

  for (unsigned i = 0; i < all->n; i++)
    running += all->workers[i].runs.length;
  return json_pack ("{si si si si si si si}", "started", all->started, "twice", all->twice,
                    "running", running, "lapsed", all->lapsed, "down_most", all->down_most,
                    "crashes", all->crashes, "overbooked", all->overbooked);
}

void
fleet_workers_resize (struct fleet_workers *all, int64_t cpu)
{
  all->cpu = cpu;
}

void
fleet_workers_lose (struct fleet_workers *all, unsigned percent)
{
  all->lose_percent = percent;
}
