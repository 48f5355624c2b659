/* Two pools place jobs of two workspaces concurrently. Leaders of pools and of the fleet die,
 * messages between them are lost or late, workers fall silent or execute orders late, quotas shrink
 * and grow. No workspace ever runs more than its quota and the permitted overrun. Once all faults
 * are over, every accepted job completes. */
#include <glib.h>

extern "C"
{
#include "medlartrack/grants.h"
#include "world.h"
}

#include <algorithm>
#include <cstring>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <vector>

namespace
{

constexpr unsigned pools = 2;
constexpr unsigned workspaces = 2;
constexpr unsigned workers_per_pool = 3;
/* The largest task exceeds an even share of the smallest quota. */
constexpr int64_t task_cpus[] = { 2000, 1000, 3000 };
constexpr int64_t task_ms = 700;
constexpr int64_t min_quota = 4000;
constexpr int64_t message_interval_ms = 100;
/* Time from acceptance of a configuration until it is in force everywhere. */
constexpr int64_t config_rollout_ms = 3000;
/* Long enough for every lease of a silent worker to expire and all waiting tasks to run. */
constexpr int64_t settle_ms = 60000;
const char *const pool_names[pools + 1] = { "p0", "p1", nullptr };
const char *const workspace_names[workspaces] = { "yard", "press" };

struct Job
{
  std::string id;
  unsigned pool;
  unsigned workspace;
  unsigned count;
  int64_t task_cpu;
  bool cancelled;
};

/* A grant message in transit to a pool. */
struct Message
{
  unsigned pool;
  struct mt_grant_message message;
  std::vector<struct mt_grant> rows;
  int64_t arrives_at;
};

enum class Step
{
  submit,
  surge,
  cancel,
  inject_fault,
  heal,
  pool_leader_dies,
  fleet_leader_dies,
  partition,
  delay_messages,
  reconnect,
  quota,
};

std::ostream &
operator<< (std::ostream &out, Step step)
{
  static const char *const step_names[] = { "submit",
                                            "surge",
                                            "cancel",
                                            "inject_fault",
                                            "heal",
                                            "pool_leader_dies",
                                            "fleet_leader_dies",
                                            "partition",
                                            "delay_messages",
                                            "reconnect",
                                            "quota" };

  return out << step_names[static_cast<int> (step)];
}

struct Model
{
  struct world *worlds[pools];
  struct mt_grants *grants = nullptr;
  int64_t fleet_token = 0;
  int64_t quotas[workspaces] = { 16000, 12000 };
  std::vector<std::pair<int64_t, int64_t>> superseded_quotas[workspaces]; /* quota, valid until */
  bool unreachable[pools] = {};
  int64_t delay_ms[pools] = {};
  std::vector<Message> sent;
  std::vector<Job> jobs;
  int64_t now = 0;

  explicit Model (int64_t max_lease_ms)
  {
    for (auto &world : worlds)
      {
        world = world_create ();
        world_set_max_lease (world, max_lease_ms);
        for (unsigned i = 0; i < workers_per_pool; i++)
          world_add_worker (world, "r1");
        world->run_ms = task_ms;
      }
    now = worlds[0]->now;
    start_fleet_leader ();
    configure ();
  }
  ~Model ()
  {
    for (auto *world : worlds)
      world_destroy (world);
    mt_grants_destroy (grants);
  }
  Model (const Model &) = delete;
  Model &operator= (const Model &) = delete;

  void
  start_fleet_leader ()
  {
    mt_grants_destroy (grants);
    grants = mt_grants_create (++fleet_token, now);
    sent.clear ();
  }

  void
  configure ()
  {
    struct mt_workspaces *list = mt_workspaces_create ();

    for (unsigned w = 0; w < workspaces; w++)
      {
        struct mt_resources quota = { quotas[w], 0, 0 };

        mt_workspaces_add (list, workspace_names[w], &quota, 0, nullptr);
      }
    mt_grants_configure (grants, pool_names, list);
    mt_workspaces_destroy (list);
    for (unsigned p = 0; p < pools; p++)
      configure_pool (p);
  }

