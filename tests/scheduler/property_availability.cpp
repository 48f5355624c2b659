/* Workers lose orders or answers, execute orders late, crash, restart, leave and are cordoned, and
 * leaders die. Guards against a leader that stops an active long-running task while as many others
 * of its step as max_unavailable allows were stopped and are not active again. */
#include <glib.h>

extern "C"
{
#include "world.h"
}

#include <ostream>
#include <rapidcheck.h>
#include <tuple>
#include <vector>

namespace
{

constexpr unsigned max_workers = 6;
constexpr unsigned n_tasks = 3;
constexpr unsigned max_unavailable = 1;
constexpr int64_t task_cpu = 4000;
constexpr int64_t startup_ms = 100;
constexpr int64_t inactive_limit_ms = 4500;
constexpr int64_t cordon_ms = 1200;
constexpr int64_t order_delay_ms = 900;

enum class Step
{
  inject_fault,
  heal,
  reboot,
  crash,
  leave,
  cordon,
  take_over,
};

std::ostream &
operator<< (std::ostream &out, Step step)
{
  static const char *const names[]
      = { "inject_fault", "heal", "reboot", "crash", "leave", "cordon", "take_over" };

  return out << names[static_cast<int> (step)];
}

struct mt_job_spec *
make_spec ()
{
  struct mt_job_spec *spec = world_job ("L0", n_tasks, task_cpu, 1000);

  spec->steps[0].long_running = true;
  spec->steps[0].max_unavailable = max_unavailable;
  spec->steps[0].max_per_worker = 1;
  return spec;
}

void
inject_fault (struct world_worker *w, unsigned draw)
{
  w->silent = draw % 6 == 0;
  w->drops_all_answers = draw % 6 == 1;
  w->drops_order_answers = draw % 6 == 2;
  w->drops_hold_answers = draw % 6 == 3;
  w->order_delay_ms = draw % 6 == 4 ? order_delay_ms : 0;
  w->starts_to_drop = draw % 6 == 5 ? 1 + draw % 5 : 0;
}

void
heal (struct world_worker *w)
{
  w->silent = w->drops_all_answers = w->drops_order_answers = w->drops_hold_answers = false;
  w->order_delay_ms = 0;
  w->starts_to_drop = 0;
}

void
take_over (struct world *world)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  g_ptr_array_add (specs, make_spec ());
  world_take_over (world, specs);
}

void
apply_step (struct world *world, Step step, unsigned draw)
{
  struct world_worker *w = &world->workers[draw % max_workers];

  switch (step)
    {
    case Step::inject_fault:
      inject_fault (w, draw / max_workers);
      return;
    case Step::heal:
      heal (w);
      return;
    case Step::reboot:
      w->leaving = false;
      world_reboot (world, w);
      return;
    case Step::crash:
      if (w->recovers_at == 0)
        {
          w->leaving = false;
          world_crash (world, w);
        }
      return;
    case Step::leave:
      if (!w->leaving && w->recovers_at == 0)
        world_mark_leaving (world, w);
      return;
    case Step::cordon:
      mt_scheduler_cordon (world->sched, w->id, world->now + cordon_ms, true);
      return;
    case Step::take_over:
      take_over (world);
      return;
    }
}

rc::Gen<Step>
generate_step ()
{
  return rc::gen::weightedElement<Step> ({ { 4, Step::inject_fault },
                                           { 3, Step::heal },
                                           { 1, Step::reboot },
                                           { 2, Step::crash },
                                           { 1, Step::leave },
                                           { 5, Step::cordon },
                                           { 2, Step::take_over } });
}

} // namespace

int
main ()
{
  const bool passed = rc::check ("no active task is stopped beyond max_unavailable", [] {
    const auto steps = *rc::gen::container<std::vector<std::tuple<Step, unsigned, int>>> (
        rc::gen::tuple (generate_step (), rc::gen::inRange (0U, 1000U), rc::gen::inRange (5, 900)));
    struct world *world = world_create ();

    world_set_max_lease (world, world_max_leases_ms[*rc::gen::inRange (0, WORLD_N_MAX_LEASES)]);
    for (unsigned i = 0; i < max_workers; i++)
      world_add_worker (world, "r1");
    world->run_ms = -1;
    world->startup_ms = startup_ms;
    world->max_unavailable = max_unavailable;
    world->inactive_limit_ms = inactive_limit_ms;
    world_submit (world, make_spec ());
    world_run (world, 1000);
    for (const auto &[step, draw, ms] : steps)
      {
        apply_step (world, step, draw);
        world_run (world, ms);
      }
    world_run (world, 500);
    /* All tasks of a job that was given up are stopped. */
    const bool given_up = mt_scheduler_job_state (world->sched, "L0") == MT_JOB_FAILED;
    const unsigned excess = world->excess_stops;

    world_destroy (world);
    RC_ASSERT (excess == 0U || given_up);
  });

  return passed ? 0 : 1;
}
