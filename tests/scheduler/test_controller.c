#include "medlartrack/controller.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MACHINES 12

/* The machines of one pool and what its scheduler reports of them. */
struct site
{
  struct mt_controller *controller;
  int64_t now;
  struct mt_controller_machine_info machines[MACHINES];
  struct mt_worker_view views[MACHINES];
  char names[MACHINES][8];
  char workers[MACHINES][8];
  struct mt_scheduler_load load;
};

static struct site *
site_create (void)
{
  static const struct mt_controller_settings settings
      = { .move_ms = 1500, .maintenance_ms = 2000, .stop_grace_ms = 200 };
  struct site *site = g_new0 (struct site, 1);

  site->controller = mt_controller_create (&settings);
  site->now = 1000;
  mt_controller_set_pool (site->controller, "pool", false);
  for (int i = 0; i < MACHINES; i++)
    {
      snprintf (site->names[i], sizeof site->names[i], "m%d", i);
      snprintf (site->workers[i], sizeof site->workers[i], "w%d", i);
      site->machines[i]
          = (struct mt_controller_machine_info){ .id = site->names[i],
                                                 .pool = "pool",
                                                 .rack = "r1",
                                                 .worker = site->workers[i],
                                                 .up = true,
                                                 .resources = { .cpu = 16000, .mem = 32768 } };
      site->views[i] = (struct mt_worker_view){ .id = site->workers[i],
                                                .resources = { .cpu = 16000, .mem = 32768 } };
    }
  return site;
}

static void
site_destroy (struct site *site)
{
  mt_controller_destroy (site->controller);
  g_free (site);
}

/* Reports as the pool's scheduler does, after cordoning the workers that the controller asked
 * for. */
static void
site_report (struct site *site)
{
  struct mt_controller_directives directives;

  site->now += 150;
  mt_controller_update_machines (site->controller, site->machines, MACHINES, true, site->now - 10,
                                 site->now);
  directives = mt_controller_pool_directives (site->controller, "pool", site->now);
  for (int i = 0; i < MACHINES; i++)
    site->views[i].cordoned
        = g_strv_contains ((const char *const *) directives.cordon, site->workers[i]);
  mt_controller_directives_clear (&directives);
  mt_controller_update_pool (site->controller, "pool", &site->load, site->views, MACHINES,
                             site->now);
}

static void
site_wave (struct site *site, unsigned cap, int64_t due_ms)
{
  char *machines[MACHINES + 1] = { NULL };

  for (int i = 0; i < MACHINES; i++)
    machines[i] = site->names[i];
  mt_controller_update_wave (site->controller, 1, machines, NULL, cap, site->now + due_ms);
}

static unsigned
site_carry_out (struct site *site, enum mt_controller_order_result result)
{
  struct mt_controller_order order;
  unsigned n = 0;

  while (mt_controller_next_order (site->controller, site->now, &order))
    {
      g_autofree char *machine = g_strdup (order.machine);
      int i = machine[1] - '0';

      n++;
      if (result == MT_CONTROLLER_ORDER_DONE && i < MACHINES)
        site->machines[i].up = false;
      mt_controller_handle_result (site->controller, machine, result, site->now);
    }
  return n;
}

static unsigned
site_planned (struct site *site)
{
  unsigned n = 0;

  for (int i = 0; i < MACHINES; i++)
    n += site->views[i].cordoned;
  return n;
}

/* Guards against a wave that is completed without a machine: an entry of the list could not be
 * read. */
static void
test_machine_absent_from_a_part_of_the_list_stays_in_its_wave (void **state)
{
  struct site *site = site_create ();

  site_report (site);
  site_wave (site, 1, 60000);
  mt_controller_update_machines (site->controller, NULL, 0, false, site->now, site->now + 10);
  assert_false (mt_controller_wave_done (site->controller, 1));
  mt_controller_update_machines (site->controller, NULL, 0, true, site->now, site->now + 20);
  assert_true (mt_controller_wave_done (site->controller, 1));
  site_destroy (site);
}

/* Maintenance ends everything that runs on its machine. Guards against ordering it before the
 * scheduler, asked to keep the worker empty, has reported that nothing runs there. */
