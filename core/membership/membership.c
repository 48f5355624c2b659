#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* A daemon that was paused (SIGSTOP, a suspended machine) has heard nobody meanwhile, and that is
 * its own fault: no beat advances the membership's clock by more than this, so that it does not
 * wake up and drop everyone, which would make it take all slots of its data centre for itself. */
#define LONGEST_STEP_US (2 * MT_MEMBERSHIP_HEARTBEAT_US)

/* All load reports that a daemon receives come to about this much, however many daemons its data
 * centre has: each publishes the less often the larger its report and the more members. */
#define LOAD_BYTES_A_SECOND 4096

#define MAX_ANSWER_LOADS (64UL * 1024) /* load bytes in one answer; the rest goes with the next */
#define MAX_TOMBSTONES   1024
#define TOMBSTONE_US     (600 * MT_SECOND)
#define OUTSIDER_EVERY   8 /* picks: one of them also asks a removed member */

struct record
{
  struct mt_member member; /* first: a pointer to it is one to the record */
  struct mt_beat beat;     /* what is told on; the member's fields are filled from it */
  int64_t loads_sent_us;   /* own record: when the last report was published */
  char *load;              /* the newest report as published */
  size_t load_len;
  bool suspected;
  bool twice; /* told already */
};

/* A life that is over or was overtaken: its old heartbeats, still on the way, don't revive it. */
struct tombstone
{
  uint64_t heartbeat;
  uint64_t successor_heartbeat; /* of the higher incarnation, when this one was first refused */
  uint64_t incarnation;
  int64_t since_us;
  char *address;
};

struct mt_membership
{
  const struct mt_clock *clock;
  const struct mt_membership_callbacks *callbacks;
  void *ctx;
  int64_t now_us;       /* own clock: grows with beats, see LONGEST_STEP_US */
  int64_t last_beat_us; /* on the injected clock */
  struct record *own;   /* in by_name too */
  GHashTable *by_name;  /* name -> struct record, owns */
  GHashTable *by_key;   /* key -> struct record */
  GHashTable *buried;   /* key -> struct tombstone, owns */
  uint64_t rival_key;   /* of a life of this daemon's name with a higher incarnation */
  GPtrArray *turn;      /* of g_strdup names still to be asked in this turn */
  uint64_t random;      /* state of the shuffle; need not be good */
  unsigned picks;
  struct mt_load_report pending; /* own loads, published when due */
  bool has_pending;
};

static void
free_record (gpointer data)
{
  struct record *record = data;
  struct mt_load_report report = { 0, record->member.loads, record->member.n_loads,
                                   record->member.demands, record->member.n_demands };

  mt_load_report_clear (&report);
  g_free (record->member.name);
  g_free (record->member.zone);
  g_free (record->member.address);
  g_free (record->load);
  g_free (record);
}

static void
free_tombstone (gpointer data)
{
  struct tombstone *tombstone = data;

  g_free (tombstone->address);
  g_free (tombstone);
}

static void
tell (struct mt_membership *m, enum mt_membership_event event, struct record *record)
{
  record->member.heartbeat_age_us = m->now_us - record->member.heartbeat_seen_us;
  if (m->callbacks != NULL)
    m->callbacks->changed (m->ctx, event, &record->member);
}

static struct record *
add_record (struct mt_membership *m,
            struct mt_str name,
            struct mt_str zone,
            struct mt_str address,
            uint64_t incarnation)
{
  struct record *record = g_new0 (struct record, 1);

  record->member.name = g_strndup (name.data, name.len);
  record->member.zone = g_strndup (zone.data, zone.len);
  record->member.address = g_strndup (address.data, address.len);
  record->member.incarnation = incarnation;
  record->beat.key = mt_wire_key (name, incarnation);
  record->member.heartbeat_seen_us = m->now_us;
  g_hash_table_insert (m->by_name, record->member.name, record);
  g_hash_table_insert (m->by_key, &record->beat.key, record);
  return record;
}

