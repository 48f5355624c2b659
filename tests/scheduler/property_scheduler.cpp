/* Workers fall silent, lose orders or carry them out late, restart, crash by what they run, shrink
 * and grow, and leave; leaders die in the midst of a cancelling, their links are thin or stand
 * still for seconds, the store is out, and callers hand in and cancel jobs at any moment. Once all
 * that is over, nothing runs that is not wanted, and all that is wanted runs, once. */
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

constexpr unsigned max_workers = 4;
constexpr int64_t task_cpu = 4000; /* four tasks fill a worker */
constexpr int64_t full_cpu = 16000;
constexpr int64_t task_ms = 700;
/* Bytes a millisecond: a start takes 130 ms of the thinnest link. */
constexpr double thinnest_link = 8;
constexpr double wide_link = 1000;
constexpr int64_t longest_stall_ms = 8000;
/* Every lease given to a silent worker is over, and all that waited has run. */
constexpr int64_t settle_ms = 25000;
/* A job that takes workers down is given up: all of them may have to take turns. */
constexpr int64_t crashing_ms = 10000;
/* After three workers have crashed under a task, three more starts of it are too many. */
constexpr unsigned most_crashes = 5;
/* A job may be given up once so many workers have crashed under one of its tasks. */
constexpr unsigned least_crashes = 2;

struct Job
{
  std::string id;
  unsigned count;
  bool long_running;
  bool crashing; /* its first task takes down each worker that starts it */
  bool cancelled;
  bool told; /* the leader knows of the cancelling */
};

enum class Step
{
  submit,
  submit_crashing,
  cancel,
  cancel_untold,
  disturb,
  heal,
  reboot,
  crash,
  resize,
  leave,
  take_over,
  store_out,
  store_back,
  thin_link,
  wide_link,
  stall_link,
};

std::ostream &
operator<< (std::ostream &out, Step step)
{
  static const char *const names[]
      = { "submit",     "submit_crashing", "cancel",    "cancel_untold", "disturb",   "heal",
          "reboot",     "crash",           "resize",    "leave",         "take_over", "store_out",
          "store_back", "thin_link",       "wide_link", "stall_link" };

  return out << names[static_cast<int> (step)];
}

struct Model
{
  struct world *world = world_create ();
  std::vector<Job> jobs;

  Model ()
  {
    for (unsigned i = 0; i < max_workers; i++)
      world_add_worker (world, "r1");
    world->run_ms = task_ms;
    world->task_cpu = task_cpu;
  }
  ~Model ()
  {
    world_destroy (world);
  }
  Model (const Model &) = delete;
  Model &operator= (const Model &) = delete;
};

struct mt_job_spec *
spec_of (const Model &m, const Job &job)
{
  struct mt_job_spec *spec = world_job (job.id.c_str (), job.count, task_cpu, task_ms);

  spec->steps[0].long_running = job.long_running;
  spec->steps[0].max_unavailable = job.long_running ? 1 : 0;
  spec->accepted_ms = m.world->now;
  return spec;
}

void
submit (Model &m, unsigned draw, bool crashing)
{
  const bool long_running = draw % 2 == 0;
  const char kind = long_running ? WORLD_LONG_RUNNING_ID : 'j';
  const Job job = {
    kind + std::to_string (m.jobs.size ()), 1 + draw % 3, long_running, crashing, false, false
  };

  if (crashing)
    world_add_crashing (m.world, (job.id + ".0.0.0").c_str ());
  m.jobs.push_back (job);
  world_submit (m.world, spec_of (m, job));
}

/* Durable before it is acknowledged; the note to the leader may be lost or late. */
void
cancel (Model &m, unsigned draw, bool tell)
{
  if (m.jobs.empty ())
    return;
  Job &job = m.jobs[draw % m.jobs.size ()];

  job.cancelled = true;
  if (tell)
    job.told = mt_scheduler_cancel (m.world->sched, job.id.c_str (), m.world->now);
}

void
tell_all (Model &m)
{
  for (Job &job : m.jobs)
    if (job.cancelled && !job.told)
      job.told = mt_scheduler_cancel (m.world->sched, job.id.c_str (), m.world->now);
}

void
disturb (struct world_worker *w, unsigned draw)
{
  w->silent = draw % 5 == 0;
  w->mute = draw % 5 == 1;
  w->loses = draw % 5 == 2;
  w->unlisted = draw % 5 == 3;
  w->late_ms = draw % 5 == 4 ? 900 : 0;
}

void
heal (struct world_worker *w)
{
  w->silent = w->mute = w->loses = w->unlisted = false;
  w->late_ms = 0;
  w->drops = 0;
}

/* A successor reads the queue, of which cancellings may come first, and then the progress. */
void
take_over (Model &m, bool cancels_first)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();
  GHashTable *records = m.world->records;
  GHashTableIter it;
  void *id;
  void *record;

  for (const Job &job : m.jobs)
    g_ptr_array_add (specs, spec_of (m, job));
  m.world->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world_take_over (m.world, specs);
  for (Job &job : m.jobs)
    job.told = false;
  if (cancels_first)
    tell_all (m);
  g_hash_table_iter_init (&it, records);
  while (g_hash_table_iter_next (&it, &id, &record))
    RC_ASSERT (mt_scheduler_restore (m.world->sched, static_cast<const char *> (id),
                                     static_cast<const char *> (record), 1, m.world->now));
  tell_all (m);
  g_hash_table_unref (m.world->records);
  m.world->records = records;
}

