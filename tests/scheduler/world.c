#include "world.h"

#include <stdio.h>
#include <string.h>

#define STEP_MS  5
#define STOP_MS  60
#define CRASH_MS 10
#define LOST_MS  400
/* So long the answer to an order is waited for from when it should have left. */
#define ORDER_MS 350
/* On the wire, headers included; a start carries what its caller sent. */
#define START_BYTES 1000
#define ORDER_BYTES 215

static const struct mt_scheduler_settings settings = {
  .name = "pool",
  .lease_ms = 4500,
  .max_lease_ms = 6000,
  .remote_factor = 2,
  .retention_ms = 120000,
  .stop_grace_ms = 900,
};
static const struct mt_route_policy terms
    = { .priority = 0, .max_attempts = 3, .stretch = 1.6, .objective_ms = 600 };

struct world *
world_create (void)
{
  struct world *world = g_new0 (struct world, 1);

  world->now = 100000;
  world->run_ms = 1000;
  world->stop_ms = STOP_MS;
  world->token = 1;
  world->late = g_array_new (FALSE, TRUE, sizeof (struct world_late));
  world->sent = g_array_new (FALSE, TRUE, sizeof (struct world_sent));
  world->sched = mt_scheduler_create (&settings);
  mt_scheduler_set_route (world->sched, "route", &terms);
  world->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->crashing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->crashes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->crash_ms = CRASH_MS;
  return world;
}

static void
free_sent (struct world_sent *sent)
{
  g_free ((char *) sent->order.worker);
}

void
world_destroy (struct world *world)
{
  for (unsigned i = 0; i < world->n_workers; i++)
    {
      g_array_unref (world->workers[i].runs);
      g_array_unref (world->workers[i].ends);
      g_hash_table_unref (world->workers[i].past);
    }
  for (guint i = 0; i < world->sent->len; i++)
    free_sent (&g_array_index (world->sent, struct world_sent, i));
  g_array_unref (world->sent);
  g_array_unref (world->late);
  mt_scheduler_destroy (world->sched);
  g_hash_table_unref (world->records);
  g_hash_table_unref (world->crashing);
  g_hash_table_unref (world->crashes);
  g_free (world);
}

static void
show (struct world *world, struct world_worker *w)
{
  const char *labels[] = { "a", "r1", NULL };
  struct mt_worker_entry entry = { .id = w->id,
                                   .started_at_ms = w->born,
                                   .address = "127.0.0.1:1",
                                   .zone = "z",
                                   .labels = labels,
                                   .resources = w->room,
                                   .leaving = w->leaving };

  mt_scheduler_update_worker (world->sched, &entry, world->now);
}

void
world_leave (struct world *world, struct world_worker *w)
{
  w->leaving = true;
  show (world, w);
}

void
world_resize (struct world *world, struct world_worker *w, int64_t cpu)
{
  w->room.cpu = cpu;
  show (world, w);
}

struct world_worker *
world_add_worker (struct world *world, const char *rack)
{
  struct world_worker *w = &world->workers[world->n_workers];

  snprintf (w->id, sizeof w->id, "i-%u", world->n_workers++);
  w->room = (struct mt_resources){ .cpu = 16000, .mem = 32768 };
  w->slow = 1;
  w->born = 7;
  w->runs = g_array_new (FALSE, TRUE, sizeof (struct world_run));
  w->ends = g_array_new (FALSE, TRUE, sizeof (struct world_end));
  w->past = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  show (world, w);
  return w;
}

static void
set_step (struct mt_step *step, unsigned count, int64_t cpu, int64_t ms)
{
  step->count = count;
  step->need = (struct mt_resources){ .cpu = cpu, .mem = 100 };
  step->estimate_ms = ms;
}

struct mt_job_spec *
world_job (const char *id, unsigned count, int64_t cpu, int64_t ms)
{
  struct mt_job_spec *spec = mt_job_spec_create (id, "route", 1);

  spec->payload = g_strdup ("payload");
  set_step (&spec->steps[0], count, cpu, ms);
  return spec;
}

