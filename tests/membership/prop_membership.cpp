// Heartbeats in any order, lost, repeated and late: what each daemon shows of the others.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "medlartrack/membership.h"
}

namespace
{

using Bytes = std::string;

struct Seen
{
  uint64_t heartbeat = 0;
  uint64_t tables = 0;
  int64_t at_us = 0;
};

class Node
{
public:
  Node (unsigned number, mt_clock_manual *clock) : clock_ (clock)
  {
    const std::string name = "daemon-" + std::to_string (number);
    mt_membership_options options = {};

    options.clock = mt_clock_manual_clock (clock);
    options.name = name.c_str ();
    options.zone = number % 2 == 0 ? "west" : "east";
    options.address = "127.0.0.1:1";
    options.incarnation = 1;
    options.callbacks = &callbacks;
    options.ctx = this;
    m = mt_membership_create (&options);
    mt_membership_heartbeat (m);
  }
  ~Node ()
  {
    mt_membership_destroy (m);
  }

  Bytes
  make_request ()
  {
    size_t len = 0;
    char *bytes = mt_membership_make_request (m, &len);
    return to_bytes (bytes, len);
  }
  Bytes
  handle_request (const Bytes &request)
  {
    size_t len = 0;
    char *bytes = mt_membership_handle_request (m, mt_str{ request.data (), request.size () }, &len,
                                                nullptr);
    return to_bytes (bytes, len);
  }
  void
  handle_response (const Bytes &response)
  {
    RC_ASSERT (mt_membership_handle_response (m, mt_str{ response.data (), response.size () },
                                              nullptr, nullptr));
  }
  bool
  knows (unsigned number)
  {
    return mt_membership_find (m, ("daemon-" + std::to_string (number)).c_str ()) != nullptr;
  }

  // Records what is shown of each member; fails if a heartbeat or a version decreased.
  void
  check_progress ()
  {
    mt_membership_each (m, check_member, this);
  }
  // Everything that is shown, as one string.
  std::string
  state ()
  {
    std::string out;
    mt_membership_each (m, add_state, &out);
    return out;
  }

  mt_membership *m;
  bool removed_early = false;
  unsigned removed = 0;

private:
  static Bytes
  to_bytes (char *bytes, size_t len)
  {
    Bytes out (bytes, len);
    free (bytes);
    return out;
  }
  static void
  check_member (void *ctx, const mt_member *member)
  {
    auto *self = static_cast<Node *> (ctx);
    Seen &seen = self->seen_[member->name];

    RC_ASSERT (member->heartbeat >= seen.heartbeat);
    RC_ASSERT (member->tables_version >= seen.tables);
    if (member->heartbeat > seen.heartbeat)
      seen.at_us = mt_clock_now (mt_clock_manual_clock (self->clock_));
    seen.heartbeat = member->heartbeat;
    seen.tables = member->tables_version;
  }
  static void
  add_state (void *ctx, const mt_member *member)
  {
    *static_cast<std::string *> (ctx)
        += std::string (member->name) + member->zone + std::to_string (member->heartbeat) + "/"
           + std::to_string (member->tables_version) + "/" + std::to_string (member->n_loads) + " ";
  }
  static void
  changed (void *ctx, mt_membership_event event, const mt_member *member)
  {
    auto *self = static_cast<Node *> (ctx);
    const Seen &seen = self->seen_[member->name];
    const int64_t now = mt_clock_now (mt_clock_manual_clock (self->clock_));

    if (event != MT_MEMBER_REMOVED)
      return;
    self->removed++;
    if (now - seen.at_us < MT_MEMBERSHIP_REMOVE_US)
      self->removed_early = true;
  }
  static const mt_membership_callbacks callbacks;

  mt_clock_manual *clock_;
  std::map<std::string, Seen> seen_;
};

const mt_membership_callbacks Node::callbacks = { "watch", "checks removals", Node::changed };

struct Fleet
{
  explicit Fleet (unsigned n) : clock (mt_clock_manual_create (MT_SECOND))
  {
    for (unsigned i = 0; i < n; i++)
      nodes.push_back (std::make_unique<Node> (i, clock));
  }
  ~Fleet ()
  {
    nodes.clear ();
    mt_clock_manual_destroy (clock);
  }

  unsigned
  pick_index ()
  {
    return *rc::gen::inRange<unsigned> (0, nodes.size ());
  }
  // One second: every node sends a heartbeat and calls two others; each message is lost with a
  // probability of loss_percent/100.
  void
  run_second (unsigned loss_percent)
  {
    mt_clock_manual_advance (clock, MT_SECOND);
    for (auto &node : nodes)
      if (node)
        mt_membership_heartbeat (node->m);
    for (unsigned i = 0; i < nodes.size (); i++)
      for (unsigned k = 0; k < 2 && nodes[i]; k++)
        exchange (i, (i + 1 + random () % (nodes.size () - 1)) % nodes.size (), loss_percent);
    for (auto &node : nodes)
      if (node)
        node->check_progress ();
  }
  void
  exchange (unsigned i, unsigned j, unsigned loss_percent)
  {
    if (!nodes[j] || random () % 100 < loss_percent)
      return;
    const Bytes response = nodes[j]->handle_request (nodes[i]->make_request ());
    if (random () % 100 >= loss_percent)
      nodes[i]->handle_response (response);
  }
  unsigned
  random ()
  {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<unsigned> (state >> 33);
  }

