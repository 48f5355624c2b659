/* Weighted shares of workspaces under named loads: which workspace's tasks run, and for how long
 * the others wait. */
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WORKER_CPU 16000
#define RUN_MS     600
/* From the end of a run until another one has begun in its place: a cycle, a start, a hold. */
#define REACTION_MS 100
/* Longest time in which a workspace regains its share: that of the runs in its place. */
#define REGAIN_MS (RUN_MS + REACTION_MS)

static struct world *
create_pool (const char *policy, unsigned workers)
{
  struct world *world = world_create ();

  world_set_share_policy (world, policy);
  for (unsigned i = 0; i < workers; i++)
    world_add_worker (world, "r1");
  world->run_ms = RUN_MS;
  world_run (world, 200);
  return world;
}

static void
set_weight (struct world *world, const char *workspace, int64_t weight)
{
  struct mt_workspace_limits limits = { .weight = weight, .pools = 1 };

  mt_scheduler_set_workspace (world->sched, workspace, &limits);
}

/* Submits a job of the workspace; its id is the workspace's name and a number. */
static struct mt_job_spec *
make_job (const char *workspace, unsigned number, unsigned count, int64_t cpu)
{
  g_autofree char *id = g_strdup_printf ("%s-%u", workspace, number);
  struct mt_job_spec *spec = world_job (id, count, cpu, RUN_MS);

  spec->workspace = g_strdup (workspace);
  return spec;
}

static void
submit (struct world *world, const char *workspace, unsigned number, unsigned count, int64_t cpu)
{
  struct mt_job_spec *spec = make_job (workspace, number, count, cpu);

  spec->accepted_ms = world->now;
  world_submit (world, spec);
}

static void
flood (struct world *world, const char *workspace, unsigned jobs, int64_t cpu)
{
  for (unsigned i = 0; i < jobs; i++)
    submit (world, workspace, i, 10, cpu);
}

/* Returns the workspace's running tasks. */
static unsigned
count_running (const struct world *world, const char *workspace)
{
  g_autofree char *prefix = g_strconcat (workspace, "-", NULL);
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_workers; i++)
    for (guint k = 0; k < world->workers[i].runs->len; k++)
      n += g_str_has_prefix (g_array_index (world->workers[i].runs, struct world_run, k).task,
                             prefix);
  return n;
}

/* ---- decisions without weights ---- */

/* Returns a checksum over all runs at each moment of a surge of jobs of different sizes, gangs
 * among them, with a slow worker and one that fails its runs. */
static char *
trace_surge (const char *policy, bool workspaces)
{
  static const char *const names[] = { "yard", "press", "" };
  struct mt_workspace_limits limits = { .quota = { .cpu = 20000 }, .pools = 1 };
  struct world *world = create_pool (policy, 4);
  g_autoptr (GChecksum) sum = g_checksum_new (G_CHECKSUM_SHA256);
  char *out;

  if (workspaces)
    mt_scheduler_set_workspace (world->sched, "yard", &limits);
  world->workers[1].run_time_factor = 2.5;
  world->workers[2].fails_runs = true;
  for (unsigned tick = 0; tick < 300; tick++)
    {
      if (tick < 100)
        {
          struct mt_job_spec *spec
              = make_job (names[tick % 3], tick, 1 + tick * 7 % 9, 1000 * (1 + tick * 5 % 4));

          if (!workspaces)
            g_clear_pointer (&spec->workspace, g_free);
          spec->steps[0].estimate_ms = 300 + tick * 37 % 900;
          spec->steps[0].gang = tick % 10 == 3 && spec->steps[0].count < 4;
          spec->accepted_ms = world->now;
          world_submit (world, spec);
        }
      world_run (world, 50);
      for (unsigned i = 0; i < world->n_workers; i++)
        for (guint k = 0; k < world->workers[i].runs->len; k++)
          {
            const struct world_run *run
                = &g_array_index (world->workers[i].runs, struct world_run, k);
            g_autofree char *row = g_strdup_printf ("%u %u %s %u\n", tick, i, run->task, run->run);

            g_checksum_update (sum, (const guchar *) row, -1);
          }
    }
  out = g_strdup (g_checksum_get_string (sum));
  world_destroy (world);
  return out;
}

/* Guards against shares that change a decision of a fleet that has no workspaces, or whose
 * workspaces have quotas only. */
