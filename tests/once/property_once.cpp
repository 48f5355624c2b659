/* Any interleaving of writers with pauses, lost and late answers, failed calls, stale views, trims
 * and restarts: no key is granted to two attempts, and what was refused never runs. */
#include <glib.h>

#include <rapidcheck.h>

#include <map>
#include <memory>
#include <vector>

extern "C"
{
#include "fake_store.h"
#include "medlartrack/once.h"
}

namespace
{

constexpr unsigned kWriters = 3;
constexpr unsigned kKeys = 4;
constexpr int64_t kKeepUs = 60 * MT_SECOND;
constexpr int64_t kLongPauseUs = 3600 * MT_SECOND;

struct Ask
{
  struct mt_once_request ask = {};
  unsigned writer = 0;
  bool cancelled = false;
  bool settled = false;
  bool ended = false;
};

struct Grant
{
  uint64_t attempt = 0;
  bool live = false;
  int64_t since_us = 0;
};

struct World;

struct Writer
{
  World *world = nullptr;
  mt_once *once = nullptr;
  mt_once_call call = {};
  mt_token_bucket pace = {};
  enum
  {
    IDLE,
    PLANNED,
    PERFORMED
  } phase
      = IDLE;
};

struct World
{
  mt_clock_manual *manual = mt_clock_manual_create (1000 * MT_SECOND);
  const mt_clock *clock = mt_clock_manual_clock (manual);
  fake_store *fake = fake_store_create (clock);
  Writer writers[kWriters];
  std::vector<std::unique_ptr<Ask>> asks;
  std::map<uint64_t, Grant> grants;
  uint64_t next_id = 0;
  const char *broken = nullptr; /* set inside callbacks from C, which no exception may cross */

  World ()
  {
    for (auto &writer : writers)
      {
        writer.world = this;
        start (writer);
      }
  }

  ~World ()
  {
    for (auto &writer : writers)
      stop (writer);
    fake_store_destroy (fake);
    mt_clock_manual_destroy (manual);
  }

  static void
  settled (void *, struct mt_once_request *settled)
  {
    auto *ask = static_cast<Ask *> (settled->owner);
    World *world = current;

    if (ask->settled || ask->cancelled)
      world->broken = "an ask was settled after its end";
    ask->settled = true;
    if (settled->result == MT_ONCE_GRANTED)
      world->check_grant (*ask);
  }

  void
  check_grant (const Ask &ask)
  {
    Grant &grant = grants[ask.ask.key[0]];
    int64_t now = mt_clock_now (clock);

    if (grant.live && now - grant.since_us < kKeepUs)
      broken = "a key was granted to two attempts";
    grant.attempt = ask.ask.attempt[0];
    grant.live = true;
    grant.since_us = now;
  }

  void
  start (Writer &writer)
  {
    mt_once_options options = {};

    writer.pace.interval_us = 1;
    writer.pace.burst = 1000;
    options.clock = clock;
    options.writer = ++next_id;
    options.retention_us = kKeepUs;
    options.write_limit = &writer.pace;
    options.settled = settled;
    writer.once = mt_once_create (&options);
  }

  void
  stop (Writer &writer)
  {
    if (writer.phase != Writer::IDLE)
      {
        g_free (writer.call.data);
        mt_store_value_clear (&writer.call.value);
        if (writer.call.list != nullptr)
          g_ptr_array_unref (writer.call.list);
      }
    writer.phase = Writer::IDLE;
    mt_once_destroy (writer.once);
  }

  /* As when the daemon is killed: what it was asked is answered by nobody, what it holds stays. */
  void
  restart (unsigned w)
  {
    stop (writers[w]);
    for (auto &ask : asks)
      if (ask->writer == w)
        ask->cancelled = ask->ended = true;
    start (writers[w]);
  }

  Ask &
  put_ask (unsigned w, uint64_t key)
  {
    auto ask = std::make_unique<Ask> ();

    ask->writer = w;
    ask->ask.key[0] = key;
    ask->ask.key[1] = 1;
    ask->ask.attempt[0] = ++next_id;
    ask->ask.holder_timeout_ms = 5000;
    ask->ask.owner = ask.get ();
    mt_once_request (writers[w].once, &ask->ask);
    asks.push_back (std::move (ask));
    return *asks.back ();
  }

  bool
  step (unsigned w)
  {
    Writer &writer = writers[w];
    int64_t wake_us;

    switch (writer.phase)
      {
      case Writer::IDLE:
        if (!mt_once_next_call (writer.once, &writer.call, &wake_us))
          return false;
        writer.phase = Writer::PLANNED;
        return true;
      case Writer::PLANNED:
        mt_once_perform_call (fake_store_store (fake), &writer.call);
        writer.phase = Writer::PERFORMED;
        return true;
      case Writer::PERFORMED:
        mt_once_handle_result (writer.once, &writer.call);
        writer.phase = Writer::IDLE;
        return true;
      }
    return false;
  }

