#include "world.h"

#include <sstream>

static const char *const POOLS[] = { "a", "b", "spare" };

void
require (bool ok, const std::string &what)
{
  if (!ok)
    throw std::runtime_error (what);
}

static std::string
instance_json (const std::string &pool, int i, const std::string &more)
{
  std::ostringstream out;

  out << "{\"name\":\"" << pool << i << "\",\"address\":\"10.0." << static_cast<int> (pool[0])
      << "." << i << ":1\",\"zone\":\"z\",\"rack\":\"r" << i << "\"" << more << "}";
  return out.str ();
}

static std::string
wave_json (const std::string &wave, bool stopped)
{
  std::ostringstream out;

  if (!wave.empty ())
    out << ",\"wave\":{\"id\":\"" << wave
        << "\",\"drain_limit_s\":50,\"stopped\":" << (stopped ? "true" : "false") << "}";
  return out.str ();
}

std::string
tables_json (uint64_t version,
             const std::string &wave,
             const std::string &more_of_a1,
             bool swap,
             bool stopped)
{
  std::ostringstream out;
  const char *comma = "";

  out << "{\"version\":" << version
      << ",\"id\":\"t\",\"routes\":[{\"route\":\"r\",\"path\":\"/\",\"pool\":\"a\",\"repeat\":"
         "\"safe\"}],\"pools\":[";
  for (const char *name : POOLS)
    {
      const std::string pool = name;

      out << comma << "{\"pool\":\"" << pool << "\",\"service\":\"s-" << pool
          << "\",\"min_instances\":1" << (pool == "spare" ? ",\"spare\":true" : "")
          << ",\"instances\":[";
      for (int i = 1; i <= 3; i++)
        {
          const std::string owner
              = swap && i == 3 && pool != "spare" ? (pool == "a" ? "b" : "a") : pool;

          out << (i > 1 ? "," : "")
              << instance_json (owner, i, owner == "a" && i == 1 ? more_of_a1 : "");
        }
      out << "]" << wave_json (wave, stopped) << "}";
      comma = ",";
    }
  out << "]}";
  return out.str ();
}

World::World (const std::vector<std::string> &documents, size_t n_daemons, size_t n_planners)
    : stored (own (mt_assign_create ())), daemons (n_daemons), planners (n_planners),
      reports (n_daemons)
{
  for (const std::string &text : documents)
    {
      g_autoptr (GError) error = nullptr;
      mt_tables *parsed = mt_tables_parse ({ text.data (), text.size () }, &error);

      require (parsed != nullptr, error != nullptr ? error->message : "");
      tables.push_back (parsed);
    }
  for (const char *pool : POOLS)
    for (int i = 1; i <= 3; i++)
      names.push_back (pool + std::to_string (i));
  for (const std::string &name : names)
    actual[name] = Instance ();
  list.resize (names.size ());
  for (Planner &planner : planners)
    refresh (planner);
}

World::~World ()
{
  for (mt_tables *parsed : tables)
    mt_tables_destroy (parsed);
}

void
World::refresh (Planner &planner)
{
  planner.reports = reports;
  planner.list = list;
  planner.tables = newest_tables;
}

/* The planner's input as the planner knows it: every part may be outdated. */
struct Input
{
  std::vector<mt_assign_member> members;
  std::vector<std::vector<mt_member_load>> loads;
  std::vector<mt_planner_instance> instances;
  mt_planner_input input = {};

  Input (const World &world, const Planner &planner)
  {
    static const char *const daemon_names[] = { "d0", "d1", "d2", "d3" };

    loads.resize (world.daemons.size ());
    for (size_t i = 0; i < world.daemons.size (); i++)
      {
        mt_assign_member member = {};

        for (const auto &[name, n] : planner.reports[i].loads)
          loads[i].push_back ({ const_cast<char *> (name.c_str ()), n });
        member.name = daemon_names[i];
        member.gone = world.daemons[i].gone;
        member.version = planner.reports[i].version;
        member.loads = loads[i].data ();
        member.n_loads = loads[i].size ();
        members.push_back (member);
      }
    for (size_t i = 0; i < world.names.size (); i++)
      instances.push_back ({ world.names[i].c_str (), planner.list[i].down, planner.list[i].leaving,
                             planner.list[i].boot, planner.list[i].epoch });
    input.tables = world.tables[planner.tables - 1];
    input.zone = "z";
    input.now_s = world.now_s;
    input.members = members.data ();
    input.n_members = members.size ();
    input.instances = instances.data ();
    input.n_instances = instances.size ();
  }
};