struct mt_membership *
mt_membership_create (const struct mt_membership_options *options)
{
  struct mt_membership *m = g_new0 (struct mt_membership, 1);

  m->clock = options->clock;
  m->callbacks = options->callbacks;
  m->ctx = options->ctx;
  m->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_record);
  m->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  m->buried = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_tombstone);
  m->turn = g_ptr_array_new_with_free_func (g_free);
  m->last_beat_us = mt_clock_now (m->clock);
  m->own = add_record (m, mt_str_from (options->name), mt_str_from (options->zone),
                       mt_str_from (options->address), options->incarnation);
  m->own->member.reach = MT_REACH_YES;
  m->random = m->own->beat.key | 1;
  return m;
}

void
mt_membership_destroy (struct mt_membership *m)
{
  if (m == NULL)
    return;
  mt_load_report_clear (&m->pending);
  g_hash_table_unref (m->by_key);
  g_hash_table_unref (m->by_name);
  g_hash_table_unref (m->buried);
  g_ptr_array_unref (m->turn);
  g_free (m);
}

static void
bury (struct mt_membership *m, const struct record *record)
{
  struct tombstone *tombstone = g_new0 (struct tombstone, 1);

  tombstone->heartbeat = record->beat.heartbeat;
  tombstone->incarnation = record->member.incarnation;
  tombstone->since_us = m->now_us;
  tombstone->address = g_strdup (record->member.address);
  if (g_hash_table_size (m->buried) < MAX_TOMBSTONES)
    g_hash_table_replace (m->buried, g_memdup2 (&record->beat.key, sizeof record->beat.key),
                          tombstone);
  else
    free_tombstone (tombstone);
}

static void
forget (struct mt_membership *m, struct record *record)
{
  bury (m, record);
  g_hash_table_remove (m->by_key, &record->beat.key);
  g_hash_table_remove (m->by_name, record->member.name);
}

/* Takes over the report's lists. */
static void
set_report (struct record *record, struct mt_load_report *report)
{
  struct mt_load_report old = { 0, record->member.loads, record->member.n_loads,
                                record->member.demands, record->member.n_demands };

  mt_load_report_clear (&old);
  record->member.loads_assign_version = report->assign_version;
  record->member.loads = g_steal_pointer (&report->loads);
  record->member.n_loads = report->n_loads;
  record->member.demands = g_steal_pointer (&report->demands);
  record->member.n_demands = report->n_demands;
  report->n_loads = 0;
  report->n_demands = 0;
}

static void
show_beat (struct record *record)
{
  record->member.heartbeat = record->beat.heartbeat;
  record->member.tables_version = record->beat.tables_version;
  record->member.assign_version = record->beat.assign_version;
}

/* A life's beats are ordered by its heartbeat number alone, so any order, loss and repetition of
 * messages ends in the same state. */
static void
merge_beat (struct mt_membership *m, struct record *record, const struct mt_beat *beat)
{
  uint64_t load_seq = record->beat.load_seq;
  bool leaves = beat->leaving && !record->member.leaving;

  if (record == m->own || beat->heartbeat <= record->beat.heartbeat)
    return;
  record->beat = *beat;
  record->beat.load_seq = load_seq; /* of the report held here, not of the newest there is */
  record->member.heartbeat_seen_us = m->now_us;
  record->member.leaving = beat->leaving;
  show_beat (record);
  if (record->suspected)
    {
      record->suspected = false;
      tell (m, MT_MEMBER_RECOVERED, record);
    }
  if (leaves)
    tell (m, MT_MEMBER_LEAVING, record);
}

/* An entry of a lower incarnation under a known name: an earlier life whose words are still on the
 * way, or a second process. Only the second goes on beating while the other beats as well. */
static void
refuse_earlier_life (struct mt_membership *m, struct record *known, const struct mt_entry *entry)
{
  struct tombstone *tombstone = g_hash_table_lookup (m->buried, &entry->beat.key);

  if (tombstone == NULL)
    {
      struct record shadow = { .beat = entry->beat };

      shadow.member.incarnation = entry->incarnation;
      bury (m, &shadow);
      return;
    }
  if (entry->beat.heartbeat <= tombstone->heartbeat)
    return;
  tombstone->heartbeat = entry->beat.heartbeat;
  if (tombstone->successor_heartbeat == 0)
    tombstone->successor_heartbeat = known->beat.heartbeat;
  else if (known->beat.heartbeat > tombstone->successor_heartbeat && !known->twice)
    {
      known->twice = true;
      tell (m, MT_MEMBER_DUPLICATE_NAME, known);
    }
}

