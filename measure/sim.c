#include "sim.h"

#include "medlartrack/clock.h"
#include "medlartrack/planner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RUN_S       1800
#define STEP_US     (100 * MT_MS)
#define DAEMONS     2
#define DEADLINE_US (5 * MT_SECOND)
#define MARGIN_US   (4 * FLEET_SERVICE_US) /* left for the work itself, or it isn't begun */
#define REBOOT_US   (60 * MT_SECOND)
#define LIST_LAG_US (2 * MT_SECOND)
#define WATCH_US    (200 * MT_MS) /* most that a watch takes to tell of a write */
#define WAVE_AT_S   400
#define OUTAGE_AT_S 900
#define OUTAGE_S    60
#define RACK_AT_S   1450
#define RACK_S      120
#define FAILURES    4 /* of single instances, at random times */
#define FAILURE_S   90
#define LIE_SHARE   0.01
#define LIE_FACTOR  3.0

static const int edits_s[] = { 200, WAVE_AT_S, OUTAGE_AT_S - 1, 1000 };

struct work
{
  int64_t end_us;
  unsigned pool;
  unsigned daemon;
};

struct request
{
  int64_t deadline_us;
};

struct instance
{
  char *name;
  char *rack;
  GArray *work; /* struct work */
  bool failed;
  int64_t back_us; /* end of a reboot or failure; 0: up */
  uint64_t boot;
  uint64_t epoch;
};

struct daemon
{
  struct mt_assign *doc; /* in force */
  struct mt_assign *due; /* on its way */
  int64_t due_us;
  GArray *loads; /* struct mt_member_load: its last report */
  uint64_t reported;
};

struct sim
{
  struct mt_clock_manual *manual;
  const struct mt_clock *clock;
  GRand *rand;
  char zone[8];
  struct sim_result *result;
  struct mt_tables *tables[G_N_ELEMENTS (edits_s) + 1];
  unsigned version; /* accepted; the planner reads it at once, or not at all */
  struct mt_capacity *capacity;
  struct fleet_load *load;
  struct mt_assign *stored;
  struct daemon daemons[DAEMONS];
  GArray *instances; /* struct instance, sorted by name */
  GArray *list;      /* struct mt_planner_instance: the platform's, lagging */
  GQueue queues[FLEET_SERVICES];
  struct mt_capacity_demand demands[FLEET_SERVICES];
  double wave_s;
  double held_up_s[FLEET_SERVICES]; /* of the wave's time, with the budget spent by failures */
};

static const char *const pool_names[] = { "p0", "p1", "p2", "p3", "p4" };

static int64_t
now_us (const struct sim *sim)
{
  return mt_clock_now (sim->clock);
}

static double
now_s (const struct sim *sim)
{
  return (double) now_us (sim) / MT_SECOND;
}

static bool
platform_is_up (const struct sim *sim)
{
  return now_s (sim) < OUTAGE_AT_S || now_s (sim) >= OUTAGE_AT_S + OUTAGE_S;
}

static struct instance *
instance_at (const struct sim *sim, guint i)
{
  return &g_array_index (sim->instances, struct instance, i);
}

static void
crash (struct sim *sim, struct instance *instance, int64_t for_us)
{
  sim->result->unknown += instance->work->len;
  g_array_set_size (instance->work, 0);
  instance->failed = true;
  instance->back_us = now_us (sim) + for_us;
}

static void
fail_some (struct sim *sim)
{
  int64_t now = now_us (sim);
  double chance = (double) FAILURES / RUN_S * STEP_US / MT_SECOND;

  if (now == RACK_AT_S * MT_SECOND)
    for (guint i = 0; i < sim->instances->len; i++)
      if (strcmp (instance_at (sim, i)->rack, instance_at (sim, 0)->rack) == 0)
        crash (sim, instance_at (sim, i), RACK_S * MT_SECOND);
  if (g_rand_double (sim->rand) < chance)
    crash (sim,
           instance_at (sim, (guint) g_rand_int_range (sim->rand, 0, (gint32) sim->instances->len)),
           FAILURE_S * MT_SECOND);
}

