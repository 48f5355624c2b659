#include "medlartrack/assign.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct mt_assign *
mt_assign_create (void)
{
  struct mt_assign *assign = talloc_zero (NULL, struct mt_assign);

  assign->id = "";
  return assign;
}

void
mt_assign_destroy (struct mt_assign *assign)
{
  talloc_free (assign);
}

static const char *
copy_text (const struct mt_assign *assign, const char *text)
{
  return text != NULL ? talloc_strdup (assign, text) : NULL;
}

struct mt_assign *
mt_assign_next (const struct mt_assign *assign, const char *id)
{
  struct mt_assign *next = mt_assign_create ();

  next->version = assign->version + 1;
  next->id = copy_text (next, id);
  next->tables_version = assign->tables_version;
  next->n_records = assign->n_records;
  next->records = talloc_array (next, struct mt_assign_record, assign->n_records);
  for (size_t i = 0; i < assign->n_records; i++)
    {
      struct mt_assign_record *record = &next->records[i];

      *record = assign->records[i];
      record->instance = copy_text (next, record->instance);
      record->home = copy_text (next, record->home);
      record->pool = copy_text (next, record->pool);
      record->target = copy_text (next, record->target);
    }
  next->n_waves = assign->n_waves;
  next->waves = talloc_array (next, struct mt_assign_wave, assign->n_waves);
  for (size_t i = 0; i < assign->n_waves; i++)
    next->waves[i] = (struct mt_assign_wave){ copy_text (next, assign->waves[i].pool),
                                              copy_text (next, assign->waves[i].id) };
  return next;
}

static int
compare_records (const void *a, const void *b)
{
  const struct mt_assign_record *left = a;
  const struct mt_assign_record *right = b;

  return strcmp (left->instance, right->instance);
}

struct mt_assign_record *
mt_assign_find (const struct mt_assign *assign, const char *instance)
{
  struct mt_assign_record key = { .instance = instance };

  if (assign->n_records == 0)
    return NULL;
  return bsearch (&key, assign->records, assign->n_records, sizeof key, compare_records);
}

bool
mt_assign_serves (const struct mt_assign *assign, const char *instance, const char *pool)
{
  const struct mt_assign_record *record = assign != NULL ? mt_assign_find (assign, instance) : NULL;

  return record != NULL && record->state == MT_ASSIGN_SERVING && strcmp (record->pool, pool) == 0;
}

static struct mt_assign_wave *
find_wave (const struct mt_assign *assign, const char *pool)
{
  for (size_t i = 0; i < assign->n_waves; i++)
    if (strcmp (assign->waves[i].pool, pool) == 0)
      return &assign->waves[i];
  return NULL;
}

const char *
mt_assign_wave_id (const struct mt_assign *assign, const char *pool)
{
  const struct mt_assign_wave *wave = find_wave (assign, pool);

  return wave != NULL ? wave->id : "";
}

static void
set_state (struct mt_assign *next,
           struct mt_assign_record *record,
           enum mt_assign_state state,
           int64_t now_s)
{
  record->state = state;
  record->epoch = next->version;
  record->since_s = now_s;
}

struct mt_assign_record *
mt_assign_add (struct mt_assign *next, const char *instance, const char *pool, int64_t now_s)
{
  size_t at = 0;
  struct mt_assign_record *record;

  while (at < next->n_records && strcmp (next->records[at].instance, instance) < 0)
    at++;
  next->records
      = talloc_realloc (next, next->records, struct mt_assign_record, next->n_records + 1);
  record = &next->records[at];
  memmove (record + 1, record, (next->n_records - at) * sizeof *record);
  next->n_records++;
  *record = (struct mt_assign_record){ .instance = copy_text (next, instance),
                                       .home = copy_text (next, pool),
                                       .pool = copy_text (next, pool) };
  set_state (next, record, MT_ASSIGN_SERVING, now_s);
  return record;
}