  void
  run (unsigned w)
  {
    for (int i = 0; i < 60 && step (w); i++)
      ;
  }

  void
  advance (int64_t us)
  {
    mt_clock_manual_advance (manual, us);
  }

  /* Brings the log near the end of a block, so that trims are in reach. */
  void
  fill (unsigned batches)
  {
    for (unsigned i = 0; i < batches; i++)
      {
        put_ask (0, 1000 + i);
        run (0);
      }
  }

  /* One writer stands still, whatever it has in its hands, while time passes and the others go on.
   */
  void
  pause (unsigned w, unsigned arg)
  {
    for (int i = 0; i < 2; i++)
      {
        advance (kLongPauseUs);
        for (unsigned other = 0; other < kWriters; other++)
          if (other != w)
            {
              put_ask (other, (arg + other) % kKeys);
              run (other);
            }
      }
  }

  Ask *
  pick (unsigned arg)
  {
    return asks.empty () ? nullptr : asks[asks.size () - 1 - arg % asks.size ()].get ();
  }

  void
  cancel (unsigned arg)
  {
    Ask *ask = pick (arg);

    if (ask == nullptr || ask->settled || ask->cancelled)
      return;
    mt_once_cancel (writers[ask->writer].once, &ask->ask);
    ask->cancelled = true;
  }

  void
  end (Ask &ask, enum mt_once_end how)
  {
    if (ask.ended || ask.ask.result != MT_ONCE_GRANTED || ask.cancelled)
      return;
    ask.ended = true;
    mt_once_end (writers[ask.writer].once, ask.ask.key, ask.ask.attempt, how, 200);
    if (how == MT_ONCE_END_RELEASED && grants[ask.ask.key[0]].attempt == ask.ask.attempt[0])
      grants[ask.ask.key[0]].live = false;
  }

  bool
  trimmed ()
  {
    return fake_store_count (fake, MT_ONCE_PREFIX "000/floor") > 0;
  }

  void
  check ()
  {
    if (broken != nullptr)
      RC_FAIL (broken);
  }

  void
  act (unsigned op, unsigned w, unsigned arg)
  {
    if (op < 30)
      put_ask (w, arg % kKeys);
    else if (op < 60)
      run (w);
    else if (op < 110)
      step (w);
    else if (op < 116)
      cancel (arg);
    else if (op < 126 && pick (arg) != nullptr)
      end (*pick (arg), arg % 3 == 0 ? MT_ONCE_END_DONE : MT_ONCE_END_RELEASED);
    else if (op < 132)
      advance ((arg % 20) * MT_SECOND);
    else if (op < 137)
      pause (w, arg);
    else if (op < 140)
      restart (w);
    else if (op < 145)
      fake_store_deliver (fake);
    else
      fake_store_fault_by_seed (fake, arg, arg % 2 == 0 ? 0 : 300);
  }

  /* All faults end: every ask is settled, every end recorded. */
  void
  heal ()
  {
    fake_store_fault_by_seed (fake, 0, 0);
    fake_store_deliver (fake);
    for (int i = 0; i < 12; i++)
      {
        for (unsigned w = 0; w < kWriters; w++)
          run (w);
        advance (MT_SECOND);
      }
    check ();
    for (auto &ask : asks)
      RC_ASSERT (ask->settled || ask->cancelled);
  }

  static World *current;
};

World *World::current;

void
no_key_is_granted_twice (const std::vector<std::tuple<unsigned, unsigned, unsigned>> &ops)
{
  World world;

  World::current = &world;
  world.fill (98);
  for (const auto &[op, w, arg] : ops)
    world.act (op % 150, w % kWriters, arg);
  world.heal ();
  for (uint64_t key = 0; key < kKeys; key++)
    world.put_ask (key % kWriters, key);
  world.heal ();
  RC_CLASSIFY (world.trimmed (), "trimmed");
}

/* Where nobody was killed, a key whose every attempt was refused or released is free again. */
void
refused_leaves_no_claim (const std::vector<std::tuple<unsigned, unsigned, unsigned>> &ops)
{
  World world;

  World::current = &world;
  for (const auto &[op, w, arg] : ops)
    if (op % 150 < 137 || op % 150 >= 140)
      world.act (op % 150, w % kWriters, arg - arg % 3 + 1);
  world.heal ();
  for (auto &ask : world.asks)
    world.end (*ask, MT_ONCE_END_RELEASED);
  world.heal ();
  for (uint64_t key = 0; key < kKeys; key++)
    {
      Ask &ask = world.put_ask (key % kWriters, key);

      world.heal ();
      RC_ASSERT (ask.ask.result == MT_ONCE_GRANTED);
    }
}

} // namespace

int
main ()
{
  bool ok = rc::check ("no key is granted to two attempts", no_key_is_granted_twice);

  ok = rc::check ("what was refused holds no claim", refused_leaves_no_claim) && ok;
  return ok ? 0 : 1;
}