static void
end_work (struct sim *sim, struct instance *instance)
{
  for (guint i = instance->work->len; i-- > 0;)
    if (g_array_index (instance->work, struct work, i).end_us <= now_us (sim))
      {
        sim->result->answered++;
        g_array_remove_index_fast (instance->work, i);
      }
  if (instance->back_us == 0 || instance->back_us > now_us (sim))
    return;
  instance->back_us = 0;
  instance->failed = false;
  instance->boot++;
}

/* In force at each daemon a little after the write; not at all while the platform is away. */
static void
deliver (struct sim *sim)
{
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      struct daemon *daemon = &sim->daemons[d];

      if (daemon->due == NULL || daemon->due_us > now_us (sim))
        continue;
      mt_assign_destroy (daemon->doc);
      daemon->doc = g_steal_pointer (&daemon->due);
    }
}

static void
publish (struct sim *sim, struct mt_assign *next)
{
  mt_assign_destroy (sim->stored);
  sim->stored = next;
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      struct daemon *daemon = &sim->daemons[d];
      g_autofree char *text = mt_assign_format (next);

      mt_assign_destroy (daemon->due);
      daemon->due = mt_assign_parse (mt_str_from (text), NULL);
      daemon->due_us
          = now_us (sim) + g_rand_int_range (sim->rand, WATCH_US / 10, (gint32) WATCH_US);
    }
}

static unsigned
count_at_work (const struct instance *instance, unsigned daemon)
{
  unsigned count = 0;

  for (guint i = 0; i < instance->work->len; i++)
    count += g_array_index (instance->work, struct work, i).daemon == daemon;
  return count;
}

static void
report (struct sim *sim, unsigned d)
{
  struct daemon *daemon = &sim->daemons[d];

  daemon->reported = daemon->doc != NULL ? daemon->doc->version : 0;
  g_array_set_size (daemon->loads, 0);
  for (guint i = 0; i < sim->instances->len; i++)
    {
      struct mt_member_load load
          = { instance_at (sim, i)->name, count_at_work (instance_at (sim, i), d) };

      if (load.in_flight > 0)
        g_array_append_val (daemon->loads, load);
    }
}

static void
report_demand (struct sim *sim)
{
  unsigned busy[FLEET_SERVICES] = { 0 };

  for (guint i = 0; i < sim->instances->len; i++)
    for (guint w = 0; w < instance_at (sim, i)->work->len; w++)
      busy[g_array_index (instance_at (sim, i)->work, struct work, w).pool]++;
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      double lie = g_rand_double (sim->rand) < LIE_SHARE ? LIE_FACTOR : 1;

      sim->demands[s] = (struct mt_capacity_demand){
        pool_names[s],
        (busy[s] + g_queue_get_length (&sim->queues[s])) * lie,
      };
    }
}

static void
relist (struct sim *sim)
{
  g_array_set_size (sim->list, 0);
  for (guint i = 0; i < sim->instances->len; i++)
    {
      const struct instance *instance = instance_at (sim, i);
      struct mt_planner_instance row
          = { instance->name, instance->back_us != 0, false, instance->boot, instance->epoch };

      g_array_append_val (sim->list, row);
    }
}

static struct instance *
find_instance (const struct sim *sim, const char *name)
{
  for (guint i = 0; i < sim->instances->len; i++)
    if (strcmp (instance_at (sim, i)->name, name) == 0)
      return instance_at (sim, i);
  return NULL;
}

static void
reboot (struct sim *sim, const struct mt_planner_reboot *order)
{
  struct instance *instance = find_instance (sim, order->instance);

  if (order->epoch <= instance->epoch)
    return;
  sim->result->broken_graceful += instance->work->len;
  g_array_set_size (instance->work, 0);
  instance->epoch = order->epoch;
  instance->back_us = now_us (sim) + REBOOT_US;
}

static unsigned
planned_out (const struct mt_assign *assign, const char *pool)
{
  unsigned count = 0;

  for (size_t i = 0; i < assign->n_records; i++)
    count += strcmp (assign->records[i].pool, pool) == 0
             && (assign->records[i].state == MT_ASSIGN_DRAINING
                 || assign->records[i].state == MT_ASSIGN_REBOOTING);
  return count;
}

/* Where a step took one more out by plan, all that it could know to be out must fit the budget. */
static void
check_budgets (struct sim *sim, const struct mt_planner_input *input, const struct mt_assign *next)
{
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      const struct mt_pool *pool = &input->tables->pools[s];

      if (planned_out (next, pool_names[s]) > planned_out (sim->stored, pool_names[s])
          && mt_planner_unavailable (input, next, pool->service) > pool->max_unavailable)
        sim->result->broken_budget++;
    }
}

