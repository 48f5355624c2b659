#include "controller_internal.h"

#include <string.h>

/* Plans are made this often; an order follows from what the schedulers told in between. */
#define PLAN_MS 50
/* An order that could not be carried out is given again after this. */
#define AGAIN_MS 400
/* A plan whose worker does not empty within so many times what is expected is dropped; another
 * machine is taken. */
#define PATIENCE_FACTOR 3
/* A scheduler's view older than this proves nothing about a worker being empty. */
#define FRESH_MS 700
/* Schedulers are told for so long that a worker's life has ended; its entry may stay listed. */
#define TELL_ENDED_MS 10000

static void
free_pool (void *data)
{
  struct mt_controller_update_pool *p = data;

  g_free (p->name);
  g_free (p);
}

static void
free_machine (void *data)
{
  struct mt_controller_machine *m = data;

  g_free (m->id);
  g_free (m->rack);
  g_free (m->worker);
  g_free (m->ended_worker);
  g_free (m);
}

static void
free_wave (void *data)
{
  struct mt_controller_update_wave *w = data;

  g_hash_table_unref (w->left);
  g_hash_table_unref (w->done);
  g_free (w);
}

struct mt_controller *
mt_controller_create (const struct mt_controller_settings *settings)
{
  struct mt_controller *ctl = g_new0 (struct mt_controller, 1);

  ctl->settings = *settings;
  ctl->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
  ctl->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_machine);
  ctl->by_worker = g_hash_table_new (g_str_hash, g_str_equal);
  ctl->waves = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_wave);
  return ctl;
}

void
mt_controller_destroy (struct mt_controller *ctl)
{
  if (ctl == NULL)
    return;
  g_hash_table_unref (ctl->waves);
  g_hash_table_unref (ctl->by_worker);
  g_hash_table_unref (ctl->machines);
  g_hash_table_unref (ctl->pools);
  g_free (ctl);
}

static struct mt_controller_update_pool *
get_pool (struct mt_controller *ctl, const char *name)
{
  struct mt_controller_update_pool *p = g_hash_table_lookup (ctl->pools, name);

  if (p != NULL)
    return p;
  p = g_new0 (struct mt_controller_update_pool, 1);
  p->name = g_strdup (name);
  g_hash_table_insert (ctl->pools, p->name, p);
  return p;
}

void
mt_controller_set_pool (struct mt_controller *ctl, const char *name, bool standby)
{
  get_pool (ctl, name)->standby = standby;
}

/* ---- machines ---- */

static struct mt_controller_machine *
get_machine (struct mt_controller *ctl, const char *id)
{
  struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, id);

  if (m != NULL)
    return m;
  m = g_new0 (struct mt_controller_machine, 1);
  m->id = g_strdup (id);
  g_hash_table_insert (ctl->machines, m->id, m);
  return m;
}

static void
drop_plan (struct mt_controller_machine *m)
{
  m->plan = MT_PLAN_NONE;
  m->cordoned = 0;
  m->to = NULL;
  m->wave = NULL;
  m->sent = false;
}

/* Takes the name over; NULL for none. */
static void
set_worker (struct mt_controller *ctl, struct mt_controller_machine *m, char *worker)
{
  if (m->worker != NULL && g_hash_table_lookup (ctl->by_worker, m->worker) == m)
    g_hash_table_remove (ctl->by_worker, m->worker);
  g_free (m->worker);
  m->worker = worker;
  m->viewed = false;
  if (worker != NULL)
    g_hash_table_insert (ctl->by_worker, worker, m);
}

/* An order that was done already, by a lost call or a predecessor, is answered like one that was
 * done now: the worker is then another life, and runs on. Only the list tells; its tasks must not
 * be started elsewhere on the answer alone. */
static void
settle_ended (struct mt_controller_machine *m,
              const struct mt_controller_machine_info *row,
              int64_t now)
{
  if (m->ended_worker == NULL || m->ended_at != 0)
    return;
  if (row->up && g_strcmp0 (row->worker, m->ended_worker) == 0)
    g_clear_pointer (&m->ended_worker, g_free);
  else
    m->ended_at = now;
}