  void
  configure_pool (unsigned pool)
  {
    for (unsigned w = 0; w < workspaces; w++)
      {
        struct mt_workspace_limits limits = { { quotas[w], 0, 0 }, 0, pools };

        mt_scheduler_set_workspace (worlds[pool]->sched, workspace_names[w], &limits);
      }
  }
};

struct mt_job_spec *
make_spec (const Model &m, const Job &job)
{
  struct mt_job_spec *spec = world_job (job.id.c_str (), job.count, job.task_cpu, task_ms);

  spec->workspace = g_strdup (workspace_names[job.workspace]);
  spec->accepted_ms = m.now;
  return spec;
}

void
submit (Model &m, unsigned draw, unsigned count)
{
  const unsigned pool = draw % pools;
  const Job job = { "j" + std::to_string (m.jobs.size ()),   pool, draw / pools % workspaces, count,
                    task_cpus[draw % std::size (task_cpus)], false };

  m.jobs.push_back (job);
  world_submit (m.worlds[pool], make_spec (m, job));
}

void
cancel (Model &m, unsigned draw)
{
  if (m.jobs.empty ())
    return;
  Job &job = m.jobs[draw % m.jobs.size ()];

  job.cancelled = true;
  mt_scheduler_cancel (m.worlds[job.pool]->sched, job.id.c_str (), m.now);
}

void
pool_leader_dies (Model &m, unsigned pool)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  for (const Job &job : m.jobs)
    if (job.pool == pool)
      g_ptr_array_add (specs, make_spec (m, job));
  world_take_over (m.worlds[pool], specs);
  for (const Job &job : m.jobs)
    if (job.pool == pool && job.cancelled)
      mt_scheduler_cancel (m.worlds[pool]->sched, job.id.c_str (), m.now);
  m.configure_pool (pool);
}

void
inject_fault (struct world_worker *w, unsigned draw)
{
  w->silent = draw % 4 == 0;
  w->drops_all_answers = draw % 4 == 1;
  w->drops_order_answers = draw % 4 == 2;
  w->order_delay_ms = draw % 4 == 3 ? 300 : 0;
}

void
heal (struct world_worker *w)
{
  w->silent = w->drops_all_answers = w->drops_order_answers = w->drops_hold_answers = false;
  w->order_delay_ms = 0;
}

void
change_quota (Model &m, unsigned draw)
{
  const unsigned w = draw % workspaces;

  m.superseded_quotas[w].push_back ({ m.quotas[w], m.now + config_rollout_ms });
  m.quotas[w] = min_quota + static_cast<int64_t> (draw) * 20;
  m.configure ();
}

void
apply_step (Model &m, Step step, unsigned draw)
{
  struct world_worker *w = &m.worlds[draw % pools]->workers[draw / pools % workers_per_pool];

  switch (step)
    {
    case Step::submit:
      submit (m, draw, 1 + draw % 3);
      return;
    case Step::surge:
      submit (m, draw, 12);
      return;
    case Step::cancel:
      cancel (m, draw);
      return;
    case Step::inject_fault:
      inject_fault (w, draw / 6);
      return;
    case Step::heal:
      heal (w);
      return;
    case Step::pool_leader_dies:
      pool_leader_dies (m, draw % pools);
      return;
    case Step::fleet_leader_dies:
      m.start_fleet_leader ();
      m.configure ();
      return;
    case Step::partition:
      m.unreachable[draw % pools] = true;
      return;
    case Step::delay_messages:
      m.delay_ms[draw % pools] = draw / 2;
      return;
    case Step::reconnect:
      m.unreachable[draw % pools] = false;
      m.delay_ms[draw % pools] = 0;
      return;
    case Step::quota:
      change_quota (m, draw);
      return;
    }
}

/* ---- messages ---- */

void
send_messages (Model &m)
{
  for (unsigned p = 0; p < pools; p++)
    {
      Message message = { p,
                          mt_grants_next_message (m.grants, pool_names[p], m.now),
                          {},
                          m.now + m.delay_ms[p] * (m.now / message_interval_ms % 2) };

      message.rows.assign (message.message.grants,
                           message.message.grants + message.message.n_grants);
      g_free (const_cast<struct mt_grant *> (message.message.grants));
      if (!m.unreachable[p])
        m.sent.push_back (message);
    }
}

void
deliver (Model &m, Message &message)
{
  struct mt_account_view views[workspaces];
  struct mt_scheduler *sched = m.worlds[message.pool]->sched;
  size_t n;

  message.message.grants = message.rows.data ();
  if (!mt_scheduler_apply_grants (sched, &message.message, m.now))
    return;
  n = mt_scheduler_accounts (sched, views, workspaces);
  if (message.message.token == m.fleet_token && !m.unreachable[message.pool])
    mt_grants_acknowledge (m.grants, pool_names[message.pool], message.message.sequence, views, n,
                           m.now);
}