static void
test_only_an_empty_machine_is_ordered (void **state)
{
  struct site *site = site_create ();

  for (int i = 0; i < MACHINES; i++)
    site->views[i].tasks = 1;
  site_report (site);
  site_wave (site, 3, 60000);
  for (int i = 0; i < 10; i++)
    {
      site_report (site);
      assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_DONE), 0);
    }
  for (int i = 0; i < MACHINES; i++)
    site->views[i].tasks = 0;
  site_report (site);
  assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_DONE), 3);
  site_destroy (site);
}

/* Guards against more machines down than the wave's cap: one whose order got no answer may be
 * down. */
static void
test_cap_counts_unconfirmed_orders (void **state)
{
  struct site *site = site_create ();

  site_report (site);
  site_wave (site, 2, 60000);
  assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_UNKNOWN), 0); /* not empty yet */
  site_report (site);
  assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_UNKNOWN), 2);
  for (int i = 0; i < 10; i++)
    {
      site_report (site);
      assert_true (site_carry_out (site, MT_CONTROLLER_ORDER_UNKNOWN) <= 2);
      assert_int_equal (site_planned (site), 2);
    }
  assert_false (mt_controller_wave_done (site->controller, 1));
  site_destroy (site);
}

/* Guards against more machines down than the wave's cap: the plan of a machine whose order got no
 * answer is dropped by its age, another machine is ordered, and then the late order is carried
 * out. */
static void
test_plan_with_an_unconfirmed_order_outlives_its_time (void **state)
{
  struct site *site = site_create ();
  struct mt_controller_order order;
  g_autofree char *first = NULL;
  int at;

  site_report (site);
  site_wave (site, 1, 60000);
  assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_UNKNOWN), 0); /* not empty yet */
  site_report (site);
  assert_true (mt_controller_next_order (site->controller, site->now, &order));
  first = g_strdup (order.machine);
  at = first[1] - '0';
  mt_controller_handle_result (site->controller, first, MT_CONTROLLER_ORDER_UNKNOWN, site->now);
  /* No retry: the worker does not seem empty, and the other machines cost less. */
  site->views[at].tasks = 1;
  site->views[at].used.cpu = 4000;
  for (int i = 0; i < 400; i++)
    {
      site_report (site);
      assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_DONE), 0);
    }
  site->views[at].tasks = 0;
  site_report (site);
  assert_true (mt_controller_next_order (site->controller, site->now, &order));
  assert_string_equal (order.machine, first);
  mt_controller_handle_result (site->controller, first, MT_CONTROLLER_ORDER_DONE, site->now);
  site_destroy (site);
}

/* A machine's maintenance was done by a call whose answer was lost; ordered again, it is answered
 * as done. The worker there is a later incarnation and keeps running. Guards against notifying its
 * scheduler that it has ended: its tasks would be started a second time. */
static void
test_repeated_order_does_not_end_later_incarnation (void **state)
{
  struct site *site = site_create ();
  struct mt_controller_order order;
  struct mt_controller_directives directives;
  g_autofree char *machine = NULL;

  site_report (site);
  site_wave (site, 1, 60000);
  assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_DONE), 0);
  site_report (site);
  assert_true (mt_controller_next_order (site->controller, site->now, &order));
  machine = g_strdup (order.machine);
  mt_controller_handle_result (site->controller, machine, MT_CONTROLLER_ORDER_DONE, site->now);
  directives = mt_controller_pool_directives (site->controller, "pool", site->now);
  assert_int_equal (g_strv_length (directives.ended_workers), 0);
  assert_true (g_strv_length (directives.cordon) >= 1);
  site_report (site);
  mt_controller_directives_clear (&directives);
  directives = mt_controller_pool_directives (site->controller, "pool", site->now);
  assert_int_equal (g_strv_length (directives.ended_workers), 0);
  mt_controller_directives_clear (&directives);
  site_destroy (site);
}

/* While its pool is short of machines and there is time, a wave waits; when time gets short it
 * continues. */