static void
note_wave (struct sim *sim, const struct mt_planner_input *input)
{
  const struct mt_assign *assign = sim->stored;
  bool ended = assign->n_waves == FLEET_SERVICES;

  if (sim->wave_s != 0 || sim->version < 2)
    return;
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      struct mt_str service = input->tables->pools[s].service;
      unsigned out = mt_planner_unavailable (input, assign, service);

      if (out - MIN (out, planned_out (assign, pool_names[s]))
          >= mt_planner_budget (input->tables, service))
        sim->held_up_s[s]++;
    }
  for (size_t i = 0; i < assign->n_records; i++)
    ended &= assign->records[i].wave_state != MT_WAVE_WAITING;
  if (ended)
    sim->wave_s = now_s (sim) - WAVE_AT_S;
}

static void
step_planner (struct sim *sim)
{
  struct mt_assign_member members[DAEMONS] = { 0 };
  struct mt_planner_result *result = mt_planner_result_create ();
  struct mt_assign *next = mt_assign_next (sim->stored, "measure");
  struct mt_planner_input input = {
    .tables = sim->tables[sim->version],
    .zone = sim->zone,
    .now_s = now_us (sim) / MT_SECOND,
    .members = members,
    .n_members = DAEMONS,
    .instances = (void *) sim->list->data,
    .n_instances = sim->list->len,
    .capacity = sim->capacity,
    .demands = sim->demands,
    .n_demands = FLEET_SERVICES,
  };

  for (unsigned d = 0; d < DAEMONS; d++)
    members[d] = (struct mt_assign_member){ .name = d == 0 ? "d0" : "d1",
                                            .version = sim->daemons[d].reported,
                                            .loads = (void *) sim->daemons[d].loads->data,
                                            .n_loads = sim->daemons[d].loads->len };
  mt_planner_step (&input, next, result);
  check_budgets (sim, &input, next);
  sim->result->moves += result->moves;
  for (guint i = 0; i < result->reboots->len; i++)
    reboot (sim, &g_array_index (result->reboots, struct mt_planner_reboot, i));
  if (result->changed)
    publish (sim, next);
  else
    mt_assign_destroy (next);
  note_wave (sim, &input);
  mt_planner_result_destroy (result);
}

/* The watch tells every daemon; in an outage the one that was told before it spreads the tables by
 * heartbeats, one hop each second. */
static void
accept_edits (struct sim *sim)
{
  for (unsigned e = 0; e < G_N_ELEMENTS (edits_s); e++)
    {
      double slowest = 0;

      if (now_us (sim) != edits_s[e] * MT_SECOND)
        continue;
      sim->version = e + 1;
      for (unsigned d = 0; d < DAEMONS; d++)
        slowest = MAX (slowest, g_rand_double_range (sim->rand, 0.02, 0.2));
      if (edits_s[e] == OUTAGE_AT_S - 1)
        slowest += g_rand_double_range (sim->rand, 0, 1);
      g_array_append_val (sim->result->table_s, slowest);
    }
}

static unsigned
poisson (struct sim *sim, double mean)
{
  double limit = exp (-mean);
  double product = g_rand_double (sim->rand);
  unsigned count = 0;

  for (; product > limit; count++)
    product *= g_rand_double (sim->rand);
  return count;
}

static unsigned
usable_slots (const struct sim *sim, unsigned pool)
{
  unsigned slots = 0;

  for (guint i = 0; i < sim->instances->len; i++)
    if (instance_at (sim, i)->back_us == 0
        && mt_assign_serves (sim->daemons[0].doc, instance_at (sim, i)->name, pool_names[pool]))
      slots += FLEET_SLOTS;
  return slots;
}

