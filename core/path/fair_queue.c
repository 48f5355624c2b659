#include "medlartrack/fair_queue.h"

struct mt_fair_flow
{
  uint64_t audience;
  GQueue items; /* oldest first */
  GList turn;   /* its place in the order of turns */
};

struct mt_fair_queue
{
  GHashTable *lanes;   /* audience -> struct mt_fair_flow; only those with items */
  GQueue turns;        /* of lanes, the next to serve first */
  unsigned length;     /* of all lanes */
  int64_t earliest_us; /* no item gives up before it */
};

struct mt_fair_queue *
mt_fair_queue_create (void)
{
  struct mt_fair_queue *queue = g_new0 (struct mt_fair_queue, 1);

  queue->lanes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&queue->turns);
  queue->earliest_us = INT64_MAX;
  return queue;
}

void
mt_fair_queue_destroy (struct mt_fair_queue *queue)
{
  if (queue == NULL)
    return;
  g_hash_table_destroy (queue->lanes);
  g_free (queue);
}

static struct mt_fair_flow *
open_lane (struct mt_fair_queue *queue, uint64_t audience)
{
  struct mt_fair_flow *lane = g_hash_table_lookup (queue->lanes, &audience);

  if (lane != NULL)
    return lane;
  lane = g_new0 (struct mt_fair_flow, 1);
  lane->audience = audience;
  lane->turn.data = lane;
  g_queue_init (&lane->items);
  g_hash_table_insert (queue->lanes, &lane->audience, lane);
  g_queue_push_tail_link (&queue->turns, &lane->turn);
  return lane;
}

static void
close_lane_if_empty (struct mt_fair_queue *queue, struct mt_fair_flow *lane)
{
  if (!g_queue_is_empty (&lane->items))
    return;
  g_queue_unlink (&queue->turns, &lane->turn);
  g_hash_table_remove (queue->lanes, &lane->audience);
}

void
mt_fair_queue_push (struct mt_fair_queue *queue, struct mt_fair_item *item)
{
  struct mt_fair_flow *lane = open_lane (queue, item->audience);

  item->flow = lane;
  item->link = (GList){ .data = item };
  g_queue_push_tail_link (&lane->items, &item->link);
  queue->length++;
  queue->earliest_us = MIN (queue->earliest_us, item->expires_us);
}

void
mt_fair_queue_remove (struct mt_fair_queue *queue, struct mt_fair_item *item)
{
  struct mt_fair_flow *lane = item->flow;

  g_queue_unlink (&lane->items, &item->link);
  item->flow = NULL;
  queue->length--;
  if (queue->length == 0)
    queue->earliest_us = INT64_MAX;
  close_lane_if_empty (queue, lane);
}

struct mt_fair_item *
mt_fair_queue_pop (struct mt_fair_queue *queue)
{
  struct mt_fair_flow *lane = g_queue_peek_head (&queue->turns);
  struct mt_fair_item *item;

  if (lane == NULL)
    return NULL;
  g_queue_unlink (&queue->turns, &lane->turn);
  g_queue_push_tail_link (&queue->turns, &lane->turn);
  item = g_queue_peek_head (&lane->items);
  mt_fair_queue_remove (queue, item);
  return item;
}

unsigned
mt_fair_queue_length (const struct mt_fair_queue *queue)
{
  return queue->length;
}

/* Each other audience gets at most one turn for each of ours. */
unsigned
mt_fair_queue_count_ahead (const struct mt_fair_queue *queue, uint64_t audience)
{
  const struct mt_fair_flow *own = g_hash_table_lookup (queue->lanes, &audience);
  unsigned turns = own != NULL ? own->items.length + 1 : 1;
  unsigned ahead = turns - 1;

  for (const GList *l = queue->turns.head; l != NULL; l = l->next)
    {
      const struct mt_fair_flow *lane = l->data;

      if (lane != own)
        ahead += MIN (lane->items.length, turns);
    }
  return ahead;
}

static struct mt_fair_item *
find_late (struct mt_fair_queue *queue, int64_t now_us)
{
  queue->earliest_us = INT64_MAX;
  for (GList *l = queue->turns.head; l != NULL; l = l->next)
    {
      struct mt_fair_flow *lane = l->data;

      for (GList *i = lane->items.head; i != NULL; i = i->next)
        {
          struct mt_fair_item *item = i->data;

          if (item->expires_us <= now_us)
            {
              queue->earliest_us = item->expires_us;
              return item;
            }
          queue->earliest_us = MIN (queue->earliest_us, item->expires_us);
        }
    }
  return NULL;
}

struct mt_fair_item *
mt_fair_queue_pop_expired (struct mt_fair_queue *queue, int64_t now_us)
{
  struct mt_fair_item *item;

  if (queue->earliest_us > now_us)
    return NULL;
  item = find_late (queue, now_us);
  if (item != NULL)
    mt_fair_queue_remove (queue, item);
  return item;
}