static void
take_machine (struct mt_controller *ctl,
              const struct mt_controller_machine_info *row,
              int64_t asked,
              int64_t now)
{
  struct mt_controller_machine *m = get_machine (ctl, row->id);

  m->listed = true;
  if (m->rack == NULL)
    m->rack = g_strdup (row->rack);
  /* The list was asked for before an order on it was carried out. */
  if (asked <= m->ordered || m->sent)
    return;
  settle_ended (m, row, now);
  m->pool = get_pool (ctl, row->pool);
  if (m->home == NULL)
    m->home = m->pool;
  m->up = row->up;
  m->room = row->resources;
  m->in_upkeep = row->in_maintenance;
  if (g_strcmp0 (m->worker, row->worker) == 0)
    return;
  set_worker (ctl, m, g_strdup (row->worker));
  m->cordoned = 0;
}

static gboolean
drop_unlisted (gpointer key, gpointer value, gpointer ctx)
{
  struct mt_controller_machine *m = value;

  if (m->listed || m->sent)
    return FALSE;
  set_worker (ctx, m, NULL);
  return TRUE;
}

static void
forget_in_waves (struct mt_controller *ctl, const char *id)
{
  GHashTableIter it;
  struct mt_controller_update_wave *w;

  g_hash_table_iter_init (&it, ctl->waves);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    g_hash_table_remove (w->left, id);
}

void
mt_controller_update_machines (struct mt_controller *ctl,
                               const struct mt_controller_machine_info *machines,
                               size_t n,
                               int64_t asked,
                               int64_t now)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    m->listed = false;
  for (size_t i = 0; i < n; i++)
    take_machine (ctl, &machines[i], asked, now);
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (!m->listed)
      forget_in_waves (ctl, m->id);
  g_hash_table_foreach_remove (ctl->machines, drop_unlisted, ctl);
  if (!ctl->listed)
    ctl->first_listed = now;
  ctl->listed = true;
}

/* ---- pools ---- */

bool
mt_controller_pool_is_short (const struct mt_controller_update_pool *p)
{
  return p->load.urgent > 0;
}

static void
take_view (struct mt_controller *ctl, const struct mt_worker_view *view, int64_t now)
{
  struct mt_controller_machine *m = g_hash_table_lookup (ctl->by_worker, view->id);

  if (m == NULL)
    return;
  m->viewed = true;
  m->view = *view;
  m->view.id = m->worker;
  m->viewed_at = now;
  if (m->plan != MT_PLAN_NONE && view->cordoned && m->cordoned == 0)
    m->cordoned = now;
}

void
mt_controller_update_pool (struct mt_controller *ctl,
                           const char *name,
                           const struct mt_scheduler_load *load,
                           const struct mt_worker_view *workers,
                           size_t n,
                           int64_t now)
{
  struct mt_controller_update_pool *p = get_pool (ctl, name);

  p->seen = true;
  p->told = now;
  p->load = *load;
  for (size_t i = 0; i < n; i++)
    take_view (ctl, &workers[i], now);
}

/* ---- waves ---- */

void
mt_controller_update_wave (struct mt_controller *ctl,
                           int64_t number,
                           char **machines,
                           char **done,
                           unsigned cap,
                           int64_t due)
{
  struct mt_controller_update_wave *w = g_hash_table_lookup (ctl->waves, &number);

  if (w == NULL)
    {
      w = g_new0 (struct mt_controller_update_wave, 1);
      w->number = number;
      w->left = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      w->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (ctl->waves, &w->number, w);
    }
  w->cap = cap;
  w->due = due;
  for (char **id = machines; id != NULL && *id != NULL; id++)
    if (!g_hash_table_contains (w->done, *id))
      g_hash_table_add (w->left, g_strdup (*id));
  for (char **id = done; id != NULL && *id != NULL; id++)
    {
      g_hash_table_remove (w->left, *id);
      g_hash_table_add (w->done, g_strdup (*id));
    }
}

bool
mt_controller_expects_changes (const struct mt_controller *ctl)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (m->plan != MT_PLAN_NONE || !m->up)
      return true;
  return false;
}

