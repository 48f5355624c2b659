/* Runs the core's policies on a deployment's load and prints the figures of each. */
#include "jobs_scenario.h"
#include "sim.h"

#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct arguments
{
  const struct fleet_deployment *deployment;
  const struct mt_capacity_policy *policy; /* NULL: all */
  uint32_t seed;
  bool json;
  bool jobs;                             /* run the jobs scenario in place of a deployment's load */
  struct mt_jobs_scenario jobs_scenario; /* sizes for the jobs scenario */
};

const char *argp_program_version = "medlartrack-measure 0.1.0";

static const struct argp_option options[] = {
  { "deployment", 'd', "NAME", 0, "kovacs or skovlund", 0 },
  { "seed", 's', "N", 0, "The load's seed; 1 unless given", 0 },
  { "policy", 'p', "NAME", 0, "Only this policy: default, static or greedy", 0 },
  { "json", 'j', NULL, 0, "Print a JSON object", 0 },
  { "scenario", 'S', "NAME", 0, "requests (default) or jobs; jobs takes the sizes below", 0 },
  { "workers", 'w', "N", 0, "jobs: workers, 50 unless given", 1 },
  { "teams", 't', "N", 0, "jobs: teams, 10 unless given", 1 },
  { "pools", 'P', "N", 0, "jobs: pools, 5 unless given", 1 },
  { "seconds", 'T', "N", 0, "jobs: simulated time, 600 unless given", 1 },
  { "cost", 'c', NULL, 0, "jobs: also print processor time and memory, which differ between runs",
    1 },
  { 0 },
};

static unsigned
read_count (struct argp_state *state, const char *arg)
{
  guint64 n = 0;

  if (!g_ascii_string_to_unsigned (arg, 10, 1, 1000000, &n, NULL))
    argp_error (state, "\"%s\" is not a number from 1 to 1000000", arg);
  return (unsigned) n;
}

static error_t
parse_jobs_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'S':
      arguments->jobs = strcmp (arg, "jobs") == 0;
      if (!arguments->jobs && strcmp (arg, "requests") != 0)
        argp_error (state, "unknown scenario \"%s\"; use requests or jobs", arg);
      return 0;
    case 'w':
      arguments->jobs_scenario.workers = read_count (state, arg);
      return 0;
    case 't':
      arguments->jobs_scenario.teams = read_count (state, arg);
      return 0;
    case 'P':
      arguments->jobs_scenario.pools = read_count (state, arg);
      return 0;
    case 'T':
      arguments->jobs_scenario.seconds = read_count (state, arg);
      return 0;
    case 'c':
      arguments->jobs_scenario.cost = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  guint64 seed;

  switch (key)
    {
    case 'd':
      arguments->deployment = fleet_deployment_find (arg);
      if (arguments->deployment == NULL)
        argp_error (state, "unknown deployment \"%s\"; use kovacs or skovlund", arg);
      return 0;
    case 's':
      if (!g_ascii_string_to_unsigned (arg, 10, 0, G_MAXUINT32, &seed, NULL))
        argp_error (state, "seed \"%s\" is not a number from 0 to %u", arg, G_MAXUINT32);
      arguments->seed = (uint32_t) seed;
      return 0;
    case 'p':
      arguments->policy = mt_capacity_policy_find (arg);
      if (arguments->policy == NULL)
        argp_error (state, "unknown policy \"%s\"; use default, static or greedy", arg);
      return 0;
    case 'j':
      arguments->json = true;
      return 0;
    case ARGP_KEY_END:
      if (arguments->deployment == NULL && !arguments->jobs)
        argp_error (state, "--deployment NAME is required");
      return 0;
    default:
      return parse_jobs_option (key, arg, state);
    }
}

static json_t *
run_jobs (const struct arguments *arguments)
{
  struct mt_jobs_scenario scenario = arguments->jobs_scenario;

  scenario.seed = arguments->seed;
  return mt_jobs_scenario_run (&scenario);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;

  return left < right ? -1 : left > right;
}

static json_t *
describe_times (GArray *times)
{
  g_array_sort (times, compare_doubles);
  return json_pack ("{sf sf}", "median", g_array_index (times, double, times->len / 2), "worst",
                    g_array_index (times, double, times->len - 1));
}

