/* Compares the balancing policies on the core itself, with a manual clock: six daemons, each with a
 * dispatch of its own, share ten minions of eight slots that they see only through heartbeats. No
 * network and no daemon is modelled; a minion here is a count of running requests that refuses the
 * ninth. The same seed gives the same arrivals and service times to every policy.
 *
 * The bound: one queue that knows every slot at every moment, as a fluid. No policy can pass it but
 * by the luck of the draw. */
#include "histogram.h"
#include "medlartrack/dispatch.h"

#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS      6
#define MINIONS      10
#define SLOTS        8
#define AUDIENCES    4
#define MEAN_RATE    480.0 /* a second; the pool holds 1,600 */
#define SERVICE_MS   50.0
#define LEAST_MS     20.0
#define DEADLINE_US  (500 * MT_MS)
#define REFUSAL_US   (2 * MT_MS)
#define ERROR_US     (1 * MT_MS)
#define TICK_US      (5 * MT_MS)
#define HEARTBEAT_US (500 * MT_MS)
#define SUSPECT_US   (3 * MT_SECOND) /* a dead daemon is left out after this */
#define NOTICE_US    (1 * MT_SECOND) /* the balancer leaves it out after this */
#define QUEUE        400
#define MAX_TRIES    3
#define SLOW_FACTOR  4

struct scenario
{
  const char *name;
  const char *description;
  double factors[3]; /* of the mean rate, */
  double seconds[3]; /* for so long */
  bool uneven;       /* half of all callers reach the first daemon */
  int sick;          /* minion that answers errors at once, in the middle part */
  int dying;         /* daemon that dies at the start of the middle part */
  int slow;          /* minion that takes four times as long, in the middle part */
};