void
mt_assign_remove (struct mt_assign *next, const char *instance)
{
  struct mt_assign_record *record = mt_assign_find (next, instance);
  size_t at;

  if (record == NULL)
    return;
  at = (size_t) (record - next->records);
  next->n_records--;
  memmove (record, record + 1, (next->n_records - at) * sizeof *record);
}

void
mt_assign_set_home (struct mt_assign *next, struct mt_assign_record *record, const char *pool)
{
  record->home = copy_text (next, pool);
  record->wave_state = MT_WAVE_WAITING;
}

void
mt_assign_begin_wave (struct mt_assign *next, const char *pool, const char *id)
{
  struct mt_assign_wave *wave = find_wave (next, pool);

  if (wave == NULL)
    {
      next->waves = talloc_realloc (next, next->waves, struct mt_assign_wave, next->n_waves + 1);
      wave = &next->waves[next->n_waves++];
      wave->pool = copy_text (next, pool);
    }
  wave->id = copy_text (next, id);
  for (size_t i = 0; i < next->n_records; i++)
    if (strcmp (next->records[i].home, pool) == 0)
      next->records[i].wave_state = MT_WAVE_WAITING;
}

void
mt_assign_drain (struct mt_assign *next,
                 struct mt_assign_record *record,
                 enum mt_assign_goal goal,
                 const char *target,
                 int64_t now_s)
{
  record->goal = goal;
  record->target = copy_text (next, target);
  set_state (next, record, MT_ASSIGN_DRAINING, now_s);
}

void
mt_assign_serve (struct mt_assign *next,
                 struct mt_assign_record *record,
                 const char *pool,
                 int64_t now_s)
{
  record->pool = copy_text (next, pool);
  record->target = NULL;
  record->goal = MT_GOAL_NONE;
  record->leave_causes = 0;
  set_state (next, record, MT_ASSIGN_SERVING, now_s);
}

void
mt_assign_reboot (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s)
{
  set_state (next, record, MT_ASSIGN_REBOOTING, now_s);
}

void
mt_assign_out (struct mt_assign *next, struct mt_assign_record *record, int64_t now_s)
{
  record->goal = MT_GOAL_LEAVE;
  record->target = NULL;
  set_state (next, record, MT_ASSIGN_OUT, now_s);
}

bool
mt_assign_leave (struct mt_assign *next,
                 struct mt_assign_record *record,
                 enum mt_leave_cause cause,
                 uint64_t boot,
                 int64_t now_s)
{
  if ((record->leave_causes & cause) != 0)
    return false;
  record->leave_causes |= cause;
  record->boot_when_left = MAX (record->boot_when_left, boot);
  if (record->state == MT_ASSIGN_SERVING)
    mt_assign_drain (next, record, MT_GOAL_LEAVE, NULL, now_s);
  else if (record->state == MT_ASSIGN_DRAINING)
    {
      /* The drain continues under the epoch that daemons already confirm. */
      record->goal = MT_GOAL_LEAVE;
      record->target = NULL;
    }
  return true;
}

static unsigned
in_flight_at (const struct mt_assign_member *member, const char *instance)
{
  unsigned total = 0;

  for (size_t i = 0; i < member->n_loads; i++)
    if (strcmp (member->loads[i].minion, instance) == 0)
      total += member->loads[i].in_flight;
  return total;
}

/* A daemon that acts on an older document may still send requests. Until it reports this epoch with
 * no request in flight, using the instance elsewhere would let it serve two pools at once. A silent
 * daemon proves nothing, since it may be alive behind a network partition; only the platform's
 * statement that the daemon's instance is gone replaces its report. */
bool
mt_assign_drain_confirmed (const struct mt_assign_record *record,
                           const struct mt_assign_member *members,
                           size_t n_members,
                           const char **held_by)
{
  for (size_t i = 0; i < n_members; i++)
    {
      const struct mt_assign_member *member = &members[i];

      if (member->gone
          || (member->version >= record->epoch && in_flight_at (member, record->instance) == 0))
        continue;
      if (held_by != NULL)
        *held_by = member->name;
      return false;
    }
  return true;
}
