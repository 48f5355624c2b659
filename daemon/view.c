#include "view.h"

#include "medlartrack/log.h"

#include <urcu-bp.h>

#define MAX_LISTENERS 8

struct listener
{
  mt_view_listener call;
  void *ctx;
};

struct mt_view_holder
{
  const struct mt_clock *clock;
  struct listener listeners[MAX_LISTENERS]; /* written before threads start */
  unsigned n_listeners;
  struct listener after_listeners[MAX_LISTENERS]; /* written before threads start */
  unsigned n_after_listeners;
  GMutex lock;              /* serialises writers */
  struct mt_tables *tables; /* written under lock, read under urcu */
  struct mt_assign *assign; /* written under lock, read under urcu */
  GMutex notify_lock;       /* serialises the calls of listeners */
  guint64 in_force;         /* atomic: version of the assignments applied by all listeners */
  gint64 confirmed_us;      /* atomic */
};

struct mt_view_holder *
mt_view_holder_create (const struct mt_clock *clock)
{
  struct mt_view_holder *holder = g_new0 (struct mt_view_holder, 1);

  holder->clock = clock;
  g_mutex_init (&holder->lock);
  g_mutex_init (&holder->notify_lock);
  return holder;
}

void
mt_view_holder_destroy (struct mt_view_holder *holder)
{
  if (holder == NULL)
    return;
  mt_tables_destroy (holder->tables);
  mt_assign_destroy (holder->assign);
  g_mutex_clear (&holder->lock);
  g_mutex_clear (&holder->notify_lock);
  g_free (holder);
}

void
mt_view_add_listener (struct mt_view_holder *holder, mt_view_listener listener, void *ctx)
{
  g_assert (holder->n_listeners < MAX_LISTENERS);
  holder->listeners[holder->n_listeners++] = (struct listener){ listener, ctx };
}

void
mt_view_add_after_listener (struct mt_view_holder *holder, mt_view_listener listener, void *ctx)
{
  g_assert (holder->n_after_listeners < MAX_LISTENERS);
  holder->after_listeners[holder->n_after_listeners++] = (struct listener){ listener, ctx };
}

void
mt_view_confirm (struct mt_view_holder *holder)
{
  __atomic_store_n (&holder->confirmed_us, mt_clock_now (holder->clock), __ATOMIC_RELAXED);
}

/* Calls the listeners. Without notify_lock a listener that read an older view could finish after
 * one that read the newer view, and put the older one in force again. */
static void
notify_listeners (struct mt_view_holder *holder)
{
  const struct mt_assign *assign;
  uint64_t version;

  g_mutex_lock (&holder->notify_lock);
  mt_view_begin (holder);
  assign = mt_view_assign (holder);
  version = assign != NULL ? assign->version : 0;
  mt_view_end ();
  for (unsigned i = 0; i < holder->n_listeners; i++)
    holder->listeners[i].call (holder->listeners[i].ctx);
  __atomic_store_n (&holder->in_force, version, __ATOMIC_SEQ_CST);
  for (unsigned i = 0; i < holder->n_after_listeners; i++)
    holder->after_listeners[i].call (holder->after_listeners[i].ctx);
  g_mutex_unlock (&holder->notify_lock);
}

bool
mt_view_offer (struct mt_view_holder *holder, struct mt_tables *tables)
{
  struct mt_tables *old;

  g_mutex_lock (&holder->lock);
  old = holder->tables;
  if (old != NULL && tables->version <= old->version)
    {
      g_mutex_unlock (&holder->lock);
      mt_tables_destroy (tables);
      return false;
    }
  rcu_assign_pointer (holder->tables, tables);
  mt_view_confirm (holder);
  g_mutex_unlock (&holder->lock);
  synchronize_rcu ();
  mt_log_event (MT_EVENT_TABLES_IN_FORCE, "version=%" G_GUINT64_FORMAT " id=%s", tables->version,
                tables->id.data);
  mt_tables_destroy (old);
  notify_listeners (holder);
  return true;
}

bool
mt_view_offer_assign (struct mt_view_holder *holder, struct mt_assign *assign)
{
  struct mt_assign *old;

  g_mutex_lock (&holder->lock);
  old = holder->assign;
  if (old != NULL && assign->version <= old->version)
    {
      g_mutex_unlock (&holder->lock);
      mt_assign_destroy (assign);
      return false;
    }
  rcu_assign_pointer (holder->assign, assign);
  g_mutex_unlock (&holder->lock);
  synchronize_rcu ();
  mt_assign_destroy (old);
  notify_listeners (holder);
  return true;
}

const struct mt_tables *
mt_view_begin (const struct mt_view_holder *holder)
{
  rcu_read_lock ();
  return rcu_dereference (holder->tables);
}

void
mt_view_end (void)
{
  rcu_read_unlock ();
}

const struct mt_assign *
mt_view_assign (const struct mt_view_holder *holder)
{
  return rcu_dereference (holder->assign);
}

uint64_t
mt_view_assign_in_force (const struct mt_view_holder *holder)
{
  return __atomic_load_n (&holder->in_force, __ATOMIC_SEQ_CST);
}

uint64_t
mt_view_version (const struct mt_view_holder *holder)
{
  const struct mt_tables *tables = mt_view_begin (holder);
  uint64_t version = tables != NULL ? tables->version : 0;

  mt_view_end ();
  return version;
}

int64_t
mt_view_age_us (const struct mt_view_holder *holder)
{
  int64_t at = __atomic_load_n (&holder->confirmed_us, __ATOMIC_RELAXED);

  return at == 0 ? -1 : mt_clock_now (holder->clock) - at;
}
