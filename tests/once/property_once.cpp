/* For any interleaving of writers with pauses, lost and late responses, failed calls, stale views,
 * trims and restarts: no key is granted to two attempts, and refused requests never run. */
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

struct Request
{
  struct mt_once_request inner = {};
  unsigned writer = 0;
  bool cancelled = false;
  bool settled = false;
  bool ended = false;
};

struct Grant
{
  uint64_t attempt = 0;
  bool active = false;
  int64_t since_us = 0;
};

struct World;

struct Writer
{
  World *world = nullptr;
  mt_once *once = nullptr;
  mt_once_call call = {};
  mt_token_bucket bucket = {};
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
  std::vector<std::unique_ptr<Request>> requests;
  std::map<uint64_t, Grant> grants;
  uint64_t next_id = 0;
  const char *violation = nullptr; /* set inside C callbacks, which no exception may cross */

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
    auto *request = static_cast<Request *> (settled->owner);
    World *world = current;

    if (request->settled || request->cancelled)
      world->violation = "a request was settled after its end";
    request->settled = true;
    if (settled->result == MT_ONCE_GRANTED)
      world->check_grant (*request);
  }

  void
  check_grant (const Request &request)
  {
    Grant &grant = grants[request.inner.key[0]];
    int64_t now = mt_clock_now (clock);

    if (grant.active && now - grant.since_us < kKeepUs)
      violation = "a key was granted to two attempts";
    grant.attempt = request.inner.attempt[0];
    grant.active = true;
    grant.since_us = now;
  }

  void
  start (Writer &writer)
  {
    mt_once_options options = {};

    writer.bucket.interval_us = 1;
    writer.bucket.burst = 1000;
    options.clock = clock;
    options.writer = ++next_id;
    options.retention_us = kKeepUs;
    options.write_limit = &writer.bucket;
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

  /* As if the daemon was killed: its requests get no answer, and its claims stay. */
  void
  restart (unsigned w)
  {
    stop (writers[w]);
    for (auto &request : requests)
      if (request->writer == w)
        request->cancelled = request->ended = true;
    start (writers[w]);
  }

  Request &
  add_request (unsigned w, uint64_t key)
  {
    auto request = std::make_unique<Request> ();

    request->writer = w;
    request->inner.key[0] = key;
    request->inner.key[1] = 1;
    request->inner.attempt[0] = ++next_id;
    request->inner.holder_timeout_ms = 5000;
    request->inner.owner = request.get ();
    mt_once_request (writers[w].once, &request->inner);
    requests.push_back (std::move (request));
    return *requests.back ();
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

  /* Brings the log near the end of a block, so that trims can happen. */
  void
  fill_log (unsigned batches)
  {
    for (unsigned i = 0; i < batches; i++)
      {
        add_request (0, 1000 + i);
        run (0);
      }
  }

  /* One writer is paused in whatever phase it is, while time passes and the others continue. */
  void
  pause (unsigned w, unsigned arg)
  {
    for (int i = 0; i < 2; i++)
      {
        advance (kLongPauseUs);
        for (unsigned other = 0; other < kWriters; other++)
          if (other != w)
            {
              add_request (other, (arg + other) % kKeys);
              run (other);
            }
      }
  }

  Request *
  pick_request (unsigned arg)
  {
    return requests.empty () ? nullptr
                             : requests[requests.size () - 1 - arg % requests.size ()].get ();
  }

  void
  cancel (unsigned arg)
  {
    Request *request = pick_request (arg);

    if (request == nullptr || request->settled || request->cancelled)
      return;
    mt_once_cancel (writers[request->writer].once, &request->inner);
    request->cancelled = true;
  }

  void
  end (Request &request, enum mt_once_end how)
  {
    if (request.ended || request.inner.result != MT_ONCE_GRANTED || request.cancelled)
      return;
    request.ended = true;
    mt_once_end (writers[request.writer].once, request.inner.key, request.inner.attempt, how, 200);
    if (how == MT_ONCE_END_RELEASED
        && grants[request.inner.key[0]].attempt == request.inner.attempt[0])
      grants[request.inner.key[0]].active = false;
  }

  bool
  trimmed ()
  {
    return fake_store_count (fake, MT_ONCE_PREFIX "000/floor") > 0;
  }

  void
  check ()
  {
    if (violation != nullptr)
      RC_FAIL (violation);
  }

  void
  run_operation (unsigned op, unsigned w, unsigned arg)
  {
    if (op < 30)
      add_request (w, arg % kKeys);
    else if (op < 60)
      run (w);
    else if (op < 110)
      step (w);
    else if (op < 116)
      cancel (arg);
    else if (op < 126 && pick_request (arg) != nullptr)
      end (*pick_request (arg), arg % 3 == 0 ? MT_ONCE_END_DONE : MT_ONCE_END_RELEASED);
    else if (op < 132)
      advance ((arg % 20) * MT_SECOND);
    else if (op < 137)
      pause (w, arg);
    else if (op < 140)
      restart (w);
    else if (op < 145)
      fake_store_deliver_delayed (fake);
    else
      fake_store_fault_by_seed (fake, arg, arg % 2 == 0 ? 0 : 300);
  }

  /* Ends all faults: every request must be settled and every end recorded. */
  void
  end_faults ()
  {
    fake_store_fault_by_seed (fake, 0, 0);
    fake_store_deliver_delayed (fake);
    for (int i = 0; i < 12; i++)
      {
        for (unsigned w = 0; w < kWriters; w++)
          run (w);
        advance (MT_SECOND);
      }
    check ();
    for (auto &request : requests)
      RC_ASSERT (request->settled || request->cancelled);
  }

  static World *current;
};

World *World::current;

void
no_key_is_granted_twice (const std::vector<std::tuple<unsigned, unsigned, unsigned>> &ops)
{
  World world;

  World::current = &world;
  world.fill_log (98);
  for (const auto &[op, w, arg] : ops)
    world.run_operation (op % 150, w % kWriters, arg);
  world.end_faults ();
  for (uint64_t key = 0; key < kKeys; key++)
    world.add_request (key % kWriters, key);
  world.end_faults ();
  RC_CLASSIFY (world.trimmed (), "trimmed");
}

/* If no writer was killed, a key must be free again once all its attempts were refused or released.
 */
void
refused_leaves_no_claim (const std::vector<std::tuple<unsigned, unsigned, unsigned>> &ops)
{
  World world;

  World::current = &world;
  for (const auto &[op, w, arg] : ops)
    if (op % 150 < 137 || op % 150 >= 140)
      world.run_operation (op % 150, w % kWriters, arg - arg % 3 + 1);
  world.end_faults ();
  for (auto &request : world.requests)
    world.end (*request, MT_ONCE_END_RELEASED);
  world.end_faults ();
  for (uint64_t key = 0; key < kKeys; key++)
    {
      Request &request = world.add_request (key % kWriters, key);

      world.end_faults ();
      RC_ASSERT (request.inner.result == MT_ONCE_GRANTED);
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