static void
test_wave_waits_for_a_trough_while_there_is_time (void **state)
{
  struct site *site = site_create ();
  unsigned ordered = 0;

  site->load.urgent = 50;
  for (int i = 0; i < MACHINES; i++)
    site->views[i].used.cpu = 15000;
  site_report (site);
  site_wave (site, 4, 60000);
  for (int i = 0; i < 20; i++)
    {
      site_report (site);
      ordered += site_carry_out (site, MT_CONTROLLER_ORDER_DONE);
    }
  assert_int_equal (ordered, 0);
  site->now += 45000;
  for (int i = 0; i < 4; i++)
    {
      site_report (site);
      ordered += site_carry_out (site, MT_CONTROLLER_ORDER_DONE);
    }
  assert_true (ordered > 0);
  site_destroy (site);
}

/* The pool is always busy, so no moment is good. One machine has eight long-running tasks of one
 * step, which move one after the other. It must begin early enough to have moved them all when the
 * wave is due, while the other machines still wait for a trough. */
static void
test_machine_that_drains_slowly_begins_early (void **state)
{
  struct site *site = site_create ();

  for (int i = 0; i < MACHINES; i++)
    {
      site->views[i].used.cpu = 15000;
      site->views[i].tasks = 8;
    }
  site->views[3].long_running = 8;
  site->views[3].drain_rounds = 8;
  site_report (site);
  site_wave (site, MACHINES, 30000);
  for (int i = 0; i < 60; i++) /* 9 s */
    {
      site_report (site);
      site_carry_out (site, MT_CONTROLLER_ORDER_DONE);
    }
  site_report (site);
  assert_int_equal (site_planned (site), 1);
  assert_true (site->views[3].cordoned);
  site_destroy (site);
}

/* A wave counts as done only after each of its machines has begun; a machine that no longer exists
 * is not waited for. */
static void
test_wave_is_done_when_every_machine_has_begun (void **state)
{
  struct site *site = site_create ();
  unsigned ordered = 0;
  char *gone[] = { "m-gone", NULL };

  site_report (site);
  site_wave (site, 12, 60000);
  mt_controller_update_wave (site->controller, 1, gone, NULL, 12, site->now + 60000);
  for (int i = 0; i < 60 && ordered < MACHINES; i++)
    {
      assert_false (mt_controller_wave_done (site->controller, 1));
      site_report (site);
      ordered += site_carry_out (site, MT_CONTROLLER_ORDER_DONE);
      for (int m = 0; m < MACHINES; m++)
        site->machines[m].up = true;
    }
  assert_int_equal (ordered, MACHINES);
  mt_controller_update_wave (site->controller, 1, NULL, gone, 12, site->now + 60000);
  assert_true (mt_controller_wave_done (site->controller, 1));
  site_destroy (site);
}

/* A fleet controller takes over while machines are down for maintenance. They count towards the cap
 * though it ordered none of them: until they are up, no other one goes down beyond it. */
static void
test_machines_already_in_maintenance_count (void **state)
{
  struct site *site = site_create ();

  for (int i = 0; i < 3; i++)
    {
      site->machines[i].up = false;
      site->machines[i].in_maintenance = true;
      site->machines[i].worker = NULL;
    }
  site_report (site);
  site_wave (site, 3, 60000);
  for (int i = 0; i < 10; i++)
    {
      site_report (site);
      assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_DONE), 0);
    }
  site_destroy (site);
}

/* ---- moves ---- */

#define POOL_MACHINES 8

/* Two pools of eight, a standby pool of four, and schedulers that cordon the workers that they are
 * asked to. */
struct fleet
{
  struct mt_controller *controller;
  int64_t now;
  struct mt_controller_machine_info machines[20];
  char names[20][8];
  char workers[20][8];
  int64_t away_until[20];
  int64_t demand[2];      /* in thousandths of a core */
  int64_t overdue_cpu[2]; /* demand of work that can't meet its objective, likewise */
  unsigned unplaceable[2];
  unsigned moves;
  unsigned maintenances;
  unsigned to_standby;
  char **homes; /* as stored */
  bool store_down;
  bool stay_busy; /* cordoned workers don't become empty */
  struct
  {
    unsigned tasks; /* 0: by its pool's demand */
    int64_t free_ms;
  } contents[20];
};

static const char *const pools[] = { "left", "right", "standby" };