/* Refused at once where the queue would outlast the deadline. */
static void
arrive (struct sim *sim, unsigned pool)
{
  double rate = fleet_load_at (sim->load, pool, now_s (sim)) / FLEET_SERVICE_US * STEP_US;
  unsigned slots = usable_slots (sim, pool);

  for (unsigned n = poisson (sim, rate); n > 0; n--)
    {
      GQueue *queue = &sim->queues[pool];
      struct request *request;

      sim->result->asked++;
      if (slots == 0 || (double) queue->length * FLEET_SERVICE_US / slots > DEADLINE_US - MARGIN_US)
        {
          sim->result->refused++;
          continue;
        }
      request = g_new (struct request, 1);
      request->deadline_us = now_us (sim) + DEADLINE_US;
      g_queue_push_tail (queue, request);
    }
}

static struct instance *
pick_minion (struct sim *sim, unsigned pool, unsigned daemon)
{
  struct instance *best = NULL;

  for (guint i = 0; i < sim->instances->len; i++)
    {
      struct instance *instance = instance_at (sim, i);

      if (instance->back_us != 0 || instance->work->len >= FLEET_SLOTS
          || !mt_assign_serves (sim->daemons[daemon].doc, instance->name, pool_names[pool]))
        continue;
      if (best == NULL || instance->work->len < best->work->len)
        best = instance;
    }
  return best;
}

static void
start (struct sim *sim, struct instance *instance, unsigned pool, unsigned daemon, int64_t deadline)
{
  double takes = -log (1 - g_rand_double (sim->rand)) * FLEET_SERVICE_US;
  struct work work = { now_us (sim) + (int64_t) takes, pool, daemon };

  for (guint i = 0; i < instance->work->len; i++)
    if (g_array_index (instance->work, struct work, i).pool != pool)
      {
        sim->result->broken_one_pool++;
        break;
      }
  sim->result->late += work.end_us > deadline;
  g_array_append_val (instance->work, work);
}

static void
dispatch (struct sim *sim, unsigned pool)
{
  GQueue *queue = &sim->queues[pool];
  struct request *request;

  while ((request = g_queue_peek_head (queue)) != NULL)
    {
      unsigned daemon = (unsigned) g_rand_int_range (sim->rand, 0, DAEMONS);
      struct instance *instance = pick_minion (sim, pool, daemon);

      if (request->deadline_us - MARGIN_US > now_us (sim) && instance == NULL)
        return;
      if (request->deadline_us - MARGIN_US > now_us (sim))
        start (sim, instance, pool, daemon, request->deadline_us);
      else
        sim->result->refused++;
      g_free (g_queue_pop_head (queue));
    }
}

/* Idle slots count as held in every pool; in the spare only as far as the policy asks to hold its
 * instances: the rest is free for other work. */
static void
measure_buffer (struct sim *sim)
{
  const char *spare = pool_names[FLEET_SERVICES - 1];
  unsigned held = mt_capacity_desired_instances (sim->capacity, spare);
  double step_s = (double) STEP_US / MT_SECOND;

  for (size_t i = 0; i < sim->stored->n_records; i++)
    {
      const struct mt_assign_record *record = &sim->stored->records[i];
      const struct instance *instance = find_instance (sim, record->instance);
      bool in_spare = strcmp (record->pool, spare) == 0;

      sim->result->instance_s += step_s;
      if (instance->back_us != 0 || (in_spare && held == 0))
        continue;
      held -= in_spare;
      sim->result->buffer_instance_s += step_s * (FLEET_SLOTS - instance->work->len) / FLEET_SLOTS;
    }
}

static void
step (struct sim *sim)
{
  int64_t now = now_us (sim);

  accept_edits (sim);
  fail_some (sim);
  for (guint i = 0; i < sim->instances->len; i++)
    end_work (sim, instance_at (sim, i));
  if (platform_is_up (sim))
    deliver (sim);
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      arrive (sim, s);
      dispatch (sim, s);
    }
  if (now % MT_SECOND == 500 * MT_MS)
    {
      for (unsigned d = 0; d < DAEMONS; d++)
        report (sim, d);
      report_demand (sim);
    }
  if (now % LIST_LAG_US == 0)
    relist (sim);
  if (now % MT_SECOND == 0 && platform_is_up (sim))
    step_planner (sim);
  measure_buffer (sim);
}

static void
add_instance (struct sim *sim, const struct mt_instance *row)
{
  struct instance instance = { .name = g_strdup (row->name.data),
                               .rack = g_strdup (row->rack.data),
                               .work = g_array_new (FALSE, FALSE, sizeof (struct work)),
                               .boot = 1 };

  g_array_append_val (sim->instances, instance);
}

