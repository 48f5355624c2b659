#include <glib.h>

extern "C"
{
#include "medlartrack/dispatch.h"
}

#include <list>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr unsigned kMinions = 5;
constexpr unsigned kSlots = 8;
constexpr unsigned kQueue = 40;

struct Call;

struct World
{
  mt_clock_manual *manual = mt_clock_manual_create (1);
  mt_dispatch *dispatch = nullptr;
  mt_share share = { 1, 0 };
  std::map<std::string, unsigned> others;
  std::list<std::unique_ptr<Call>> calls;
};

enum class State
{
  Waiting,
  Running,
  Ended,
};

struct Call
{
  World *world = nullptr;
  mt_ticket ticket = {};
  State state = State::Waiting;
  unsigned n_outcomes = 0; /* number of grants, expiries, refusals and cancellations */
};

void
check_grant (Call *call)
{
  World *world = call->world;
  const char *name = call->ticket.minion;

  call->state = State::Running;
  call->n_outcomes++;
  RC_ASSERT (name != nullptr);
  RC_ASSERT (mt_dispatch_in_flight (world->dispatch, name)
             <= mt_share_with_borrowed (world->share, kSlots, 0, 0) + 1);
  RC_ASSERT (mt_dispatch_in_flight (world->dispatch, name)
             <= mt_dispatch_usable_slots (world->dispatch, name));
  RC_ASSERT (call->ticket.deadline_us > mt_clock_now (mt_clock_manual_clock (world->manual)));
}

void
on_granted (mt_ticket *ticket)
{
  check_grant (static_cast<Call *> (ticket->owner));
}

void
on_expired (mt_ticket *ticket)
{
  auto *call = static_cast<Call *> (ticket->owner);

  call->state = State::Ended;
  call->n_outcomes++;
}

const mt_dispatch_callbacks kCallbacks = { "model", "records the calls", on_granted, on_expired };

unsigned
get_others_in_flight (void *ctx, const char *minion)
{
  return static_cast<World *> (ctx)->others[minion];
}

void
update (World &world, unsigned present, unsigned leaving)
{
  std::vector<std::string> names;
  std::vector<mt_instance> instances (kMinions);
  std::vector<const mt_instance *> list;

  for (unsigned i = 0; i < kMinions; i++)
    names.push_back ("m" + std::to_string (i));
  for (unsigned i = 0; i < kMinions; i++)
    {
      instances[i].name = mt_str_from (names[i].c_str ());
      instances[i].address = mt_str_from ("127.0.0.1:9");
      instances[i].slots = kSlots;
      instances[i].leaving = (leaving >> i & 1) != 0;
      if ((present >> i & 1) != 0)
        list.push_back (&instances[i]);
    }
  mt_dispatch_update (world.dispatch, list.data (), list.size ());
}

void
submit (World &world, unsigned audience, unsigned within_ms, bool is_retry)
{
  auto call = std::make_unique<Call> ();

  call->world = &world;
  call->ticket.owner = call.get ();
  call->ticket.audience = audience;
  call->ticket.is_retry = is_retry;
  call->ticket.deadline_us
      = mt_clock_now (mt_clock_manual_clock (world.manual)) + within_ms * MT_MS;
  switch (mt_dispatch_submit (world.dispatch, &call->ticket, kQueue))
    {
    case MT_ADMISSION_GRANTED:
      check_grant (call.get ());
      break;
    case MT_ADMISSION_REFUSED:
      RC_ASSERT (call->ticket.refusal != MT_REFUSAL_NONE);
      call->state = State::Ended;
      call->n_outcomes++;
      break;
    case MT_ADMISSION_QUEUED:
      break;
    }
  world.calls.push_back (std::move (call));
}

Call *
find_nth (World &world, State state, unsigned n)
{
  std::vector<Call *> found;

  for (auto &call : world.calls)
    if (call->state == state)
      found.push_back (call.get ());
  return found.empty () ? nullptr : found[n % found.size ()];
}

void
finish (World &world, unsigned n, unsigned result)
{
  Call *call = find_nth (world, State::Running, n);

  if (call == nullptr)
    return;
  call->state = State::Ended;
  mt_dispatch_complete (world.dispatch, &call->ticket,
                        static_cast<mt_dispatch_result> (result % (MT_DISPATCH_UNUSED + 1)));
}

void
cancel (World &world, unsigned n)
{
  Call *call = find_nth (world, State::Waiting, n);

  if (call == nullptr)
    return;
  mt_dispatch_cancel (world.dispatch, &call->ticket);
  call->state = State::Ended;
  call->n_outcomes++;
}

void
set_share (World &world, unsigned a, unsigned b)
{
  world.share = { 1 + a % kSlots, b % (1 + a % kSlots) };
  for (unsigned i = 0; i < kMinions; i++)
    world.others["m" + std::to_string (i)] = (a + b * i) % (kSlots + 1);
  mt_dispatch_set_share (world.dispatch, world.share, get_others_in_flight, &world);
}

void
step (World &world, unsigned op, unsigned a, unsigned b)
{
  if (op < 8)
    submit (world, a % 6, 1 + b % 200, op == 7);
  else if (op < 14)
    finish (world, a, b);
  else if (op == 14)
    cancel (world, a);
  else if (op == 15)
    update (world, a, b % 4);
  else if (op == 16)
    set_share (world, a, b);
  else if (op == 17)
    mt_dispatch_set_leaving (world.dispatch, "m1");
  else
    {
      mt_clock_manual_advance (world.manual, (a % 50) * MT_MS);
      mt_dispatch_tick (world.dispatch);
    }
}

