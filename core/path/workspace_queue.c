/* Start-time fair queueing over workspaces, and weighted limits on their queued items.
 *
 * Designed for 20 workspaces of very different size, one of which submits 7.5 times its usual load
 * while the store takes fewer submissions than arrive. Served in order of arrival, all of them
 * would wait behind that one.
 *
 * Each item has a start tag: the finish tag of the workspace's item before it, or the start tag of
 * the item served last if that is greater. Its finish tag is its start tag plus its cost over the
 * weight. The item with the lowest start tag is served next. A workspace that was idle starts at
 * the present tag, so it has saved up no credit; one whose queue was empty only briefly keeps its
 * finish tag, so it gains nothing by that. An operation takes time linear in the workspaces with
 * queued items. */
#include "medlartrack/workspace_queue.h"

#include <glib.h>
#include <stdint.h>

struct flow
{
  char *workspace;
  double weight;
  bool has_weight; /* set by mt_workspace_queue_set_weight */
  GQueue entries;  /* struct entry, oldest first */
  double start;    /* start tag of the oldest entry */
  double finish;   /* finish tag of the entry served last */
};

struct entry
{
  void *item;
  size_t cost;
  uint64_t sequence; /* order of arrival in all workspaces */
};

struct mt_workspace_queue
{
  unsigned max_items;
  unsigned length;
  GHashTable *flows; /* workspace to struct flow */
  GPtrArray *active; /* flows with entries; not owned */
  double active_weight;
  double tag; /* start tag of the item served last */
  uint64_t next_sequence;
  uint64_t served_sequence; /* greatest sequence of a served entry, plus 1; 0: none */
};

static void
free_flow (void *data)
{
  struct flow *flow = data;

  g_queue_clear_full (&flow->entries, g_free);
  g_free (flow->workspace);
  g_free (flow);
}

struct mt_workspace_queue *
mt_workspace_queue_create (unsigned max_items)
{
  struct mt_workspace_queue *queue = g_new0 (struct mt_workspace_queue, 1);

  queue->max_items = MAX (max_items, 1U);
  queue->flows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_flow);
  queue->active = g_ptr_array_new ();
  return queue;
}

void
mt_workspace_queue_destroy (struct mt_workspace_queue *queue)
{
  if (queue == NULL)
    return;
  g_ptr_array_unref (queue->active);
  g_hash_table_destroy (queue->flows);
  g_free (queue);
}

static struct flow *
get_or_create_flow (struct mt_workspace_queue *queue, const char *workspace)
{
  struct flow *flow = g_hash_table_lookup (queue->flows, workspace);

  if (flow != NULL)
    return flow;
  flow = g_new0 (struct flow, 1);
  flow->workspace = g_strdup (workspace);
  flow->weight = 1;
  g_queue_init (&flow->entries);
  g_hash_table_insert (queue->flows, flow->workspace, flow);
  return flow;
}

/* Summed anew each time: a running sum would keep the rounding errors of all changes. */
static void
update_active_weight (struct mt_workspace_queue *queue)
{
  queue->active_weight = 0;
  for (guint i = 0; i < queue->active->len; i++)
    queue->active_weight += ((const struct flow *) queue->active->pdata[i])->weight;
}

void
mt_workspace_queue_set_weight (struct mt_workspace_queue *queue,
                               const char *workspace,
                               double weight)
{
  struct flow *flow = get_or_create_flow (queue, workspace);

  flow->weight = weight > 0 ? weight : 1;
  flow->has_weight = true;
  update_active_weight (queue);
}

void
mt_workspace_queue_set_max_items (struct mt_workspace_queue *queue, unsigned max_items)
{
  queue->max_items = MAX (max_items, 1U);
}

/* ---- places ---- */

double
mt_workspace_queue_share (const struct mt_workspace_queue *queue, const char *workspace)
{
  const struct flow *flow = g_hash_table_lookup (queue->flows, workspace);
  double weight = flow != NULL ? flow->weight : 1;
  bool is_active = flow != NULL && flow->entries.length > 0;

  return weight / (queue->active_weight + (is_active ? 0 : weight));
}

/* Returns the excess of the flow's items over its weighted share of the places, counting the weight
 * of a workspace that is about to queue its first item. A share is at least one place: otherwise a
 * workspace of low weight could queue nothing while the places are full. */
static double
excess_items (const struct mt_workspace_queue *queue, const struct flow *flow, double joining)
{
  double places = queue->max_items * flow->weight / (queue->active_weight + joining);

  return flow->entries.length - MAX (places, 1);
}

/* Returns the flow that an item of the workspace may displace; NULL if there is none. */
static struct flow *
find_victim (const struct mt_workspace_queue *queue, const char *workspace)
{
  const struct flow *own = g_hash_table_lookup (queue->flows, workspace);
  unsigned length = own != NULL ? own->entries.length : 0;
  double weight = own != NULL ? own->weight : 1;
  double joining = length > 0 ? 0 : weight;
  double places = queue->max_items * weight / (queue->active_weight + joining);
  struct flow *victim = NULL;
  double most = 0;

  if (length + 1 > MAX (places, 1))
    return NULL;
  for (guint i = 0; i < queue->active->len; i++)
    {
      struct flow *flow = queue->active->pdata[i];
      double excess = excess_items (queue, flow, joining);

      if (flow == own || excess <= most)
        continue;
      victim = flow;
      most = excess;
    }
  return victim;
}

