/* Four workspaces of changing weights surge in two pools. Leaders of pools and of the fleet die,
 * and messages between them are lost or late. While a workspace has waiting tasks, it is never
 * below its fair share by more than one task for longer than the run time of the tasks in its
 * place, no resources that its tasks fit are idle, and it runs something in its turn however small
 * its share.
 */
#include <glib.h>

extern "C"
{
#include "medlartrack/grants.h"
#include "world.h"
}

#include <algorithm>
#include <cstring>
#include <deque>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <vector>

namespace
{

constexpr unsigned pools = 2;
constexpr unsigned workspaces = 4;
constexpr unsigned workers_per_pool = 2;
constexpr int64_t pool_cpu = workers_per_pool * 16000;
constexpr int64_t task_cpus[] = { 1000, 2000, 4000 };
constexpr int64_t weights_drawn[] = { 0, 1, 2, 5, 20, 100 };
constexpr int64_t task_ms = 700;
constexpr int64_t message_interval_ms = 100;
constexpr int64_t max_delay_ms = 500;
/* Each step of the simulation: all runs may end, and be replaced, between two later checks. */
constexpr int64_t check_interval_ms = 5;
/* From the end of a run until another run is there: a hold, a cycle and a start. */
constexpr int64_t reaction_ms = 200;
/* The bound that docs/operators.md states. */
constexpr int64_t one_run_ms = task_ms + reaction_ms;
/* If tasks differ in size, workers are reserved for one workspace at a time, after it has waited.
 */
constexpr int64_t reserve_after_ms = 1000;
constexpr int64_t reserved_ms = 3000;
constexpr int64_t mixed_regain_ms
    = reserve_after_ms + (workspaces - 1) * (reserved_ms + reserve_after_ms) + one_run_ms;
/* Each workspace gets a task in turn; the first turn may begin when borrowed resources are back. */
constexpr int64_t turn_ms = (workspaces + 1) * one_run_ms;
/* For how long a use in another pool may still be counted, in the sum of a report, a message and
 * the validity of the figure. */
constexpr int64_t counted_ms = message_interval_ms + max_delay_ms + MT_GRANT_LEASE_MS + 400;
/* A new leader hears from the workers, and their leases allow starts again. */
constexpr int64_t takeover_ms = 1500;
/* Longer than all submitted tasks take in one pool at four cores each. */
constexpr int64_t settle_ms = 600000;
const char *const pool_names[pools + 1] = { "p0", "p1", nullptr };
const char *const workspace_names[workspaces] = { "yard", "press", "mill", "dock" };

struct Job
{
  std::string id;
  unsigned pool;
  unsigned workspace;
  unsigned count;
  int64_t cpu; /* of each task */
};

struct Message
{
  unsigned pool;
  struct mt_grant_message message;
  std::vector<struct mt_grant> rows;
  std::vector<struct mt_use_elsewhere> uses;
  int64_t arrives_at;
};

enum class Step
{
  submit,
  surge,
  flood,
  pool_leader_dies,
  fleet_leader_dies,
  partition,
  delay_messages,
  reconnect,
  weight,
};

std::ostream &
operator<< (std::ostream &out, Step step)
{
  static const char *const step_names[] = {
    "submit",         "surge",     "flood", "pool_leader_dies", "fleet_leader_dies", "partition",
    "delay_messages", "reconnect", "weight"
  };

  return out << step_names[static_cast<int> (step)];
}

/* The highest value of the last milliseconds. */
class Highest
{
  std::deque<std::pair<int64_t, double>> values; /* time and value; later values are lower */

public:
  void
  add (int64_t now, double value, int64_t ms)
  {
    while (!values.empty () && values.back ().second <= value)
      values.pop_back ();
    values.push_back ({ now, value });
    while (values.front ().first < now - ms)
      values.pop_front ();
  }
  double
  get () const
  {
    return values.empty () ? 0 : values.front ().second;
  }
  void
  clear ()
  {
    values.clear ();
  }
};

/* A workspace in a pool, in thousandths of a core, since it began to wait. */
struct Wait
{
  int64_t since = 0; /* 0: it does not wait */
  Highest running;
  Highest negated_fair;
};

struct Model
{
  struct world *worlds[pools];
  struct mt_grants *grants = nullptr;
  int64_t fleet_token = 0;
  int64_t weights[workspaces] = { 1, 1, 1, 1 };
  int64_t task_cpu; /* 0: tasks of different sizes */
  int64_t max_task_cpu;
  int64_t regain_ms;
  int64_t idle_ms;
  bool unreachable[pools] = {};
  int64_t delay_ms[pools] = {};
  std::vector<Message> sent;
  std::vector<Job> jobs;
  int64_t now = 0;

