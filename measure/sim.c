#include "sim.h"

#include "medlartrack/clock.h"
#include "medlartrack/planner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RUN_S              1800
#define STEP_US            (100 * MT_MS)
#define DAEMONS            2
#define DEADLINE_US        (5 * MT_SECOND)
#define START_MARGIN_US    (4 * FLEET_SERVICE_US) /* with less time remaining, no request starts */
#define REBOOT_US          (60 * MT_SECOND)
#define LIST_INTERVAL_US   (2 * MT_SECOND)
#define MAX_WATCH_DELAY_US (200 * MT_MS) /* from a write until its watch events arrive */
#define WAVE_AT_S          400
#define OUTAGE_AT_S        900
#define OUTAGE_S           60
#define RACK_FAILURE_AT_S  1450
#define RACK_FAILURE_S     120
#define MEAN_FAILURES      4 /* expected number of failures of single instances in a run */
#define FAILURE_S          90
#define MISREPORT_SHARE    0.01
#define MISREPORT_FACTOR   3.0

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
  GArray *work; /* of struct work */
  bool failed;
  int64_t back_us; /* end of a reboot or failure; 0: up */
  uint64_t boot;
  uint64_t epoch;
};

struct daemon
{
  struct mt_assign *assignment; /* in force */
  struct mt_assign *pending;    /* in force once pending_at_us has passed, or NULL */
  int64_t pending_at_us;
  GArray *loads; /* of struct mt_member_load: the last report */
  uint64_t reported_version;
};

struct sim
{
  struct mt_clock_manual *manual;
  const struct mt_clock *clock;
  GRand *rand;
  char zone[8];
  struct sim_result *result;
  struct mt_tables *tables[G_N_ELEMENTS (edits_s) + 1];
  unsigned version; /* index of the accepted tables, which the planner reads without delay */
  struct mt_capacity *capacity;
  struct fleet_load *load;
  struct mt_assign *stored;
  struct daemon daemons[DAEMONS];
  GArray *instances;     /* of struct instance, sorted by name */
  GArray *platform_list; /* of struct mt_planner_instance: the platform's list, up to
                            LIST_INTERVAL_US old */
  GQueue queues[FLEET_SERVICES];
  struct mt_capacity_demand demands[FLEET_SERVICES];
  double wave_s;
  double blocked_s[FLEET_SERVICES]; /* time in the wave with the budget used up by failures */
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
crash_instance (struct sim *sim, struct instance *instance, int64_t for_us)
{
  sim->result->unknown += instance->work->len;
  g_array_set_size (instance->work, 0);
  instance->failed = true;
  instance->back_us = now_us (sim) + for_us;
}

static void
inject_failures (struct sim *sim)
{
  int64_t now = now_us (sim);
  double chance = (double) MEAN_FAILURES / RUN_S * STEP_US / MT_SECOND;

  if (now == RACK_FAILURE_AT_S * MT_SECOND)
    for (guint i = 0; i < sim->instances->len; i++)
      if (strcmp (instance_at (sim, i)->rack, instance_at (sim, 0)->rack) == 0)
        crash_instance (sim, instance_at (sim, i), RACK_FAILURE_S * MT_SECOND);
  if (g_rand_double (sim->rand) < chance)
    crash_instance (
        sim,
        instance_at (sim, (guint) g_rand_int_range (sim->rand, 0, (gint32) sim->instances->len)),
        FAILURE_S * MT_SECOND);
}

static void
advance_instance (struct sim *sim, struct instance *instance)
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

/* Puts a written assignment in force on each daemon after its watch delay; called only while the
 * platform is up. */
static void
deliver_assignments (struct sim *sim)
{
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      struct daemon *daemon = &sim->daemons[d];

      if (daemon->pending == NULL || daemon->pending_at_us > now_us (sim))
        continue;
      mt_assign_destroy (daemon->assignment);
      daemon->assignment = g_steal_pointer (&daemon->pending);
    }
}

static void
publish_assignment (struct sim *sim, struct mt_assign *next)
{
  mt_assign_destroy (sim->stored);
  sim->stored = next;
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      struct daemon *daemon = &sim->daemons[d];
      g_autofree char *text = mt_assign_format (next);

      mt_assign_destroy (daemon->pending);
      daemon->pending = mt_assign_parse (mt_str_from (text), NULL);
      daemon->pending_at_us
          = now_us (sim)
            + g_rand_int_range (sim->rand, MAX_WATCH_DELAY_US / 10, (gint32) MAX_WATCH_DELAY_US);
    }
}

static unsigned
count_in_flight (const struct instance *instance, unsigned daemon)
{
  unsigned count = 0;

  for (guint i = 0; i < instance->work->len; i++)
    count += g_array_index (instance->work, struct work, i).daemon == daemon;
  return count;
}