void
act (Model &m, Step step, unsigned draw)
{
  struct world_worker *w = &m.world->workers[draw % max_workers];

  switch (step)
    {
    case Step::submit:
      submit (m, draw, false);
      return;
    case Step::submit_crashing:
      submit (m, draw, true);
      return;
    case Step::cancel:
      cancel (m, draw, true);
      return;
    case Step::cancel_untold:
      cancel (m, draw, false);
      return;
    case Step::disturb:
      disturb (w, draw / max_workers);
      return;
    case Step::heal:
      heal (w);
      return;
    case Step::reboot:
      w->leaving = false;
      world_reboot (m.world, w);
      return;
    case Step::crash:
      if (w->back_at == 0)
        world_crash (m.world, w);
      return;
    case Step::resize:
      world_resize (m.world, w, static_cast<int64_t> (draw % 5) * task_cpu);
      return;
    case Step::leave:
      if (!w->leaving && w->back_at == 0)
        world_leave (m.world, w);
      return;
    case Step::take_over:
      take_over (m, draw % 2 == 0);
      return;
    case Step::store_out:
      m.world->store_down = true;
      return;
    case Step::store_back:
      m.world->store_down = false;
      return;
    case Step::thin_link:
      m.world->link_bytes_per_ms = thinnest_link + draw % 20;
      return;
    case Step::wide_link:
      m.world->link_bytes_per_ms = wide_link;
      return;
    case Step::stall_link:
      m.world->link_free = m.world->now + longest_stall_ms * draw / 1000;
      return;
    }
}

/* What holds at every moment. */
void
check_always (const Model &m)
{
  RC_ASSERT (m.world->twice == 0U);
  RC_ASSERT (m.world->redone == 0U);
  for (const Job &job : m.jobs)
    if (job.crashing)
      RC_ASSERT (world_crashes_by (m.world, (job.id + ".0.0.0").c_str ()) <= most_crashes);
  RC_ASSERT (m.world->overbooked == 0U);
  /* A worker that has shrunk goes on with what it runs. */
  for (unsigned i = 0; i < max_workers; i++)
    RC_ASSERT (m.world->workers[i].runs->len * task_cpu <= full_cpu);
}

void
settle (Model &m)
{
  int64_t ms = settle_ms;

  m.world->store_down = false;
  m.world->link_bytes_per_ms = wide_link;
  m.world->link_free = m.world->now;
  for (unsigned i = 0; i < max_workers; i++)
    {
      struct world_worker *w = &m.world->workers[i];

      heal (w);
      world_resize (m.world, w, full_cpu);
      if (w->leaving)
        act (m, Step::reboot, i);
    }
  tell_all (m);
  for (const Job &job : m.jobs)
    ms += job.crashing ? crashing_ms : 0;
  world_run (m.world, ms);
}

bool
may_be_given_up (const Model &m, const Job &job)
{
  for (unsigned i = 0; i < job.count; i++)
    if (world_crashes_under (m.world, (job.id + ".0.0." + std::to_string (i)).c_str ())
        >= least_crashes)
      return true;
  return false;
}

void
check_settled (const Model &m)
{
  unsigned long_running = 0;

  for (const Job &job : m.jobs)
    long_running += job.long_running && !job.cancelled ? job.count : 0;
  const bool room = long_running * task_cpu < max_workers * m.world->workers[0].room.cpu;
  for (const Job &job : m.jobs)
    {
      const enum mt_job_state state = mt_scheduler_job_state (m.world->sched, job.id.c_str ());
      unsigned running = 0;

      for (unsigned i = 0; i < job.count; i++)
        running += world_running (m.world, (job.id + ".0.0." + std::to_string (i)).c_str ());
      if (job.cancelled)
        RC_ASSERT (running == 0U);
      else if (state == MT_JOB_FAILED)
        RC_ASSERT (running == 0U && may_be_given_up (m, job));
      else if (job.crashing)
        RC_ASSERT (!room);
      else if (job.long_running && room)
        RC_ASSERT (running == job.count);
      else if (!job.long_running && room)
        RC_ASSERT (state == MT_JOB_COMPLETED);
    }
}

/* Cancels while orders are lost, and takeovers after them, are what few cases would bring together.
 */
rc::Gen<Step>
any_step ()
{
  return rc::gen::weightedElement<Step> ({ { 3, Step::submit },
                                           { 1, Step::submit_crashing },
                                           { 1, Step::crash },
                                           { 2, Step::resize },
                                           { 3, Step::cancel },
                                           { 1, Step::cancel_untold },
                                           { 3, Step::disturb },
                                           { 1, Step::heal },
                                           { 1, Step::reboot },
                                           { 1, Step::leave },
                                           { 3, Step::take_over },
                                           { 1, Step::store_out },
                                           { 1, Step::store_back },
                                           { 1, Step::thin_link },
                                           { 1, Step::wide_link },
                                           { 2, Step::stall_link } });
}

int
run_property ()
{
  bool good = rc::check ("nothing runs that is not wanted, all that is wanted runs, once", [] {
    const auto steps = *rc::gen::container<std::vector<std::tuple<Step, unsigned, int>>> (
        rc::gen::tuple (any_step (), rc::gen::inRange (0U, 1000U), rc::gen::inRange (5, 1500)));
    Model m;

    for (const auto &[step, draw, ms] : steps)
      {
        act (m, step, draw);
        world_run (m.world, ms);
        check_always (m);
      }
    settle (m);
    check_always (m);
    check_settled (m);
  });

  return good ? 0 : 1;
}

} // namespace

int
main ()
{
  return run_property ();
}