bool
mt_workspace_queue_admits (const struct mt_workspace_queue *queue, const char *workspace)
{
  return queue->length < queue->max_items || find_victim (queue, workspace) != NULL;
}

/* ---- items ---- */

/* While nothing is queued, tags are of no use: clearing them keeps them small and exact, and flows
 * of workspaces without a set weight need not be kept. */
static void
clear_tags (struct mt_workspace_queue *queue)
{
  GHashTableIter it;
  struct flow *flow;

  queue->tag = 0;
  g_hash_table_iter_init (&it, queue->flows);
  while (g_hash_table_iter_next (&it, NULL, (void **) &flow))
    {
      flow->start = flow->finish = 0;
      if (!flow->has_weight)
        g_hash_table_iter_remove (&it);
    }
}

static void *
remove_entry (struct mt_workspace_queue *queue, struct flow *flow, struct entry *entry)
{
  void *item = entry->item;

  g_free (entry);
  queue->length--;
  if (flow->entries.length == 0)
    {
      g_ptr_array_remove_fast (queue->active, flow);
      update_active_weight (queue);
    }
  if (queue->length == 0)
    clear_tags (queue);
  return item;
}

void *
mt_workspace_queue_evict (struct mt_workspace_queue *queue, const char *workspace)
{
  struct flow *victim = queue->length >= queue->max_items ? find_victim (queue, workspace) : NULL;

  return victim != NULL ? remove_entry (queue, victim, g_queue_pop_tail (&victim->entries)) : NULL;
}

void
mt_workspace_queue_push (struct mt_workspace_queue *queue,
                         const char *workspace,
                         size_t cost,
                         void *item)
{
  struct flow *flow = get_or_create_flow (queue, workspace);
  struct entry *entry = g_new0 (struct entry, 1);

  entry->item = item;
  entry->cost = cost;
  entry->sequence = queue->next_sequence++;
  g_queue_push_tail (&flow->entries, entry);
  queue->length++;
  if (flow->entries.length > 1)
    return;
  flow->start = MAX (queue->tag, flow->finish);
  g_ptr_array_add (queue->active, flow);
  update_active_weight (queue);
}

static uint64_t
oldest_sequence (const struct flow *flow)
{
  return ((const struct entry *) flow->entries.head->data)->sequence;
}

/* Equal tags are served in order of arrival. */
static bool
is_before (const struct flow *a, const struct flow *b)
{
  if (a->start != b->start)
    return a->start < b->start;
  return oldest_sequence (a) < oldest_sequence (b);
}

void *
mt_workspace_queue_pop (struct mt_workspace_queue *queue)
{
  struct flow *next = NULL;
  struct entry *entry;

  for (guint i = 0; i < queue->active->len; i++)
    if (next == NULL || is_before (queue->active->pdata[i], next))
      next = queue->active->pdata[i];
  if (next == NULL)
    return NULL;
  entry = g_queue_pop_head (&next->entries);
  queue->tag = next->start;
  queue->served_sequence = MAX (queue->served_sequence, entry->sequence + 1);
  next->finish = next->start + (double) entry->cost / next->weight;
  next->start = next->finish;
  return remove_entry (queue, next, entry);
}

void *
mt_workspace_queue_pop_overtaken (struct mt_workspace_queue *queue,
                                  bool (*is_due) (const void *item, void *ctx),
                                  void *ctx)
{
  for (guint i = 0; i < queue->active->len; i++)
    {
      struct flow *flow = queue->active->pdata[i];
      const struct entry *oldest = flow->entries.head->data;

      if (oldest->sequence < queue->served_sequence && is_due (oldest->item, ctx))
        return remove_entry (queue, flow, g_queue_pop_head (&flow->entries));
    }
  return NULL;
}

unsigned
mt_workspace_queue_length (const struct mt_workspace_queue *queue)
{
  return queue->length;
}

unsigned
mt_workspace_queue_length_of (const struct mt_workspace_queue *queue, const char *workspace)
{
  const struct flow *flow = g_hash_table_lookup (queue->flows, workspace);

  return flow != NULL ? flow->entries.length : 0;
}

/* For each item of this workspace, another one is served as many items as the ratio of their
 * weights. */
unsigned
mt_workspace_queue_count_ahead (const struct mt_workspace_queue *queue, const char *workspace)
{
  const struct flow *own = g_hash_table_lookup (queue->flows, workspace);
  double weight = own != NULL ? own->weight : 1;
  double turns = (own != NULL ? own->entries.length : 0) + 1;
  double ahead = turns - 1;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const struct flow *flow = queue->active->pdata[i];

      if (flow != own)
        ahead += MIN ((double) flow->entries.length, turns * flow->weight / weight);
    }
  return (unsigned) ahead;
}