static void
report_loads (struct sim *sim, unsigned d)
{
  struct daemon *daemon = &sim->daemons[d];

  daemon->reported_version = daemon->assignment != NULL ? daemon->assignment->version : 0;
  g_array_set_size (daemon->loads, 0);
  for (guint i = 0; i < sim->instances->len; i++)
    {
      struct mt_member_load load
          = { instance_at (sim, i)->name, count_in_flight (instance_at (sim, i), d) };

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
      double factor = g_rand_double (sim->rand) < MISREPORT_SHARE ? MISREPORT_FACTOR : 1;

      sim->demands[s] = (struct mt_capacity_demand){
        pool_names[s],
        (busy[s] + g_queue_get_length (&sim->queues[s])) * factor,
      };
    }
}

static void
refresh_platform_list (struct sim *sim)
{
  g_array_set_size (sim->platform_list, 0);
  for (guint i = 0; i < sim->instances->len; i++)
    {
      const struct instance *instance = instance_at (sim, i);
      struct mt_planner_instance row
          = { instance->name, instance->back_us != 0, false, instance->boot, instance->epoch };

      g_array_append_val (sim->platform_list, row);
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
reboot_instance (struct sim *sim, const struct mt_planner_reboot *order)
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
count_planned_out (const struct mt_assign *assign, const char *pool)
{
  unsigned count = 0;

  for (size_t i = 0; i < assign->n_records; i++)
    count += strcmp (assign->records[i].pool, pool) == 0
             && (assign->records[i].state == MT_ASSIGN_DRAINING
                 || assign->records[i].state == MT_ASSIGN_REBOOTING);
  return count;
}

/* If a step took another instance out of service by plan, all instances that the planner knew to be
 * unavailable must fit the budget. */
static void
check_budgets (struct sim *sim, const struct mt_planner_input *input, const struct mt_assign *next)
{
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      const struct mt_pool *pool = &input->tables->pools[s];

      if (count_planned_out (next, pool_names[s]) > count_planned_out (sim->stored, pool_names[s])
          && mt_planner_unavailable (input, next, pool->service) > pool->max_unavailable)
        sim->result->broken_budget++;
    }
}

static void
update_wave (struct sim *sim, const struct mt_planner_input *input)
{
  const struct mt_assign *assign = sim->stored;
  bool ended = assign->n_waves == FLEET_SERVICES;

  if (sim->wave_s != 0 || sim->version < 2)
    return;
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      struct mt_str service = input->tables->pools[s].service;
      unsigned out = mt_planner_unavailable (input, assign, service);

      if (out - MIN (out, count_planned_out (assign, pool_names[s]))
          >= mt_planner_budget (input->tables, service))
        sim->blocked_s[s]++;
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
    .instances = (void *) sim->platform_list->data,
    .n_instances = sim->platform_list->len,
    .capacity = sim->capacity,
    .demands = sim->demands,
    .n_demands = FLEET_SERVICES,
  };

  for (unsigned d = 0; d < DAEMONS; d++)
    members[d] = (struct mt_assign_member){ .name = d == 0 ? "d0" : "d1",
                                            .version = sim->daemons[d].reported_version,
                                            .loads = (void *) sim->daemons[d].loads->data,
                                            .n_loads = sim->daemons[d].loads->len };
  mt_planner_step (&input, next, result);
  check_budgets (sim, &input, next);
  sim->result->moves += result->moves;
  for (guint i = 0; i < result->reboots->len; i++)
    reboot_instance (sim, &g_array_index (result->reboots, struct mt_planner_reboot, i));
  if (result->changed)
    publish_assignment (sim, next);
  else
    mt_assign_destroy (next);
  update_wave (sim, &input);
  mt_planner_result_destroy (result);
}

/* Accepts the edit of the tables that is scheduled for this step, if any, and records the time
 * until the last daemon has it. Daemons receive an edit by their watch. In an outage, a daemon that
 * received it earlier passes it on by heartbeats, one hop a second. */
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
draw_poisson (struct sim *sim, double mean)
{
  double limit = exp (-mean);
  double product = g_rand_double (sim->rand);
  unsigned count = 0;

  for (; product > limit; count++)
    product *= g_rand_double (sim->rand);
  return count;
}

static unsigned
count_usable_slots (const struct sim *sim, unsigned pool)
{
  unsigned slots = 0;

  for (guint i = 0; i < sim->instances->len; i++)
    if (instance_at (sim, i)->back_us == 0
        && mt_assign_serves (sim->daemons[0].assignment, instance_at (sim, i)->name,
                             pool_names[pool]))
      slots += FLEET_SLOTS;
  return slots;
}

/* Queues the requests of one step. Refuses those whose wait in the queue would exceed the deadline.
 */
static void
add_arrivals (struct sim *sim, unsigned pool)
{
  double rate = fleet_load_at (sim->load, pool, now_s (sim)) / FLEET_SERVICE_US * STEP_US;
  unsigned slots = count_usable_slots (sim, pool);

  for (unsigned n = draw_poisson (sim, rate); n > 0; n--)
    {
      GQueue *queue = &sim->queues[pool];
      struct request *request;

      sim->result->asked++;
      if (slots == 0
          || (double) queue->length * FLEET_SERVICE_US / slots > DEADLINE_US - START_MARGIN_US)
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
          || !mt_assign_serves (sim->daemons[daemon].assignment, instance->name, pool_names[pool]))
        continue;
      if (best == NULL || instance->work->len < best->work->len)
        best = instance;
    }
  return best;
}

