/* Compares the balancing policies on the dispatch of the core, with a manual clock. Six daemons,
 * each with its own dispatch, share ten minions of eight slots and know each other's load only from
 * heartbeats. The network and the rest of the daemon are not modelled; a minion is modelled as a
 * count of running requests, and refuses the ninth. All policies get the same arrivals and service
 * times from one seed.
 *
 * The bound is a fluid model of one queue that always knows all free slots. A policy exceeds it
 * only by chance, since the bound uses mean rates. */
#include "histogram.h"
#include "medlartrack/dispatch.h"

#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS             6
#define MINIONS             10
#define SLOTS               8
#define AUDIENCES           4
#define MEAN_RATE           480.0 /* requests a second; the pool's capacity is 1,600 */
#define MEAN_SERVICE_MS     50.0
#define MIN_SERVICE_MS      20.0
#define DEADLINE_US         (500 * MT_MS)
#define REFUSAL_US          (2 * MT_MS) /* time until a minion's refusal arrives */
#define ERROR_US            (1 * MT_MS) /* service time of the sick minion */
#define TICK_US             (5 * MT_MS)
#define HEARTBEAT_US        (500 * MT_MS)
#define MEMBER_TIMEOUT_US   (3 * MT_SECOND) /* the other daemons remove a dead daemon after this */
#define BALANCER_TIMEOUT_US (1 * MT_SECOND) /* the callers' load balancer removes it after this */
#define MAX_QUEUE           400
#define MAX_TRIES           3
#define SLOW_FACTOR         4

struct scenario
{
  const char *name;
  const char *description;
  double factors[3]; /* load of each part, in multiples of the mean rate */
  double seconds[3]; /* duration of each part */
  bool uneven;       /* half of all callers use the first daemon */
  int sick;          /* minion that answers errors at once in the middle part; -1: none */
  int dying;         /* daemon that dies at the start of the middle part; -1: none */
  int slow;          /* minion that is SLOW_FACTOR times slower in the middle part; -1: none */
};

static const struct scenario scenarios[] = {
  { "steady", "the mean", { 1, 1, 1 }, { 5, 10, 5 }, false, -1, -1, -1 },
  { "surge", "five times the mean for 5 s", { 1, 5, 1 }, { 10, 5, 10 }, false, -1, -1, -1 },
  { "trough",
    "a twentieth of the mean for 20 s, then the surge",
    { 0.05, 5, 1 },
    { 20, 5, 10 },
    false,
    -1,
    -1 },
  { "sick", "one minion answers errors at once", { 2, 2, 2 }, { 5, 10, 5 }, false, 3, -1, -1 },
  { "uneven", "half of all callers at one daemon", { 2, 2, 2 }, { 5, 10, 5 }, true, -1, -1, -1 },
  { "dying", "a daemon dies holding slots", { 2, 2, 2 }, { 5, 10, 5 }, false, -1, 2, -1 },
  { "slow", "one minion takes four times as long", { 2, 2, 2 }, { 5, 10, 5 }, false, -1, -1, 5 },
};

enum kind
{
  ARRIVAL,
  EXCHANGE_END,
  TICK,
  HEARTBEAT,
  DEATH,
};

struct request
{
  struct mt_ticket ticket;
  struct sim *sim;
  int daemon;
  int minion;
  int64_t arrived_us;
  double service_ms;
  unsigned tries;
  char avoid[8];
  enum mt_dispatch_result result;
};

struct event
{
  int64_t at_us;
  uint64_t order; /* order of events with the same time */
  enum kind kind;
  struct request *request;
};

struct counts
{
  uint64_t asked;
  uint64_t useful;
  uint64_t late;
  uint64_t errors;
  uint64_t refused;
  uint64_t lost; /* in the daemon that died */
  uint64_t refusals_by_minions;
  struct mt_histogram latencies;
};

struct sim
{
  const struct scenario *scenario;
  struct mt_clock_manual *manual;
  struct mt_dispatch *daemons[DAEMONS];
  unsigned reported[DAEMONS][MINIONS]; /* requests in flight, as of the last heartbeat */
  bool dead[DAEMONS];
  int64_t died_us;
  unsigned running[MINIONS];
  GArray *heap; /* of struct event */
  uint64_t order;
  uint64_t random;
  struct counts counts;
};