/* This daemon's own name with another incarnation: a second process if it beats, else this daemon's
 * own earlier life. */
static void
meet_rival (struct mt_membership *m, const struct mt_entry *entry)
{
  struct tombstone *tombstone = g_hash_table_lookup (m->buried, &entry->beat.key);
  struct record shadow = { .beat = entry->beat };

  if (tombstone == NULL)
    {
      shadow.member.incarnation = entry->incarnation;
      bury (m, &shadow);
      if (entry->incarnation > m->own->member.incarnation)
        m->rival_key = entry->beat.key;
    }
  else if (entry->beat.heartbeat > tombstone->heartbeat)
    {
      tombstone->heartbeat = entry->beat.heartbeat;
      if (!m->own->twice)
        tell (m, MT_MEMBER_DUPLICATE_NAME, m->own);
      m->own->twice = true;
    }
}

/* The earlier life has the higher incarnation where the machine's clock was set back between the
 * two: nobody would listen to this one until it has the higher. */
static void
outlive_rival (struct mt_membership *m)
{
  const struct tombstone *rival = g_hash_table_lookup (m->buried, &m->rival_key);
  struct record *own = m->own;

  if (rival == NULL || own->twice || rival->incarnation < own->member.incarnation
      || m->now_us - rival->since_us < MT_MEMBERSHIP_SUSPECT_US)
    return;
  g_hash_table_remove (m->by_key, &own->beat.key);
  own->member.incarnation = rival->incarnation + 1;
  own->beat.key = mt_wire_key (mt_str_from (own->member.name), own->member.incarnation);
  g_hash_table_insert (m->by_key, &own->beat.key, own);
}

static bool
is_buried (struct mt_membership *m, const struct mt_entry *entry)
{
  const struct tombstone *tombstone = g_hash_table_lookup (m->buried, &entry->beat.key);

  return tombstone != NULL && entry->beat.heartbeat <= tombstone->heartbeat;
}

/* The record for an entry whose key is not known yet, or NULL where it is not taken in. */
static struct record *
admit (struct mt_membership *m, const struct mt_entry *entry)
{
  g_autofree char *name = NULL;
  struct record *known;
  struct record *record;

  if (!entry->is_full)
    return NULL;
  name = g_strndup (entry->name.data, entry->name.len);
  known = g_hash_table_lookup (m->by_name, name);
  if (known == m->own)
    {
      meet_rival (m, entry);
      return NULL;
    }
  if (known != NULL && known->member.incarnation >= entry->incarnation)
    {
      refuse_earlier_life (m, known, entry);
      return NULL;
    }
  if (is_buried (m, entry)
      || (known == NULL && mt_membership_count (m) >= MT_MEMBERSHIP_MAX_MEMBERS))
    return NULL;
  if (known != NULL)
    forget (m, known);
  g_hash_table_remove (m->buried, &entry->beat.key);
  record = add_record (m, entry->name, entry->zone, entry->address, entry->incarnation);
  merge_beat (m, record, &entry->beat);
  tell (m, MT_MEMBER_JOINED, record);
  return record;
}

static void
merge_entry (struct mt_membership *m, struct mt_entry *entry)
{
  struct record *record = g_hash_table_lookup (m->by_key, &entry->beat.key);

  if (record == NULL)
    record = admit (m, entry);
  if (record == NULL || record == m->own)
    return;
  merge_beat (m, record, &entry->beat);
  if (entry->load.len == 0 || entry->beat.load_seq <= record->beat.load_seq
      || strcmp (record->member.zone, m->own->member.zone) != 0)
    return;
  record->beat.load_seq = entry->beat.load_seq;
  g_free (record->load);
  record->load = g_memdup2 (entry->load.data, entry->load.len);
  record->load_len = entry->load.len;
  set_report (record, &entry->report);
}

static void
merge_message (struct mt_membership *m, struct mt_message *message)
{
  for (guint i = 0; i < message->entries->len; i++)
    merge_entry (m, &g_array_index (message->entries, struct mt_entry, i));
  for (guint i = 0; i < message->beats->len; i++)
    {
      const struct mt_beat *beat = &g_array_index (message->beats, struct mt_beat, i);
      struct record *record = g_hash_table_lookup (m->by_key, &beat->key);

      if (record != NULL)
        merge_beat (m, record, beat);
    }
}