void
deliver_messages (Model &m)
{
  std::vector<Message> arrived;

  for (const Message &message : m.sent)
    if (message.arrives_at <= m.now)
      arrived.push_back (message);
  m.sent.erase (std::remove_if (m.sent.begin (), m.sent.end (),
                                [&m] (const Message &each) { return each.arrives_at <= m.now; }),
                m.sent.end ());
  for (Message &message : arrived)
    deliver (m, message);
}

/* ---- checks ---- */

int64_t
running_cpu (const Model &m, unsigned workspace)
{
  int64_t sum = 0;

  for (const auto *world : m.worlds)
    for (unsigned i = 0; i < world->n_workers; i++)
      for (guint r = 0; r < world->workers[i].runs->len; r++)
        {
          const auto *run = &g_array_index (world->workers[i].runs, struct world_run, r);
          const std::string id (run->task, std::strcspn (run->task, "."));
          const auto job = std::find_if (m.jobs.begin (), m.jobs.end (),
                                         [&id] (const Job &each) { return each.id == id; });

          sum += job != m.jobs.end () && job->workspace == workspace ? job->task_cpu : 0;
        }
  return sum;
}

int64_t
highest_quota (const Model &m, unsigned workspace)
{
  int64_t highest = m.quotas[workspace];

  for (const auto &[quota, until] : m.superseded_quotas[workspace])
    if (until > m.now)
      highest = std::max (highest, quota);
  return highest;
}

/* No start takes a workspace above its quota plus a tenth of it plus one task. */
void
check_quotas (const Model &m, const int64_t before[workspaces])
{
  for (unsigned w = 0; w < workspaces; w++)
    {
      const int64_t running = running_cpu (m, w);

      if (running > before[w])
        RC_ASSERT (running <= highest_quota (m, w) * 11 / 10 + task_cpus[2]);
    }
}

void
advance (Model &m, int64_t ms)
{
  const int64_t until = m.now + ms;

  while (m.now < until)
    {
      int64_t before[workspaces];

      for (unsigned w = 0; w < workspaces; w++)
        before[w] = running_cpu (m, w);
      if (m.now % message_interval_ms == 0)
        send_messages (m);
      deliver_messages (m);
      for (auto *world : m.worlds)
        world_run (world, 5);
      m.now = m.worlds[0]->now;
      check_quotas (m, before);
    }
}

void
settle (Model &m)
{
  for (unsigned p = 0; p < pools; p++)
    {
      m.unreachable[p] = false;
      m.delay_ms[p] = 0;
      for (unsigned i = 0; i < workers_per_pool; i++)
        heal (&m.worlds[p]->workers[i]);
    }
  advance (m, settle_ms);
}

rc::Gen<Step>
generate_step ()
{
  return rc::gen::weightedElement<Step> ({ { 3, Step::submit },
                                           { 4, Step::surge },
                                           { 1, Step::cancel },
                                           { 1, Step::inject_fault },
                                           { 1, Step::heal },
                                           { 2, Step::pool_leader_dies },
                                           { 2, Step::fleet_leader_dies },
                                           { 2, Step::partition },
                                           { 1, Step::delay_messages },
                                           { 2, Step::reconnect },
                                           { 1, Step::quota } });
}

int
run_property ()
{
  bool passed = rc::check ("no workspace exceeds its quota, and every accepted job completes", [] {
    const auto steps
        = *rc::gen::container<std::vector<std::tuple<Step, unsigned, int>>> (rc::gen::tuple (
            generate_step (), rc::gen::inRange (0U, 1000U), rc::gen::inRange (5, 1500)));
    Model m (world_max_leases_ms[*rc::gen::inRange (0, WORLD_N_MAX_LEASES)]);

    for (const auto &[step, draw, ms] : steps)
      {
        apply_step (m, step, draw);
        advance (m, ms / 5 * 5);
      }
    settle (m);
    for (const Job &job : m.jobs)
      RC_ASSERT (job.cancelled
                 || mt_scheduler_job_state (m.worlds[job.pool]->sched, job.id.c_str ())
                        == MT_JOB_COMPLETED);
  });

  return passed ? 0 : 1;
}

} // namespace

int
main ()
{
  return run_property ();
}