static void
test_without_weights_no_decision_changes (void **state)
{
  for (unsigned workspaces = 0; workspaces < 2; workspaces++)
    {
      g_autofree char *none = trace_surge ("none", workspaces);
      g_autofree char *by_floor = trace_surge ("floor", workspaces);
      g_autofree char *deficit = trace_surge ("deficit", workspaces);

      assert_string_equal (by_floor, none);
      assert_string_equal (deficit, none);
    }
}

/* ---- named loads ---- */

/* One flood among 20 workspaces. */
struct outcome
{
  double others_mean_ms; /* from submission to completion */
  int64_t others_longest_ms;
  unsigned flood_done; /* tasks of the flood done at the end of the load */
};

#define FLOOD_MS 6000

/* 19 workspaces submit a job of three tasks every 665 ms, 0.85 of their equal share of 64 cores;
 * the first one 7.5 times as much. All together need 1.12 times the pool. */
static struct outcome
run_flood_among_20 (const char *policy, bool with_flood)
{
  struct world *world = create_pool (policy, 4);
  g_autoptr (GPtrArray) ids = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GArray) since = g_array_new (FALSE, FALSE, sizeof (int64_t));
  const int64_t begin = world->now;
  struct outcome out = { 0 };
  unsigned n = 0;
  unsigned done = 0;

  for (unsigned i = 0; i < 20; i++)
    {
      g_autofree char *name = g_strdup_printf ("w%02u", i);

      set_weight (world, name, 1);
    }
  while (world->now < begin + FLOOD_MS || done < ids->len)
    {
      int64_t at = world->now - begin;

      for (unsigned i = 0; i < 20 && at < FLOOD_MS; i++)
        {
          unsigned interval = i == 0 ? 90 : 665;
          g_autofree char *name = g_strdup_printf ("w%02u", i);

          if ((at + 35 * i) % interval != 0 || (i == 0 && !with_flood))
            continue;
          submit (world, name, n, 3, 1000);
          if (i > 0)
            {
              g_ptr_array_add (ids, g_strdup_printf ("%s-%u", name, n));
              g_array_append_val (since, world->now);
            }
          n++;
        }
      world_run (world, 5);
      assert_true (world->now < begin + 60000);
      for (guint i = 0; i < ids->len; i++)
        {
          int64_t *submitted = &g_array_index (since, int64_t, i);
          int64_t ms = world->now - *submitted;

          if (*submitted == 0
              || mt_scheduler_job_state (world->sched, ids->pdata[i]) != MT_JOB_COMPLETED)
            continue;
          out.others_mean_ms += (double) ms;
          out.others_longest_ms = MAX (out.others_longest_ms, ms);
          *submitted = 0;
          done++;
        }
    }
  out.others_mean_ms /= done;
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *id = g_strdup_printf ("w00-%u", i);

      out.flood_done += 3 * (mt_scheduler_job_state (world->sched, id) == MT_JOB_COMPLETED);
    }
  world_destroy (world);
  return out;
}

/* Guards against a flood of one workspace that delays 19 others, and against a policy that differs
 * from its description. */
static void
test_one_flood_among_20_workspaces (void **state)
{
  static const char *const names[] = { "none", "floor", "deficit" };
  struct outcome alone = run_flood_among_20 ("none", false);
  struct outcome outcomes[G_N_ELEMENTS (names)];

  print_message ("without flood: mean %.0f ms, longest %d ms\n", alone.others_mean_ms,
                 (int) alone.others_longest_ms);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      outcomes[i] = run_flood_among_20 (names[i], true);
      print_message ("%s: mean %.0f ms, longest %d ms, tasks of the flood %u\n", names[i],
                     outcomes[i].others_mean_ms, (int) outcomes[i].others_longest_ms,
                     outcomes[i].flood_done);
    }
  for (size_t i = 1; i < G_N_ELEMENTS (names); i++)
    {
      assert_true (outcomes[i].others_mean_ms < 1.35 * alone.others_mean_ms);
      assert_true (outcomes[i].others_mean_ms < outcomes[0].others_mean_ms);
    }
}

/* Two floods with weights 1 and 3, each larger than the pool. */
static void
run_two_floods (const char *policy, unsigned *low, unsigned *high)
{
  struct world *world = create_pool (policy, 4);

  set_weight (world, "yard", 1);
  set_weight (world, "press", 3);
  flood (world, "yard", 60, 1000);
  flood (world, "press", 60, 1000);
  world_run (world, 3000);
  *low = count_running (world, "yard");
  *high = count_running (world, "press");
  world_destroy (world);
}