static int64_t
now_us (const struct sim *sim)
{
  return mt_clock_now (mt_clock_manual_clock (sim->manual));
}

/* Returns a random number in (0, 1], by xorshift64. */
static double
draw_uniform (struct sim *sim)
{
  sim->random ^= sim->random << 13;
  sim->random ^= sim->random >> 7;
  sim->random ^= sim->random << 17;
  return ((double) (sim->random >> 11) + 1) / 9007199254740992.0;
}

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static struct event *
event_at (struct sim *sim, guint i)
{
  return &g_array_index (sim->heap, struct event, i);
}

static void
swap_events (struct sim *sim, guint i, guint k)
{
  struct event event = *event_at (sim, i);

  *event_at (sim, i) = *event_at (sim, k);
  *event_at (sim, k) = event;
}

static void
push_event (struct sim *sim, int64_t at_us, enum kind kind, struct request *request)
{
  struct event event = { at_us, sim->order++, kind, request };
  guint i = sim->heap->len;

  g_array_append_val (sim->heap, event);
  for (; i > 0 && is_before (event_at (sim, i), event_at (sim, (i - 1) / 2)); i = (i - 1) / 2)
    swap_events (sim, i, (i - 1) / 2);
}

static struct event
pop_event (struct sim *sim)
{
  struct event first = *event_at (sim, 0);
  guint last = sim->heap->len - 1;
  guint i = 0;

  swap_events (sim, 0, last);
  g_array_set_size (sim->heap, last);
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child >= last)
        return first;
      if (child + 1 < last && is_before (event_at (sim, child + 1), event_at (sim, child)))
        child++;
      if (!is_before (event_at (sim, child), event_at (sim, i)))
        return first;
      swap_events (sim, i, child);
      i = child;
    }
}

static int
find_part (const struct scenario *scenario, int64_t at_us)
{
  double at_s = (double) at_us / 1e6;

  if (at_s < scenario->seconds[0])
    return 0;
  return at_s < scenario->seconds[0] + scenario->seconds[1] ? 1 : 2;
}

static int64_t
scenario_end_us (const struct scenario *scenario)
{
  return (int64_t) ((scenario->seconds[0] + scenario->seconds[1] + scenario->seconds[2]) * 1e6);
}

static void
start_request (struct request *request)
{
  struct sim *sim = request->sim;
  int64_t now = now_us (sim);
  double service_ms = request->service_ms;
  int minion = (int) strtol (request->ticket.minion + 1, NULL, 10);

  request->minion = minion;
  if (sim->running[minion] >= SLOTS)
    {
      request->result = MT_DISPATCH_REFUSED;
      push_event (sim, now + REFUSAL_US, EXCHANGE_END, request);
      return;
    }
  sim->running[minion]++;
  request->result = MT_DISPATCH_SUCCESS;
  if (minion == sim->scenario->sick && find_part (sim->scenario, now) == 1)
    {
      request->result = MT_DISPATCH_SERVER_ERROR;
      service_ms = (double) ERROR_US / MT_MS;
    }
  if (minion == sim->scenario->slow && find_part (sim->scenario, now) == 1)
    service_ms *= SLOW_FACTOR;
  push_event (sim, now + (int64_t) (service_ms * MT_MS), EXCHANGE_END, request);
}

static void
on_granted (struct mt_ticket *ticket)
{
  start_request (ticket->owner);
}

static void
on_expired (struct mt_ticket *ticket)
{
  struct request *request = ticket->owner;

  request->sim->counts.refused++;
  g_free (request);
}

static const struct mt_dispatch_callbacks callbacks = {
  .name = "bench",
  .description = "starts granted requests, counts expired ones",
  .granted = on_granted,
  .expired = on_expired,
};

static void
submit_request (struct request *request)
{
  struct sim *sim = request->sim;

  request->tries++;
  request->ticket.is_retry = request->tries > 1;
  switch (mt_dispatch_submit (sim->daemons[request->daemon], &request->ticket, MAX_QUEUE))
    {
    case MT_ADMISSION_GRANTED:
      start_request (request);
      break;
    case MT_ADMISSION_REFUSED:
      sim->counts.refused++;
      g_free (request);
      break;
    case MT_ADMISSION_QUEUED:
      break;
    }
}

