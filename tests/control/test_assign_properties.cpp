/* Guards against an instance that serves two pools at once and a reboot that interrupts a request.
 * Planners decide, pause, and write late or lose the answer; daemons act on old documents, report
 * late, or die; the platform's list lags. All guarantees must hold after each event. */
#include "world.h"

#include <rapidcheck.h>

using Steps = std::vector<std::pair<uint8_t, uint8_t>>;

static rc::Gen<Steps>
many_steps ()
{
  return rc::gen::resize (600, rc::gen::arbitrary<Steps> ());
}

static std::vector<std::string>
edits ()
{
  return { tables_json (1, "", "", false, false),
           tables_json (2, "spring", "", false, false),
           tables_json (3, "spring", ",\"leaving\":true", false, true),
           tables_json (4, "spring", "", true, false),
           tables_json (5, "summer", "", true, false),
           tables_json (6, "", "", false, false),
           tables_json (7, "autumn", "", false, false) };
}

/* Rounds without failures: every daemon reports and all requests complete. */
static void
fault_free_rounds (World &world, int rounds)
{
  for (int i = 0; i < rounds; i++)
    {
      world.work.clear ();
      for (const std::string &name : world.names)
        world.revive (name);
      for (size_t d = 0; d < world.daemons.size (); d++)
        {
          world.daemons[d].gone = !world.daemons[d].alive;
          world.daemons[d].partitioned = false;
          world.daemon_round ((int) d);
        }
      world.update_list ();
      world.now_s++;
      world.plan_round (world.planners[0]);
    }
}

static bool
wave_has_ended (const World &world)
{
  for (size_t i = 0; i < world.stored->n_records; i++)
    if (world.stored->records[i].wave_state == MT_WAVE_WAITING
        || world.stored->records[i].state != MT_ASSIGN_SERVING)
      return false;
  return true;
}

int
main ()
{
  bool ok = rc::check (
      "no instance serves two pools, no reboot interrupts a request, no plan exceeds a budget", [] {
        World world (edits (), 4, 3);

        for (const auto &[what, which] : *many_steps ())
          world.act (what, which);
      });

  ok &= rc::check ("a wave ends once instances return, whatever came before", [] {
    World world (edits (), 4, 3);

    for (const auto &[what, which] : *many_steps ())
      world.act (what, which);
    world.newest_tables = world.tables.size ();
    fault_free_rounds (world, 120);
    RC_ASSERT (world.stored->n_records == world.names.size ());
    RC_ASSERT (wave_has_ended (world));
  });
  return ok ? 0 : 1;
}