void
World::decide (Planner &planner)
{
  Input known (*this, planner);
  mt_planner_result *result = mt_planner_result_create ();
  const std::string number = std::to_string (++ids);
  Doc next = own (mt_assign_next (stored.get (), number.c_str ()));

  mt_planner_step (&known.input, next.get (), result);
  check_budgets (planner, stored.get (), next.get ());
  planner.next = result->changed ? next : nullptr;
  planner.index = index;
  planner.reboots.clear ();
  for (guint i = 0; i < result->reboots->len; i++)
    {
      const auto &reboot = g_array_index (result->reboots, mt_planner_reboot, i);

      /* Ordered only once the document that records it is written; repeated orders are recorded
       * already. */
      planner.reboots.emplace_back (reboot.instance, reboot.epoch);
    }
  planner.operator_reports.clear ();
  for (guint i = 0; i < result->reports->len; i++)
    planner.operator_reports.emplace_back ((const char *) result->reports->pdata[i]);
  if (!result->changed)
    planner.to_order = planner.reboots;
  mt_planner_result_destroy (result);
}

void
World::write (Planner &planner, bool answer_lost)
{
  if (planner.next == nullptr)
    return;
  if (planner.index == index)
    {
      g_autofree char *text = mt_assign_format (planner.next.get ());
      mt_assign *read = mt_assign_parse (mt_str_from (text), nullptr);

      require (read != nullptr, "a written document can be parsed");
      stored = own (read);
      index++;
      if (!answer_lost)
        planner.to_order = planner.reboots;
    }
  planner.next = nullptr;
}

void
World::order (Planner &planner)
{
  for (const auto &[name, epoch] : planner.to_order)
    {
      if (planner.orders_lost)
        continue;
      Instance &instance = actual[name];

      if (epoch <= instance.epoch)
        continue;
      for (auto [at, end] = work.equal_range (name); at != end; ++at)
        require (!daemons[at->second.daemon].alive, "reboot of " + name + " interrupts a request");
      instance.epoch = epoch;
      instance.down = true;
    }
  planner.to_order.clear ();
}

void
World::fetch (Daemon &daemon)
{
  if (daemon.alive && !daemon.partitioned
      && (daemon.doc == nullptr || stored->version > daemon.doc->version))
    daemon.doc = stored;
}

void
World::start (int daemon, const std::string &name)
{
  Daemon &d = daemons[daemon];
  const mt_assign_record *record
      = d.alive && d.doc != nullptr ? mt_assign_find (d.doc.get (), name.c_str ()) : nullptr;

  if (record == nullptr || record->state != MT_ASSIGN_SERVING || actual[name].down)
    return;
  work.emplace (name, Work{ daemon, record->pool });
}

void
World::finish (const std::string &name)
{
  auto at = work.find (name);

  if (at != work.end ())
    work.erase (at);
}

void
World::heartbeat (int daemon)
{
  Daemon &d = daemons[daemon];

  if (!d.alive || d.partitioned || d.doc == nullptr)
    return;
  reports[daemon] = Report{ d.doc->version, {} };
  for (const auto &[name, one] : work)
    if (one.daemon == daemon)
      reports[daemon].loads[name]++;
}

void
World::crash (const std::string &name)
{
  actual[name].down = true;
  work.erase (name);
}

void
World::revive (const std::string &name)
{
  Instance &instance = actual[name];

  if (!instance.down)
    return;
  instance.down = false;
  instance.boot++;
}

void
World::update_list ()
{
  for (size_t i = 0; i < names.size (); i++)
    list[i] = actual[names[i]];
}