bool
mt_controller_is_short (const struct mt_controller *ctl)
{
  GHashTableIter it;
  const struct mt_controller_update_pool *p;

  g_hash_table_iter_init (&it, ctl->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (mt_controller_pool_is_short (p))
      return true;
  return false;
}

bool
mt_controller_needs_frequent_loads (const struct mt_controller *ctl)
{
  GHashTableIter it;
  const struct mt_controller_machine *m;

  if (mt_controller_is_short (ctl))
    return true;
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (m->plan != MT_PLAN_NONE)
      return true;
  return false;
}

bool
mt_controller_wave_done (const struct mt_controller *ctl, int64_t number)
{
  const struct mt_controller_update_wave *w = g_hash_table_lookup (ctl->waves, &number);

  return w != NULL && ctl->listed && g_hash_table_size (w->left) == 0;
}

char **
mt_controller_wave_progress (const struct mt_controller *ctl, int64_t number)
{
  const struct mt_controller_update_wave *w = g_hash_table_lookup (ctl->waves, &number);
  GPtrArray *out = g_ptr_array_new ();
  GHashTableIter it;
  const char *id;

  if (w != NULL)
    {
      g_hash_table_iter_init (&it, w->done);
      while (g_hash_table_iter_next (&it, (void **) &id, NULL))
        g_ptr_array_add (out, g_strdup (id));
    }
  g_ptr_array_add (out, NULL);
  return (char **) g_ptr_array_free (out, FALSE);
}

/* ---- orders ---- */

/* Nothing runs on it and nothing can come: its scheduler has it cordoned, and told so after that.
 * One of a pool that is off runs nothing anyway. */
static bool
is_empty (const struct mt_controller_machine *m, int64_t now)
{
  if (m->pool->standby)
    return true;
  return m->worker != NULL && m->cordoned != 0 && m->viewed && m->viewed_at >= m->cordoned
         && now - m->viewed_at < FRESH_MS && m->view.cordoned && m->view.tasks == 0
         && !m->view.silent;
}

void
mt_controller_set_home (struct mt_controller *ctl, const char *machine, const char *pool)
{
  struct mt_controller_machine *m = get_machine (ctl, machine);

  m->home = get_pool (ctl, pool);
  m->home_stored = true;
}

static bool
is_away (const struct mt_controller_machine *m)
{
  return m->home != NULL && (m->pool != m->home || m->plan == MT_PLAN_MOVE);
}

char **
mt_controller_unstored_homes (struct mt_controller *ctl)
{
  GPtrArray *out = g_ptr_array_new ();
  GHashTableIter it;
  struct mt_controller_machine *m;
  bool stored = true;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      if (!is_away (m))
        continue;
      stored &= m->home_stored;
      g_ptr_array_add (out, g_strdup (m->id));
      g_ptr_array_add (out, g_strdup (m->home->name));
    }
  g_ptr_array_add (out, NULL);
  if (!stored)
    return (char **) g_ptr_array_free (out, FALSE);
  g_strfreev ((char **) g_ptr_array_free (out, FALSE));
  return NULL;
}

void
mt_controller_homes_stored (struct mt_controller *ctl, char **homes)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    m->home_stored = false;
  for (char **at = homes; at[0] != NULL; at += 2)
    {
      m = g_hash_table_lookup (ctl->machines, at[0]);
      if (m != NULL && m->home != NULL && strcmp (m->home->name, at[1]) == 0)
        m->home_stored = true;
    }
}

void
mt_controller_plan (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  if (!ctl->listed || now - ctl->last_plan < PLAN_MS)
    return;
  ctl->last_plan = now;
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (m->plan != MT_PLAN_NONE && !m->sent
        && (!m->up || now - m->planned > PATIENCE_FACTOR * mt_controller_drain_ms (m)
            || (m->wave != NULL && !g_hash_table_contains (m->wave->left, m->id))))
      drop_plan (m);
  mt_controller_plan_waves (ctl, now);
  if (ctl->settings.allow_moves)
    mt_controller_plan_moves (ctl, now);
}