static void
test_two_floods_share_by_weight (void **state)
{
  unsigned low, high;

  run_two_floods ("floor", &low, &high);
  assert_in_range (low, 15, 17);
  assert_in_range (high, 47, 49);
  run_two_floods ("deficit", &low, &high);
  assert_in_range (low, 12, 20);
  assert_in_range (high, 44, 52);
}

static void
test_equal_surges_get_equal_shares (void **state)
{
  static const char *const names[] = { "a", "b", "c", "d" };
  struct world *world = create_pool ("floor", 4);

  for (unsigned i = 0; i < 4; i++)
    set_weight (world, names[i], 5);
  for (unsigned i = 0; i < 4; i++)
    flood (world, names[i], 30, 1000);
  world_run (world, 2000);
  for (unsigned i = 0; i < 4; i++)
    assert_in_range (count_running (world, names[i]), 15, 17);
  world_destroy (world);
}

/* Guards against resources that are idle because their workspace is absent. */
static void
test_workspace_alone_gets_the_whole_pool (void **state)
{
  struct world *world = create_pool ("floor", 4);

  set_weight (world, "yard", 1);
  set_weight (world, "press", 100);
  flood (world, "yard", 40, 1000);
  world_run (world, 300);
  assert_int_equal (count_running (world, "yard"), 64);
  world_run (world, 1000);
  assert_in_range (count_running (world, "yard"), 60, 64);
  world_destroy (world);
}

/* Guards against a workspace that does not get its share back from borrowers as their tasks end. */
static void
test_share_is_regained_within_one_run (void **state)
{
  struct world *world = create_pool ("floor", 4);

  set_weight (world, "yard", 1);
  set_weight (world, "press", 1);
  flood (world, "yard", 100, 1000);
  world_run (world, 1500);
  flood (world, "press", 40, 1000);
  world_run (world, REGAIN_MS);
  assert_in_range (count_running (world, "press"), 31, 33);
  assert_in_range (count_running (world, "yard"), 29, 33);
  world_destroy (world);
}

/* Guards against a workspace of weight 1 that never runs beside one of weight 100: its share of 64
 * cores is 0.63 of a task. */
static void
test_weights_from_1_to_100 (void **state)
{
  struct world *world = create_pool ("floor", 4);
  unsigned seen = 0;

  set_weight (world, "yard", 1);
  set_weight (world, "press", 100);
  flood (world, "press", 100, 1000);
  flood (world, "yard", 10, 1000);
  world_run (world, 1000);
  for (unsigned i = 0; i < 100; i++)
    {
      world_run (world, 30);
      seen += count_running (world, "yard") > 0;
      assert_in_range (count_running (world, "yard"), 0, 2);
    }
  assert_true (seen > 33); /* the two take turns on the last core */
  world_destroy (world);
}

/* Guards against starvation where shares are smaller than a task: each of the five workspaces runs
 * one in turn. */
static void
test_shares_smaller_than_a_task_take_turns (void **state)
{
  static const char *const policies[] = { "floor", "deficit" };
  static const char *const names[] = { "a", "b", "c", "d", "e" };

  for (unsigned p = 0; p < 2; p++)
    {
      struct world *world = create_pool (policies[p], 1);
      unsigned turns[5] = { 0 };

      for (unsigned i = 0; i < 5; i++)
        set_weight (world, names[i], 1);
      for (unsigned i = 0; i < 5; i++)
        flood (world, names[i], 3, WORKER_CPU);
      for (unsigned k = 0; k < 10 * REGAIN_MS / 50; k++)
        {
          world_run (world, 50);
          for (unsigned i = 0; i < 5; i++)
            turns[i] += count_running (world, names[i]) > 0;
        }
      for (unsigned i = 0; i < 5; i++)
        assert_in_range (turns[i], RUN_MS / 50, 3 * REGAIN_MS / 50);
      world_destroy (world);
    }
}

/* Guards against a gang, or a task as large as a worker, that starves because smaller tasks take
 * each resource as it is freed. */
