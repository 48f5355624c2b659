/* Simulated environment of the planner: one stored value whose writes may lose their answer,
 * planners that pause between reading and writing, daemons with their own documents and requests,
 * and a list that lags. Every step is one small event, so that a sequence of numbers gives any
 * interleaving. */
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

/* A request in flight: which daemon sent it, for which pool. */
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
  bool partitioned = false; /* alive and serving, but partitioned from all others */
  bool gone = false;        /* the platform's list says so; later than it died */
  Doc doc;
};

struct Planner
{
  uint64_t tables = 1;
  Doc next; /* decided and not written yet: the planner may pause here for any time */
  uint64_t index = 0;
  std::vector<std::pair<std::string, uint64_t>> reboots;
  std::vector<std::pair<std::string, uint64_t>> to_order;
  std::vector<Report> reports;
  std::vector<Instance> list;
  std::vector<std::string> operator_reports; /* reports of the last step */
  bool orders_lost = false;                  /* its orders don't arrive */
};

struct World
{
  std::vector<mt_tables *> tables; /* one for each accepted version, in order */
  std::vector<std::string> names;
  std::map<std::string, Instance> actual;
  std::vector<Instance> list; /* lags behind the actual state */
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
  void refresh (Planner &planner);
  void crash (const std::string &name);
  void revive (const std::string &name);
  void update_list ();
  void check_budgets (const Planner &planner, const mt_assign *before, const mt_assign *after);
  /* Checks that no daemons use the same instance for different pools and that no instance has
   * requests of two pools in flight. */
  void check_one_pool () const;
  void plan_round (Planner &planner);
  void daemon_round (int daemon);
  void act (unsigned what, unsigned which);
};

void require (bool ok, const std::string &what);
/* Returns tables of one data centre with the pools a, b and spare, of three instances in three
 * racks each. */
std::string tables_json (uint64_t version,
                         const std::string &wave,
                         const std::string &more_of_a1,
                         bool swap,
                         bool stopped);

#endif