/* The model's counts must equal the dispatch's after every operation. */
void
check_conserved (World &world)
{
  unsigned running = 0;
  unsigned waiting = 0;

  for (auto &call : world.calls)
    {
      running += call->state == State::Running ? 1 : 0;
      waiting += call->state == State::Waiting ? 1 : 0;
      RC_ASSERT (call->n_outcomes == (call->state == State::Waiting ? 0U : 1U));
    }
  RC_ASSERT (mt_dispatch_in_flight (world.dispatch, nullptr) == running);
  RC_ASSERT (mt_dispatch_queue_length (world.dispatch) == waiting);
  RC_ASSERT (waiting <= kQueue);
}

/* After all requests in flight have ended and time has passed, every caller must have got exactly
 * one answer. */
void
end_all (World &world)
{
  mt_clock_manual_advance (world.manual, 300 * MT_MS);
  mt_dispatch_tick (world.dispatch);
  while (find_nth (world, State::Running, 0) != nullptr)
    finish (world, 0, MT_DISPATCH_SUCCESS);
  check_conserved (world);
  RC_ASSERT (mt_dispatch_queue_length (world.dispatch) == 0U);
}

bool
check_any_interleaving ()
{
  return rc::check ("every ticket gets one answer and no minion more than its share", [] {
    const auto ops = *rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>> (
        rc::gen::tuple (rc::gen::inRange (0U, 21U), rc::gen::inRange (0U, 1000U),
                        rc::gen::inRange (0U, 1000U)));
    const auto policy = *rc::gen::inRange (0, 3);
    World world;

    world.dispatch = mt_dispatch_create (mt_clock_manual_clock (world.manual), &kCallbacks,
                                         mt_balance_policies[policy], 7);
    update (world, 31, 0);
    for (const auto &[op, a, b] : ops)
      {
        step (world, op, a, b);
        check_conserved (world);
      }
    end_all (world);
    mt_dispatch_destroy (world.dispatch);
    mt_clock_manual_destroy (world.manual);
  });
}

/* One audience has many items queued, the others one each: between two items of one audience at
 * most one item of each other audience may be served. */
bool
check_audiences_take_turns ()
{
  return rc::check ("audiences take turns", [] {
    const auto flood = *rc::gen::inRange (1U, 60U);
    const auto audiences = *rc::gen::inRange (1U, 8U);
    mt_fair_queue *queue = mt_fair_queue_create ();
    std::vector<mt_fair_item> items (flood + audiences);

    for (unsigned i = 0; i < items.size (); i++)
      {
        items[i].audience = i < flood ? 0 : 1 + i - flood;
        items[i].expires_us = INT64_MAX;
        mt_fair_queue_push (queue, &items[i]);
      }
    for (unsigned i = 0; i <= audiences; i++)
      RC_ASSERT (mt_fair_queue_pop (queue)->audience == i);
    RC_ASSERT (mt_fair_queue_length (queue) == flood - 1);
    mt_fair_queue_destroy (queue);
  });
}

/* In a full pool, one audience has many requests queued and the others one each: each of the others
 * must get a slot within as many grants as there are audiences. */
bool
check_quiet_audiences_served ()
{
  return rc::check ("a flood delays other audiences by one turn at most", [] {
    const auto flood = *rc::gen::inRange (1U, 20U);
    const auto quiet = *rc::gen::inRange (1U, 8U);
    World world;
    unsigned served = 0;

    world.dispatch = mt_dispatch_create (mt_clock_manual_clock (world.manual), &kCallbacks,
                                         mt_balance_policies[0], 7);
    update (world, 1, 0);
    for (unsigned i = 0; i < kSlots + flood; i++)
      submit (world, 0, 10000, false);
    for (unsigned i = 1; i <= quiet; i++)
      submit (world, i, 10000, false);
    for (unsigned i = 0; i <= quiet; i++)
      finish (world, 0, MT_DISPATCH_SUCCESS);
    for (auto &call : world.calls)
      served += call->ticket.audience != 0 && call->state == State::Running ? 1 : 0;
    RC_ASSERT (served == quiet);
    end_all (world);
    mt_dispatch_destroy (world.dispatch);
    mt_clock_manual_destroy (world.manual);
  });
}

bool
check_share_sums ()
{
  return rc::check ("daemons own a minion's slots exactly once", [] {
    const auto slots = *rc::gen::inRange (1U, 65U);
    const auto daemons = *rc::gen::inRange (1U, slots + 1);
    const auto key = *rc::gen::arbitrary<uint64_t> ();
    unsigned sum = 0;

    for (unsigned rank = 0; rank < daemons; rank++)
      sum += mt_share_own ({ daemons, rank }, slots, key);
    RC_ASSERT (sum == slots);
  });
}

} // namespace

int
main ()
{
  bool good = check_any_interleaving ();

  good = check_audiences_take_turns () && good;
  good = check_quiet_audiences_served () && good;
  good = check_share_sums () && good;
  return good ? 0 : 1;
}
