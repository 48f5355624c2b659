#include "medlartrack/fair_queue.h"

struct mt_fair_flow
{
  uint64_t audience;
  GQueue items;     /* oldest first */
  GList round_link; /* link in the round-robin order */
};

struct mt_fair_queue
{
  GHashTable *flows;          /* audience -> struct mt_fair_flow; only flows with items */
  GQueue round;               /* flows in round-robin order, the next to serve first */
  unsigned length;            /* items in all flows */
  int64_t earliest_expiry_us; /* no item expires before this time */
};

struct mt_fair_queue *
mt_fair_queue_create (void)
{
  struct mt_fair_queue *queue = g_new0 (struct mt_fair_queue, 1);

  queue->flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&queue->round);
  queue->earliest_expiry_us = INT64_MAX;
  return queue;
}

void
mt_fair_queue_destroy (struct mt_fair_queue *queue)
{
  if (queue == NULL)
    return;
  g_hash_table_destroy (queue->flows);
  g_free (queue);
}

static struct mt_fair_flow *
get_or_create_flow (struct mt_fair_queue *queue, uint64_t audience)
{
  struct mt_fair_flow *flow = g_hash_table_lookup (queue->flows, &audience);

  if (flow != NULL)
    return flow;
  flow = g_new0 (struct mt_fair_flow, 1);
  flow->audience = audience;
  flow->round_link.data = flow;
  g_queue_init (&flow->items);
  g_hash_table_insert (queue->flows, &flow->audience, flow);
  g_queue_push_tail_link (&queue->round, &flow->round_link);
  return flow;
}

static void
remove_flow_if_empty (struct mt_fair_queue *queue, struct mt_fair_flow *flow)
{
  if (!g_queue_is_empty (&flow->items))
    return;
  g_queue_unlink (&queue->round, &flow->round_link);
  g_hash_table_remove (queue->flows, &flow->audience);
}

void
mt_fair_queue_push (struct mt_fair_queue *queue, struct mt_fair_item *item)
{
  struct mt_fair_flow *flow = get_or_create_flow (queue, item->audience);

  item->flow = flow;
  item->link = (GList){ .data = item };
  g_queue_push_tail_link (&flow->items, &item->link);
  queue->length++;
  queue->earliest_expiry_us = MIN (queue->earliest_expiry_us, item->expires_us);
}

void
mt_fair_queue_remove (struct mt_fair_queue *queue, struct mt_fair_item *item)
{
  struct mt_fair_flow *flow = item->flow;

  g_queue_unlink (&flow->items, &item->link);
  item->flow = NULL;
  queue->length--;
  if (queue->length == 0)
    queue->earliest_expiry_us = INT64_MAX;
  remove_flow_if_empty (queue, flow);
}

struct mt_fair_item *
mt_fair_queue_pop (struct mt_fair_queue *queue)
{
  struct mt_fair_flow *flow = g_queue_peek_head (&queue->round);
  struct mt_fair_item *item;

  if (flow == NULL)
    return NULL;
  g_queue_unlink (&queue->round, &flow->round_link);
  g_queue_push_tail_link (&queue->round, &flow->round_link);
  item = g_queue_peek_head (&flow->items);
  mt_fair_queue_remove (queue, item);
  return item;
}

unsigned
mt_fair_queue_length (const struct mt_fair_queue *queue)
{
  return queue->length;
}

/* Each other audience is served at most once for each item of this audience. */
unsigned
mt_fair_queue_count_ahead (const struct mt_fair_queue *queue, uint64_t audience)
{
  const struct mt_fair_flow *own = g_hash_table_lookup (queue->flows, &audience);
  unsigned turns = own != NULL ? own->items.length + 1 : 1;
  unsigned ahead = turns - 1;

  for (const GList *l = queue->round.head; l != NULL; l = l->next)
    {
      const struct mt_fair_flow *flow = l->data;

      if (flow != own)
        ahead += MIN (flow->items.length, turns);
    }
  return ahead;
}

static struct mt_fair_item *
find_expired (struct mt_fair_queue *queue, int64_t now_us)
{
  queue->earliest_expiry_us = INT64_MAX;
  for (GList *l = queue->round.head; l != NULL; l = l->next)
    {
      struct mt_fair_flow *flow = l->data;

      for (GList *i = flow->items.head; i != NULL; i = i->next)
        {
          struct mt_fair_item *item = i->data;

          if (item->expires_us <= now_us)
            {
              queue->earliest_expiry_us = item->expires_us;
              return item;
            }
          queue->earliest_expiry_us = MIN (queue->earliest_expiry_us, item->expires_us);
        }
    }
  return NULL;
}

struct mt_fair_item *
mt_fair_queue_pop_expired (struct mt_fair_queue *queue, int64_t now_us)
{
  struct mt_fair_item *item;

  if (queue->earliest_expiry_us > now_us)
    return NULL;
  item = find_expired (queue, now_us);
  if (item != NULL)
    mt_fair_queue_remove (queue, item);
  return item;
}