static void
test_gangs_and_large_tasks_get_their_share (void **state)
{
  for (unsigned gang = 0; gang < 2; gang++)
    {
      struct world *world = create_pool ("floor", 4);
      struct mt_job_spec *spec
          = make_job ("press", 0, gang ? 4 : 1, gang ? WORKER_CPU / 2 : WORKER_CPU);

      set_weight (world, "yard", 1);
      set_weight (world, "press", 1);
      for (unsigned i = 0; i < 60; i++)
        {
          submit (world, "yard", i, 10, 1000);
          world_run (world, 35);
        }
      spec->steps[0].gang = gang;
      spec->accepted_ms = world->now;
      world_submit (world, spec);
      assert_true (
          world_run_until_state (world, "press-0", MT_JOB_COMPLETED, 1000 + 2 * REGAIN_MS));
      assert_true (world_run_until_state (world, "yard-59", MT_JOB_COMPLETED, 20000));
      world_destroy (world);
    }
}

/* Guards against workers that are reserved for workspaces whose share is smaller than a task, while
 * their tasks fit anywhere: two at a time then took from the whole tasks of another's share. */
static void
test_fitting_tasks_reserve_no_workers (void **state)
{
  static const char *const names[] = { "a", "b", "c" };
  struct world *world = create_pool ("floor", 2);

  set_weight (world, "press", 100);
  for (unsigned i = 0; i < 3; i++)
    set_weight (world, names[i], 1);
  flood (world, "a", 20, 2000);
  world_run (world, 900);
  flood (world, "press", 60, 2000);
  flood (world, "b", 20, 2000);
  flood (world, "c", 20, 2000);
  world_run (world, 2 * REGAIN_MS);
  for (unsigned i = 0; i < 1200; i++)
    {
      unsigned others = 0;

      world_run (world, 5);
      for (unsigned k = 0; k < 3; k++)
        others += count_running (world, names[k]);
      assert_in_range (others, 0, 1);
    }
  world_destroy (world);
}

static void
test_weight_0_counts_as_1 (void **state)
{
  struct world *world = create_pool ("floor", 4);

  set_weight (world, "yard", 0);
  set_weight (world, "press", 1);
  flood (world, "yard", 40, 1000);
  flood (world, "press", 40, 1000);
  submit (world, "", 0, 200, 1000);
  world_run (world, 2000);
  assert_in_range (count_running (world, "yard"), 20, 23);
  assert_in_range (count_running (world, "press"), 20, 23);
  assert_in_range (count_running (world, ""), 20, 23);
  world_destroy (world);
}

/* Guards against a quota that is exceeded because the share is larger, and against resources that
 * are idle because a workspace may not use its share. */
static void
test_quota_below_the_share (void **state)
{
  struct world *world = create_pool ("floor", 4);
  struct mt_workspace_limits limits = { .quota = { .cpu = 4000 }, .weight = 10, .pools = 1 };
  struct mt_grant grant = { "press", { .cpu = 4000 } };
  struct mt_grant_message message = { .token = 1, .sequence = 1, .grants = &grant, .n_grants = 1 };

  mt_scheduler_set_workspace (world->sched, "press", &limits);
  set_weight (world, "yard", 1);
  assert_true (mt_scheduler_apply_grants (world->sched, &message, world->now));
  flood (world, "press", 20, 1000);
  flood (world, "yard", 60, 1000);
  world_run (world, 1800);
  assert_int_equal (count_running (world, "press"), 4);
  assert_in_range (count_running (world, "yard"), 56, 60);
  assert_true (mt_scheduler_fair_share (world->sched, "press", world->now) < 0.07);
  world_destroy (world);
}

static void
test_weights_apply_at_the_next_placing (void **state)
{
  struct world *world = create_pool ("floor", 4);

  set_weight (world, "yard", 3);
  set_weight (world, "press", 1);
  flood (world, "yard", 100, 1000);
  flood (world, "press", 100, 1000);
  world_run (world, 2000);
  assert_in_range (count_running (world, "yard"), 47, 49);
  set_weight (world, "yard", 1);
  world_run (world, REGAIN_MS);
  assert_in_range (count_running (world, "yard"), 31, 33);
  world_destroy (world);
}

/* ---- use in other pools ---- */

static void
receive_use (struct world *world, uint64_t sequence, const char *workspace, int64_t cpu)
{
  struct mt_use_elsewhere use = { workspace, { .cpu = cpu } };
  struct mt_grant_message message = { .token = 1, .sequence = sequence, .uses = &use, .n_uses = 1 };

  assert_true (mt_scheduler_apply_grants (world->sched, &message, world->now));
}