/* A silent member's last heartbeat is not passed on: whoever gets it late would count its silence
 * from then, and a dead member could wander from daemon to daemon without end. */
static bool
is_told (const struct record *record)
{
  return !record->suspected;
}

static struct mt_entry
full_entry (const struct record *record, bool with_load)
{
  struct mt_entry entry = { .beat = record->beat, .is_full = true };

  entry.name = mt_str_from (record->member.name);
  entry.zone = mt_str_from (record->member.zone);
  entry.address = mt_str_from (record->member.address);
  entry.incarnation = record->member.incarnation;
  if (with_load)
    entry.load = (struct mt_str){ record->load, record->load_len };
  return entry;
}

static struct mt_message *
start_message (const struct mt_membership *m)
{
  return mt_message_create (mt_str_from (m->own->member.name), mt_str_from (m->own->member.zone));
}

static char *
finish_message (struct mt_message *message, size_t *len)
{
  char *bytes = mt_wire_write (message, len);

  mt_message_destroy (message);
  return bytes;
}

char *
mt_membership_make_request (struct mt_membership *m, size_t *len)
{
  struct mt_message *message = start_message (m);
  struct mt_entry own = full_entry (m->own, false);
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (message->entries, own);
  g_hash_table_iter_init (&iter, m->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct record *record = value;

      if (record != m->own && is_told (record))
        g_array_append_val (message->beats, record->beat);
    }
  return finish_message (message, len);
}

/* What the asker told of each key: a table from key to its beat. */
static GHashTable *
index_beats (const struct mt_message *ask)
{
  GHashTable *told = g_hash_table_new (g_int64_hash, g_int64_equal);

  for (guint i = 0; i < ask->entries->len; i++)
    {
      struct mt_entry *entry = &g_array_index (ask->entries, struct mt_entry, i);

      g_hash_table_insert (told, &entry->beat.key, &entry->beat);
    }
  for (guint i = 0; i < ask->beats->len; i++)
    {
      struct mt_beat *beat = &g_array_index (ask->beats, struct mt_beat, i);

      g_hash_table_insert (told, &beat->key, beat);
    }
  return told;
}

static void
add_newer (const struct record *record,
           const struct mt_beat *told,
           bool same_zone,
           size_t *load_left,
           struct mt_message *answer)
{
  bool news = told == NULL || record->beat.heartbeat > told->heartbeat;
  bool load = same_zone && record->load_len > 0 && record->load_len <= *load_left
              && (told == NULL || record->beat.load_seq > told->load_seq);
  struct mt_entry entry;

  if (!news && !load)
    return;
  entry = full_entry (record, load);
  entry.is_full = told == NULL;
  if (load)
    *load_left -= record->load_len;
  g_array_append_val (answer->entries, entry);
}

static char *
answer_message (struct mt_membership *m, const struct mt_message *ask, size_t *len)
{
  struct mt_message *answer = start_message (m);
  GHashTable *told = index_beats (ask);
  size_t load_left = MAX_ANSWER_LOADS;
  bool same_zone = mt_str_equal (ask->zone, mt_str_from (m->own->member.zone));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, m->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct record *record = value;
      bool in_zone = same_zone && strcmp (record->member.zone, m->own->member.zone) == 0;

      if (is_told (record))
        add_newer (record, g_hash_table_lookup (told, &record->beat.key), in_zone, &load_left,
                   answer);
    }
  g_hash_table_unref (told);
  return finish_message (answer, len);
}

char *
mt_membership_handle_request (struct mt_membership *m,
                              struct mt_str ask,
                              size_t *len,
                              GError **error)
{
  struct mt_message *message = mt_wire_read (ask, error);
  char *answer;

  if (message == NULL)
    return NULL;
  merge_message (m, message);
  answer = answer_message (m, message, len);
  mt_message_destroy (message);
  return answer;
}

