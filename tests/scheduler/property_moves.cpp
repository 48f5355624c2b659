#include <glib.h>
#include <rapidcheck.h>
#include <vector>

extern "C"
{
#include "surge_world.h"
}

namespace
{

/* Surges of random times, lengths and heights, by pool. */
struct site
{
  struct surge
  {
    int64_t begin;
    int64_t end;
    double cpu;
  };
  std::vector<surge> surges[SURGE_POOLS];
};

double
load_of (void *ctx, unsigned pool, int64_t ms)
{
  for (const auto &s : static_cast<const site *> (ctx)->surges[pool])
    if (ms >= s.begin && ms < s.end)
      return s.cpu;
  return 0.2 * SURGE_MACHINE_CPU;
}

/* Draws a day whose pools surge in turn half of the time, which is what the methods act on, and at
 * random otherwise. */
site
draw_site ()
{
  const bool in_turn = *rc::gen::inRange (0, 2) == 0;
  const int64_t length = *rc::gen::inRange (3000, 9000);
  const int64_t round = SURGE_POOLS * (length + *rc::gen::inRange (0, 2000));
  site out;

  for (unsigned pool = 0; pool < SURGE_POOLS; pool++)
    {
      int64_t at = in_turn ? 3000 + pool * round / SURGE_POOLS : *rc::gen::inRange (2000, 20000);

      while (at < 65000)
        {
          const int64_t lasts = in_turn ? length : *rc::gen::inRange (2000, 10000);
          const double machines = *rc::gen::inRange (4, 40);

          out.surges[pool].push_back ({ at, at + lasts, machines * SURGE_MACHINE_CPU });
          at += in_turn ? round : lasts + *rc::gen::inRange (3000, 30000);
        }
    }
  return out;
}

surge_faults
run (surge_options options, const struct mt_forecast_method *method, bool take_over)
{
  options.method = method;
  surge_world *w = surge_world_create (&options);
  surge_world_run (w, 35000);
  if (take_over)
    surge_world_take_over (w, true);
  surge_world_run (w, 30000);
  const surge_faults faults = surge_world_faults (w);
  surge_world_destroy (w);
  return faults;
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("no machine is in two plans, the plans add up, and only empty machines move",
                   [] {
                     site day = draw_site ();
                     surge_options options = {};

                     options.load = load_of;
                     options.ctx = &day;
                     options.third_slow = *rc::gen::inRange (0, 2) == 0;
                     if (*rc::gen::inRange (0, 2) == 0)
                       {
                         options.rack_gone_from = *rc::gen::inRange (5000, 50000);
                         options.rack_gone_until = options.rack_gone_from + 10000;
                       }
                     const auto method = mt_forecast_method_at (*rc::gen::inRange (0, 4));
                     const auto faults = run (options, method, *rc::gen::inRange (0, 2) == 0);

                     RC_ASSERT (faults.two_plans == 0U);
                     RC_ASSERT (faults.wrong_total == 0U);
                     RC_ASSERT (faults.not_empty == 0U);
                   });

  ok &= rc::check ("no machine that is due for maintenance is late because of the forecast", [] {
    site day = draw_site ();
    surge_options options = {};

    options.load = load_of;
    options.ctx = &day;
    options.wave_at = *rc::gen::inRange (6000, 20000);
    options.wave_ms = *rc::gen::inRange (35000, 44000);
    options.wave_cap = *rc::gen::inRange (10, 20);
    RC_PRE (run (options, mt_forecast_method ("none"), false).late == 0U);
    const auto method = mt_forecast_method_at (*rc::gen::inRange (1, 4));
    const auto faults = run (options, method, false);

    RC_ASSERT (faults.late == 0U);
    RC_ASSERT (faults.two_plans == 0U);
    RC_ASSERT (faults.not_empty == 0U);
  });

  ok &= rc::check ("no machine is moved if no time is left for its maintenance", [] {
    site day = draw_site ();
    surge_options options = {};

    options.load = load_of;
    options.ctx = &day;
    options.wave_at = *rc::gen::inRange (6000, 50000);
    options.wave_ms = *rc::gen::inRange (3000, 20000);
    options.wave_cap = *rc::gen::inRange (1, 20);
    const auto method = mt_forecast_method_at (*rc::gen::inRange (1, 4));
    const auto faults = run (options, method, false);

    RC_ASSERT (faults.moved_late == 0U);
  });
  return ok ? 0 : 1;
}