struct mt_job_spec *
world_two_steps (const char *id, const unsigned counts[2], int64_t cpu, int64_t ms)
{
  struct mt_job_spec *spec = mt_job_spec_create (id, "route", 2);

  spec->payload = g_strdup ("payload");
  for (unsigned i = 0; i < 2; i++)
    set_step (&spec->steps[i], counts[i], cpu, ms);
  spec->steps[1].after = g_new0 (unsigned, 1);
  spec->steps[1].n_after = 1;
  return spec;
}

void
world_submit (struct world *world, struct mt_job_spec *spec)
{
  spec->accepted_ms = world->now;
  mt_scheduler_submit (world->sched, spec, world->now, world->now);
}

/* ---- workers ---- */

static bool
is_silent (const struct world_worker *w)
{
  return w->silent || w->back_at != 0;
}

static struct world_worker *
find (struct world *world, const char *id)
{
  for (unsigned i = 0; i < world->n_workers; i++)
    if (strcmp (world->workers[i].id, id) == 0)
      return &world->workers[i];
  return NULL;
}

static struct world_run *
find_run (struct world_worker *w, const char *task, unsigned run, guint *at)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct world_run *r = &g_array_index (w->runs, struct world_run, i);

      *at = i;
      if (strcmp (r->task, task) == 0 && (run == 0 || r->run == run))
        return r;
    }
  return NULL;
}

unsigned
world_running (const struct world *world, const char *task)
{
  unsigned n = 0;
  guint at;

  for (unsigned i = 0; i < world->n_workers; i++)
    n += find_run ((struct world_worker *) &world->workers[i], task, 0, &at) != NULL;
  return n;
}

static void
note_past (struct world_worker *w, const char *task, unsigned run)
{
  unsigned before = GPOINTER_TO_UINT (g_hash_table_lookup (w->past, task));

  g_hash_table_insert (w->past, g_strdup (task), GUINT_TO_POINTER (MAX (before, run)));
}

static void
end_run (struct world_worker *w, guint at, enum mt_end_kind how)
{
  struct world_run *r = &g_array_index (w->runs, struct world_run, at);
  struct world_end end = { .number = ++w->last_end, .run = r->run, .how = how };

  memcpy (end.task, r->task, sizeof end.task);
  note_past (w, r->task, r->run);
  g_array_append_val (w->ends, end);
  g_array_remove_index (w->runs, at);
}

static void
lose_hold (struct world *world, struct world_worker *w)
{
  struct mt_hold_report none = { .answer = MT_ANSWER_NONE, .clock_ms = -1 };

  w->holding = false;
  mt_scheduler_hold_answered (world->sched, w->id, &none, w->hold_sent, world->now);
}

void
world_add_crashing (struct world *world, const char *task)
{
  g_hash_table_insert (world->crashing, g_strdup (task), GUINT_TO_POINTER (0));
}

unsigned
world_crashes_by (const struct world *world, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (world->crashing, task));
}

unsigned
world_crashes_under (const struct world *world, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (world->crashes, task));
}

static void
note_crash_under (struct world *world, const char *task)
{
  g_hash_table_insert (world->crashes, g_strdup (task),
                       GUINT_TO_POINTER (world_crashes_under (world, task) + 1));
}

/* All that runs there is gone, and the news of what has ended. */
static void
drop_runs (struct world *world, struct world_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    note_crash_under (world, g_array_index (w->runs, struct world_run, i).task);
  for (guint i = 0; i < w->ends->len; i++)
    note_crash_under (world, g_array_index (w->ends, struct world_end, i).task);
  g_array_set_size (w->runs, 0);
  g_array_set_size (w->ends, 0);
}

static void
note_crashing (struct world *world, struct world_worker *w, const char *task)
{
  void *count;

  if (!g_hash_table_lookup_extended (world->crashing, task, NULL, &count))
    return;
  g_hash_table_insert (world->crashing, g_strdup (task),
                       GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1));
  if (w->crashes_at == 0)
    w->crashes_at = world->now + world->crash_ms;
}

