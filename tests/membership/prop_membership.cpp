// Heartbeats in any order, lost, repeated and late: what each daemon says of the others.
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
  ask ()
  {
    size_t len = 0;
    char *bytes = mt_membership_make_request (m, &len);
    return own (bytes, len);
  }
  Bytes
  answer (const Bytes &ask)
  {
    size_t len = 0;
    char *bytes
        = mt_membership_handle_request (m, mt_str{ ask.data (), ask.size () }, &len, nullptr);
    return own (bytes, len);
  }
  void
  take (const Bytes &answer)
  {
    RC_ASSERT (mt_membership_handle_response (m, mt_str{ answer.data (), answer.size () }, nullptr,
                                              nullptr));
  }
  bool
  knows (unsigned number)
  {
    return mt_membership_find (m, ("daemon-" + std::to_string (number)).c_str ()) != nullptr;
  }

  // Notes what is shown of each member, and fails where a heartbeat or version went back.
  void
  watch ()
  {
    mt_membership_each (m, watch_member, this);
  }
  // All that is shown, as one text.
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
  own (char *bytes, size_t len)
  {
    Bytes out (bytes, len);
    free (bytes);
    return out;
  }
  static void
  watch_member (void *ctx, const mt_member *member)
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
  any ()
  {
    return *rc::gen::inRange<unsigned> (0, nodes.size ());
  }
  // One second: everyone beats and asks two others, each message is lost with lose/100.
  void
  second (unsigned lose)
  {
    mt_clock_manual_advance (clock, MT_SECOND);
    for (auto &node : nodes)
      if (node)
        mt_membership_heartbeat (node->m);
    for (unsigned i = 0; i < nodes.size (); i++)
      for (unsigned k = 0; k < 2 && nodes[i]; k++)
        exchange (i, (i + 1 + random () % (nodes.size () - 1)) % nodes.size (), lose);
    for (auto &node : nodes)
      if (node)
        node->watch ();
  }
  void
  exchange (unsigned i, unsigned j, unsigned lose)
  {
    if (!nodes[j] || random () % 100 < lose)
      return;
    const Bytes answer = nodes[j]->answer (nodes[i]->ask ());
    if (random () % 100 >= lose)
      nodes[i]->take (answer);
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
versions_never_go_back ()
{
  Fleet fleet (*rc::gen::inRange (2u, 6u));
  std::vector<Bytes> asks;
  std::vector<Bytes> answers;
  const auto steps = *rc::gen::inRange (10, 120);

  for (int i = 0; i < steps; i++)
    {
      Node &node = *fleet.nodes[fleet.any ()];

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
          asks.push_back (node.ask ());
          break;
        case 3: // any ask so far, late or for the second time
          if (!asks.empty ())
            answers.push_back (node.answer (*rc::gen::elementOf (asks)));
          break;
        default:
          if (!answers.empty ())
            node.take (*rc::gen::elementOf (answers));
          break;
        }
      node.watch ();
    }
}

void
merges_commute_and_repeat ()
{
  Fleet fleet (4);
  std::vector<Bytes> news;
  const auto steps = *rc::gen::inRange (1, 30);

  for (int i = 0; i < steps; i++)
    {
      Node &node = *fleet.nodes[fleet.any ()];
      const mt_member_load load = { const_cast<char *> ("minion"), *rc::gen::inRange (1u, 8u) };

      mt_membership_set_versions (node.m, *rc::gen::inRange (0, 50), 0);
      mt_membership_set_loads (node.m, &load, 1, nullptr, 0);
      mt_membership_heartbeat (node.m);
      fleet.exchange (fleet.any (), fleet.any (), 0);
      // A stranger's ask is answered with all that the node knows.
      news.push_back (node.answer (Node (100, fleet.clock).ask ()));
    }
  Node one (200, fleet.clock);
  Node two (200, fleet.clock);
  for (const auto &bytes : news)
    one.take (bytes);
  // The same in another order, and some of it twice.
  std::vector<Bytes> mixed = news;
  for (size_t i = mixed.size (); i > 1; i--)
    std::swap (mixed[i - 1], mixed[*rc::gen::inRange<size_t> (0, i)]);
  for (const auto &bytes : mixed)
    two.take (bytes);
  for (const auto &bytes : news)
    if (*rc::gen::arbitrary<bool> ())
      two.take (bytes);
  RC_ASSERT (one.state () == two.state ());
}

// Each daemon passes a last heartbeat on for the suspicion time at most, and it can grow only once
// at each: hence the bound. A dead member that was removed must not come back either.
void
dead_are_removed_and_living_kept ()
{
  const auto n = *rc::gen::inRange (3u, 9u);
  const auto lose = *rc::gen::inRange (0u, 40u);
  Fleet fleet (n);
  const unsigned bound = (MT_MEMBERSHIP_REMOVE_US + (n - 1) * MT_MEMBERSHIP_SUSPECT_US) / MT_SECOND;

  fleet.state = *rc::gen::arbitrary<uint64_t> ();
  for (unsigned i = 1; i < n; i++)
    fleet.exchange (i, 0, 0);
  for (unsigned i = 0; i < 60; i++)
    fleet.second (lose);
  for (auto &node : fleet.nodes)
    {
      RC_ASSERT (!node->removed_early);
      RC_ASSERT (node->removed == 0);
      RC_ASSERT (mt_membership_count (node->m) == n);
    }
  fleet.nodes[n - 1].reset ();
  for (unsigned i = 0; i < bound + 1; i++)
    fleet.second (lose);
  for (unsigned i = 0; i < 40; i++)
    {
      for (unsigned k = 0; k + 1 < n; k++)
        RC_ASSERT (!fleet.nodes[k]->knows (n - 1));
      fleet.second (lose);
    }
  for (unsigned k = 0; k + 1 < n; k++)
    RC_ASSERT (mt_membership_count (fleet.nodes[k]->m) == n - 1);
}

// Whatever was paused, for however long, nobody who goes on beating is dropped by it for that.
void
a_pause_drops_nobody ()
{
  Fleet fleet (3);

  for (unsigned i = 1; i < 3; i++)
    fleet.exchange (i, 0, 0);
  for (unsigned i = 0; i < 10; i++)
    fleet.second (0);
  mt_clock_manual_advance (fleet.clock, *rc::gen::inRange<int64_t> (0, 1000) * MT_SECOND);
  for (unsigned i = 0; i < 10; i++)
    fleet.second (0);
  for (auto &node : fleet.nodes)
    RC_ASSERT (node->removed == 0);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("heartbeats and versions never go back", versions_never_go_back);
  ok &= rc::check ("merges commute and repeat", merges_commute_and_repeat);
  ok &= rc::check ("the dead are removed in bounded time and the living kept",
                   dead_are_removed_and_living_kept);
  ok &= rc::check ("a pause drops nobody", a_pause_drops_nobody);
  return ok ? 0 : 1;
}