static struct fleet *
fleet_create (void)
{
  static const struct mt_controller_settings settings
      = { .move_ms = 1500, .maintenance_ms = 2000, .stop_grace_ms = 200, .allow_moves = true };
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->controller = mt_controller_create (&settings);
  fleet->now = 1000;
  for (int i = 0; i < 3; i++)
    mt_controller_set_pool (fleet->controller, pools[i], i == 2);
  for (int i = 0; i < 20; i++)
    {
      snprintf (fleet->names[i], sizeof fleet->names[i], "m%d", i);
      snprintf (fleet->workers[i], sizeof fleet->workers[i], "w%d", i);
      fleet->machines[i]
          = (struct mt_controller_machine_info){ .id = fleet->names[i],
                                                 .pool = pools[i / POOL_MACHINES],
                                                 .rack = "r1",
                                                 .worker = fleet->workers[i],
                                                 .up = true,
                                                 .resources = { .cpu = 16000, .mem = 32768 } };
    }
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  mt_controller_destroy (fleet->controller);
  g_strfreev (fleet->homes);
  g_free (fleet);
}

static unsigned
fleet_count (const struct fleet *fleet, int pool)
{
  unsigned n = 0;

  for (int i = 0; i < 20; i++)
    n += strcmp (fleet->machines[i].pool, pools[pool]) == 0;
  return n;
}

static void
fleet_report_pool (struct fleet *fleet, int pool)
{
  struct mt_worker_view views[20];
  struct mt_scheduler_load load = { 0 };
  struct mt_controller_directives directives;
  int64_t unmet_cpu = fleet->demand[pool];
  size_t n = 0;

  directives = mt_controller_pool_directives (fleet->controller, pools[pool], fleet->now);
  for (int i = 0; i < 20; i++)
    {
      bool cordoned = g_strv_contains ((const char *const *) directives.cordon, fleet->workers[i]);
      int64_t used = cordoned ? 0 : MIN (unmet_cpu, 16000);

      if (!fleet->machines[i].up || strcmp (fleet->machines[i].pool, pools[pool]) != 0)
        continue;
      unmet_cpu -= used;
      load.used_cpu += used;
      load.urgent_used_cpu += used;
      load.upcoming_cpu += used;
      load.arriving_cpu = fleet->demand[pool];
      load.capacity_cpu += 16000;
      views[n++]
          = (struct mt_worker_view){ .id = fleet->workers[i],
                                     .tasks = fleet->contents[i].tasks > 0
                                                  ? fleet->contents[i].tasks
                                                  : used > 0 || (cordoned && fleet->stay_busy),
                                     .batch_remaining_ms = fleet->contents[i].free_ms,
                                     .cordoned = cordoned,
                                     .resources = { .cpu = 16000, .mem = 32768 },
                                     .used = { .cpu = used } };
    }
  mt_controller_directives_clear (&directives);
  load.urgent = unmet_cpu > 0 ? 10 : 0;
  load.demand_cpu = fleet->demand[pool];
  load.overdue_cpu = fleet->overdue_cpu[pool];
  load.unplaceable = fleet->unplaceable[pool];
  mt_controller_update_pool (fleet->controller, pools[pool], &load, views, n, fleet->now);
}

static void
fleet_store_homes (struct fleet *fleet)
{
  char **homes = mt_controller_unstored_homes (fleet->controller);

  if (homes == NULL || fleet->store_down)
    {
      g_strfreev (homes);
      return;
    }
  mt_controller_homes_stored (fleet->controller, homes);
  g_strfreev (fleet->homes);
  fleet->homes = homes;
}

static void
fleet_move (struct fleet *fleet, int machine, const char *to)
{
  fleet->machines[machine].pool = strcmp (to, "left") == 0    ? pools[0]
                                  : strcmp (to, "right") == 0 ? pools[1]
                                                              : pools[2];
  fleet->moves++;
  fleet->to_standby += fleet->machines[machine].pool == pools[2];
}