/* Guards against a workspace that gets a share in each of the pools that it floods, and against one
 * that is held back by a figure that nobody renews. */
static void
test_use_in_other_pools_counts_until_it_expires (void **state)
{
  struct world *world = create_pool ("floor", 4);
  uint64_t sequence = 0;

  set_weight (world, "yard", 1);
  set_weight (world, "press", 1);
  flood (world, "yard", 100, 1000);
  flood (world, "press", 100, 1000);
  for (unsigned i = 0; i < 20; i++)
    {
      receive_use (world, ++sequence, "yard", 32000);
      world_run (world, 100);
    }
  assert_in_range (count_running (world, "yard"), 15, 17);
  assert_in_range (count_running (world, "press"), 47, 49);
  assert_false (mt_scheduler_is_above_share (world->sched, "press", world->now));
  world_run (world, MT_GRANT_LEASE_MS + REGAIN_MS);
  assert_in_range (count_running (world, "yard"), 31, 33);
  assert_in_range (count_running (world, "press"), 31, 33);
  world_destroy (world);
}

/* Guards against a new leader that does not count what runs already: it would place one
 * workspace's tasks as if it had nothing. */
static void
test_takeover_recounts_the_use (void **state)
{
  struct world *world = create_pool ("floor", 4);
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  world->run_ms = 3000;
  set_weight (world, "yard", 1);
  set_weight (world, "press", 1);
  flood (world, "yard", 5, 1000);
  world_run (world, 300);
  assert_int_equal (count_running (world, "yard"), 50);
  for (unsigned i = 0; i < 5; i++)
    g_ptr_array_add (specs, make_job ("yard", i, 10, 1000));
  world_take_over (world, specs);
  set_weight (world, "yard", 1);
  set_weight (world, "press", 1);
  world_run (world, 300);
  submit (world, "yard", 9, 14, 1000);
  submit (world, "press", 9, 20, 1000);
  world_run (world, 300);
  assert_int_equal (count_running (world, "press"), 14);
  assert_int_equal (count_running (world, "yard"), 50);
  assert_true (mt_scheduler_is_above_share (world->sched, "yard", world->now));
  assert_false (mt_scheduler_is_above_share (world->sched, "press", world->now));
  world_destroy (world);
}

/* ---- what keeps its place, and what is shown ---- */

/* Guards against long-running tasks that wait for a share. */
static void
test_long_running_tasks_keep_their_place (void **state)
{
  struct world *world = create_pool ("floor", 4);
  struct mt_job_spec *spec = world_job ("L-yard", 4, 1000, 1000);

  set_weight (world, "yard", 1);
  set_weight (world, "press", 1);
  flood (world, "yard", 100, 1000);
  world_run (world, 1500);
  flood (world, "press", 100, 1000);
  spec->workspace = g_strdup ("yard");
  spec->steps[0].long_running = true;
  spec->accepted_ms = world->now;
  world_submit (world, spec);
  assert_true (world_run_until_state (world, "L-yard", MT_JOB_ACTIVE, RUN_MS));
  world_run (world, REACTION_MS);
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *task = g_strdup_printf ("L-yard.0.0.%u", i);

      assert_int_equal (world_count_running (world, task), 1);
    }
  world_destroy (world);
}

struct seen_events
{
  const struct world *world;
  unsigned waits;
  unsigned served;
  int64_t last_at;
  int64_t shortest_interval_ms;
  int64_t share_wait_ms; /* of job yard-0 */
};

static void
record_event (void *ctx, const char *name, const char *detail)
{
  struct seen_events *seen = ctx;
  const char *wait = strstr (detail, "share_wait_ms=");

  if (strcmp (name, "JOB_ENDED") == 0 && strstr (detail, "id=yard-0 ") != NULL)
    seen->share_wait_ms = g_ascii_strtoll (strchr (wait, '=') + 1, NULL, 10);
  if (strcmp (name, "SHARE_STATE") != 0 || strstr (detail, "workspace=press ") == NULL)
    return;
  assert_non_null (strstr (detail, " weight=3 "));
  assert_non_null (strstr (detail, " elsewhere_cpu=0 elsewhere_age_ms=-1 "));
  seen->waits += strstr (detail, "state=waits") != NULL;
  seen->served += strstr (detail, "state=served") != NULL;
  if (seen->last_at != 0)
    seen->shortest_interval_ms = MIN (seen->shortest_interval_ms, seen->world->now - seen->last_at);
  seen->last_at = seen->world->now;
}

