#include "controller_internal.h"

#include <string.h>

/* Interval of planning. In between, orders follow the last plan and the latest reports. */
#define PLAN_INTERVAL_MS 50
/* Delay before an order that could not be carried out is retried. */
#define ORDER_RETRY_MS 400
/* The plan for a machine is dropped if draining takes longer than the expected time multiplied by
 * this. Another machine can then be planned instead. */
#define DRAIN_TIMEOUT_FACTOR 3
/* A scheduler's report that is older than this does not prove that a worker is empty. */
#define MAX_VIEW_AGE_MS 700
/* Window of a pool's longest remaining task time: some tasks run several times as long as others,
 * and not every report shows one. */
#define LONGEST_BATCH_WINDOW_MS 10000
/* Weight of the latest move in the measured time of a move, and its highest value: a machine that
 * is up later than that was held up by something else. */
#define MOVE_WEIGHT 0.25
#define MAX_MOVE_MS 10000
/* How long schedulers are notified that a worker's incarnation has ended: its registry entry may
 * remain for that long. */
#define REPORT_ENDED_MS 10000

static void
free_pool (void *data)
{
  struct mt_controller_pool *p = data;

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
  struct mt_controller_wave *w = data;

  g_hash_table_unref (w->remaining);
  g_hash_table_unref (w->done);
  g_free (w);
}

struct mt_controller *
mt_controller_create (const struct mt_controller_settings *settings)
{
  struct mt_controller *ctl = g_new0 (struct mt_controller, 1);

  ctl->settings = *settings;
  if (settings->forecast != NULL && !mt_forecast_method_is_none (settings->forecast))
    ctl->forecast = mt_forecast_create (settings->forecast);
  ctl->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
  ctl->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_machine);
  ctl->orderable = g_ptr_array_new ();
  ctl->by_worker = g_hash_table_new (g_str_hash, g_str_equal);
  ctl->waves = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_wave);
  return ctl;
}

void
mt_controller_destroy (struct mt_controller *ctl)
{
  if (ctl == NULL)
    return;
  g_ptr_array_unref (ctl->orderable);
  g_hash_table_unref (ctl->waves);
  g_hash_table_unref (ctl->by_worker);
  g_hash_table_unref (ctl->machines);
  g_hash_table_unref (ctl->pools);
  mt_forecast_destroy (ctl->forecast);
  g_free (ctl);
}

static struct mt_controller_pool *
get_pool (struct mt_controller *ctl, const char *name)
{
  struct mt_controller_pool *p = g_hash_table_lookup (ctl->pools, name);

  if (p != NULL)
    return p;
  p = g_new0 (struct mt_controller_pool, 1);
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
  m->cordoned_at = 0;
  m->destination = NULL;
  m->wave = NULL;
  m->order_pending = m->outcome_unknown = false;
}

/* Takes ownership of worker; NULL for none. */
static void
set_worker (struct mt_controller *ctl, struct mt_controller_machine *m, char *worker)
{
  if (m->worker != NULL && g_hash_table_lookup (ctl->by_worker, m->worker) == m)
    g_hash_table_remove (ctl->by_worker, m->worker);
  g_free (m->worker);
  m->worker = worker;
  m->has_view = false;
  if (worker != NULL)
    g_hash_table_insert (ctl->by_worker, worker, m);
}

/* Confirms by the list of machines that an order ended the worker. The answer to the order alone
 * does not prove it, so the worker's tasks must not be started elsewhere yet: an order that was
 * carried out before, in a call whose answer was lost or for an earlier controller, gets the same
 * answer, and the worker is then a later incarnation that keeps running. */
static void
confirm_ended (struct mt_controller_machine *m,
               const struct mt_controller_machine_info *row,
               int64_t now)
{
  if (m->ended_worker == NULL || m->end_confirmed_at != 0)
    return;
  if (row->up && g_strcmp0 (row->worker, m->ended_worker) == 0)
    g_clear_pointer (&m->ended_worker, g_free);
  else
    m->end_confirmed_at = now;
}

static void
measure_move (struct mt_controller *ctl, struct mt_controller_machine *m, int64_t now)
{
  double took = (double) MIN (now - m->planned_at, MAX_MOVE_MS);

  m->is_moving = false;
  if (ctl->move_took_ms == 0)
    ctl->move_took_ms = took;
  else
    ctl->move_took_ms += MOVE_WEIGHT * (took - ctl->move_took_ms);
}