static void
build_instances (struct sim *sim, unsigned *home)
{
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    for (size_t i = 0; i < sim->tables[0]->pools[s].n_instances; i++)
      {
        const struct mt_instance *row = &sim->tables[0]->pools[s].instances[i];

        if (strcmp (row->zone.data, sim->zone) != 0)
          continue;
        add_instance (sim, row);
        home[s]++;
      }
}

/* The best that the budget allows: a service's instances one budget after the other, each for just
 * its reboot, and nothing while failures spent the budget. */
static void
note_bound (struct sim *sim, const unsigned *home)
{
  double bound = 0;

  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      unsigned budget = sim->tables[0]->pools[s].max_unavailable;
      double own = ceil ((double) home[s] / budget) * REBOOT_US / MT_SECOND;

      bound = MAX (bound, own + sim->held_up_s[s]);
    }
  if (sim->wave_s == 0)
    sim->wave_s = RUN_S - WAVE_AT_S;
  g_array_append_val (sim->result->wave_s, sim->wave_s);
  g_array_append_val (sim->result->wave_bound_s, bound);
}

static void
clear (struct sim *sim)
{
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    g_queue_clear_full (&sim->queues[s], g_free);
  for (guint i = 0; i < sim->instances->len; i++)
    {
      g_free (instance_at (sim, i)->name);
      g_free (instance_at (sim, i)->rack);
      g_array_free (instance_at (sim, i)->work, TRUE);
    }
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      mt_assign_destroy (sim->daemons[d].doc);
      mt_assign_destroy (sim->daemons[d].due);
      g_array_free (sim->daemons[d].loads, TRUE);
    }
  for (unsigned e = 0; e < G_N_ELEMENTS (sim->tables); e++)
    mt_tables_destroy (sim->tables[e]);
  g_array_free (sim->instances, TRUE);
  g_array_free (sim->list, TRUE);
  mt_assign_destroy (sim->stored);
  mt_capacity_destroy (sim->capacity);
  fleet_load_destroy (sim->load);
  mt_clock_manual_destroy (sim->manual);
  g_rand_free (sim->rand);
}

void
sim_run (const struct fleet_deployment *deployment,
         unsigned zone,
         uint32_t seed,
         const struct mt_capacity_policy *policy,
         struct sim_result *result)
{
  struct sim sim = { .result = result };
  unsigned home[FLEET_SERVICES] = { 0 };

  g_snprintf (sim.zone, sizeof sim.zone, "z%u", zone);
  sim.manual = mt_clock_manual_create (0);
  sim.clock = mt_clock_manual_clock (sim.manual);
  sim.rand = g_rand_new_with_seed (seed * 31 + zone);
  for (unsigned e = 0; e < G_N_ELEMENTS (sim.tables); e++)
    sim.tables[e] = fleet_tables (deployment, e + 1, e >= 2 ? "w1" : NULL);
  sim.instances = g_array_new (FALSE, TRUE, sizeof (struct instance));
  sim.list = g_array_new (FALSE, TRUE, sizeof (struct mt_planner_instance));
  build_instances (&sim, home);
  sim.load = fleet_load_create (seed * 31 + zone, home, RUN_S);
  sim.capacity = mt_capacity_create (policy);
  sim.stored = mt_assign_create ();
  for (unsigned d = 0; d < DAEMONS; d++)
    sim.daemons[d].loads = g_array_new (FALSE, TRUE, sizeof (struct mt_member_load));
  report_demand (&sim);
  for (int64_t t = 0; t < RUN_S * MT_SECOND; t += STEP_US)
    {
      step (&sim);
      mt_clock_manual_advance (sim.manual, STEP_US);
    }
  note_bound (&sim, home);
  clear (&sim);
}

void
sim_result_init (struct sim_result *result)
{
  *result = (struct sim_result){ 0 };
  result->table_s = g_array_new (FALSE, FALSE, sizeof (double));
  result->wave_s = g_array_new (FALSE, FALSE, sizeof (double));
  result->wave_bound_s = g_array_new (FALSE, FALSE, sizeof (double));
}

void
sim_result_clear (struct sim_result *result)
{
  g_array_free (result->table_s, TRUE);
  g_array_free (result->wave_s, TRUE);
  g_array_free (result->wave_bound_s, TRUE);
}