bool
mt_controller_next_order (struct mt_controller *ctl, int64_t now, struct mt_controller_order *order)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  mt_controller_plan (ctl, now);
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      if (m->plan == MT_PLAN_NONE || m->sent || now < m->again_at || !is_empty (m, now))
        continue;
      if (m->plan == MT_PLAN_MOVE && !m->home_stored)
        continue;
      m->sent = true;
      *order = (struct mt_controller_order){
        .kind = m->plan == MT_PLAN_UPKEEP ? MT_CONTROLLER_MAINTENANCE : MT_CONTROLLER_MOVE,
        .machine = m->id,
        .worker = m->worker,
        .pool = m->pool->name,
        .to = m->to != NULL ? m->to->name : NULL,
        .wave = m->wave != NULL ? m->wave->number : 0,
      };
      return true;
    }
  return false;
}

static void
carried_out (struct mt_controller *ctl, struct mt_controller_machine *m, int64_t now)
{
  bool upkeep = m->plan == MT_PLAN_UPKEEP;

  if (upkeep)
    {
      g_hash_table_remove (m->wave->left, m->id);
      g_hash_table_add (m->wave->done, g_strdup (m->id));
    }
  else
    m->pool = m->to;
  m->ordered = now;
  m->in_upkeep = upkeep;
  m->up = false;
  g_free (m->ended_worker);
  m->ended_worker = g_strdup (m->worker);
  m->ended_at = 0;
  set_worker (ctl, m, NULL);
  drop_plan (m);
}

void
mt_controller_handle_result (struct mt_controller *ctl,
                             const char *machine,
                             enum mt_controller_order_result answer,
                             int64_t now)
{
  struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, machine);

  if (m == NULL || !m->sent)
    return;
  m->sent = false;
  switch (answer)
    {
    case MT_CONTROLLER_ORDER_DONE:
      carried_out (ctl, m, now);
      return;
    case MT_CONTROLLER_ORDER_REJECTED:
      if (m->wave != NULL)
        g_hash_table_remove (m->wave->left, m->id);
      drop_plan (m);
      return;
    case MT_CONTROLLER_ORDER_UNKNOWN:
      /* It may have been done: until the next try tells, it counts as away. */
      m->again_at = now + AGAIN_MS;
      return;
    case MT_CONTROLLER_ORDER_RETRY:
      m->again_at = now + AGAIN_MS;
      if (m->plan == MT_PLAN_MOVE)
        drop_plan (m);
      return;
    }
}

void
mt_controller_directives_clear (struct mt_controller_directives *notes)
{
  g_strfreev (notes->cordon);
  g_strfreev (notes->ended_workers);
  g_strfreev (notes->maintenance_due);
  *notes = (struct mt_controller_directives){ 0 };
}

static bool
is_due (const struct mt_controller *ctl, const struct mt_controller_machine *m)
{
  GHashTableIter it;
  const struct mt_controller_update_wave *w;

  g_hash_table_iter_init (&it, ctl->waves);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    if (g_hash_table_contains (w->left, m->id))
      return true;
  return false;
}

struct mt_controller_directives
mt_controller_pool_directives (struct mt_controller *ctl, const char *pool, int64_t now)
{
  GPtrArray *cordon = g_ptr_array_new ();
  GPtrArray *ended = g_ptr_array_new ();
  GPtrArray *due = g_ptr_array_new ();
  const struct mt_controller_update_pool *p = g_hash_table_lookup (ctl->pools, pool);
  GHashTableIter it;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      bool here = m->worker != NULL && strcmp (m->pool->name, pool) == 0;

      if (here && m->plan != MT_PLAN_NONE)
        g_ptr_array_add (cordon, g_strdup (m->worker));
      else if (here && is_due (ctl, m))
        g_ptr_array_add (due, g_strdup (m->worker));
      if (m->ended_worker != NULL && m->ended_at == 0)
        g_ptr_array_add (cordon, g_strdup (m->ended_worker));
      else if (m->ended_worker != NULL && now - m->ended_at < TELL_ENDED_MS)
        g_ptr_array_add (ended, g_strdup (m->ended_worker));
    }
  g_ptr_array_add (cordon, NULL);
  g_ptr_array_add (ended, NULL);
  g_ptr_array_add (due, NULL);
  return (struct mt_controller_directives){ (char **) g_ptr_array_free (cordon, FALSE),
                                            (char **) g_ptr_array_free (ended, FALSE),
                                            (char **) g_ptr_array_free (due, FALSE),
                                            p != NULL ? mt_controller_promised_cpu (p) : 0 };
}