static unsigned
planned_out (const mt_tables *tables, const mt_assign *assign, mt_str service)
{
  unsigned count = 0;

  for (size_t i = 0; i < assign->n_records; i++)
    {
      const mt_assign_record &record = assign->records[i];
      const mt_pool *pool = mt_tables_find_pool (tables, mt_str_from (record.pool));

      if (pool != nullptr && mt_str_equal (pool->service, service) && record.goal != MT_GOAL_LEAVE
          && (record.state == MT_ASSIGN_DRAINING || record.state == MT_ASSIGN_REBOOTING))
        count++;
    }
  return count;
}

/* Checks the budgets independently of the planner: if a step takes one more instance out by plan,
 * all that it knew to be out of the service must fit the budget. */
void
World::check_budgets (const Planner &planner, const mt_assign *before, const mt_assign *after)
{
  const mt_tables *in_force = tables[planner.tables - 1];

  for (size_t p = 0; p < in_force->n_pools; p++)
    {
      mt_str service = in_force->pools[p].service;
      unsigned out = 0;

      if (planned_out (in_force, after, service) <= planned_out (in_force, before, service))
        continue;
      for (size_t i = 0; i < names.size (); i++)
        {
          const mt_assign_record *record = mt_assign_find (after, names[i].c_str ());
          const mt_pool *pool = record != nullptr
                                    ? mt_tables_find_pool (in_force, mt_str_from (record->pool))
                                    : nullptr;

          if (pool == nullptr || !mt_str_equal (pool->service, service))
            continue;
          if (record->state == MT_ASSIGN_OUT && (record->leave_causes & MT_LEAVE_TABLES) != 0)
            continue;
          out += record->state != MT_ASSIGN_SERVING || planner.list[i].down;
        }
      require (out <= in_force->pools[p].max_unavailable, "a planned drain exceeds the budget");
    }
}

void
World::check_one_pool () const
{
  for (const std::string &name : names)
    {
      std::set<std::string> pools;

      for (const Daemon &daemon : daemons)
        {
          const mt_assign_record *record = daemon.alive && daemon.doc != nullptr
                                               ? mt_assign_find (daemon.doc.get (), name.c_str ())
                                               : nullptr;

          if (record != nullptr && record->state == MT_ASSIGN_SERVING)
            pools.insert (record->pool);
        }
      for (auto [at, end] = work.equal_range (name); at != end; ++at)
        if (daemons[at->second.daemon].alive)
          pools.insert (at->second.pool);
      require (pools.size () <= 1, name + " serves two pools");
    }
}

void
World::plan_round (Planner &planner)
{
  refresh (planner);
  decide (planner);
  write (planner, false);
  order (planner);
}

void
World::daemon_round (int daemon)
{
  fetch (daemons[daemon]);
  heartbeat (daemon);
}

void
World::act (unsigned what, unsigned which)
{
  Planner &planner = planners[which % planners.size ()];
  int daemon = (int) (which % daemons.size ());
  const std::string &name = names[which % names.size ()];

  switch (what % 16)
    {
    case 0:
      decide (planner);
      break;
    case 1:
      plan_round (planner);
      break;
    case 2:
      refresh (planner);
      decide (planner);
      write (planner, false);
      break;
    case 3:
      write (planner, which % 3 == 0);
      break;
    case 4:
      order (planner);
      break;
    case 5:
      fetch (daemons[daemon]);
      break;
    case 6:
      for (size_t i = 0; i < daemons.size (); i++)
        daemon_round ((int) i);
      break;
    case 7:
    case 8:
      start ((int) (which / names.size () % daemons.size ()), name);
      break;
    case 9:
      finish (name);
      break;
    case 10:
      daemon_round (daemon);
      break;
    case 11:
      heartbeat (daemon);
      break;
    case 12:
      refresh (planner);
      break;
    case 13:
      which % 3 == 0 ? crash (name) : revive (name);
      break;
    case 14:
      update_list ();
      for (Daemon &d : daemons)
        d.gone = !d.alive;
      break;
    default:
      now_s += which % 60;
      if (which % 5 == 0)
        daemons[daemon].partitioned = !daemons[daemon].partitioned;
      if (which % 4 == 0 && newest_tables < tables.size ())
        newest_tables++;
      if (which % 23 == 0 && daemon != 0)
        daemons[daemon].alive = false;
      break;
    }
  check_one_pool ();
}