bool
mt_membership_handle_response (struct mt_membership *m,
                               struct mt_str answer,
                               char **from,
                               GError **error)
{
  struct mt_message *message = mt_wire_read (answer, error);

  if (message == NULL)
    return false;
  merge_message (m, message);
  if (from != NULL)
    *from = g_strndup (message->name.data, message->name.len);
  mt_message_destroy (message);
  return true;
}

void
mt_membership_record_call (struct mt_membership *m, const char *name, bool ok)
{
  struct record *record = g_hash_table_lookup (m->by_name, name);

  if (record != NULL && record != m->own)
    record->member.reach = ok ? MT_REACH_YES : MT_REACH_NO;
}

void
mt_membership_set_versions (struct mt_membership *m, uint64_t tables, uint64_t assign)
{
  m->own->beat.tables_version = MAX (m->own->beat.tables_version, tables);
  m->own->beat.assign_version = MAX (m->own->beat.assign_version, assign);
  show_beat (m->own);
}

void
mt_membership_set_leaving (struct mt_membership *m)
{
  m->own->beat.leaving = true;
  m->own->member.leaving = true;
}

static int
compare_loads (const void *a, const void *b)
{
  return strcmp (((const struct mt_member_load *) a)->minion,
                 ((const struct mt_member_load *) b)->minion);
}

void
mt_membership_set_loads (struct mt_membership *m,
                         const struct mt_member_load *loads,
                         size_t n_loads,
                         const struct mt_member_demand *demands,
                         size_t n_demands)
{
  struct mt_load_report *report = &m->pending;

  mt_load_report_clear (report);
  report->loads = g_new0 (struct mt_member_load, n_loads);
  for (size_t i = 0; i < n_loads && report->n_loads < MT_MEMBERSHIP_MAX_LOADS; i++)
    if (loads[i].in_flight > 0)
      report->loads[report->n_loads++]
          = (struct mt_member_load){ g_strdup (loads[i].minion), loads[i].in_flight };
  qsort (report->loads, report->n_loads, sizeof *report->loads, compare_loads);
  report->demands = g_new0 (struct mt_member_demand, n_demands);
  for (size_t i = 0; i < n_demands && report->n_demands < MT_MEMBERSHIP_MAX_LOADS; i++)
    if (demands[i].waiting > 0 || demands[i].in_flight > 0 || demands[i].rate_milli > 0)
      {
        report->demands[report->n_demands] = demands[i];
        report->demands[report->n_demands++].pool = g_strdup (demands[i].pool);
      }
  m->has_pending = true;
}

static unsigned
count_in_zone (const struct mt_membership *m)
{
  GHashTableIter iter;
  gpointer value;
  unsigned n = 0;

  g_hash_table_iter_init (&iter, m->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((struct record *) value)->member.zone, m->own->member.zone) == 0)
      n++;
  return n;
}

static void
publish_loads (struct mt_membership *m)
{
  struct record *own = m->own;
  bool moved = own->beat.assign_version != own->member.loads_assign_version;
  int64_t wait_us = (int64_t) own->load_len * count_in_zone (m) * MT_SECOND / LOAD_BYTES_A_SECOND;
  char *bytes;
  size_t len;

  if (!m->has_pending || (own->load != NULL && !moved && m->now_us - own->loads_sent_us < wait_us))
    return;
  m->has_pending = false;
  m->pending.assign_version = own->beat.assign_version;
  bytes = mt_wire_write_load (&m->pending, &len);
  if (own->load != NULL && len == own->load_len && memcmp (bytes, own->load, len) == 0)
    {
      free (bytes);
      return;
    }
  g_free (own->load);
  own->load = g_memdup2 (bytes, len);
  own->load_len = len;
  free (bytes);
  own->beat.load_seq++;
  own->loads_sent_us = m->now_us;
  set_report (own, &m->pending);
}

static void
judge (struct mt_membership *m, struct record *record)
{
  int64_t silent_us = m->now_us - record->member.heartbeat_seen_us;
  int64_t limit_us = record->member.leaving ? MT_MEMBERSHIP_SUSPECT_US : MT_MEMBERSHIP_REMOVE_US;

  if (silent_us >= MT_MEMBERSHIP_SUSPECT_US && !record->suspected)
    {
      record->suspected = true;
      if (!record->member.leaving)
        tell (m, MT_MEMBER_SUSPECTED, record);
    }
  if (silent_us < limit_us)
    return;
  tell (m, MT_MEMBER_REMOVED, record);
  forget (m, record);
}

