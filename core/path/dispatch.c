#include "medlartrack/dispatch.h"

#include <string.h>

struct minion
{
  char *name;
  char *address;
  unsigned slots;
  unsigned in_flight;
  bool present; /* in the tables now */
};

struct mt_dispatch
{
  const struct mt_clock *clock;
  const struct mt_dispatch_callbacks *callbacks;
  GHashTable *minions; /* name -> struct minion */
  GQueue waiting;      /* of struct mt_ticket, oldest first */
};

static void
free_minion (gpointer data)
{
  struct minion *minion = data;

  g_free (minion->name);
  g_free (minion->address);
  g_free (minion);
}

static struct minion *
pick (struct mt_dispatch *dispatch, const char *avoid)
{
  struct minion *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatch->minions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct minion *minion = value;

      if (!minion->present || minion->in_flight >= minion->slots)
        continue;
      if (avoid != NULL && strcmp (avoid, minion->name) == 0)
        continue;
      if (best == NULL || minion->in_flight < best->in_flight)
        best = minion;
    }
  return best;
}

static bool
try_grant (struct mt_dispatch *dispatch, struct mt_ticket *ticket)
{
  struct minion *minion = pick (dispatch, ticket->avoid);

  if (minion == NULL && ticket->avoid != NULL)
    minion = pick (dispatch, NULL);
  if (minion == NULL)
    return false;
  minion->in_flight++;
  ticket->minion = minion->name;
  ticket->address = minion->address;
  ticket->granted_us = mt_clock_now (dispatch->clock);
  return true;
}

static void
grant_waiters (struct mt_dispatch *dispatch)
{
  int64_t now = mt_clock_now (dispatch->clock);
  struct mt_ticket *ticket;

  while ((ticket = g_queue_peek_head (&dispatch->waiting)) != NULL)
    {
      if (ticket->deadline_us <= now)
        {
          g_queue_pop_head (&dispatch->waiting);
          dispatch->callbacks->expired (ticket);
          continue;
        }
      if (!try_grant (dispatch, ticket))
        return;
      g_queue_pop_head (&dispatch->waiting);
      dispatch->callbacks->granted (ticket);
    }
}

struct mt_dispatch *
mt_dispatch_create (const struct mt_clock *clock, const struct mt_dispatch_callbacks *callbacks)
{
  struct mt_dispatch *dispatch = g_new0 (struct mt_dispatch, 1);

  dispatch->clock = clock;
  dispatch->callbacks = callbacks;
  dispatch->minions = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_minion);
  g_queue_init (&dispatch->waiting);
  return dispatch;
}

void
mt_dispatch_destroy (struct mt_dispatch *dispatch)
{
  if (dispatch == NULL)
    return;
  g_hash_table_destroy (dispatch->minions);
  g_queue_clear (&dispatch->waiting);
  g_free (dispatch);
}

static void
take_instance (struct mt_dispatch *dispatch, const struct mt_instance *instance)
{
  struct minion *minion = g_hash_table_lookup (dispatch->minions, instance->name.data);

  if (minion == NULL)
    {
      minion = g_new0 (struct minion, 1);
      minion->name = g_strdup (instance->name.data);
      minion->address = g_strdup (instance->address.data);
      g_hash_table_insert (dispatch->minions, minion->name, minion);
    }
  minion->slots = instance->slots;
  minion->present = !instance->leaving;
}

void
mt_dispatch_update (struct mt_dispatch *dispatch,
                    const struct mt_instance *const *instances,
                    size_t n)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dispatch->minions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct minion *minion = value;

      minion->present = false;
      if (minion->in_flight == 0)
        g_hash_table_iter_remove (&iter);
    }
  for (size_t i = 0; i < n; i++)
    take_instance (dispatch, instances[i]);
  grant_waiters (dispatch);
}

enum mt_admit
mt_dispatch_ask (struct mt_dispatch *dispatch, struct mt_ticket *ticket, unsigned queue_limit)
{
  if (g_queue_is_empty (&dispatch->waiting) && try_grant (dispatch, ticket))
    return MT_ADMIT_RUN;
  if (g_hash_table_size (dispatch->minions) == 0
      || g_queue_get_length (&dispatch->waiting) >= queue_limit)
    return MT_ADMIT_REFUSE;
  g_queue_push_tail (&dispatch->waiting, ticket);
  return MT_ADMIT_WAIT;
}

void
mt_dispatch_done (struct mt_dispatch *dispatch,
                  struct mt_ticket *ticket,
                  enum mt_dispatch_result result)
{
  struct minion *minion = g_hash_table_lookup (dispatch->minions, ticket->minion);

  minion->in_flight--;
  ticket->minion = NULL;
  ticket->address = NULL;
  grant_waiters (dispatch);
}

void
mt_dispatch_cancel (struct mt_dispatch *dispatch, struct mt_ticket *ticket)
{
  g_queue_remove (&dispatch->waiting, ticket);
}

unsigned
mt_dispatch_waiting (const struct mt_dispatch *dispatch)
{
  return dispatch->waiting.length;
}

unsigned
mt_dispatch_in_flight (const struct mt_dispatch *dispatch, const char *name)
{
  GHashTableIter iter;
  gpointer value;
  unsigned total = 0;

  g_hash_table_iter_init (&iter, dispatch->minions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct minion *minion = value;

      if (name == NULL || strcmp (name, minion->name) == 0)
        total += minion->in_flight;
    }
  return total;
}