void
world_crash (struct world *world, struct world_worker *w)
{
  w->crashes_at = 0;
  w->back_at = world->now + WORLD_DOWN_MS;
  drop_runs (world, w);
}

static void
come_back (struct world *world, struct world_worker *w)
{
  w->back_at = 0;
  if (!world->new_ids)
    {
      world_reboot (world, w);
      return;
    }
  w->replaced = w->gone = true;
  w->born++;
  if (w->holding)
    lose_hold (world, w);
  world_add_worker (world, "r1");
}

static void
work (struct world *world, struct world_worker *w)
{
  if (w->crashes_at != 0 && world->now >= w->crashes_at)
    world_crash (world, w);
  if (w->back_at != 0 && world->now >= w->back_at)
    come_back (world, w);
  if (w->lease != 0 && world->now > w->lease)
    {
      for (guint i = 0; i < w->ends->len; i++)
        g_array_index (w->ends, struct world_end, i).lapsed = true;
      while (w->runs->len > 0)
        end_run (w, 0, MT_END_LEASE_EXPIRED);
    }
  for (guint i = w->runs->len; i > 0; i--)
    {
      struct world_run *r = &g_array_index (w->runs, struct world_run, i - 1);

      if (r->stops != 0 && world->now >= r->stops)
        end_run (w, i - 1, MT_END_STOPPED);
      else if (r->fails)
        end_run (w, i - 1, MT_END_FAILED);
      else if (r->stops == 0 && !r->still && r->ends >= 0 && world->now >= r->ends)
        end_run (w, i - 1, MT_END_DONE);
    }
}

static int64_t
run_time (const struct world *world, const struct world_worker *w, const char *task)
{
  return world->run_ms < 0 || task[0] == WORLD_LONG_RUNNING_ID
             ? -1
             : world->now + (int64_t) (w->slow * (double) world->run_ms);
}

/* A worker whose lease is not over has it among its ends. */
static bool
is_done (const struct world *world, const char *task)
{
  for (unsigned i = 0; i < world->n_workers; i++)
    {
      const struct world_worker *w = &world->workers[i];

      for (guint j = 0; w->lease >= world->now && j < w->ends->len; j++)
        {
          const struct world_end *e = &g_array_index (w->ends, struct world_end, j);

          if (e->how == MT_END_DONE && !e->lapsed && strcmp (e->task, task) == 0)
            return true;
        }
    }
  return false;
}

static void
start (struct world *world, struct world_worker *w, const struct mt_order *order)
{
  struct world_run r = { .run = order->run,
                         .began = world->now,
                         .ends = run_time (world, w, order->task),
                         .fails = w->sick,
                         .still = w->stalls,
                         .pace = 100 };

  if (world_running (world, order->task) > 0)
    world->twice++;
  if (is_done (world, order->task))
    world->redone++;
  memcpy (r.task, order->task, sizeof r.task);
  w->lease = MAX (w->lease, order->lease_end_ms);
  w->starts++;
  w->last_run = order->run;
  world->started++;
  g_array_append_val (w->runs, r);
  note_crashing (world, w, order->task);
}

static enum mt_answer
start_unless_past (struct world *world, struct world_worker *w, const struct mt_order *order)
{
  if (order->lease_end_ms != 0 && order->lease_end_ms < world->now)
    return MT_ANSWER_LEASE_EXPIRED;
  if (order->run <= GPOINTER_TO_UINT (g_hash_table_lookup (w->past, order->task)))
    return MT_ANSWER_STALE_RUN;
  start (world, w, order);
  return MT_ANSWER_OK;
}

static enum mt_answer
carry_out (struct world *world,
           struct world_worker *w,
           const struct mt_order *order,
           unsigned token)
{
  guint at;
  struct world_run *r = find_run (w, order->task, order->run, &at);

  if (token < w->fence)
    return MT_ANSWER_FENCED;
  w->fence = token;
  if (order->kind == MT_ORDER_START && r == NULL)
    return start_unless_past (world, w, order);
  if (order->kind == MT_ORDER_STOP && r == NULL)
    note_past (w, order->task, order->run);
  else if (order->kind == MT_ORDER_STOP && r->stops == 0)
    r->stops = world->now + world->stop_ms;
  else if (order->kind == MT_ORDER_PACE && r != NULL)
    r->pace = order->percent;
  return MT_ANSWER_OK;
}

