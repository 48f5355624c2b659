/* Two competing planners, a lossy network, and workers that pause, restart and resume late: in any
 * order of events, no job that may not run twice has two running copies, and allocations stay
 * within capacity and quota. */
#include <glib.h>

extern "C"
{
#include "medlartrack/jobs.h"
}

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace
{

constexpr int worker_count = 3;
constexpr int job_count = 6;
constexpr uint32_t worker_cpu = 4000;

std::string
worker_name (int i)
{
  return "w" + std::to_string (i);
}

std::string
job_name (int i)
{
  return "j" + std::to_string (i);
}

bool
may_run_twice (int job)
{
  return job % 3 == 0;
}

struct Action
{
  mt_job_action_kind kind;
  int job;
  int worker;
  uint64_t epoch;
  uint64_t lease;
};

struct Report
{
  mt_job_report_kind kind;
  int job;
  int worker;
  uint64_t epoch;
};

/* Model of the platform's worker: refuses epochs that are fenced or old, and actions for a former
 * lease. */
struct Worker
{
  uint64_t lease = 1;
  bool lease_expired = false;
  std::map<int, uint64_t> running;        /* job -> epoch */
  std::map<int, uint64_t> refused_epochs; /* job -> highest epoch to refuse */
  std::map<int, uint64_t> done;
};

struct World
{
  mt_clock_manual *manual = mt_clock_manual_create (1000 * MT_SECOND);
  mt_jobs *planners[2] = { nullptr, nullptr };
  size_t seen[2] = { 0, 0 };
  std::vector<std::string> log;
  std::deque<Action> network;
  std::deque<Report> reports;
  Worker workers[worker_count];
  std::set<int> cancelled;

  World ()
  {
    rebuild (0);
    rebuild (1);
  }

  ~World ()
  {
    mt_jobs_destroy (planners[0]);
    mt_jobs_destroy (planners[1]);
    mt_clock_manual_destroy (manual);
  }

  World (const World &) = delete;
  World &operator= (const World &) = delete;

  void
  add_workers (mt_jobs *jobs)
  {
    for (int i = 0; i < worker_count; i++)
      {
        std::string name = worker_name (i);
        mt_worker_spec spec
            = { name.c_str (), "rack", "pool", { worker_cpu, 1024, 0 }, workers[i].lease };

        mt_jobs_set_worker (jobs, &spec);
      }
  }

  void
  submit_all (mt_jobs *jobs)
  {
    for (int i = 0; i < job_count; i++)
      {
        std::string name = job_name (i);
        mt_job_spec spec
            = { name.c_str (),        "kind",           i % 2 ? "a" : "b", "pool", { 1500, 100, 0 },
                (mt_urgency) (i % 3), may_run_twice (i) };

        mt_jobs_submit (jobs, &spec);
      }
  }

  /* Creates a planner that takes over: adds the platform's workers and the declared jobs, then
   * replays the recorded batches. */
  void
  rebuild (int p)
  {
    mt_jobs_options options = mt_jobs_default_options ();

    mt_jobs_destroy (planners[p]);
    planners[p] = mt_jobs_create (mt_clock_manual_clock (manual), &options);
    add_workers (planners[p]);
    mt_jobs_set_quota (planners[p], "a", { 4500, 1024, 0 });
    submit_all (planners[p]);
    for (const auto &batch : log)
      RC_ASSERT (mt_jobs_replay (planners[p], { batch.data (), batch.size () }, nullptr));
    seen[p] = log.size ();
    for (int i = 0; i < worker_count; i++)
      if (workers[i].lease_expired)
        mt_jobs_worker_lease_lost (planners[p], worker_name (i).c_str (), workers[i].lease);
  }

  void
  check_invariants (mt_jobs *jobs)
  {
    mt_job_resources held = mt_jobs_team_allocated (jobs, "a");
    mt_job_resources borrowed = mt_jobs_team_borrowed (jobs, "a");

    RC_ASSERT (held.cpu_milli - borrowed.cpu_milli <= 4500U);
    for (int i = 0; i < worker_count; i++)
      RC_ASSERT (mt_jobs_worker_allocated (jobs, worker_name (i).c_str ()).cpu_milli <= worker_cpu);
  }

  /* Sends actions only after their batch is recorded as the next one; if another planner's batch
   * came first, this planner rebuilds its state instead. */
  void
  plan (int p)
  {
    GArray *actions = g_array_new (FALSE, FALSE, sizeof (mt_job_action));
    GString *batch = g_string_new (nullptr);

    mt_jobs_plan (planners[p], actions);
    check_invariants (planners[p]);
    mt_jobs_take_changes (planners[p], batch);
    if (seen[p] != log.size ())
      rebuild (p);
    else
      {
        if (batch->len > 0)
          log.emplace_back (batch->str, batch->len);
        seen[p] = log.size ();
        for (guint i = 0; i < actions->len; i++)
          {
            const mt_job_action &a = g_array_index (actions, mt_job_action, i);

            network.push_back ({ a.kind, a.job[1] - '0', a.worker[1] - '0', a.epoch, a.lease });
          }
      }
    g_string_free (batch, TRUE);
    g_array_unref (actions);
  }

  void
  start (Worker &worker, const Action &a)
  {
    if (a.epoch <= worker.refused_epochs[a.job])
      return;
    worker.refused_epochs[a.job] = a.epoch;
    worker.running[a.job] = a.epoch;
    reports.push_back ({ MT_REPORT_RUNNING, a.job, a.worker, a.epoch });
  }

  void
  end (Worker &worker, const Action &a, mt_job_report_kind kind)
  {
    auto it = worker.running.find (a.job);

    worker.refused_epochs[a.job] = std::max (worker.refused_epochs[a.job], a.epoch);
    if (worker.done.count (a.job) && worker.done[a.job] == a.epoch)
      kind = MT_REPORT_DONE;
    else if (it != worker.running.end () && it->second <= a.epoch)
      worker.running.erase (it);
    reports.push_back ({ kind, a.job, a.worker, a.epoch });
  }

  void
  deliver (const Action &a)
  {
    Worker &worker = workers[a.worker];

    if (a.lease != worker.lease)
      return;
    switch (a.kind)
      {
      case MT_JOB_START:
        start (worker, a);
        break;
      case MT_JOB_CHECKPOINT:
        end (worker, a, MT_REPORT_CHECKPOINTED);
        break;
      case MT_JOB_STOP:
        end (worker, a, MT_REPORT_STOPPED);
        break;
      case MT_JOB_FENCE:
        end (worker, a, MT_REPORT_FENCED);
        break;
      case MT_JOB_THROTTLE:
        break;
      }
  }

  void
  apply_report (int p, const Report &r)
  {
    std::string job = job_name (r.job);
    std::string worker = worker_name (r.worker);
    mt_job_report report
        = { r.kind,  job.c_str (),     worker.c_str (),
            r.epoch, { 1500, 100, 0 }, mt_clock_now (mt_clock_manual_clock (manual)) };

    mt_jobs_report (planners[p], &report);
  }

  void
  finish_a_task (int w, bool good)
  {
    Worker &worker = workers[w];

    if (worker.running.empty ())
      return;
    auto [job, epoch] = *worker.running.begin ();

    worker.running.erase (job);
    if (good)
      worker.done[job] = epoch;
    reports.push_back ({ good ? MT_REPORT_DONE : MT_REPORT_FAILED, job, w, epoch });
  }

  void
  restart_worker (int w)
  {
    workers[w].running.clear ();
    workers[w].refused_epochs.clear ();
    workers[w].done.clear ();
    workers[w].lease_expired = false;
    workers[w].lease++;
  }

  void
  step (uint32_t r)
  {
    int p = (int) (r >> 8) & 1;
    int w = (int) (r >> 9) % worker_count;

    switch (r % 14)
      {
      case 0:
      case 1:
      case 2:
        plan (p);
        break;
      case 3:
      case 4:
        if (!network.empty ())
          {
            Action a = network[(r >> 10) % network.size ()];

            deliver (a);
            if (r & 0x80)
              network.erase (std::find_if (network.begin (), network.end (), [&] (auto &x) {
                return x.job == a.job && x.epoch == a.epoch && x.kind == a.kind;
              }));
          }
        break;
      case 5:
        if (!network.empty ())
          network.pop_front ();
        break;
      case 6:
      case 7:
        if (!reports.empty ())
          apply_report (p, reports[(r >> 10) % reports.size ()]);
        break;
      case 8:
        finish_a_task (w, (r & 0x40) != 0);
        break;
      case 9:
        workers[w].lease_expired = true;
        mt_jobs_worker_lease_lost (planners[p], worker_name (w).c_str (), workers[w].lease);
        break;
      case 10:
        if ((r & 0x30) == 0)
          restart_worker (w);
        break;
      case 11:
        mt_jobs_worker_restarted (planners[p], worker_name (w).c_str (), workers[w].lease);
        break;
      case 12:
        mt_clock_manual_advance (manual, 20 * MT_SECOND);
        break;
      case 13:
        if ((r & 0x70) == 0)
          mt_jobs_cancel (planners[p], job_name ((int) (r >> 12) % job_count).c_str ());
        else if ((r & 0x70) == 0x10)
          rebuild (p);
        break;
      }
  }

  void
  check_copies ()
  {
    for (int job = 0; job < job_count; job++)
      {
        int copies = 0;

        for (const auto &worker : workers)
          copies += (int) worker.running.count (job);
        if (!may_run_twice (job))
          RC_ASSERT (copies <= 1);
      }
  }
};

void
property_no_second_copy (const std::vector<uint32_t> &steps)
{
  World world;

  for (uint32_t r : steps)
    {
      world.step (r);
      world.check_copies ();
    }
}

/* After any such history, once the network is reliable and the workers respond, every job that was
 * not cancelled ends. */
void
property_every_job_ends (const std::vector<uint32_t> &steps)
{
  World world;

  for (uint32_t r : steps)
    world.step (r);
  for (int i = 0; i < worker_count; i++)
    world.restart_worker (i);
  world.network.clear ();
  world.reports.clear ();
  world.rebuild (0);
  for (int round = 0; round < 400; round++)
    {
      world.plan (0);
      for (auto &a : world.network)
        world.deliver (a);
      world.network.clear ();
      for (auto &r : world.reports)
        world.apply_report (0, r);
      world.reports.clear ();
      for (int i = 0; i < worker_count; i++)
        world.finish_a_task (i, true);
      mt_clock_manual_advance (world.manual, 10 * MT_SECOND);
    }
  for (int job = 0; job < job_count; job++)
    {
      mt_job_state state = mt_jobs_state (world.planners[0], job_name (job).c_str ());

      RC_ASSERT (state == MT_JOB_DONE || state == MT_JOB_CANCELLED || state == MT_JOB_POISON);
    }
}

} // namespace

int
main ()
{
  auto steps = rc::gen::resize (
      400, rc::gen::container<std::vector<uint32_t>> (rc::gen::inRange<uint32_t> (0, UINT32_MAX)));
  bool ok = rc::check ("no job that may not run twice has two running copies",
                       [&] { property_no_second_copy (*steps); });

  ok = rc::check ("every job that can run ends", [&] { property_every_job_ends (*steps); }) && ok;
  return ok ? 0 : 1;
}