  Wait waits[pools][workspaces];
  Highest used[pools][workspaces]; /* cores that may still be counted in the other pools */
  int64_t idle_since[pools] = {};
  int64_t none_since[workspaces] = {};
  int64_t new_leader_until[pools] = {};

  explicit Model (int64_t cpu)
      : task_cpu (cpu), max_task_cpu (cpu > 0 ? cpu : task_cpus[std::size (task_cpus) - 1]),
        regain_ms (cpu > 0 ? one_run_ms : mixed_regain_ms),
        idle_ms (cpu > 0 ? reaction_ms : reserved_ms + reaction_ms)
  {
    for (auto &world : worlds)
      {
        world = world_create ();
        for (unsigned i = 0; i < workers_per_pool; i++)
          world_add_worker (world, "r1");
        world->run_ms = task_ms;
      }
    now = worlds[0]->now;
    for (auto &until : new_leader_until)
      until = now + takeover_ms;
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
    const struct mt_resources no_quota = { 0, 0, 0 };

    for (unsigned w = 0; w < workspaces; w++)
      mt_workspaces_add (list, workspace_names[w], &no_quota, weights[w], nullptr);
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
        struct mt_workspace_limits limits = { { 0, 0, 0 }, weights[w], pools };

        mt_scheduler_set_workspace (worlds[pool]->sched, workspace_names[w], &limits);
      }
  }
};

struct mt_job_spec *
make_spec (const Model &m, const Job &job)
{
  struct mt_job_spec *spec = world_job (job.id.c_str (), job.count, job.cpu, task_ms);

  spec->workspace = g_strdup (workspace_names[job.workspace]);
  spec->accepted_ms = m.now;
  return spec;
}

void
submit (Model &m, unsigned draw, unsigned count)
{
  const unsigned pool = draw % pools;
  const Job job = { "j" + std::to_string (m.jobs.size ()), pool, draw / pools % workspaces, count,
                    m.task_cpu > 0 ? m.task_cpu : task_cpus[draw % std::size (task_cpus)] };

  m.jobs.push_back (job);
  world_submit (m.worlds[pool], make_spec (m, job));
}

void
pool_leader_dies (Model &m, unsigned pool)
{
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();

  for (const Job &job : m.jobs)
    if (job.pool == pool)
      g_ptr_array_add (specs, make_spec (m, job));
  world_take_over (m.worlds[pool], specs);
  m.configure_pool (pool);
  m.new_leader_until[pool] = m.now + takeover_ms;
}

/* The first workspace always has a weight: without any, workspaces do not share by weight. */
void
change_weight (Model &m, unsigned draw)
{
  const unsigned w = draw % workspaces;
  const int64_t weight = weights_drawn[draw / workspaces % std::size (weights_drawn)];

  m.weights[w] = w == 0 ? std::max<int64_t> (weight, 1) : weight;
  m.configure ();
}