static gboolean
is_outlived (gpointer key, gpointer value, gpointer data)
{
  const struct mt_membership *m = data;

  return m->now_us - ((struct tombstone *) value)->since_us > TOMBSTONE_US;
}

void
mt_membership_heartbeat (struct mt_membership *m)
{
  int64_t now = mt_clock_now (m->clock);
  g_autoptr (GList) records = g_hash_table_get_values (m->by_name);

  m->now_us += CLAMP (now - m->last_beat_us, 0, LONGEST_STEP_US);
  m->last_beat_us = now;
  m->own->beat.heartbeat++;
  m->own->member.heartbeat_seen_us = m->now_us;
  show_beat (m->own);
  outlive_rival (m);
  publish_loads (m);
  for (GList *at = records; at != NULL; at = at->next)
    if (at->data != m->own)
      judge (m, at->data);
  g_hash_table_foreach_remove (m->buried, is_outlived, m);
}

/* xorshift64: the shuffle only has to differ between daemons. */
static uint64_t
next_random (struct mt_membership *m)
{
  m->random ^= m->random << 13;
  m->random ^= m->random >> 7;
  m->random ^= m->random << 17;
  return m->random;
}

static void
start_turn (struct mt_membership *m)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, m->by_name);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (strcmp (name, m->own->member.name) != 0)
      g_ptr_array_add (m->turn, g_strdup (name));
  for (guint i = m->turn->len; i > 1; i--)
    {
      guint j = (guint) (next_random (m) % i);
      gpointer swapped = m->turn->pdata[i - 1];

      m->turn->pdata[i - 1] = m->turn->pdata[j];
      m->turn->pdata[j] = swapped;
    }
}

static const char *
pick_buried (struct mt_membership *m)
{
  guint n = g_hash_table_size (m->buried);
  guint skip = n > 0 ? (guint) (next_random (m) % n) : 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, m->buried);
  for (guint i = 0; i <= skip; i++)
    if (!g_hash_table_iter_next (&iter, NULL, &value))
      return NULL;
  return ((struct tombstone *) value)->address;
}

size_t
mt_membership_pick_peers (struct mt_membership *m, char **out, size_t count)
{
  const char *outsider = m->picks++ % OUTSIDER_EVERY == 0 ? pick_buried (m) : NULL;
  size_t others = mt_membership_count (m) - 1;
  size_t n = 0;

  if (outsider != NULL && n < count)
    out[n++] = g_strdup (outsider);
  if (m->turn->len == 0)
    start_turn (m);
  for (size_t tried = 0; n < count && tried < others && m->turn->len > 0; tried++)
    {
      g_autofree char *name = g_ptr_array_steal_index (m->turn, m->turn->len - 1);
      const struct record *record = g_hash_table_lookup (m->by_name, name);

      if (record != NULL && record != m->own)
        out[n++] = g_strdup (record->member.address);
    }
  return n;
}

static const struct mt_member *
show (struct mt_membership *m, struct record *record)
{
  record->member.heartbeat_age_us = m->now_us - record->member.heartbeat_seen_us;
  return &record->member;
}

const struct mt_member *
mt_membership_find (struct mt_membership *m, const char *name)
{
  struct record *record = g_hash_table_lookup (m->by_name, name);

  return record != NULL ? show (m, record) : NULL;
}

const struct mt_member *
mt_membership_self (struct mt_membership *m)
{
  return show (m, m->own);
}

bool
mt_membership_is_alive (const struct mt_member *member)
{
  return member->heartbeat_age_us < MT_MEMBERSHIP_SUSPECT_US;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

void
mt_membership_each (struct mt_membership *m,
                    void (*visit) (void *ctx, const struct mt_member *member),
                    void *ctx)
{
  GList *names = g_list_sort (g_hash_table_get_keys (m->by_name), compare_names);

  for (GList *at = names; at != NULL; at = at->next)
    visit (ctx, show (m, g_hash_table_lookup (m->by_name, at->data)));
  g_list_free (names);
}

size_t
mt_membership_count (const struct mt_membership *m)
{
  return g_hash_table_size (m->by_name);
}