static void
start_request (
    struct sim *sim, struct instance *instance, unsigned pool, unsigned daemon, int64_t deadline)
{
  double service_us = -log (1 - g_rand_double (sim->rand)) * FLEET_SERVICE_US;
  struct work work = { now_us (sim) + (int64_t) service_us, pool, daemon };

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
dispatch_queue (struct sim *sim, unsigned pool)
{
  GQueue *queue = &sim->queues[pool];
  struct request *request;

  while ((request = g_queue_peek_head (queue)) != NULL)
    {
      unsigned daemon = (unsigned) g_rand_int_range (sim->rand, 0, DAEMONS);
      struct instance *instance = pick_minion (sim, pool, daemon);

      if (request->deadline_us - START_MARGIN_US > now_us (sim) && instance == NULL)
        return;
      if (request->deadline_us - START_MARGIN_US > now_us (sim))
        start_request (sim, instance, pool, daemon, request->deadline_us);
      else
        sim->result->refused++;
      g_free (g_queue_pop_head (queue));
    }
}

/* Adds the time of this step to the totals: of all instances, and of idle slots, which count as
 * buffer. In the spare pool only as many instances count as the policy wants to hold there: the
 * others are free for other work. */
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
run_step (struct sim *sim)
{
  int64_t now = now_us (sim);

  accept_edits (sim);
  inject_failures (sim);
  for (guint i = 0; i < sim->instances->len; i++)
    advance_instance (sim, instance_at (sim, i));
  if (platform_is_up (sim))
    deliver_assignments (sim);
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      add_arrivals (sim, s);
      dispatch_queue (sim, s);
    }
  if (now % MT_SECOND == 500 * MT_MS)
    {
      for (unsigned d = 0; d < DAEMONS; d++)
        report_loads (sim, d);
      report_demand (sim);
    }
  if (now % LIST_INTERVAL_US == 0)
    refresh_platform_list (sim);
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
build_instances (struct sim *sim, unsigned *service_instances)
{
  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    for (size_t i = 0; i < sim->tables[0]->pools[s].n_instances; i++)
      {
        const struct mt_instance *row = &sim->tables[0]->pools[s].instances[i];

        if (strcmp (row->zone.data, sim->zone) != 0)
          continue;
        add_instance (sim, row);
        service_instances[s]++;
      }
}

/* The lower bound of the wave's duration: each service reboots as many instances at a time as its
 * budget allows, each takes only the time of a reboot, and nothing proceeds while failures use up
 * the budget. */
static void
record_wave_bound (struct sim *sim, const unsigned *service_instances)
{
  double bound = 0;

  for (unsigned s = 0; s < FLEET_SERVICES; s++)
    {
      unsigned budget = sim->tables[0]->pools[s].max_unavailable;
      double own = ceil ((double) service_instances[s] / budget) * REBOOT_US / MT_SECOND;

      bound = MAX (bound, own + sim->blocked_s[s]);
    }
  if (sim->wave_s == 0)
    sim->wave_s = RUN_S - WAVE_AT_S;
  g_array_append_val (sim->result->wave_s, sim->wave_s);
  g_array_append_val (sim->result->wave_bound_s, bound);
}

static void
clear_sim (struct sim *sim)
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
      mt_assign_destroy (sim->daemons[d].assignment);
      mt_assign_destroy (sim->daemons[d].pending);
      g_array_free (sim->daemons[d].loads, TRUE);
    }
  for (unsigned e = 0; e < G_N_ELEMENTS (sim->tables); e++)
    mt_tables_destroy (sim->tables[e]);
  g_array_free (sim->instances, TRUE);
  g_array_free (sim->platform_list, TRUE);
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
  unsigned service_instances[FLEET_SERVICES] = { 0 };

  g_snprintf (sim.zone, sizeof sim.zone, "z%u", zone);
  sim.manual = mt_clock_manual_create (0);
  sim.clock = mt_clock_manual_clock (sim.manual);
  sim.rand = g_rand_new_with_seed (seed * 31 + zone);
  for (unsigned e = 0; e < G_N_ELEMENTS (sim.tables); e++)
    sim.tables[e] = fleet_tables (deployment, e + 1, e >= 2 ? "w1" : NULL);
  sim.instances = g_array_new (FALSE, TRUE, sizeof (struct instance));
  sim.platform_list = g_array_new (FALSE, TRUE, sizeof (struct mt_planner_instance));
  build_instances (&sim, service_instances);
  sim.load = fleet_load_create (seed * 31 + zone, service_instances, RUN_S);
  sim.capacity = mt_capacity_create (policy);
  sim.stored = mt_assign_create ();
  for (unsigned d = 0; d < DAEMONS; d++)
    sim.daemons[d].loads = g_array_new (FALSE, TRUE, sizeof (struct mt_member_load));
  report_demand (&sim);
  for (int64_t t = 0; t < RUN_S * MT_SECOND; t += STEP_US)
    {
      run_step (&sim);
      mt_clock_manual_advance (sim.manual, STEP_US);
    }
  record_wave_bound (&sim, service_instances);
  clear_sim (&sim);
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