/* Guards against waits for a share that the log does not show, and against a log that a changing
 * state fills. */
static void
test_waits_for_a_share_are_logged (void **state)
{
  struct world *world = create_pool ("floor", 1);
  struct seen_events seen = { .world = world, .shortest_interval_ms = G_MAXINT64 };

  mt_scheduler_set_event_callback (world->sched, record_event, &seen);
  set_weight (world, "yard", 1);
  set_weight (world, "press", 3);
  submit (world, "yard", 0, 40, 1000);
  world_run (world, 300);
  for (unsigned i = 0; i < 40; i++)
    {
      submit (world, "press", i, 3, 1000);
      world_run (world, 170);
    }
  assert_true (world_run_until_state (world, "yard-0", MT_JOB_COMPLETED, 20000));
  world_run (world, 5000);
  assert_true (seen.waits >= 1);
  assert_true (seen.served >= 1);
  assert_true (seen.waits + seen.served <= 12);
  assert_true (seen.shortest_interval_ms >= 1000);
  assert_true (seen.share_wait_ms > 0);
  world_destroy (world);
}

static void
test_fair_shares_for_other_decisions (void **state)
{
  struct world *world = create_pool ("floor", 4);

  assert_true (mt_scheduler_fair_share (world->sched, "yard", world->now) == 1);
  set_weight (world, "yard", 1);
  set_weight (world, "press", 3);
  assert_true (mt_scheduler_fair_share (world->sched, "yard", world->now) > 0.99);
  flood (world, "press", 40, 1000);
  world_run (world, 500);
  assert_float_equal (mt_scheduler_fair_share (world->sched, "yard", world->now), 0.25, 0.01);
  assert_float_equal (mt_scheduler_fair_share (world->sched, "never seen", world->now), 0.25, 0.01);
  assert_float_equal (mt_scheduler_fair_share (world->sched, NULL, world->now), 0.25, 0.01);
  assert_float_equal (mt_scheduler_fair_share (world->sched, "press", world->now), 1, 0.01);
  assert_false (mt_scheduler_is_above_share (world->sched, "press", world->now));
  assert_false (mt_scheduler_is_above_share (world->sched, "yard", world->now));
  flood (world, "yard", 40, 1000);
  world_run (world, 50);
  assert_true (mt_scheduler_is_above_share (world->sched, "press", world->now));
  assert_float_equal (mt_scheduler_fair_share (world->sched, "press", world->now), 0.75, 0.01);
  world_destroy (world);
}

static void
test_policies_are_found_by_name (void **state)
{
  assert_non_null (mt_share_policy_find (MT_STR ("none")));
  assert_non_null (mt_share_policy_find (MT_STR ("floor")));
  assert_non_null (mt_share_policy_find (MT_STR ("deficit")));
  assert_null (mt_share_policy_find (MT_STR ("floors")));
  assert_null (mt_share_policy_find (MT_STR ("")));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_without_weights_no_decision_changes),
    cmocka_unit_test (test_one_flood_among_20_workspaces),
    cmocka_unit_test (test_two_floods_share_by_weight),
    cmocka_unit_test (test_equal_surges_get_equal_shares),
    cmocka_unit_test (test_workspace_alone_gets_the_whole_pool),
    cmocka_unit_test (test_share_is_regained_within_one_run),
    cmocka_unit_test (test_weights_from_1_to_100),
    cmocka_unit_test (test_shares_smaller_than_a_task_take_turns),
    cmocka_unit_test (test_gangs_and_large_tasks_get_their_share),
    cmocka_unit_test (test_fitting_tasks_reserve_no_workers),
    cmocka_unit_test (test_weight_0_counts_as_1),
    cmocka_unit_test (test_quota_below_the_share),
    cmocka_unit_test (test_weights_apply_at_the_next_placing),
    cmocka_unit_test (test_use_in_other_pools_counts_until_it_expires),
    cmocka_unit_test (test_takeover_recounts_the_use),
    cmocka_unit_test (test_long_running_tasks_keep_their_place),
    cmocka_unit_test (test_waits_for_a_share_are_logged),
    cmocka_unit_test (test_fair_shares_for_other_decisions),
    cmocka_unit_test (test_policies_are_found_by_name),
  };

  return cmocka_run_group_tests_name ("shares", tests, NULL, NULL);
}