static void
fleet_run (struct fleet *fleet, int64_t ms)
{
  struct mt_controller_order order;

  for (int64_t end = fleet->now + ms; fleet->now < end; fleet->now += 150)
    {
      for (int i = 0; i < 20; i++)
        if (!fleet->machines[i].up && fleet->now >= fleet->away_until[i])
          {
            fleet->machines[i].up = true;
            fleet->machines[i].in_maintenance = false;
          }
      mt_controller_update_machines (fleet->controller, fleet->machines, 20, true, fleet->now,
                                     fleet->now);
      fleet_report_pool (fleet, 0);
      fleet_report_pool (fleet, 1);
      mt_controller_plan (fleet->controller, fleet->now);
      fleet_store_homes (fleet);
      while (mt_controller_next_order (fleet->controller, fleet->now, &order))
        {
          int i = atoi (order.machine + 1);
          g_autofree char *machine = g_strdup (order.machine);

          if (order.kind == MT_CONTROLLER_MAINTENANCE)
            fleet->maintenances++;
          else
            fleet_move (fleet, i, order.to);
          fleet->machines[i].up = false;
          fleet->machines[i].in_maintenance = order.kind == MT_CONTROLLER_MAINTENANCE;
          fleet->away_until[i]
              = fleet->now + (order.kind == MT_CONTROLLER_MAINTENANCE ? 2000 : 1500);
          mt_controller_handle_result (fleet->controller, machine, MT_CONTROLLER_ORDER_DONE,
                                       fleet->now);
        }
    }
}

/* The fleet controller starts while there is no demand. Guards against taking that for the pools'
 * need and switching machines off: the first surge would meet empty pools, and its callers would
 * wait for seconds. */
static void
test_start_without_demand_moves_nothing (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 20000);
  assert_int_equal (fleet->moves, 0);
  fleet_destroy (fleet);
}

/* One pool's demand is half as much again as it holds: the standby machines must be on their way
 * within half a second, and go back once they are not needed. */
static void
test_standby_machines_follow_a_surge (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = 11 * 16000;
  fleet_run (fleet, 600);
  assert_true (fleet_count (fleet, 0) > POOL_MACHINES + 2);
  fleet_run (fleet, 3500);
  fleet->demand[0] = 8000;
  fleet_run (fleet, 4000);
  assert_true (fleet_count (fleet, 0) <= POOL_MACHINES);
  assert_true (fleet_count (fleet, 2) >= 4);
  fleet_destroy (fleet);
}

/* The fleet controller dies in a surge, with the standby machines in the surging pool. Guards
 * against a successor that takes that pool for their home: they would stay, and the next pool's
 * surge would find none. */
static void
test_new_controller_restores_homes (void **state)
{
  static const struct mt_controller_settings settings
      = { .move_ms = 1500, .maintenance_ms = 2000, .stop_grace_ms = 200, .allow_moves = true };
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = 12 * 16000;
  fleet_run (fleet, 3000);
  assert_true (fleet_count (fleet, 0) >= POOL_MACHINES + 4);
  mt_controller_destroy (fleet->controller);
  fleet->controller = mt_controller_create (&settings);
  for (int i = 0; i < 3; i++)
    mt_controller_set_pool (fleet->controller, pools[i], i == 2);
  for (char **at = fleet->homes; at[0] != NULL; at += 2)
    mt_controller_set_home (fleet->controller, at[0], at[1]);
  fleet->demand[0] = 8000;
  fleet_run (fleet, 9000);
  assert_true (fleet_count (fleet, 0) <= POOL_MACHINES);
  assert_true (fleet_count (fleet, 2) >= 4);
  fleet_destroy (fleet);
}

/* A surge has ended, and its machines are being drained for the standby pool when the other pool
 * surges. They must go there directly: by way of the standby pool they would come two seconds
 * later. */
static void
test_draining_machines_are_redirected_to_a_surge (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = 12 * 16000;
  fleet_run (fleet, 4000);
  fleet->demand[0] = 8000;
  fleet->stay_busy = true;
  fleet_run (fleet, 4000);
  fleet->to_standby = 0;
  fleet->demand[1] = 12 * 16000;
  fleet_run (fleet, 300);
  fleet->stay_busy = false;
  fleet_run (fleet, 2400);
  assert_true (fleet_count (fleet, 1) >= POOL_MACHINES + 4);
  assert_int_equal (fleet->to_standby, 0);
  fleet_destroy (fleet);
}

/* Guards against moving a machine whose home is not stored. */
static void
test_no_move_before_its_home_is_stored (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->store_down = true;
  fleet->demand[0] = 12 * 16000;
  fleet_run (fleet, 3000);
  assert_int_equal (fleet->moves, 0);
  fleet->store_down = false;
  fleet_run (fleet, 600);
  assert_true (fleet->moves > 0);
  fleet_destroy (fleet);
}