static int
choose_daemon (struct sim *sim)
{
  int daemon;

  do
    daemon = sim->scenario->uneven && draw_uniform (sim) < 0.5
                 ? 0
                 : (int) (draw_uniform (sim) * DAEMONS) % DAEMONS;
  while (sim->dead[daemon] && now_us (sim) - sim->died_us > BALANCER_TIMEOUT_US);
  return daemon;
}

static void
handle_arrival (struct sim *sim)
{
  int64_t now = now_us (sim);
  double rate = MEAN_RATE * sim->scenario->factors[find_part (sim->scenario, now)];
  struct request *request = g_new0 (struct request, 1);
  int64_t next = now + 1 + (int64_t) (-log (draw_uniform (sim)) * 1e6 / rate);

  if (next < scenario_end_us (sim->scenario))
    push_event (sim, next, ARRIVAL, NULL);
  sim->counts.asked++;
  request->sim = sim;
  request->daemon = choose_daemon (sim);
  request->arrived_us = now;
  request->service_ms
      = MIN_SERVICE_MS - (MEAN_SERVICE_MS - MIN_SERVICE_MS) * log (draw_uniform (sim));
  request->ticket.owner = request;
  request->ticket.audience = (uint64_t) (draw_uniform (sim) * AUDIENCES);
  request->ticket.deadline_us = now + DEADLINE_US;
  if (!sim->dead[request->daemon])
    {
      submit_request (request);
      return;
    }
  sim->counts.lost++;
  g_free (request);
}

static void
count_result (struct request *request)
{
  struct counts *counts = &request->sim->counts;
  int64_t took = now_us (request->sim) - request->arrived_us;

  if (request->result == MT_DISPATCH_SERVER_ERROR)
    counts->errors++;
  else if (took > DEADLINE_US)
    counts->late++;
  else
    {
      counts->useful++;
      mt_histogram_add (&counts->latencies, took);
    }
  g_free (request);
}

static void
end_exchange (struct request *request)
{
  struct sim *sim = request->sim;

  if (request->result != MT_DISPATCH_REFUSED)
    sim->running[request->minion]--;
  if (sim->dead[request->daemon])
    {
      sim->counts.lost++;
      g_free (request);
      return;
    }
  g_strlcpy (request->avoid, request->ticket.minion, sizeof request->avoid);
  mt_dispatch_complete (sim->daemons[request->daemon], &request->ticket, request->result);
  if (request->result != MT_DISPATCH_REFUSED)
    {
      count_result (request);
      return;
    }
  sim->counts.refusals_by_minions++;
  request->ticket.avoid = request->avoid;
  if (request->tries < MAX_TRIES)
    {
      submit_request (request);
      return;
    }
  sim->counts.refused++;
  g_free (request);
}

static void
handle_tick (struct sim *sim)
{
  for (int i = 0; i < DAEMONS; i++)
    if (!sim->dead[i])
      mt_dispatch_tick (sim->daemons[i]);
  if (now_us (sim) < scenario_end_us (sim->scenario) + 2 * DEADLINE_US)
    push_event (sim, now_us (sim) + TICK_US, TICK, NULL);
}

struct view
{
  const struct sim *sim;
  int self;
};

static unsigned
sum_others (void *ctx, const char *name)
{
  const struct view *view = ctx;
  int minion = (int) strtol (name + 1, NULL, 10);
  unsigned sum = 0;

  for (int i = 0; i < DAEMONS; i++)
    if (i != view->self)
      sum += view->sim->reported[i][minion];
  return sum;
}

static bool
is_considered_alive (const struct sim *sim, int daemon)
{
  return !sim->dead[daemon] || now_us (sim) - sim->died_us < MEMBER_TIMEOUT_US;
}

static void
set_share (struct sim *sim, int daemon)
{
  struct view view = { sim, daemon };
  struct mt_share share = { 0, 0 };

  for (int i = 0; i < DAEMONS; i++)
    {
      if (!is_considered_alive (sim, i))
        continue;
      share.rank += i < daemon ? 1 : 0;
      share.daemons++;
    }
  mt_dispatch_set_share (sim->daemons[daemon], share, sum_others, &view);
}