  mt_clock_manual *clock;
  std::vector<std::unique_ptr<Node>> nodes;
  uint64_t state = 1;
};

void
versions_never_decrease ()
{
  Fleet fleet (*rc::gen::inRange (2u, 6u));
  std::vector<Bytes> requests;
  std::vector<Bytes> responses;
  const auto steps = *rc::gen::inRange (10, 120);

  for (int i = 0; i < steps; i++)
    {
      Node &node = *fleet.nodes[fleet.pick_index ()];

      switch (*rc::gen::inRange (0, 6))
        {
        case 0:
          mt_clock_manual_advance (fleet.clock, *rc::gen::inRange<int64_t> (0, 4 * MT_SECOND));
          mt_membership_heartbeat (node.m);
          break;
        case 1:
          mt_membership_set_versions (node.m, *rc::gen::inRange (0, 50), 0);
          break;
        case 2:
          requests.push_back (node.make_request ());
          break;
        case 3: // any earlier request, late or repeated
          if (!requests.empty ())
            responses.push_back (node.handle_request (*rc::gen::elementOf (requests)));
          break;
        default:
          if (!responses.empty ())
            node.handle_response (*rc::gen::elementOf (responses));
          break;
        }
      node.check_progress ();
    }
}

void
merges_commute_and_are_idempotent ()
{
  Fleet fleet (4);
  std::vector<Bytes> messages;
  const auto steps = *rc::gen::inRange (1, 30);

  for (int i = 0; i < steps; i++)
    {
      Node &node = *fleet.nodes[fleet.pick_index ()];
      const mt_member_load load = { const_cast<char *> ("minion"), *rc::gen::inRange (1u, 8u) };

      mt_membership_set_versions (node.m, *rc::gen::inRange (0, 50), 0);
      mt_membership_set_loads (node.m, &load, 1, nullptr, 0);
      mt_membership_heartbeat (node.m);
      fleet.exchange (fleet.pick_index (), fleet.pick_index (), 0);
      // A request of an unknown daemon is answered with all that the node knows.
      messages.push_back (node.handle_request (Node (100, fleet.clock).make_request ()));
    }
  Node one (200, fleet.clock);
  Node two (200, fleet.clock);
  for (const auto &bytes : messages)
    one.handle_response (bytes);
  // The same messages in another order, and some of them twice.
  std::vector<Bytes> mixed = messages;
  for (size_t i = mixed.size (); i > 1; i--)
    std::swap (mixed[i - 1], mixed[*rc::gen::inRange<size_t> (0, i)]);
  for (const auto &bytes : mixed)
    two.handle_response (bytes);
  for (const auto &bytes : messages)
    if (*rc::gen::arbitrary<bool> ())
      two.handle_response (bytes);
  RC_ASSERT (one.state () == two.state ());
}

// Each daemon sends a last heartbeat on for at most the suspicion time, and it can grow only once
// at each daemon: hence the bound. A dead member that was removed must not come back either.
void
dead_are_removed_and_living_stay ()
{
  const auto n = *rc::gen::inRange (3u, 9u);
  const auto loss_percent = *rc::gen::inRange (0u, 40u);
  Fleet fleet (n);
  const unsigned bound = (MT_MEMBERSHIP_REMOVE_US + (n - 1) * MT_MEMBERSHIP_SUSPECT_US) / MT_SECOND;

  fleet.state = *rc::gen::arbitrary<uint64_t> ();
  for (unsigned i = 1; i < n; i++)
    fleet.exchange (i, 0, 0);
  for (unsigned i = 0; i < 60; i++)
    fleet.run_second (loss_percent);
  for (auto &node : fleet.nodes)
    {
      RC_ASSERT (!node->removed_early);
      RC_ASSERT (node->removed == 0);
      RC_ASSERT (mt_membership_count (node->m) == n);
    }
  fleet.nodes[n - 1].reset ();
  for (unsigned i = 0; i < bound + 1; i++)
    fleet.run_second (loss_percent);
  for (unsigned i = 0; i < 40; i++)
    {
      for (unsigned k = 0; k + 1 < n; k++)
        RC_ASSERT (!fleet.nodes[k]->knows (n - 1));
      fleet.run_second (loss_percent);
    }
  for (unsigned k = 0; k + 1 < n; k++)
    RC_ASSERT (mt_membership_count (fleet.nodes[k]->m) == n - 1);
}

// After a pause of all daemons, however long, none may be removed that goes on sending heartbeats.
void
pause_removes_nobody ()
{
  Fleet fleet (3);

  for (unsigned i = 1; i < 3; i++)
    fleet.exchange (i, 0, 0);
  for (unsigned i = 0; i < 10; i++)
    fleet.run_second (0);
  mt_clock_manual_advance (fleet.clock, *rc::gen::inRange<int64_t> (0, 1000) * MT_SECOND);
  for (unsigned i = 0; i < 10; i++)
    fleet.run_second (0);
  for (auto &node : fleet.nodes)
    RC_ASSERT (node->removed == 0);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("heartbeats and versions never go back", versions_never_decrease);
  ok &= rc::check ("merges commute and repeat", merges_commute_and_are_idempotent);
  ok &= rc::check ("the dead are removed in bounded time and the living kept",
                   dead_are_removed_and_living_stay);
  ok &= rc::check ("a pause drops nobody", pause_removes_nobody);
  return ok ? 0 : 1;
}