static void
put_off (struct world *world, struct world_worker *w, const struct mt_order *order)
{
  struct world_late late = { .worker = w,
                             .kind = order->kind,
                             .run = order->run,
                             .lease_ms = order->lease_end_ms,
                             .token = world->token,
                             .born = w->born,
                             .at = world->now + w->late_ms };

  memcpy (late.task, order->task, sizeof late.task);
  g_array_append_val (world->late, late);
}

static void
carry_out_late (struct world *world)
{
  for (guint i = world->late->len; i > 0; i--)
    {
      struct world_late late = g_array_index (world->late, struct world_late, i - 1);
      struct mt_order order = { .kind = late.kind, .run = late.run, .lease_end_ms = late.lease_ms };

      if (world->now < late.at)
        continue;
      g_array_remove_index (world->late, i - 1);
      memcpy (order.task, late.task, sizeof order.task);
      if (late.worker->born == late.born && late.worker->back_at == 0)
        carry_out (world, late.worker, &order, late.token);
    }
}

static unsigned
progress (const struct world *world, const struct world_run *r)
{
  if (r->still)
    return 3;
  if (r->ends < 0)
    return 100;
  return (unsigned) (100 * (world->now - r->began) / MAX (r->ends - r->began, 1));
}

static void
answer_hold (struct world *world, struct world_worker *w)
{
  struct mt_run_row runs[512];
  struct mt_end_row ends[512];
  struct mt_hold_report report = { .answer = MT_ANSWER_OK,
                                   .clock_ms = world->now - w->clock_lag_ms,
                                   .started_at_ms = w->born,
                                   .running = runs,
                                   .ended = ends };

  for (guint i = 0; i < w->runs->len && i < 512; i++)
    {
      const struct world_run *r = &g_array_index (w->runs, struct world_run, i);

      runs[report.n_running++]
          = (struct mt_run_row){ r->task, r->run, NULL, progress (world, r), w->gauge };
    }
  for (guint i = 0; i < w->ends->len && i < 512; i++)
    {
      const struct world_end *e = &g_array_index (w->ends, struct world_end, i);

      ends[report.n_ended++] = (struct mt_end_row){ e->number, e->task, e->run, e->how, NULL };
    }
  w->holding = false;
  mt_scheduler_hold_answered (world->sched, w->id, &report, w->hold_sent, world->now);
}

static void
hold (struct world *world, struct world_worker *w, const struct mt_order *order)
{
  if (w->replaced)
    {
      struct mt_hold_report other = { .answer = MT_ANSWER_OTHER_INCARNATION, .clock_ms = -1 };

      mt_scheduler_hold_answered (world->sched, w->id, &other, world->now - 1, world->now);
      return;
    }
  if (is_silent (w))
    {
      w->holding = true;
      w->hold_sent = world->now - 1;
      w->hold_until = world->now;
      return;
    }
  w->fence = MAX (w->fence, world->token);
  w->lease = MAX (w->lease, order->lease_end_ms);
  while (w->ends->len > 0
         && g_array_index (w->ends, struct world_end, 0).number <= order->acked_end)
    g_array_remove_index (w->ends, 0);
  w->holding = true;
  w->hold_sent = world->now - 1;
  w->hold_until = world->now + order->wait_ms;
}

/* A hold that waits is answered by an end, or when its time is over. */
static void
answer_holds (struct world *world)
{
  for (unsigned i = 0; i < world->n_workers; i++)
    {
      struct world_worker *w = &world->workers[i];

      if (w->holding && !is_silent (w) && !w->mute && !w->unlisted
          && (w->ends->len > 0 || world->now >= w->hold_until))
        answer_hold (world, w);
      else if (w->holding && world->now >= w->hold_until + LOST_MS)
        lose_hold (world, w);
    }
}