static void
update_machine (struct mt_controller *ctl,
                const struct mt_controller_machine_info *row,
                int64_t requested_at,
                int64_t now)
{
  struct mt_controller_machine *m = get_machine (ctl, row->id);

  m->listed = true;
  if (m->rack == NULL)
    m->rack = g_strdup (row->rack);
  /* The row may be outdated: it was requested before an order on the machine was carried out, or
   * such an order is pending. */
  if (requested_at <= m->ordered_at || m->order_pending)
    return;
  confirm_ended (m, row, now);
  m->pool = get_pool (ctl, row->pool);
  if (m->home == NULL)
    m->home = m->pool;
  m->up = row->up;
  if (m->is_moving && m->up)
    measure_move (ctl, m, now);
  m->resources = row->resources;
  m->in_maintenance = row->in_maintenance;
  if (g_strcmp0 (m->worker, row->worker) == 0)
    return;
  set_worker (ctl, m, g_strdup (row->worker));
  m->cordoned_at = 0;
}

static void
forget_orderable (struct mt_controller *ctl)
{
  g_ptr_array_set_size (ctl->orderable, 0);
  ctl->next_orderable = 0;
}

static gboolean
drop_unlisted (gpointer key, gpointer value, gpointer ctx)
{
  struct mt_controller_machine *m = value;

  if (m->listed || m->order_pending)
    return FALSE;
  set_worker (ctx, m, NULL);
  return TRUE;
}

static void
remove_from_waves (struct mt_controller *ctl, const char *id)
{
  GHashTableIter it;
  struct mt_controller_wave *w;

  g_hash_table_iter_init (&it, ctl->waves);
  while (g_hash_table_iter_next (&it, NULL, (void **) &w))
    g_hash_table_remove (w->remaining, id);
}

void
mt_controller_update_machines (struct mt_controller *ctl,
                               const struct mt_controller_machine_info *machines,
                               size_t n,
                               bool is_whole,
                               int64_t requested_at,
                               int64_t now)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    m->listed = !is_whole;
  for (size_t i = 0; i < n; i++)
    update_machine (ctl, &machines[i], requested_at, now);
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (!m->listed)
      remove_from_waves (ctl, m->id);
  forget_orderable (ctl);
  g_hash_table_foreach_remove (ctl->machines, drop_unlisted, ctl);
  if (!ctl->listed)
    ctl->first_listed_at = now;
  ctl->listed = true;
}

/* ---- pools ---- */

bool
mt_controller_pool_is_short (const struct mt_controller_pool *p)
{
  return p->load.urgent > 0;
}

static void
update_longest_batch (struct mt_controller_pool *p, const struct mt_worker_view *view, int64_t now)
{
  struct mt_controller_longest_batch *longest = &p->longest_batch;

  if (view->silent
      || (view->batch_remaining_ms < longest->ms && now - longest->at <= LONGEST_BATCH_WINDOW_MS))
    return;
  longest->ms = view->batch_remaining_ms;
  longest->at = now;
}

static void
update_view (struct mt_controller *ctl, const struct mt_worker_view *view, int64_t now)
{
  struct mt_controller_machine *m = g_hash_table_lookup (ctl->by_worker, view->id);

  if (m == NULL)
    return;
  m->has_view = true;
  m->view = *view;
  m->view.id = m->worker;
  m->viewed_at = now;
  if (m->plan != MT_PLAN_NONE && view->cordoned && m->cordoned_at == 0)
    m->cordoned_at = now;
}

void
mt_controller_update_pool (struct mt_controller *ctl,
                           const char *name,
                           const struct mt_scheduler_load *load,
                           const struct mt_worker_view *workers,
                           size_t n,
                           int64_t now)
{
  struct mt_controller_pool *p = get_pool (ctl, name);

  p->reported = true;
  p->reported_at = now;
  p->load = *load;
  if (ctl->forecast != NULL)
    mt_forecast_observe (ctl->forecast, name, load->arriving_cpu, now);
  for (size_t i = 0; i < n; i++)
    {
      update_longest_batch (p, &workers[i], now);
      update_view (ctl, &workers[i], now);
    }
}

/* ---- waves ---- */