/* The pools surge in turn. The machines of one surge go on to the next; guards against a pool that
 * remembers so much of its waiting work that the other one starves. */
static void
test_surges_in_turn_share_the_machines (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  for (int turn = 0; turn < 6; turn++)
    {
      fleet->demand[turn % 2] = 30 * 16000;
      fleet->demand[1 - turn % 2] = 8000;
      fleet_run (fleet, 4000);
      assert_true (fleet_count (fleet, turn % 2) >= POOL_MACHINES + 4);
    }
  fleet_destroy (fleet);
}

/* The right pool surges, and the left one has two machines to spare, all busy. Those that will be
 * empty first must go, however many tasks they hold: the others would come when the surge is
 * over. */
static void
test_machines_that_empty_first_go_first (void **state)
{
  struct fleet *fleet = fleet_create ();
  struct mt_controller_directives directives;

  for (int i = 0; i < POOL_MACHINES; i++)
    {
      fleet->contents[i].tasks = i < 4 ? 5 : 1;
      fleet->contents[i].free_ms = i < 4 ? 300 : 4000;
    }
  fleet_run (fleet, 6000);
  fleet->demand[1] = 14 * 16000;
  fleet_run (fleet, 600);
  directives = mt_controller_pool_directives (fleet->controller, "left", fleet->now);
  assert_in_range (g_strv_length (directives.cordon), 2, 4);
  for (char **id = directives.cordon; *id != NULL; id++)
    assert_true (atoi (*id + 1) < 4);
  mt_controller_directives_clear (&directives);
  fleet_destroy (fleet);
}

/* The left pool's surge is over: nothing waits there, and more machines would not complete its
 * running tasks sooner. The right pool, whose callers wait, must get all that the left one doesn't
 * use, without a margin for the left one. */
static void
test_pool_without_waiting_work_releases_unused_machines (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = 12 * 16000;
  fleet_run (fleet, 5000);
  assert_true (fleet_count (fleet, 0) >= POOL_MACHINES + 4);
  fleet->demand[0] = 4 * 16000;
  fleet->demand[1] = 14 * 16000;
  fleet_run (fleet, 2400);
  assert_true (fleet_count (fleet, 1) >= POOL_MACHINES + 4);
  fleet_destroy (fleet);
}

/* The left pool is in its trough when the right one surges to more than all machines. Guards
 * against a reserve for a possible surge that is most of the left pool: callers of the right pool
 * wait now. */
static void
test_pool_in_trough_releases_most_machines (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = 12 * 16000;
  fleet_run (fleet, 4000);
  fleet->demand[0] = 8000;
  fleet_run (fleet, 3000);
  fleet->demand[1] = 25 * 16000;
  fleet_run (fleet, 1500);
  assert_true (fleet_count (fleet, 1) >= POOL_MACHINES + 8);
  assert_true (fleet_count (fleet, 0) >= 3);
  fleet_destroy (fleet);
}

/* The left pool's long-running tasks may not share a worker, and one of them finds none though the
 * existing machines are half empty. The pool must get one machine, not another one in each planning
 * round while that is on its way. */
static void
test_unplaceable_task_adds_one_machine (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->unplaceable[0] = 1;
  fleet_run (fleet, 1300);
  assert_int_equal (fleet_count (fleet, 0), POOL_MACHINES + 1);
  fleet_destroy (fleet);
}

/* Reports from the pools are fetched more often while callers wait for machines, and no longer:
 * with a whole data centre, the reports are most of the control traffic. */
static void
test_frequent_loads_needed_while_a_surge_waits (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  assert_false (mt_controller_needs_frequent_loads (fleet->controller));
  fleet->demand[0] = 12 * 16000;
  fleet_run (fleet, 300);
  assert_true (mt_controller_needs_frequent_loads (fleet->controller));
  fleet->demand[0] = 8000;
  fleet_run (fleet, 12000);
  assert_false (mt_controller_needs_frequent_loads (fleet->controller));
  fleet_destroy (fleet);
}

/* The left pool asks for more than all machines, and still does when the right one surges as well.
 * Guards against the first pool keeping all: callers of the right pool would get nothing while the
 * left one's work is waiting. */
