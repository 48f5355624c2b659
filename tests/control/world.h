/* A world of fakes round the planner: one stored value with lost answers, planners that pause
 * between reading and writing, daemons with views and requests of their own, a lagging list. Every
 * step is one small event, so that a sequence of numbers is any interleaving. */
#ifndef TEST_WORLD_H
#define TEST_WORLD_H

#include <glib.h>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

extern "C"
{
#include "medlartrack/planner.h"
}

using Doc = std::shared_ptr<mt_assign>;

inline Doc
own (mt_assign *assign)
{
  return Doc (assign, mt_assign_destroy);
}

struct Instance
{
  bool down = false;
  bool leaving = false;
  uint64_t boot = 1;
  uint64_t epoch = 0;
  bool operator== (const Instance &) const = default;
};

/* A request at work: which daemon sent it, for which pool. */
struct Work
{
  int daemon;
  std::string pool;
};

struct Report
{
  uint64_t version = 0;
  std::map<std::string, unsigned> loads;
};

struct Daemon
{
  bool alive = true;
  bool cut = false;  /* alive and serving, but hears and is heard by nobody */
  bool gone = false; /* the platform's list says so: later than it died */
  Doc doc;
};

struct Planner
{
  uint64_t tables = 1;
  Doc next; /* decided and not written yet: it may pause here as long as it likes */
  uint64_t index = 0;
  std::vector<std::pair<std::string, uint64_t>> reboots;
  std::vector<std::pair<std::string, uint64_t>> to_order;
  std::vector<Report> reports;
  std::vector<Instance> list;
  std::vector<std::string> told; /* reports of the last step */
  bool deaf_platform = false;    /* its orders don't arrive */
};

struct World
{
  std::vector<mt_tables *> tables; /* one for each accepted version, in order */
  std::vector<std::string> names;
  std::map<std::string, Instance> truth;
  std::vector<Instance> list; /* lags behind the truth */
  std::multimap<std::string, Work> work;
  Doc stored;
  uint64_t index = 0;
  std::vector<Daemon> daemons;
  std::vector<Planner> planners;
  std::vector<Report> reports;
  uint64_t newest_tables = 1;
  int64_t now_s = 1000;
  unsigned ids = 0;

  World (const std::vector<std::string> &documents, size_t n_daemons, size_t n_planners);
  ~World ();
  World (const World &) = delete;
  World &operator= (const World &) = delete;

  void decide (Planner &planner);
  void write (Planner &planner, bool answer_lost);
  void order (Planner &planner);
  void fetch (Daemon &daemon);
  void start (int daemon, const std::string &name);
  void finish (const std::string &name);
  void heartbeat (int daemon);
  void hear (Planner &planner);
  void crash (const std::string &name);
  void revive (const std::string &name);
  void relist ();
  void check_budgets (const Planner &planner, const mt_assign *before, const mt_assign *after);
  /* No instance is one that two daemons would use for two pools, or has work of two. */
  void check_one_pool () const;
  void plan_round (Planner &planner);
  void daemon_round (int daemon);
  void act (unsigned what, unsigned which);
};

void require (bool ok, const std::string &what);
/* Tables of one data centre with pools a, b and spare, three instances each in racks of three. */
std::string tables_json (uint64_t version,
                         const std::string &wave,
                         const std::string &more_of_a1,
                         bool swap,
                         bool stopped);

#endif
