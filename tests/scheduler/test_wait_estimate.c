/* Wait estimates of workspaces, with given shares of the pool. */
#include "scheduler_internal.h"
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Two workers of 16 cores. */
static struct world *
create_world (void)
{
  struct world *world = world_create ();

  world_add_worker (world, "r1");
  world_add_worker (world, "r1");
  world_run (world, 200);
  return world;
}

/* Submits jobs of 160 core seconds each. */
static void
submit_jobs (struct world *world, const char *workspace, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s%u", workspace, i);
      struct mt_job_spec *spec = world_job (id, 40, 4000, 1000);

      spec->workspace = g_strdup (workspace);
      world_submit (world, spec);
    }
  world_run (world, 100);
}

static struct mt_wait_estimate
estimate (struct world *world, const char *workspace, double fair, bool is_above)
{
  const struct mt_share_view share = { fair, is_above };

  return mt_scheduler_estimate_wait_by_share (world->sched, "route", 1000, workspace, &share,
                                              world->now);
}

/* Guards against refusing a workspace for another's flood: work beyond the flood's share is placed
 * after this workspace's. */
static void
test_workspace_below_its_share_waits_behind_its_own_work (void **state)
{
  struct world *world = create_world ();
  struct mt_wait_estimate flood, other;

  submit_jobs (world, "press", 10);
  flood = estimate (world, "press", 0.5, true);
  other = estimate (world, "yard", 0.5, false);
  assert_in_range (flood.retry_after_ms, 15000, 30000);
  assert_int_equal (other.retry_after_ms, 0);
  assert_in_range (other.wait_ms, 1, 1000);
  world_destroy (world);
}

/* Guards against a refusal that doesn't name its cause: an operator would look for missing machines
 * instead of the workspace's share. */
static void
test_refusal_because_of_the_share_gives_both_shares (void **state)
{
  struct world *world = create_world ();
  struct mt_wait_estimate out;

  submit_jobs (world, "press", 10);
  out = estimate (world, "press", 0.25, true);
  assert_true (out.retry_after_ms > 0);
  assert_int_equal (out.fair, 0);
  out = estimate (world, "yard", 0.25, true);
  assert_true (out.retry_after_ms > 0);
  assert_int_equal (out.fair, 250);
  assert_int_equal (out.share, 0);
  world_destroy (world);
}

/* Guards against a workspace below its share that is admitted without limit: its own work is served
 * at its share of the capacity. */
static void
test_own_backlog_is_served_at_the_fair_share (void **state)
{
  struct world *world = create_world ();
  struct mt_wait_estimate most, tenth, everything;

  submit_jobs (world, "press", 20);
  submit_jobs (world, "yard", 1);
  most = estimate (world, "yard", 0.8, false);
  tenth = estimate (world, "yard", 0.1, false);
  everything = estimate (world, "yard", 0.01, false);
  assert_in_range (most.wait_ms, 6500, 8500);
  assert_int_equal (most.retry_after_ms, 0);
  assert_in_range (tenth.wait_ms, 50000, 57500);
  assert_true (tenth.retry_after_ms > 0);
  assert_int_equal (everything.wait_ms, estimate (world, "", 1, false).wait_ms);
  world_run (world, 200);
  assert_in_range (estimate (world, "yard", 0.1, false).wait_ms, tenth.wait_ms / 2, tenth.wait_ms);
  world_destroy (world);
}

/* Guards against a share that can't be known (none yet, or the only workspace) and divides by zero
 * or refuses nobody. */
static void
test_unknown_share_waits_behind_everything (void **state)
{
  struct world *world = create_world ();
  struct mt_wait_estimate whole;

  submit_jobs (world, "press", 10);
  whole = estimate (world, "", 1, false);
  assert_true (whole.retry_after_ms > 0);
  assert_int_equal (estimate (world, "yard", 0, false).retry_after_ms, whole.retry_after_ms);
  assert_int_equal (estimate (world, "yard", 1, false).retry_after_ms, whole.retry_after_ms);
  assert_int_equal (estimate (world, "yard", 1, true).fair, 0);
  world_destroy (world);
}

/* The estimate as it was before shares: everything is ahead. */
static int64_t
retry_without_shares (const struct mt_scheduler *sched, int64_t chain_ms, int64_t now)
{
  const struct mt_route *route = g_hash_table_lookup (sched->routes, "route");
  double chain = (double) chain_ms;
  double timely = 0;
  double total = 0;
  double allowed, excess_ms;

  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_occurrence *occ = ((const struct mt_job *) l->data)->occurrences[0];
      double work = occ != NULL && !occ->ended ? mt_occurrence_remaining_work (occ) : 0;

      total += work;
      if (work > 0 && mt_occurrence_can_meet_objective (occ, now))
        timely += work;
    }
  if (route->mean_ms > 0 && route->estimate_ms > 0)
    chain = chain * route->mean_ms / route->estimate_ms;
  allowed = route->policy.stretch * chain + (double) route->policy.objective_ms;
  if ((double) (int64_t) (timely / sched->batch_cpu) + chain <= allowed)
    return 0;
  excess_ms = (double) (int64_t) (total / sched->batch_cpu) / 2 + chain - 3 * allowed;
  return excess_ms > 0 ? (int64_t) excess_ms + 1 : 0;
}

/* Guards against any change for deployments without workspaces: a caller without one gets the same
 * estimate as before, for short and long jobs, with little and much work, from the start to the end
 * of a surge. */
static void
test_estimate_without_workspaces_is_the_same_as_before (void **state)
{
  static const int64_t chains[] = { 50, 300, 1000, 4000, 20000 };
  static const char *const none[] = { NULL, "" };
  struct world *world = create_world ();
  unsigned n_refused = 0;
  unsigned n_admitted = 0;

  for (unsigned i = 0; i < 60; i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u", i);

      if (i < 30)
        world_submit (world, world_job (id, 5 + i * 7 % 40, 1000 + i * 900 % 4000, 500 + i * 100));
      world_run (world, 200);
      for (size_t k = 0; k < G_N_ELEMENTS (chains) * G_N_ELEMENTS (none); k++)
        {
          int64_t chain = chains[k / G_N_ELEMENTS (none)];
          struct mt_wait_estimate out = mt_scheduler_estimate_wait (
              world->sched, "route", chain, none[k % G_N_ELEMENTS (none)], world->now);

          assert_int_equal (out.retry_after_ms,
                            retry_without_shares (world->sched, chain, world->now));
          assert_int_equal (out.fair, 0);
          n_refused += out.retry_after_ms > 0;
          n_admitted += out.retry_after_ms == 0;
        }
    }
  assert_true (n_refused > 50);
  assert_true (n_admitted > 50);
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_workspace_below_its_share_waits_behind_its_own_work),
    cmocka_unit_test (test_refusal_because_of_the_share_gives_both_shares),
    cmocka_unit_test (test_own_backlog_is_served_at_the_fair_share),
    cmocka_unit_test (test_unknown_share_waits_behind_everything),
    cmocka_unit_test (test_estimate_without_workspaces_is_the_same_as_before),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