static void
handle_heartbeat (struct sim *sim)
{
  for (int i = 0; i < DAEMONS; i++)
    for (int m = 0; m < MINIONS; m++)
      {
        g_autofree char *name = g_strdup_printf ("m%d", m);

        if (!sim->dead[i])
          sim->reported[i][m] = mt_dispatch_in_flight (sim->daemons[i], name);
        else if (!is_considered_alive (sim, i))
          sim->reported[i][m] = 0;
      }
  for (int i = 0; i < DAEMONS; i++)
    if (!sim->dead[i])
      set_share (sim, i);
  if (now_us (sim) < scenario_end_us (sim->scenario))
    push_event (sim, now_us (sim) + HEARTBEAT_US, HEARTBEAT, NULL);
}

static void
kill_daemon (struct sim *sim)
{
  sim->dead[sim->scenario->dying] = true;
  sim->died_us = now_us (sim);
  sim->counts.lost += mt_dispatch_queue_length (sim->daemons[sim->scenario->dying]);
}

static void
set_minions (struct mt_dispatch *dispatch, unsigned n)
{
  g_autofree struct mt_instance *instances = g_new0 (struct mt_instance, n);
  g_autofree const struct mt_instance **list = g_new0 (const struct mt_instance *, n);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  for (unsigned i = 0; i < n; i++)
    {
      char *name = g_strdup_printf ("m%u", i);

      g_ptr_array_add (names, name);
      instances[i] = (struct mt_instance){ .name = mt_str_from (name),
                                           .address = MT_STR ("127.0.0.1:9"),
                                           .slots = SLOTS,
                                           .connections = 64 };
      list[i] = &instances[i];
    }
  mt_dispatch_update (dispatch, list, n);
}

static struct sim *
create_sim (const struct scenario *scenario, const struct mt_balance *policy, uint64_t seed)
{
  struct sim *sim = g_new0 (struct sim, 1);

  sim->scenario = scenario;
  sim->manual = mt_clock_manual_create (0);
  sim->heap = g_array_new (FALSE, FALSE, sizeof (struct event));
  sim->random = seed * 2654435761U + 1;
  for (int i = 0; i < DAEMONS; i++)
    {
      sim->daemons[i] = mt_dispatch_create (mt_clock_manual_clock (sim->manual), &callbacks, policy,
                                            seed * 100 + (uint64_t) i * 2 + 1);
      set_minions (sim->daemons[i], MINIONS);
    }
  push_event (sim, 0, HEARTBEAT, NULL);
  push_event (sim, 0, TICK, NULL);
  push_event (sim, 0, ARRIVAL, NULL);
  if (scenario->dying >= 0)
    push_event (sim, (int64_t) (scenario->seconds[0] * 1e6), DEATH, NULL);
  return sim;
}

static void
destroy_sim (struct sim *sim)
{
  for (int i = 0; i < DAEMONS; i++)
    mt_dispatch_destroy (sim->daemons[i]);
  g_array_free (sim->heap, TRUE);
  mt_clock_manual_destroy (sim->manual);
  g_free (sim);
}

static void
run_sim (struct sim *sim)
{
  while (sim->heap->len > 0)
    {
      struct event event = pop_event (sim);

      mt_clock_manual_advance (sim->manual, event.at_us - now_us (sim));
      switch (event.kind)
        {
        case ARRIVAL:
          handle_arrival (sim);
          break;
        case EXCHANGE_END:
          end_exchange (event.request);
          break;
        case TICK:
          handle_tick (sim);
          break;
        case HEARTBEAT:
          handle_heartbeat (sim);
          break;
        case DEATH:
          kill_daemon (sim);
          break;
        }
    }
}

/* Returns the number of useful answers in the fluid model: all healthy slots serve arrivals at
 * their mean rate. Requests that can't be served by their deadline leave the queue. */