static void
obey (struct world *world, const struct mt_order *order)
{
  struct world_worker *w = find (world, order->worker);
  g_autofree char *id = g_strdup (order->worker);
  char task[80];
  bool dropped = order->kind == MT_ORDER_START && w->drops > 0;
  bool lost = is_silent (w) || w->mute || w->loses || dropped || w->late_ms > 0;
  enum mt_answer answer = MT_ANSWER_NONE;

  memcpy (task, order->task, sizeof task);
  if (order->kind == MT_ORDER_HOLD)
    {
      hold (world, w, order);
      return;
    }
  if (w->replaced)
    answer = MT_ANSWER_OTHER_INCARNATION;
  else if (dropped)
    w->drops--;
  else if (w->late_ms > 0)
    put_off (world, w, order);
  else if (!is_silent (w))
    answer = carry_out (world, w, order, world->token);
  if (lost)
    answer = MT_ANSWER_NONE;
  mt_scheduler_order_answered (world->sched, order->kind, id, task, order->run, answer,
                               lost ? -1 : world->now - w->clock_lag_ms, world->now);
}

/* ---- a link that carries so much ---- */

static void
send (struct world *world, const struct mt_order *order)
{
  size_t bytes = order->kind == MT_ORDER_START ? START_BYTES : ORDER_BYTES;
  int64_t patience = order->kind == MT_ORDER_HOLD ? order->wait_ms + LOST_MS : ORDER_MS;
  struct world_sent sent = { .order = *order, .token = world->token };

  sent.order.worker = g_strdup (order->worker);
  sent.born = find (world, order->worker)->born;
  sent.order.payload = sent.order.checkpoint = sent.order.ticket = NULL;
  sent.order.workers = NULL;
  world->link_free
      = MAX (world->link_free, world->now) + (int64_t) ((double) bytes / world->link_bytes_per_ms);
  sent.leaves = world->link_free;
  sent.given_up = world->now + order->link_delay_ms + patience;
  g_array_append_val (world->sent, sent);
}

static void
give_up (struct world *world, struct world_sent *sent)
{
  struct world_worker *w = find (world, sent->order.worker);

  sent->unanswered = true;
  if (sent->order.kind == MT_ORDER_HOLD)
    lose_hold (world, w);
  else
    mt_scheduler_order_answered (world->sched, sent->order.kind, w->id, sent->order.task,
                                 sent->order.run, MT_ANSWER_NONE, -1, world->now);
}

/* It was given up, and is carried out all the same. */
static void
obey_unheard (struct world *world, const struct world_sent *sent)
{
  struct world_worker *w = find (world, sent->order.worker);

  if (sent->born != w->born || w->back_at != 0)
    return;
  if (sent->order.kind != MT_ORDER_HOLD)
    {
      carry_out (world, w, &sent->order, sent->token);
      return;
    }
  if (sent->token < w->fence)
    return;
  w->fence = sent->token;
  w->lease = MAX (w->lease, sent->order.lease_end_ms);
}

static void
pass_link (struct world *world)
{
  for (guint i = 0; i < world->sent->len;)
    {
      struct world_sent sent = g_array_index (world->sent, struct world_sent, i);

      if (!sent.unanswered
          && (world->now >= sent.given_up
              || (world->now >= sent.leaves && sent.born != find (world, sent.order.worker)->born)))
        give_up (world, &g_array_index (world->sent, struct world_sent, i));
      if (world->now < sent.leaves)
        {
          i++;
          continue;
        }
      sent = g_array_index (world->sent, struct world_sent, i);
      g_array_remove_index (world->sent, i);
      if (sent.unanswered)
        obey_unheard (world, &sent);
      else
        obey (world, &sent.order);
      free_sent (&sent);
    }
}

static void
send_or_obey (struct world *world, const struct mt_order *order)
{
  if (world->link_bytes_per_ms > 0)
    send (world, order);
  else
    obey (world, order);
}