static void
test_second_surge_gets_its_share_of_a_full_fleet (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = 40 * 16000;
  fleet_run (fleet, 6000);
  assert_true (fleet_count (fleet, 0) >= POOL_MACHINES + 8);
  fleet->demand[1] = 40 * 16000;
  fleet_run (fleet, 6000);
  assert_in_range (fleet_count (fleet, 1), POOL_MACHINES, POOL_MACHINES + 4);
  assert_in_range (fleet_count (fleet, 0), POOL_MACHINES, POOL_MACHINES + 4);
  fleet_destroy (fleet);
}

/* The pools have little demand apart from accepted work that can't meet its objective any more. It
 * gets the machines that no other pool wants and takes none from the other pool. */
static void
test_overdue_work_gets_only_unwanted_machines (void **state)
{
  struct fleet *fleet = fleet_create ();

  fleet_run (fleet, 6000);
  fleet->demand[0] = fleet->demand[1] = 12 * 16000;
  fleet_run (fleet, 4000);
  fleet->demand[0] = fleet->demand[1] = 8000;
  fleet_run (fleet, 8000);
  assert_true (fleet_count (fleet, 2) >= 8);
  fleet->overdue_cpu[0] = 6 * 16000;
  fleet_run (fleet, 4000);
  assert_in_range (fleet_count (fleet, 0), 7, 9);
  fleet->moves = 0;
  fleet->overdue_cpu[0] = fleet->overdue_cpu[1] = 40 * 16000;
  fleet_run (fleet, 4000);
  assert_int_equal (fleet_count (fleet, 2), 0);
  fleet->moves = 0;
  fleet->overdue_cpu[1] = 60 * 16000;
  fleet_run (fleet, 4000);
  assert_int_equal (fleet->moves, 0);
  fleet_destroy (fleet);
}

/* Every machine of the pool has long-running tasks, whose budget lets one move at a time. If all
 * machines began together, all would be kept from other work until the last is empty: the next must
 * begin when the one before it is empty, and the wave must still be in time. */
static void
test_machines_with_long_running_tasks_drain_in_turn (void **state)
{
  struct site *site = site_create ();
  unsigned ordered = 0;
  unsigned max_planned = 0;

  for (int i = 0; i < MACHINES; i++)
    {
      site->views[i].tasks = site->views[i].long_running = 2;
      site->views[i].drain_rounds = 2;
    }
  site_report (site);
  site_wave (site, MACHINES, 60000);
  for (int i = 0; i < 400; i++) /* 60 s; a machine is empty 1.2 s after it began */
    {
      site_report (site);
      max_planned = MAX (max_planned, site_planned (site));
      for (int m = 0; m < MACHINES; m++)
        if (site->views[m].cordoned && i % 16 == 15)
          site->views[m].tasks = site->views[m].long_running = site->views[m].drain_rounds = 0;
      ordered += site_carry_out (site, MT_CONTROLLER_ORDER_DONE);
      for (int m = 0; m < MACHINES; m++)
        site->machines[m].up = true;
    }
  assert_in_range (max_planned, 1, 2);
  assert_int_equal (ordered, MACHINES);
  site_destroy (site);
}

/* A surge begins, and a wave of all machines is due in 80 s. Its cap would let it take all machines
 * that are off, and a third of each pool, while callers wait for them. It must take only as many at
 * a time as it needs to be done. */
static void
test_wave_is_spread_while_callers_wait (void **state)
{
  struct fleet *fleet = fleet_create ();
  char *machines[21] = { NULL };
  struct mt_controller_directives directives;

  fleet_run (fleet, 6000);
  fleet->demand[0] = 40 * 16000;
  fleet->store_down = true; /* no move is ordered yet */
  fleet_run (fleet, 150);
  for (int i = 0; i < 20; i++)
    machines[i] = fleet->names[i];
  mt_controller_update_wave (fleet->controller, 1, machines, NULL, 20, fleet->now + 80000);
  fleet_run (fleet, 900);
  assert_in_range (fleet->maintenances, 1, 2);
  fleet->store_down = false;
  directives = mt_controller_pool_directives (fleet->controller, "right", fleet->now);
  assert_true (g_strv_length (directives.maintenance_due) >= 1);
  mt_controller_directives_clear (&directives);
  fleet_run (fleet, 80000);
  assert_true (mt_controller_wave_done (fleet->controller, 1));
  fleet_destroy (fleet);
}