static const struct scenario scenarios[] = {
  { "steady", "the mean", { 1, 1, 1 }, { 5, 10, 5 }, false, -1, -1, -1 },
  { "surge", "five times the mean for 5 s", { 1, 5, 1 }, { 10, 5, 10 }, false, -1, -1, -1 },
  { "trough",
    "a twentieth for 20 s, then the surge",
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
  END, /* of an exchange */
  TICK,
  HEARTBEAT,
  DEATH,
};

struct request
{
  struct mt_ticket ticket;
  struct world *world;
  int daemon;
  int minion;
  int64_t born_us;
  double service_ms;
  unsigned tries;
  char avoid[8];
  enum mt_dispatch_result result;
};

struct event
{
  int64_t at_us;
  uint64_t order; /* events of one moment keep their order */
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
  uint64_t lost; /* with the daemon that died */
  uint64_t refusals_by_minions;
  struct mt_histogram latencies;
};

struct world
{
  const struct scenario *scenario;
  struct mt_clock_manual *manual;
  struct mt_dispatch *daemons[DAEMONS];
  unsigned reported[DAEMONS][MINIONS]; /* by the last heartbeat */
  bool dead[DAEMONS];
  int64_t died_us;
  unsigned running[MINIONS];
  GArray *heap; /* of struct event */
  uint64_t order;
  uint64_t random;
  struct counts counts;
};

static int64_t
now_us (const struct world *world)
{
  return mt_clock_now (mt_clock_manual_clock (world->manual));
}

/* xorshift64, as a number in (0, 1] */
static double
draw (struct world *world)
{
  world->random ^= world->random << 13;
  world->random ^= world->random >> 7;
  world->random ^= world->random << 17;
  return ((double) (world->random >> 11) + 1) / 9007199254740992.0;
}

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static struct event *
at (struct world *world, guint i)
{
  return &g_array_index (world->heap, struct event, i);
}

static void
swap (struct world *world, guint i, guint k)
{
  struct event event = *at (world, i);

  *at (world, i) = *at (world, k);
  *at (world, k) = event;
}

static void
push (struct world *world, int64_t at_us, enum kind kind, struct request *request)
{
  struct event event = { at_us, world->order++, kind, request };
  guint i = world->heap->len;

  g_array_append_val (world->heap, event);
  for (; i > 0 && is_before (at (world, i), at (world, (i - 1) / 2)); i = (i - 1) / 2)
    swap (world, i, (i - 1) / 2);
}

static struct event
pop (struct world *world)
{
  struct event first = *at (world, 0);
  guint last = world->heap->len - 1;
  guint i = 0;

  swap (world, 0, last);
  g_array_set_size (world->heap, last);
  for (;;)
    {
      guint child = 2 * i + 1;

      if (child >= last)
        return first;
      if (child + 1 < last && is_before (at (world, child + 1), at (world, child)))
        child++;
      if (!is_before (at (world, child), at (world, i)))
        return first;
      swap (world, i, child);
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
end_of (const struct scenario *scenario)
{
  return (int64_t) ((scenario->seconds[0] + scenario->seconds[1] + scenario->seconds[2]) * 1e6);
}

static void
start (struct request *request)
{
  struct world *world = request->world;
  int64_t now = now_us (world);
  double service_ms = request->service_ms;
  int minion = (int) strtol (request->ticket.minion + 1, NULL, 10);

  request->minion = minion;
  if (world->running[minion] >= SLOTS)
    {
      request->result = MT_DISPATCH_REFUSED;
      push (world, now + REFUSAL_US, END, request);
      return;
    }
  world->running[minion]++;
  request->result = MT_DISPATCH_SUCCESS;
  if (minion == world->scenario->sick && find_part (world->scenario, now) == 1)
    {
      request->result = MT_DISPATCH_SERVER_ERROR;
      service_ms = (double) ERROR_US / MT_MS;
    }
  if (minion == world->scenario->slow && find_part (world->scenario, now) == 1)
    service_ms *= SLOW_FACTOR;
  push (world, now + (int64_t) (service_ms * MT_MS), END, request);
}

static void
on_granted (struct mt_ticket *ticket)
{
  start (ticket->owner);
}

static void
on_expired (struct mt_ticket *ticket)
{
  struct request *request = ticket->owner;

  request->world->counts.refused++;
  g_free (request);
}

static const struct mt_dispatch_callbacks callbacks = {
  .name = "bench",
  .description = "starts what is granted, counts what is given up on",
  .granted = on_granted,
  .expired = on_expired,
};

static void
ask (struct request *request)
{
  struct world *world = request->world;

  request->tries++;
  request->ticket.is_retry = request->tries > 1;
  switch (mt_dispatch_submit (world->daemons[request->daemon], &request->ticket, QUEUE))
    {
    case MT_ADMISSION_GRANTED:
      start (request);
      break;
    case MT_ADMISSION_REFUSED:
      world->counts.refused++;
      g_free (request);
      break;
    case MT_ADMISSION_QUEUED:
      break;
    }
}

static int
choose_daemon (struct world *world)
{
  int daemon;

  do
    daemon = world->scenario->uneven && draw (world) < 0.5
                 ? 0
                 : (int) (draw (world) * DAEMONS) % DAEMONS;
  while (world->dead[daemon] && now_us (world) - world->died_us > NOTICE_US);
  return daemon;
}

static void
arrive (struct world *world)
{
  int64_t now = now_us (world);
  double rate = MEAN_RATE * world->scenario->factors[find_part (world->scenario, now)];
  struct request *request = g_new0 (struct request, 1);
  int64_t next = now + 1 + (int64_t) (-log (draw (world)) * 1e6 / rate);

  if (next < end_of (world->scenario))
    push (world, next, ARRIVAL, NULL);
  world->counts.asked++;
  request->world = world;
  request->daemon = choose_daemon (world);
  request->born_us = now;
  request->service_ms = LEAST_MS - (SERVICE_MS - LEAST_MS) * log (draw (world));
  request->ticket.owner = request;
  request->ticket.audience = (uint64_t) (draw (world) * AUDIENCES);
  request->ticket.deadline_us = now + DEADLINE_US;
  if (!world->dead[request->daemon])
    {
      ask (request);
      return;
    }
  world->counts.lost++;
  g_free (request);
}

static void
settle (struct request *request)
{
  struct counts *counts = &request->world->counts;
  int64_t took = now_us (request->world) - request->born_us;

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
  struct world *world = request->world;

  if (request->result != MT_DISPATCH_REFUSED)
    world->running[request->minion]--;
  if (world->dead[request->daemon])
    {
      world->counts.lost++;
      g_free (request);
      return;
    }
  g_strlcpy (request->avoid, request->ticket.minion, sizeof request->avoid);
  mt_dispatch_complete (world->daemons[request->daemon], &request->ticket, request->result);
  if (request->result != MT_DISPATCH_REFUSED)
    {
      settle (request);
      return;
    }
  world->counts.refusals_by_minions++;
  request->ticket.avoid = request->avoid;
  if (request->tries < MAX_TRIES)
    {
      ask (request);
      return;
    }
  world->counts.refused++;
  g_free (request);
}

static void
tick (struct world *world)
{
  for (int i = 0; i < DAEMONS; i++)
    if (!world->dead[i])
      mt_dispatch_tick (world->daemons[i]);
  if (now_us (world) < end_of (world->scenario) + 2 * DEADLINE_US)
    push (world, now_us (world) + TICK_US, TICK, NULL);
}

struct view
{
  const struct world *world;
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
      sum += view->world->reported[i][minion];
  return sum;
}

static bool
is_thought_alive (const struct world *world, int daemon)
{
  return !world->dead[daemon] || now_us (world) - world->died_us < SUSPECT_US;
}

static void
set_share (struct world *world, int daemon)
{
  struct view view = { world, daemon };
  struct mt_share share = { 0, 0 };

  for (int i = 0; i < DAEMONS; i++)
    {
      if (!is_thought_alive (world, i))
        continue;
      share.rank += i < daemon ? 1 : 0;
      share.daemons++;
    }
  mt_dispatch_set_share (world->daemons[daemon], share, sum_others, &view);
}

static void
heartbeat (struct world *world)
{
  for (int i = 0; i < DAEMONS; i++)
    for (int m = 0; m < MINIONS; m++)
      {
        g_autofree char *name = g_strdup_printf ("m%d", m);

        if (!world->dead[i])
          world->reported[i][m] = mt_dispatch_in_flight (world->daemons[i], name);
        else if (!is_thought_alive (world, i))
          world->reported[i][m] = 0;
      }
  for (int i = 0; i < DAEMONS; i++)
    if (!world->dead[i])
      set_share (world, i);
  if (now_us (world) < end_of (world->scenario))
    push (world, now_us (world) + HEARTBEAT_US, HEARTBEAT, NULL);
}

static void
die (struct world *world)
{
  world->dead[world->scenario->dying] = true;
  world->died_us = now_us (world);
  world->counts.lost += mt_dispatch_queue_length (world->daemons[world->scenario->dying]);
}

static void
put_minions (struct mt_dispatch *dispatch, unsigned n)
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

static struct world *
make_world (const struct scenario *scenario, const struct mt_balance *policy, uint64_t seed)
{
  struct world *world = g_new0 (struct world, 1);

  world->scenario = scenario;
  world->manual = mt_clock_manual_create (0);
  world->heap = g_array_new (FALSE, FALSE, sizeof (struct event));
  world->random = seed * 2654435761U + 1;
  for (int i = 0; i < DAEMONS; i++)
    {
      world->daemons[i] = mt_dispatch_create (mt_clock_manual_clock (world->manual), &callbacks,
                                              policy, seed * 100 + (uint64_t) i * 2 + 1);
      put_minions (world->daemons[i], MINIONS);
    }
  push (world, 0, HEARTBEAT, NULL);
  push (world, 0, TICK, NULL);
  push (world, 0, ARRIVAL, NULL);
  if (scenario->dying >= 0)
    push (world, (int64_t) (scenario->seconds[0] * 1e6), DEATH, NULL);
  return world;
}

static void
free_world (struct world *world)
{
  for (int i = 0; i < DAEMONS; i++)
    mt_dispatch_destroy (world->daemons[i]);
  g_array_free (world->heap, TRUE);
  mt_clock_manual_destroy (world->manual);
  g_free (world);
}

static void
run_world (struct world *world)
{
  while (world->heap->len > 0)
    {
      struct event event = pop (world);

      mt_clock_manual_advance (world->manual, event.at_us - now_us (world));
      switch (event.kind)
        {
        case ARRIVAL:
          arrive (world);
          break;
        case END:
          end_exchange (event.request);
          break;
        case TICK:
          tick (world);
          break;
        case HEARTBEAT:
          heartbeat (world);
          break;
        case DEATH:
          die (world);
          break;
        }
    }
}

/* Arrivals by their mean, served by all healthy slots; what can't be served by its deadline leaves.
 */
static double
work_out_bound (const struct scenario *scenario, uint64_t asked)
{
  const double step_s = 0.001;
  double waiting = 0;
  double served = 0;
  double arrived = 0;

  for (int64_t t = 0; t < end_of (scenario); t += MT_MS)
    {
      int part = find_part (scenario, t);
      double minions = MINIONS;
      double come = MEAN_RATE * scenario->factors[part] * step_s;
      double capacity;
      double most;
      double go;

      if (part == 1 && scenario->sick >= 0)
        minions -= 1;
      if (part == 1 && scenario->slow >= 0)
        minions -= 1 - 1.0 / SLOW_FACTOR;
      capacity = minions * SLOTS / (SERVICE_MS / 1000) * step_s;
      most = capacity / step_s * ((double) DEADLINE_US / 1e6 - SERVICE_MS / 1000);
      arrived += come;
      waiting = fmin (waiting + come, most);
      go = fmin (waiting, capacity);
      waiting -= go;
      served += go;
    }
  return fmin ((served + waiting) / arrived, 1) * (double) asked;
}

static void
compare (const struct scenario *scenario, uint64_t seed)
{
  printf ("\n%s: %s\n%-16s %8s %8s %7s %7s %7s %7s %7s %8s %8s\n", scenario->name,
          scenario->description, "policy", "asked", "useful", "of bnd", "refused", "late", "errors",
          "lost", "p50_ms", "p99_ms");
  for (int i = 0; mt_balance_policies[i] != NULL; i++)
    {
      struct world *world = make_world (scenario, mt_balance_policies[i], seed);
      const struct counts *counts = &world->counts;
      double bound;

      run_world (world);
      bound = work_out_bound (scenario, counts->asked);
      printf ("%-16s %8lu %8lu %6.1f%% %7lu %7lu %7lu %7lu %8.1f %8.1f  by minions %lu\n",
              mt_balance_policies[i]->name, counts->asked, counts->useful,
              100.0 * (double) counts->useful / bound, counts->refused, counts->late,
              counts->errors, counts->lost,
              (double) mt_histogram_quantile (&counts->latencies, 0.5) / 1e3,
              (double) mt_histogram_quantile (&counts->latencies, 0.99) / 1e3,
              counts->refusals_by_minions);
      free_world (world);
    }
}

/* What one ask and one done cost, with half of the slots taken. */
static void
measure_cost (const struct mt_balance *policy, unsigned n)
{
  const unsigned rounds = 200000;
  struct mt_dispatch *dispatch = mt_dispatch_create (mt_clock_system (), &callbacks, policy, 1);
  struct mt_ticket *held = g_new0 (struct mt_ticket, n * SLOTS / 2);
  struct mt_ticket ticket = { .deadline_us = INT64_MAX };
  int64_t start_us;

  put_minions (dispatch, n);
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
  printf ("%-16s %6u minions %8.0f ns an ask and done\n", policy->name, n,
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
    compare (&scenarios[i], arguments.seed);
  printf ("\n");
  for (int i = 0; arguments.cost && mt_balance_policies[i] != NULL; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (sizes); k++)
      measure_cost (mt_balance_policies[i], sizes[k]);
  return 0;
}