static bool
next_order (struct world *world, struct mt_order *order)
{
  if (world->link_bytes_per_ms > 0)
    mt_scheduler_set_link_delay (world->sched, MAX (world->link_free - world->now, 0), world->now);
  return world->holds_only ? mt_scheduler_next_hold (world->sched, world->now, order)
                           : mt_scheduler_next_order (world->sched, world->now, order);
}

/* What is there counts, also while it is being stopped; a start that is sent again is there
 * already.
 */
static void
check_room (struct world *world, const struct mt_order *order)
{
  struct world_worker *w = find (world, order->worker);
  guint at;

  if (world->task_cpu == 0 || order->kind != MT_ORDER_START
      || find_run (w, order->task, order->run, &at) != NULL)
    return;
  if ((w->runs->len + 1) * world->task_cpu > w->room.cpu)
    world->overbooked++;
}

static void
store (struct world *world)
{
  GPtrArray *ids = mt_scheduler_cycle_begin (world->sched, world->now, world->now);

  if (ids == NULL)
    return;
  for (guint i = 0; i < ids->len; i++)
    g_hash_table_insert (world->records, g_strdup (ids->pdata[i]),
                         mt_scheduler_job_record (world->sched, ids->pdata[i]));
  g_ptr_array_unref (ids);
  world->in_cycle = true;
}

static void
step (struct world *world)
{
  struct mt_order order;
  unsigned bound = 2000;

  world->now += STEP_MS;
  carry_out_late (world);
  for (unsigned i = 0; i < world->n_workers; i++)
    work (world, &world->workers[i]);
  if (!world->store_down && !world->in_cycle && mt_scheduler_needs_cycle (world->sched, world->now))
    store (world);
  if (!world->store_down && world->in_cycle)
    {
      world->in_cycle = false;
      mt_scheduler_cycle_done (world->sched, world->now);
    }
  pass_link (world);
  answer_holds (world);
  while (bound-- > 0 && !world->silent_leader && next_order (world, &order))
    {
      check_room (world, &order);
      send_or_obey (world, &order);
      mt_order_clear (&order);
    }
}

void
world_run (struct world *world, int64_t ms)
{
  for (int64_t at = 0; at < ms; at += STEP_MS)
    step (world);
}

bool
world_until (struct world *world, const char *id, enum mt_job_state state, int64_t ms)
{
  for (int64_t at = 0; at < ms; at += STEP_MS)
    {
      if (mt_scheduler_job_state (world->sched, id) == state)
        return true;
      step (world);
    }
  return mt_scheduler_job_state (world->sched, id) == state;
}

void
world_take_over (struct world *world, GPtrArray *specs)
{
  GHashTableIter it;
  const char *id, *record;

  mt_scheduler_destroy (world->sched);
  world->sched = mt_scheduler_create (&settings);
  world->token++;
  world->in_cycle = false;
  for (unsigned i = 0; i < world->n_workers; i++)
    world->workers[i].holding = false;
  for (guint i = 0; i < world->sent->len; i++)
    g_array_index (world->sent, struct world_sent, i).unanswered = true;
  world->link_free = world->now; /* the successor's machine has a link of its own */
  mt_scheduler_set_route (world->sched, "route", &terms);
  for (guint i = 0; i < specs->len; i++)
    mt_scheduler_submit (world->sched, specs->pdata[i], world->now, world->now);
  g_hash_table_iter_init (&it, world->records);
  while (g_hash_table_iter_next (&it, (void **) &id, (void **) &record))
    mt_scheduler_restore (world->sched, id, record, 1, world->now);
  for (unsigned i = 0; i < world->n_workers; i++)
    if (!world->workers[i].gone)
      show (world, &world->workers[i]);
}

void
world_reboot (struct world *world, struct world_worker *w)
{
  drop_runs (world, w);
  w->crashes_at = w->back_at = 0;
  g_hash_table_remove_all (w->past);
  w->last_end = 0;
  w->fence = 0;
  w->lease = 0;
  w->born++;
  if (w->holding)
    lose_hold (world, w);
  show (world, w);
}