static json_t *
describe_result (const struct sim_result *r)
{
  json_t *broken
      = json_pack ("{sI sI sI sI}", "one_pool", (json_int_t) r->broken_one_pool, "at_most_once",
                   (json_int_t) r->broken_at_most_once, "budget", (json_int_t) r->broken_budget,
                   "graceful", (json_int_t) r->broken_graceful);

  return json_pack ("{sf sf so so sI sI sI sI sI sI so}", "buffer_share",
                    r->buffer_instance_s / r->instance_s, "buffer_instance_s", r->buffer_instance_s,
                    "rollout_table_s", describe_times (r->table_s), "rollout_wave_s",
                    describe_times (r->wave_s), "moves", (json_int_t) r->moves, "asked",
                    (json_int_t) r->asked, "answered", (json_int_t) r->answered, "refused",
                    (json_int_t) r->refused, "late", (json_int_t) r->late, "unknown",
                    (json_int_t) r->unknown, "broken", broken);
}

/* Sets the bound from the first policy that runs. Failures, and so the remaining budget, are the
 * same for all policies. */
static json_t *
run_policy (const struct arguments *arguments,
            const struct mt_capacity_policy *policy,
            json_t *bound)
{
  struct sim_result result;
  json_t *out;

  sim_result_init (&result);
  for (unsigned z = 0; z < arguments->deployment->zones; z++)
    sim_run (arguments->deployment, z, arguments->seed, policy, &result);
  out = describe_result (&result);
  if (json_object_size (bound) == 0)
    json_object_set_new (bound, "rollout_wave_s", describe_times (result.wave_bound_s));
  sim_result_clear (&result);
  return out;
}

static json_t *
run_policies (const struct arguments *arguments)
{
  json_t *policies = json_object ();
  json_t *bound = json_object ();

  for (const struct mt_capacity_policy *p = mt_capacity_policies; p->name != NULL; p++)
    if (arguments->policy == NULL || arguments->policy == p)
      json_object_set_new (policies, p->name, run_policy (arguments, p, bound));
  return json_pack ("{ss sI so so}", "deployment", arguments->deployment->name, "seed",
                    (json_int_t) arguments->seed, "policies", policies, "bound", bound);
}

static void
print_table (const json_t *root)
{
  const char *name;
  json_t *policy;

  printf ("%-8s %9s %7s %9s %9s %8s %5s %7s %14s\n", "policy", "buffer", "moves", "asked",
          "refused", "late", "lost", "wave s", "broken");
  json_object_foreach (json_object_get (root, "policies"), name, policy)
  {
    char *broken = json_dumps (json_object_get (policy, "broken"), JSON_COMPACT);

    printf (
        "%-8s %8.1f%% %7lld %9lld %9lld %8lld %5lld %7.0f %s\n", name,
        100 * json_number_value (json_object_get (policy, "buffer_share")),
        json_integer_value (json_object_get (policy, "moves")),
        json_integer_value (json_object_get (policy, "asked")),
        json_integer_value (json_object_get (policy, "refused")),
        json_integer_value (json_object_get (policy, "late")),
        json_integer_value (json_object_get (policy, "unknown")),
        json_number_value (json_object_get (json_object_get (policy, "rollout_wave_s"), "worst")),
        broken);
    free (broken);
  }
  printf ("bound: wave %.0f s\n",
          json_number_value (json_object_get (
              json_object_get (json_object_get (root, "bound"), "rollout_wave_s"), "worst")));
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Measures the policies on a deployment's load.",
          NULL,    NULL,         NULL };
  struct arguments arguments
      = { .seed = 1, .jobs_scenario = { .workers = 50, .teams = 10, .pools = 5, .seconds = 600 } };
  json_t *root;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  root = arguments.jobs ? run_jobs (&arguments) : run_policies (&arguments);
  if (arguments.json || arguments.jobs)
    {
      json_dumpf (root, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
      printf ("\n");
    }
  else
    print_table (root);
  json_decref (root);
  return EXIT_SUCCESS;
}
