/* The leader's transactions are stored and answered in any order, late or never, while workers
 * crash, leaders die and callers submit and cancel jobs. No start is sent before its record is
 * stored, no end is acknowledged before its effect is stored, and a takeover at any moment finds
 * all runs. Once the store answers again, every job that was not cancelled completes. */
#include <glib.h>

extern "C"
{
#include "world.h"
}

#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <vector>

namespace
{

constexpr unsigned max_workers = 3;
constexpr int64_t task_cpu = 4000; /* four tasks fill a worker */
constexpr int64_t task_ms = 300;
constexpr int64_t settle_ms = 30000;
/* Few enough that the jobs of one cycle need more transactions than may be in flight. */
constexpr unsigned jobs_per_txn = 2;
constexpr unsigned n_fates = 8;

enum class Step
{
  submit,
  submit_burst,
  cancel,
  fail_runs,
  crash,
  take_over,
  store_fails,
  store_recovers,
};

std::ostream &
operator<< (std::ostream &out, Step step)
{
  static const char *const names[] = { "submit", "submit_burst", "cancel",      "fail_runs",
                                       "crash",  "take_over",    "store_fails", "store_recovers" };

  return out << names[static_cast<int> (step)];
}

struct Job
{
  std::string id;
  unsigned draw; /* determines its steps */
  bool cancelled;
};

struct Model
{
  struct world *world = world_create ();
  std::vector<Job> jobs;

  Model (int64_t max_lease_ms, unsigned record_tasks)
  {
    world_set_max_lease (world, max_lease_ms);
    world_set_record_tasks (world, record_tasks);
    for (unsigned i = 0; i < max_workers; i++)
      world_add_worker (world, "r1");
    world->run_ms = task_ms;
    world->task_cpu = task_cpu;
    world->jobs_per_txn = jobs_per_txn;
  }
  ~Model ()
  {
    world_destroy (world);
  }
  Model (const Model &) = delete;
  Model &operator= (const Model &) = delete;
};

struct mt_job_spec *
make_spec (const Model &m, const Job &job)
{
  const unsigned counts[2] = { 1 + job.draw % 4, 1 + job.draw / 4 % 3 };
  struct mt_job_spec *spec = world_two_step_job (job.id.c_str (), counts, task_cpu, task_ms);

  spec->accepted_ms = m.world->now;
  return spec;
}

void
submit (Model &m, unsigned draw)
{
  m.jobs.push_back ({ "j" + std::to_string (m.jobs.size ()), draw, false });
  world_submit (m.world, make_spec (m, m.jobs.back ()));
}

void
cancel (Model &m, unsigned draw)
{
  if (m.jobs.empty ())
    return;
  Job &job = m.jobs[draw % m.jobs.size ()];

  job.cancelled = true;
  mt_scheduler_cancel (m.world->sched, job.id.c_str (), m.world->now);
}

/* Cancellations are stored in the queue, from which the successor reads them. */
void
take_over (Model &m)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  for (const Job &job : m.jobs)
    g_ptr_array_add (specs, make_spec (m, job));
  world_take_over (m.world, specs);
  for (const Job &job : m.jobs)
    if (job.cancelled)
      mt_scheduler_cancel (m.world->sched, job.id.c_str (), m.world->now);
}

void
apply_step (Model &m, Step step, unsigned draw)
{
  struct world_worker *w = &m.world->workers[draw % max_workers];

  switch (step)
    {
    case Step::submit:
      submit (m, draw);
      return;
    case Step::submit_burst:
      for (unsigned i = 0; i < 3 * jobs_per_txn; i++)
        submit (m, draw + i);
      return;
    case Step::cancel:
      cancel (m, draw);
      return;
    case Step::fail_runs:
      w->fails_runs = draw % 2 == 0;
      return;
    case Step::crash:
      if (w->recovers_at == 0)
        world_crash (m.world, w);
      return;
    case Step::take_over:
      take_over (m);
      return;
    case Step::store_fails:
      m.world->store_down = true;
      return;
    case Step::store_recovers:
      m.world->store_down = false;
      return;
    }
}

void
check_invariants (const Model &m)
{
  RC_ASSERT (m.world->unstored_starts == 0U);
  RC_ASSERT (m.world->unstored_ends == 0U);
  RC_ASSERT (world_count_unstored_runs (m.world) == 0U);
  RC_ASSERT (m.world->duplicate_starts == 0U);
  RC_ASSERT (m.world->redundant_starts == 0U);
  RC_ASSERT (m.world->overcommitting_starts == 0U);
}

void
settle (Model &m)
{
  m.world->store_down = false;
  m.world->n_write_fates = 0;
  for (unsigned i = 0; i < max_workers; i++)
    m.world->workers[i].fails_runs = false;
  world_run (m.world, settle_ms);
}

/* A job may have failed while workers failed its runs. */
void
check_final_state (const Model &m)
{
  for (const Job &job : m.jobs)
    {
      const enum mt_job_state state = mt_scheduler_job_state (m.world->sched, job.id.c_str ());

      RC_ASSERT (mt_job_state_is_final (state));
      RC_ASSERT (state != MT_JOB_CANCELLED || job.cancelled);
    }
  for (unsigned i = 0; i < max_workers; i++)
    RC_ASSERT (m.world->workers[i].runs->len == 0U);
}

/* Most transactions are answered within some cycles, some after seconds, and some answers or writes
 * are lost. */
rc::Gen<int>
generate_delay ()
{
  return rc::gen::weightedOneOf<int> ({ { 4, rc::gen::inRange (0, 60) },
                                        { 2, rc::gen::inRange (60, 2500) },
                                        { 1, rc::gen::just (-1) } });
}

/* part_tasks: most tasks in a record; 0: each job has a single one. */
void
run_case (unsigned part_tasks)
{
  const auto generate_step = rc::gen::weightedElement<Step> ({ { 4, Step::submit },
                                                               { 2, Step::submit_burst },
                                                               { 1, Step::cancel },
                                                               { 1, Step::fail_runs },
                                                               { 1, Step::crash },
                                                               { 3, Step::take_over },
                                                               { 1, Step::store_fails },
                                                               { 2, Step::store_recovers } });
  const auto fates = *rc::gen::container<std::vector<std::pair<int, int>>> (
      n_fates, rc::gen::pair (generate_delay (), generate_delay ()));
  const auto steps = *rc::gen::container<std::vector<std::tuple<Step, unsigned, int>>> (
      rc::gen::tuple (generate_step, rc::gen::inRange (0U, 1000U), rc::gen::inRange (5, 700)));
  Model m (world_max_leases_ms[*rc::gen::inRange (0, WORLD_N_MAX_LEASES)], part_tasks);

  if (part_tasks > 0)
    m.world->jobs_per_txn = 1;
  m.world->n_write_fates = n_fates;
  for (unsigned i = 0; i < n_fates; i++)
    m.world->write_fates[i] = { fates[i].first, fates[i].second };
  for (const auto &[step, draw, ms] : steps)
    {
      apply_step (m, step, draw);
      for (int at = 0; at < ms; at += 5)
        {
          world_run (m.world, 5);
          check_invariants (m);
        }
    }
  settle (m);
  check_invariants (m);
  check_final_state (m);
}

int
run_property ()
{
  bool passed
      = rc::check ("nothing starts or is acknowledged before it is stored", [] { run_case (0); });

  passed
      = rc::check ("nothing starts or is acknowledged before all parts that tell of it are stored",
                   [] { run_case (*rc::gen::inRange (1U, 4U)); })
        && passed;
  return passed ? 0 : 1;
}

} // namespace

int
main ()
{
  return run_property ();
}