void
mt_controller_update_wave (struct mt_controller *ctl,
                           int64_t number,
                           char **machines,
                           char **done,
                           unsigned max_down,
                           int64_t deadline)
{
  struct mt_controller_wave *w = g_hash_table_lookup (ctl->waves, &number);

  if (w == NULL)
    {
      w = g_new0 (struct mt_controller_wave, 1);
      w->number = number;
      w->remaining = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      w->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (ctl->waves, &w->number, w);
    }
  w->max_down = max_down;
  w->deadline = deadline;
  for (char **id = machines; id != NULL && *id != NULL; id++)
    if (!g_hash_table_contains (w->done, *id))
      g_hash_table_add (w->remaining, g_strdup (*id));
  for (char **id = done; id != NULL && *id != NULL; id++)
    {
      g_hash_table_remove (w->remaining, *id);
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
mt_controller_any_pool_short (const struct mt_controller *ctl)
{
  GHashTableIter it;
  const struct mt_controller_pool *p;

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

  if (mt_controller_any_pool_short (ctl))
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
  const struct mt_controller_wave *w = g_hash_table_lookup (ctl->waves, &number);

  return w != NULL && ctl->listed && g_hash_table_size (w->remaining) == 0;
}

char **
mt_controller_wave_progress (const struct mt_controller *ctl, int64_t number)
{
  const struct mt_controller_wave *w = g_hash_table_lookup (ctl->waves, &number);
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

/* Returns whether nothing runs on the machine and nothing can start there: its scheduler has
 * cordoned the worker and has since reported it empty. A machine in a standby pool is off and runs
 * nothing. */
static bool
is_empty (const struct mt_controller_machine *m, int64_t now)
{
  if (m->pool->standby)
    return true;
  return m->worker != NULL && m->cordoned_at != 0 && m->has_view && m->viewed_at >= m->cordoned_at
         && now - m->viewed_at < MAX_VIEW_AGE_MS && m->view.cordoned && m->view.tasks == 0
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
is_away_from_home (const struct mt_controller_machine *m)
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
      if (!is_away_from_home (m))
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

/* Returns whether the plan can't be carried out in time any more or has become pointless. A wave
 * may become known after a move of one of its machines has been planned. A plan whose order may
 * still be carried out stays until the machine is down or a retry has shown the result. */
static bool
plan_is_void (const struct mt_controller *ctl, const struct mt_controller_machine *m, int64_t now)
{
  if (m->up && m->outcome_unknown)
    return false;
  if (!m->up || now - m->planned_at > DRAIN_TIMEOUT_FACTOR * mt_controller_drain_ms (ctl, m))
    return true;
  if (m->wave != NULL)
    return !g_hash_table_contains (m->wave->remaining, m->id);
  return ctl->forecast != NULL && !mt_controller_may_move_to (ctl, m, m->destination, now);
}

void
mt_controller_plan (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  if (!ctl->listed || now - ctl->last_plan_at < PLAN_INTERVAL_MS)
    return;
  ctl->last_plan_at = now;
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (m->plan != MT_PLAN_NONE && !m->order_pending && plan_is_void (ctl, m, now))
      drop_plan (m);
  mt_controller_plan_waves (ctl, now);
  if (ctl->settings.allow_moves)
    mt_controller_plan_moves (ctl, now);
}

static bool
can_be_ordered (const struct mt_controller_machine *m, int64_t now)
{
  return m->plan != MT_PLAN_NONE && !m->order_pending && now >= m->retry_at && is_empty (m, now)
         && (m->plan != MT_PLAN_MOVE || m->home_stored);
}

static void
collect_orderable (struct mt_controller *ctl, int64_t now)
{
  GHashTableIter it;
  struct mt_controller_machine *m;

  forget_orderable (ctl);
  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    if (can_be_ordered (m, now))
      g_ptr_array_add (ctl->orderable, m);
}

bool
mt_controller_next_order (struct mt_controller *ctl, int64_t now, struct mt_controller_order *order)
{
  mt_controller_plan (ctl, now);
  if (ctl->next_orderable == ctl->orderable->len)
    collect_orderable (ctl, now);
  while (ctl->next_orderable < ctl->orderable->len)
    {
      struct mt_controller_machine *m = ctl->orderable->pdata[ctl->next_orderable++];

      if (!can_be_ordered (m, now))
        continue;
      m->order_pending = true;
      *order = (struct mt_controller_order){
        .kind = m->plan == MT_PLAN_MAINTENANCE ? MT_CONTROLLER_MAINTENANCE : MT_CONTROLLER_MOVE,
        .machine = m->id,
        .worker = m->worker,
        .pool = m->pool->name,
        .to = m->destination != NULL ? m->destination->name : NULL,
        .wave = m->wave != NULL ? m->wave->number : 0,
      };
      return true;
    }
  return false;
}

static void
complete_order (struct mt_controller *ctl, struct mt_controller_machine *m, int64_t now)
{
  bool maintenance = m->plan == MT_PLAN_MAINTENANCE;

  if (maintenance)
    {
      g_hash_table_remove (m->wave->remaining, m->id);
      g_hash_table_add (m->wave->done, g_strdup (m->id));
    }
  else
    m->pool = m->destination;
  m->ordered_at = now;
  m->in_maintenance = maintenance;
  m->is_moving = !maintenance;
  m->up = false;
  g_free (m->ended_worker);
  m->ended_worker = g_strdup (m->worker);
  m->ended_started_at_ms = m->has_view ? m->view.started_at_ms : 0;
  m->end_confirmed_at = 0;
  set_worker (ctl, m, NULL);
  drop_plan (m);
}

void
mt_controller_handle_result (struct mt_controller *ctl,
                             const char *machine,
                             enum mt_controller_order_result result,
                             int64_t now)
{
  struct mt_controller_machine *m = g_hash_table_lookup (ctl->machines, machine);

  if (m == NULL || !m->order_pending)
    return;
  m->order_pending = false;
  switch (result)
    {
    case MT_CONTROLLER_ORDER_DONE:
      complete_order (ctl, m, now);
      return;
    case MT_CONTROLLER_ORDER_REJECTED:
      if (m->wave != NULL)
        g_hash_table_remove (m->wave->remaining, m->id);
      drop_plan (m);
      return;
    case MT_CONTROLLER_ORDER_UNKNOWN:
      /* The order may have been carried out. The plan stays, so that the machine counts as down
       * until the retry has shown the result. */
      m->outcome_unknown = true;
      m->retry_at = now + ORDER_RETRY_MS;
      return;
    case MT_CONTROLLER_ORDER_RETRY:
      m->retry_at = now + ORDER_RETRY_MS;
      if (m->plan == MT_PLAN_MOVE && !m->outcome_unknown)
        drop_plan (m);
      return;
    }
}

struct mt_forecast *
mt_controller_forecast (struct mt_controller *ctl)
{
  return ctl->forecast;
}

bool
mt_controller_count (const struct mt_controller *ctl,
                     const char *pool,
                     struct mt_controller_counts *out)
{
  const struct mt_controller_pool *p = g_hash_table_lookup (ctl->pools, pool);

  if (p == NULL)
    return false;
  *out = (struct mt_controller_counts){ p->n_allocated, p->n_machines - p->n_arriving,
                                        p->n_arriving };
  return true;
}

void
mt_controller_directives_clear (struct mt_controller_directives *directives)
{
  g_strfreev (directives->cordon);
  g_strfreev (directives->ended_workers);
  g_free (directives->ended_started_at_ms);
  g_strfreev (directives->maintenance_due);
  *directives = (struct mt_controller_directives){ 0 };
}

struct mt_controller_directives
mt_controller_pool_directives (struct mt_controller *ctl, const char *pool, int64_t now)
{
  GPtrArray *cordon = g_ptr_array_new ();
  GPtrArray *ended = g_ptr_array_new ();
  GArray *ended_started_at = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GPtrArray *maintenance_due = g_ptr_array_new ();
  const struct mt_controller_pool *p = g_hash_table_lookup (ctl->pools, pool);
  GHashTableIter it;
  struct mt_controller_machine *m;

  g_hash_table_iter_init (&it, ctl->machines);
  while (g_hash_table_iter_next (&it, NULL, (void **) &m))
    {
      bool is_in_pool = m->worker != NULL && strcmp (m->pool->name, pool) == 0;

      if (is_in_pool && m->plan != MT_PLAN_NONE)
        g_ptr_array_add (cordon, g_strdup (m->worker));
      else if (is_in_pool && mt_controller_is_due (ctl, m))
        g_ptr_array_add (maintenance_due, g_strdup (m->worker));
      if (m->ended_worker != NULL && m->end_confirmed_at == 0)
        g_ptr_array_add (cordon, g_strdup (m->ended_worker));
      else if (m->ended_worker != NULL && now - m->end_confirmed_at < REPORT_ENDED_MS)
        {
          g_ptr_array_add (ended, g_strdup (m->ended_worker));
          g_array_append_val (ended_started_at, m->ended_started_at_ms);
        }
    }
  g_ptr_array_add (cordon, NULL);
  g_ptr_array_add (ended, NULL);
  g_ptr_array_add (maintenance_due, NULL);
  return (struct mt_controller_directives){
    (char **) g_ptr_array_free (cordon, FALSE), (char **) g_ptr_array_free (ended, FALSE),
    (int64_t *) (void *) g_array_free (ended_started_at, FALSE),
    (char **) g_ptr_array_free (maintenance_due, FALSE),
    p != NULL ? mt_controller_allocated_cpu (p) : 0
  };
}