void
apply_step (Model &m, Step step, unsigned draw)
{
  /* Runs of different length end at different times. */
  if (m.task_cpu == 0)
    m.worlds[draw % pools]->run_ms = task_ms - draw % 10 * 40;
  switch (step)
    {
    case Step::submit:
      submit (m, draw, 1 + draw % 5);
      return;
    case Step::surge:
      submit (m, draw, 20 + draw % 40);
      return;
    case Step::flood:
      for (unsigned i = 0; i < 3; i++)
        submit (m, draw, 30);
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
      m.delay_ms[draw % pools] = draw * max_delay_ms / 1000;
      return;
    case Step::reconnect:
      m.unreachable[draw % pools] = false;
      m.delay_ms[draw % pools] = 0;
      return;
    case Step::weight:
      change_weight (m, draw);
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
                          {},
                          m.now + m.delay_ms[p] * (m.now / message_interval_ms % 2) };

      message.rows.assign (message.message.grants,
                           message.message.grants + message.message.n_grants);
      message.uses.assign (message.message.uses, message.message.uses + message.message.n_uses);
      g_free (const_cast<struct mt_grant *> (message.message.grants));
      for (auto &row : message.rows)
        row.workspace = g_intern_string (row.workspace);
      for (auto &use : message.uses)
        use.workspace = g_intern_string (use.workspace);
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
  message.message.uses = message.uses.data ();
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

/* Cores that each workspace uses in the pool, by the workers' own lists. */
std::vector<int64_t>
count_running (const Model &m, unsigned pool)
{
  std::vector<int64_t> running (workspaces, 0);
  const struct world *world = m.worlds[pool];

  for (unsigned i = 0; i < world->n_workers; i++)
    for (guint r = 0; r < world->workers[i].runs->len; r++)
      {
        const auto *run = &g_array_index (world->workers[i].runs, struct world_run, r);

        const Job &job = m.jobs[std::strtoul (run->task + 1, nullptr, 10)];

        running[job.workspace] += job.cpu;
      }
  return running;
}

struct Waiting
{
  int64_t cpu = 0;
  int64_t largest_cpu = 0; /* of one task */
};

std::vector<Waiting>
count_waiting (const Model &m, unsigned pool)
{
  std::vector<Waiting> waiting (workspaces);
  struct mt_account_view views[workspaces];
  const size_t n = mt_scheduler_accounts (m.worlds[pool]->sched, views, workspaces);

  for (size_t i = 0; i < n; i++)
    for (unsigned w = 0; w < workspaces; w++)
      if (std::strcmp (views[i].workspace, workspace_names[w]) == 0)
        waiting[w] = { views[i].waiting.cpu, views[i].largest_waiting.cpu };
  return waiting;
}

/* Returns the smallest share in cores that the workspace may be given: with the highest use in
 * other pools that may still be counted for it, and none for the others. */
double
lowest_fair_share (const Model &m,
                   unsigned pool,
                   unsigned workspace,
                   const std::vector<int64_t> &demand)
{
  const double capacity = static_cast<double> (pool_cpu);
  double elsewhere = 0;
  double low = 0;
  double high = 1e7;

  for (unsigned p = 0; p < pools; p++)
    elsewhere += p == pool ? 0 : m.used[p][workspace].get ();
  const auto share = [&] (unsigned w, double level) {
    const double weight = static_cast<double> (std::max<int64_t> (m.weights[w], 1));

    return std::clamp (weight * level - (w == workspace ? elsewhere : 0.0), 0.0,
                       static_cast<double> (demand[w]));
  };
  for (unsigned i = 0; i < 50; i++)
    {
      const double level = (low + high) / 2;
      double sum = 0;

      for (unsigned w = 0; w < workspaces; w++)
        sum += share (w, level);
      (sum > capacity ? high : low) = level;
    }
  return share (workspace, low);
}

/* Fails if the workspace was below its lowest share of the time by a whole task of the largest size
 * or more, all the time. */
void
check_share (Model &m,
             unsigned pool,
             unsigned workspace,
             const std::vector<int64_t> &running,
             const std::vector<int64_t> &demand)
{
  Wait &wait = m.waits[pool][workspace];

  if (demand[workspace] == running[workspace] || m.now < m.new_leader_until[pool])
    {
      wait.since = 0;
      return;
    }
  if (wait.since == 0)
    {
      wait.since = m.now;
      wait.running.clear ();
      wait.negated_fair.clear ();
    }
  wait.running.add (m.now, static_cast<double> (running[workspace]), m.regain_ms);
  wait.negated_fair.add (m.now, -lowest_fair_share (m, pool, workspace, demand), m.regain_ms);
  if (m.now - wait.since >= m.regain_ms)
    RC_ASSERT (wait.running.get () + static_cast<double> (m.max_task_cpu)
               > -wait.negated_fair.get () - 1e-3);
}

/* Returns whether a worker of the pool could run one more task of that size. */
bool
has_idle_resources (const Model &m, unsigned pool, int64_t cpu)
{
  const struct world *world = m.worlds[pool];

  for (unsigned i = 0; i < world->n_workers; i++)
    {
      int64_t used = 0;

      for (guint r = 0; r < world->workers[i].runs->len; r++)
        {
          const auto *run = &g_array_index (world->workers[i].runs, struct world_run, r);

          used += m.jobs[std::strtoul (run->task + 1, nullptr, 10)].cpu;
        }
      if (used + cpu <= world->workers[i].resources.cpu)
        return true;
    }
  return false;
}

void
check_pool (Model &m, unsigned pool, std::vector<int64_t> &total)
{
  const std::vector<int64_t> running = count_running (m, pool);
  const std::vector<Waiting> waiting = count_waiting (m, pool);
  std::vector<int64_t> demand (workspaces);
  int64_t smallest = INT64_MAX;

  for (unsigned w = 0; w < workspaces; w++)
    {
      m.used[pool][w].add (m.now, static_cast<double> (running[w]), counted_ms);
      demand[w] = running[w] + waiting[w].cpu;
      if (waiting[w].cpu > 0)
        smallest = std::min (smallest, waiting[w].largest_cpu);
      total[w] += running[w];
    }
  for (unsigned w = 0; w < workspaces; w++)
    check_share (m, pool, w, running, demand);
  if (smallest == INT64_MAX || !has_idle_resources (m, pool, smallest))
    m.idle_since[pool] = m.now;
  RC_ASSERT (m.now < m.new_leader_until[pool] || m.now - m.idle_since[pool] <= m.idle_ms);
}

void
check (Model &m)
{
  std::vector<int64_t> total (workspaces, 0);

  for (unsigned p = 0; p < pools; p++)
    check_pool (m, p, total);
  for (unsigned w = 0; w < workspaces; w++)
    {
      bool waits = false;

      for (unsigned p = 0; p < pools; p++)
        waits = waits || m.waits[p][w].since != 0;
      if (total[w] > 0 || !waits
          || m.now < *std::max_element (m.new_leader_until, m.new_leader_until + pools))
        m.none_since[w] = m.now;
      RC_ASSERT (m.now - m.none_since[w] <= (m.task_cpu > 0 ? turn_ms : 2 * m.regain_ms));
    }
}

void
advance (Model &m, int64_t ms)
{
  const int64_t until = m.now + ms;

  while (m.now < until)
    {
      if (m.now % message_interval_ms == 0)
        send_messages (m);
      deliver_messages (m);
      for (auto *world : m.worlds)
        world_run (world, 5);
      m.now = m.worlds[0]->now;
      if (m.now % check_interval_ms == 0)
        check (m);
    }
}

rc::Gen<Step>
generate_step ()
{
  return rc::gen::weightedElement<Step> ({ { 2, Step::submit },
                                           { 4, Step::surge },
                                           { 2, Step::flood },
                                           { 1, Step::pool_leader_dies },
                                           { 1, Step::fleet_leader_dies },
                                           { 1, Step::partition },
                                           { 1, Step::delay_messages },
                                           { 2, Step::reconnect },
                                           { 2, Step::weight } });
}

int
run_property ()
{
  bool passed = rc::check ("no workspace is kept below its share, and no resources are idle", [] {
    const auto steps = *rc::gen::container<std::vector<std::tuple<Step, unsigned, int>>> (
        rc::gen::tuple (generate_step (), rc::gen::inRange (0U, 1000U), rc::gen::inRange (5, 800)));
    Model m (*rc::gen::element<int64_t> (0, 0, task_cpus[0], task_cpus[1], task_cpus[2]));

    for (const auto &[step, draw, ms] : steps)
      {
        apply_step (m, step, draw);
        advance (m, ms / 5 * 5);
      }
    for (unsigned p = 0; p < pools; p++)
      {
        m.unreachable[p] = false;
        m.delay_ms[p] = 0;
      }
    for (int64_t ms = 0; ms < settle_ms; ms += 1000)
      {
        advance (m, 1000);
        if (std::all_of (m.jobs.begin (), m.jobs.end (), [&m] (const Job &job) {
              return mt_scheduler_job_state (m.worlds[job.pool]->sched, job.id.c_str ())
                     == MT_JOB_COMPLETED;
            }))
          return;
      }
    RC_FAIL ("a job did not complete");
  });

  return passed ? 0 : 1;
}

} // namespace

int
main ()
{
  return run_property ();
}
