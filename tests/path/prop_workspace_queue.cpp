/* Random workspaces, weights, costs and numbers of places. Whatever the order of arrivals and
 * services: places are never exceeded, a queue with items serves one, each workspace's items keep
 * their order, only a workspace that holds its share is refused, only one above its share loses an
 * item, and between the arrival of an item and its service no other workspace is served more than
 * its weighted share implies. */
#include <glib.h>

extern "C"
{
#include "medlartrack/workspace_queue.h"
}

#include <algorithm>
#include <deque>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr unsigned workspaces = 6;
constexpr double epsilon = 1e-6;

struct Item
{
  unsigned workspace;
  size_t cost;
  std::vector<double> served_before; /* cost served of each workspace when it arrived */
  std::vector<double> limits;        /* most that each may be served until it is */
};

struct Model
{
  struct mt_workspace_queue *queue = nullptr;
  unsigned places = 0;
  std::vector<double> weights;
  std::vector<std::deque<Item *>> queued = std::vector<std::deque<Item *>> (workspaces);
  std::vector<double> served = std::vector<double> (workspaces, 0);
  std::vector<size_t> last_cost = std::vector<size_t> (workspaces, 0);
  std::vector<std::unique_ptr<Item>> owned;
  size_t max_cost = 0;

  ~Model ()
  {
    mt_workspace_queue_destroy (queue);
  }
};

std::string
name (unsigned workspace)
{
  return "w" + std::to_string (workspace);
}

size_t
length (const Model &m)
{
  size_t sum = 0;

  for (const auto &items : m.queued)
    sum += items.size ();
  return sum;
}

/* Share of the places among the workspaces with items and `joining`. */
double
share (const Model &m, unsigned workspace, unsigned joining)
{
  double sum = 0;

  for (unsigned w = 0; w < workspaces; w++)
    if (!m.queued[w].empty () || w == joining)
      sum += m.weights[w];
  return std::max (m.places * m.weights[workspace] / sum, 1.0);
}

/* Until the item's turn comes, its workspace is charged for what is queued before it and for its
 * item served last. Another workspace is served in proportion, and one more item. */
void
set_limits (const Model &m, Item *item)
{
  unsigned own = item->workspace;
  double backlog = static_cast<double> (m.last_cost[own]);

  for (const Item *before : m.queued[own])
    backlog += static_cast<double> (before->cost);
  item->served_before = m.served;
  for (unsigned w = 0; w < workspaces; w++)
    item->limits.push_back (backlog / m.weights[own] * m.weights[w]
                            + static_cast<double> (m.max_cost));
}

void
offer (Model &m, unsigned workspace, size_t cost)
{
  std::string id = name (workspace);
  bool is_full = length (m) >= m.places;
  double own_share = share (m, workspace, workspace);
  Item *evicted;

  if (!mt_workspace_queue_admits (m.queue, id.c_str ()))
    {
      bool others_within = true;

      for (unsigned w = 0; w < workspaces; w++)
        others_within = others_within
                        && (w == workspace || m.queued[w].empty ()
                            || static_cast<double> (m.queued[w].size ())
                                   <= share (m, w, workspace) + epsilon);
      RC_ASSERT (is_full);
      RC_ASSERT (static_cast<double> (m.queued[workspace].size ()) + 1 > own_share - epsilon
                 || others_within);
      return;
    }
  evicted = static_cast<Item *> (mt_workspace_queue_evict (m.queue, id.c_str ()));
  RC_ASSERT ((evicted != nullptr) == is_full);
  if (evicted != nullptr)
    {
      auto &items = m.queued[evicted->workspace];

      RC_ASSERT (evicted->workspace != workspace);
      RC_ASSERT (static_cast<double> (m.queued[workspace].size ()) + 1 <= own_share + epsilon);
      RC_ASSERT (static_cast<double> (items.size ())
                 > share (m, evicted->workspace, workspace) + epsilon);
      RC_ASSERT (items.back () == evicted);
      items.pop_back ();
    }
  m.owned.push_back (std::make_unique<Item> (Item{ workspace, cost, {}, {} }));
  set_limits (m, m.owned.back ().get ());
  m.queued[workspace].push_back (m.owned.back ().get ());
  mt_workspace_queue_push (m.queue, id.c_str (), cost, m.owned.back ().get ());
  RC_ASSERT (length (m) <= m.places);
}

void
serve (Model &m)
{
  Item *item = static_cast<Item *> (mt_workspace_queue_pop (m.queue));

  RC_ASSERT ((item == nullptr) == (length (m) == 0));
  if (item == nullptr)
    return;
  RC_ASSERT (m.queued[item->workspace].front () == item);
  m.queued[item->workspace].pop_front ();
  for (unsigned w = 0; w < workspaces; w++)
    if (w != item->workspace)
      RC_ASSERT (m.served[w] - item->served_before[w] <= item->limits[w] * (1 + epsilon));
  m.served[item->workspace] += static_cast<double> (item->cost);
  m.last_cost[item->workspace] = item->cost;
}

/* Bursts of one workspace alternate with services, so that places are full at times and the queue
 * is empty at others. */
void
run (Model &m)
{
  unsigned steps = *rc::gen::inRange (1U, 120U);

  for (unsigned i = 0; i < steps; i++)
    {
      unsigned workspace = *rc::gen::inRange (0U, workspaces);
      unsigned count = *rc::gen::element (0U, 1U, 1U, 2U, 5U, 30U);
      unsigned services = *rc::gen::element (0U, 1U, 1U, 3U, 10U, 40U);

      for (unsigned k = 0; k < count; k++)
        offer (m, workspace, *rc::gen::inRange<size_t> (1, m.max_cost + 1));
      RC_ASSERT (mt_workspace_queue_length (m.queue) == length (m));
      for (unsigned k = 0; k < services; k++)
        serve (m);
    }
  while (length (m) > 0)
    serve (m);
  RC_ASSERT (mt_workspace_queue_length (m.queue) == 0U);
}

}

int
main ()
{
  bool ok = rc::check ("shares of submissions keep their bounds", [] {
    Model m;

    m.places = *rc::gen::element (1U, 3U, 10U, 40U);
    m.max_cost = *rc::gen::element<size_t> (1, 20, 1000);
    m.queue = mt_workspace_queue_create (m.places);
    for (unsigned w = 0; w < workspaces; w++)
      {
        m.weights.push_back (*rc::gen::element (1.0, 1.0, 2.0, 10.0, 100.0));
        mt_workspace_queue_set_weight (m.queue, name (w).c_str (), m.weights.back ());
      }
    run (m);
  });

  return ok ? 0 : 1;
}