static double
compute_bound (const struct scenario *scenario, uint64_t asked)
{
  const double step_s = 0.001;
  double waiting = 0;
  double served = 0;
  double arrived = 0;

  for (int64_t t = 0; t < scenario_end_us (scenario); t += MT_MS)
    {
      int part = find_part (scenario, t);
      double minions = MINIONS;
      double arriving = MEAN_RATE * scenario->factors[part] * step_s;
      double capacity;
      double max_waiting;
      double serving;

      if (part == 1 && scenario->sick >= 0)
        minions -= 1;
      if (part == 1 && scenario->slow >= 0)
        minions -= 1 - 1.0 / SLOW_FACTOR;
      capacity = minions * SLOTS / (MEAN_SERVICE_MS / 1000) * step_s;
      max_waiting = capacity / step_s * ((double) DEADLINE_US / 1e6 - MEAN_SERVICE_MS / 1000);
      arrived += arriving;
      waiting = fmin (waiting + arriving, max_waiting);
      serving = fmin (waiting, capacity);
      waiting -= serving;
      served += serving;
    }
  return fmin ((served + waiting) / arrived, 1) * (double) asked;
}

static void
compare_policies (const struct scenario *scenario, uint64_t seed)
{
  printf ("\n%s: %s\n%-16s %8s %8s %7s %7s %7s %7s %7s %8s %8s\n", scenario->name,
          scenario->description, "policy", "asked", "useful", "of bnd", "refused", "late", "errors",
          "lost", "p50_ms", "p99_ms");
  for (int i = 0; mt_balance_policies[i] != NULL; i++)
    {
      struct sim *sim = create_sim (scenario, mt_balance_policies[i], seed);
      const struct counts *counts = &sim->counts;
      double bound;

      run_sim (sim);
      bound = compute_bound (scenario, counts->asked);
      printf ("%-16s %8lu %8lu %6.1f%% %7lu %7lu %7lu %7lu %8.1f %8.1f  by minions %lu\n",
              mt_balance_policies[i]->name, counts->asked, counts->useful,
              100.0 * (double) counts->useful / bound, counts->refused, counts->late,
              counts->errors, counts->lost,
              (double) mt_histogram_quantile (&counts->latencies, 0.5) / 1e3,
              (double) mt_histogram_quantile (&counts->latencies, 0.99) / 1e3,
              counts->refusals_by_minions);
      destroy_sim (sim);
    }
}

/* Measures the time of one submit and complete, with half of the slots in use. */
static void
measure_cost (const struct mt_balance *policy, unsigned n)
{
  const unsigned rounds = 200000;
  struct mt_dispatch *dispatch = mt_dispatch_create (mt_clock_system (), &callbacks, policy, 1);
  struct mt_ticket *held = g_new0 (struct mt_ticket, n * SLOTS / 2);
  struct mt_ticket ticket = { .deadline_us = INT64_MAX };
  int64_t start_us;

  set_minions (dispatch, n);
  for (unsigned i = 0; i < n * SLOTS / 2; i++)
    {
      held[i].deadline_us = INT64_MAX;
      mt_dispatch_submit (dispatch, &held[i], 1);
    }
  start_us = mt_clock_now (mt_clock_system ());
  for (unsigned i = 0; i < rounds; i++)
    {
      mt_dispatch_submit (dispatch, &ticket, 1);
      mt_dispatch_complete (dispatch, &ticket, MT_DISPATCH_SUCCESS);
    }
  printf ("%-16s %6u minions %8.0f ns per submit and complete\n", policy->name, n,
          (double) (mt_clock_now (mt_clock_system ()) - start_us) * 1e3 / rounds);
  g_free (held);
  mt_dispatch_destroy (dispatch);
}

static const struct argp_option argp_options[] = {
  { "seed", 's', "N", 0, "Seed of arrivals and service times (1)", 0 },
  { "cost", 'c', NULL, 0, "Also measure the time of a decision", 0 },
  { 0 },
};

struct arguments
{
  uint64_t seed;
  bool cost;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->seed = strtoull (arg, NULL, 10);
      return 0;
    case 'c':
      arguments->cost = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { argp_options, parse_option, NULL, "Compares the balancing policies.", NULL, NULL, NULL };
  static const unsigned sizes[] = { 10, 100, 1000 };
  struct arguments arguments = { .seed = 1 };

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    compare_policies (&scenarios[i], arguments.seed);
  printf ("\n");
  for (int i = 0; arguments.cost && mt_balance_policies[i] != NULL; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (sizes); k++)
      measure_cost (mt_balance_policies[i], sizes[k]);
  return 0;
}