/* Some tasks of the pool run for 12 s. Guards against a wave that waits for a trough until the time
 * of ordinary tasks is left: a machine that has just started a long one would be late. */
static void
test_wave_begins_in_time_for_the_longest_tasks (void **state)
{
  struct site *site = site_create ();

  site->load.urgent = 50;
  for (int i = 0; i < MACHINES; i++)
    {
      site->views[i].tasks = 2;
      site->views[i].used.cpu = 15000;
      site->views[i].batch_remaining_ms = 900;
    }
  site->views[0].batch_remaining_ms = 12000;
  site_report (site);
  site->views[0].batch_remaining_ms = 900;
  site_wave (site, MACHINES, 20000);
  for (int i = 0; i < 54; i++)
    {
      assert_int_equal (site_carry_out (site, MT_CONTROLLER_ORDER_DONE), 0);
      site_report (site);
      assert_true (i < 52 || site_planned (site) > 0);
      assert_true (i > 45 || site_planned (site) == 0);
    }
  site_destroy (site);
}

/* A pool surges while machines that are off are due for maintenance. Guards against a due machine
 * that goes to the surge first: it would be busy there until the wave is late. */
static void
test_due_machine_has_its_maintenance_before_a_surge (void **state)
{
  struct fleet *fleet = fleet_create ();
  char *machines[] = { fleet->names[16], fleet->names[17], NULL };

  fleet_run (fleet, 6000);
  mt_controller_update_wave (fleet->controller, 1, machines, NULL, 1, fleet->now + 9000);
  fleet->demand[0] = 40 * 16000;
  fleet->stay_busy = true;
  fleet_run (fleet, 1050);
  assert_string_equal (fleet->machines[18].pool, "left");
  assert_string_equal (fleet->machines[19].pool, "left");
  assert_string_equal (fleet->machines[16].pool, "standby");
  assert_string_equal (fleet->machines[17].pool, "standby");
  fleet_run (fleet, 6000);
  assert_true (mt_controller_wave_done (fleet->controller, 1));
  assert_int_equal (fleet_count (fleet, 2), 0);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_machine_absent_from_a_part_of_the_list_stays_in_its_wave),
    cmocka_unit_test (test_only_an_empty_machine_is_ordered),
    cmocka_unit_test (test_start_without_demand_moves_nothing),
    cmocka_unit_test (test_standby_machines_follow_a_surge),
    cmocka_unit_test (test_new_controller_restores_homes),
    cmocka_unit_test (test_draining_machines_are_redirected_to_a_surge),
    cmocka_unit_test (test_no_move_before_its_home_is_stored),
    cmocka_unit_test (test_surges_in_turn_share_the_machines),
    cmocka_unit_test (test_pool_in_trough_releases_most_machines),
    cmocka_unit_test (test_unplaceable_task_adds_one_machine),
    cmocka_unit_test (test_second_surge_gets_its_share_of_a_full_fleet),
    cmocka_unit_test (test_overdue_work_gets_only_unwanted_machines),
    cmocka_unit_test (test_machines_with_long_running_tasks_drain_in_turn),
    cmocka_unit_test (test_wave_is_spread_while_callers_wait),
    cmocka_unit_test (test_due_machine_has_its_maintenance_before_a_surge),
    cmocka_unit_test (test_wave_begins_in_time_for_the_longest_tasks),
    cmocka_unit_test (test_frequent_loads_needed_while_a_surge_waits),
    cmocka_unit_test (test_machines_that_empty_first_go_first),
    cmocka_unit_test (test_pool_without_waiting_work_releases_unused_machines),
    cmocka_unit_test (test_machines_already_in_maintenance_count),
    cmocka_unit_test (test_cap_counts_unconfirmed_orders),
    cmocka_unit_test (test_plan_with_an_unconfirmed_order_outlives_its_time),
    cmocka_unit_test (test_repeated_order_does_not_end_later_incarnation),
    cmocka_unit_test (test_wave_waits_for_a_trough_while_there_is_time),
    cmocka_unit_test (test_machine_that_drains_slowly_begins_early),
    cmocka_unit_test (test_wave_is_done_when_every_machine_has_begun),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
