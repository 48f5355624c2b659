#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* A daemon that was paused (SIGSTOP, a suspended machine) has received no heartbeats meanwhile,
 * through no fault of the others. No heartbeat advances the membership's clock by more than this,
 * so that a resumed daemon does not drop all members, which would make it take all slots of its
 * data centre for itself. */
#define MAX_CLOCK_STEP_US (2 * MT_MEMBERSHIP_HEARTBEAT_US)

/* All load reports that a daemon receives add up to about this rate, however many daemons its data
 * centre has: each daemon publishes less often the larger its report and the more members there
 * are. */
#define LOAD_BYTES_PER_SECOND 4096

#define MAX_RESPONSE_LOAD_BYTES (64UL * 1024) /* in one response; the rest goes with the next */
#define MAX_TOMBSTONES          1024
#define TOMBSTONE_RETENTION_US  (600 * MT_SECOND)
#define REMOVED_MEMBER_INTERVAL 8 /* one in this many picks also calls a removed member */

struct record
{
  struct mt_member member; /* first, so that a pointer to it is also a pointer to the record */
  struct mt_member_heartbeat heartbeat; /* sent on; the member's fields are copied from it */
  int64_t loads_sent_us;                /* own record: when the last report was published */
  char *encoded_report;                 /* the newest report */
  size_t encoded_report_len;
  bool suspected;
  bool duplicate_reported; /* MT_MEMBER_DUPLICATE_NAME was reported */
};

/* A removed or superseded incarnation of a daemon; its delayed heartbeats do not revive it. */
struct tombstone
{
  uint64_t heartbeat_number;
  uint64_t successor_heartbeat_number; /* of the higher incarnation when this was first refused */
  uint64_t incarnation;
  int64_t created_us;
  char *address;
};

struct mt_membership
{
  const struct mt_clock *clock;
  const struct mt_membership_callbacks *callbacks;
  void *ctx;
  int64_t now_us;                  /* own clock: advances with heartbeats, see MAX_CLOCK_STEP_US */
  int64_t last_heartbeat_us;       /* on the caller's clock */
  struct record *own;              /* also in by_name */
  GHashTable *by_name;             /* name -> struct record, owned */
  GHashTable *by_key;              /* key -> struct record */
  GHashTable *tombstones;          /* key -> struct tombstone, owned */
  uint64_t higher_incarnation_key; /* of a higher incarnation of this daemon's name */
  GPtrArray *round;                /* g_strdup names that are still to be called in this round */
  uint64_t random;                 /* state of the shuffle; need not be of good quality */
  unsigned picks;
  struct mt_load_report pending_report; /* own loads, not yet published */
  bool has_pending_report;
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
  g_free (record->encoded_report);
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
notify (struct mt_membership *m, enum mt_membership_event event, struct record *record)
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
  record->heartbeat.key = mt_member_key (name, incarnation);
  record->member.heartbeat_seen_us = m->now_us;
  g_hash_table_insert (m->by_name, record->member.name, record);
  g_hash_table_insert (m->by_key, &record->heartbeat.key, record);
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
  m->tombstones = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_tombstone);
  m->round = g_ptr_array_new_with_free_func (g_free);
  m->last_heartbeat_us = mt_clock_now (m->clock);
  m->own = add_record (m, mt_str_from (options->name), mt_str_from (options->zone),
                       mt_str_from (options->address), options->incarnation);
  m->own->member.reach = MT_REACH_YES;
  m->random = m->own->heartbeat.key | 1;
  return m;
}

void
mt_membership_destroy (struct mt_membership *m)
{
  if (m == NULL)
    return;
  mt_load_report_clear (&m->pending_report);
  g_hash_table_unref (m->by_key);
  g_hash_table_unref (m->by_name);
  g_hash_table_unref (m->tombstones);
  g_ptr_array_unref (m->round);
  g_free (m);
}

static void
add_tombstone (struct mt_membership *m, const struct record *record)
{
  struct tombstone *tombstone = g_new0 (struct tombstone, 1);

  tombstone->heartbeat_number = record->heartbeat.number;
  tombstone->incarnation = record->member.incarnation;
  tombstone->created_us = m->now_us;
  tombstone->address = g_strdup (record->member.address);
  if (g_hash_table_size (m->tombstones) < MAX_TOMBSTONES)
    g_hash_table_replace (
        m->tombstones, g_memdup2 (&record->heartbeat.key, sizeof record->heartbeat.key), tombstone);
  else
    free_tombstone (tombstone);
}

static void
remove_record (struct mt_membership *m, struct record *record)
{
  add_tombstone (m, record);
  g_hash_table_remove (m->by_key, &record->heartbeat.key);
  g_hash_table_remove (m->by_name, record->member.name);
}

/* Takes ownership of the report's lists. */
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
copy_heartbeat_to_member (struct record *record)
{
  record->member.heartbeat = record->heartbeat.number;
  record->member.tables_version = record->heartbeat.tables_version;
  record->member.assign_version = record->heartbeat.assign_version;
}

/* The heartbeats of one incarnation are ordered by their number alone, so reordered, lost and
 * repeated messages lead to the same state. */
static void
merge_heartbeat (struct mt_membership *m,
                 struct record *record,
                 const struct mt_member_heartbeat *heartbeat)
{
  uint64_t load_seq = record->heartbeat.load_seq;
  bool starts_leaving = heartbeat->leaving && !record->member.leaving;

  if (record == m->own || heartbeat->number <= record->heartbeat.number)
    return;
  record->heartbeat = *heartbeat;
  record->heartbeat.load_seq = load_seq; /* of the report held here, which need not be the newest */
  record->member.heartbeat_seen_us = m->now_us;
  record->member.leaving = heartbeat->leaving;
  copy_heartbeat_to_member (record);
  if (record->suspected)
    {
      record->suspected = false;
      notify (m, MT_MEMBER_RECOVERED, record);
    }
  if (starts_leaving)
    notify (m, MT_MEMBER_LEAVING, record);
}

/* Handles an entry with a lower incarnation under a known name: a delayed message of an earlier
 * incarnation, or a second process. Only a second process goes on sending heartbeats while the
 * higher incarnation does so too. */
static void
refuse_earlier_incarnation (struct mt_membership *m,
                            struct record *known,
                            const struct mt_gossip_entry *entry)
{
  struct tombstone *tombstone = g_hash_table_lookup (m->tombstones, &entry->heartbeat.key);

  if (tombstone == NULL)
    {
      struct record shadow = { .heartbeat = entry->heartbeat };

      shadow.member.incarnation = entry->incarnation;
      add_tombstone (m, &shadow);
      return;
    }
  if (entry->heartbeat.number <= tombstone->heartbeat_number)
    return;
  tombstone->heartbeat_number = entry->heartbeat.number;
  if (tombstone->successor_heartbeat_number == 0)
    tombstone->successor_heartbeat_number = known->heartbeat.number;
  else if (known->heartbeat.number > tombstone->successor_heartbeat_number
           && !known->duplicate_reported)
    {
      known->duplicate_reported = true;
      notify (m, MT_MEMBER_DUPLICATE_NAME, known);
    }
}

/* Handles an entry with this daemon's own name and another incarnation: a second process if its
 * heartbeat grows, otherwise an earlier incarnation of this daemon. */
static void
handle_own_name (struct mt_membership *m, const struct mt_gossip_entry *entry)
{
  struct tombstone *tombstone = g_hash_table_lookup (m->tombstones, &entry->heartbeat.key);
  struct record shadow = { .heartbeat = entry->heartbeat };

  if (tombstone == NULL)
    {
      shadow.member.incarnation = entry->incarnation;
      add_tombstone (m, &shadow);
      if (entry->incarnation > m->own->member.incarnation)
        m->higher_incarnation_key = entry->heartbeat.key;
    }
  else if (entry->heartbeat.number > tombstone->heartbeat_number)
    {
      tombstone->heartbeat_number = entry->heartbeat.number;
      if (!m->own->duplicate_reported)
        notify (m, MT_MEMBER_DUPLICATE_NAME, m->own);
      m->own->duplicate_reported = true;
    }
}

/* Raises this daemon's incarnation above an earlier, higher one. The earlier one is higher if the
 * machine's clock was set back between the two; other daemons ignore this one until its incarnation
 * is higher. */
static void
raise_own_incarnation (struct mt_membership *m)
{
  const struct tombstone *earlier = g_hash_table_lookup (m->tombstones, &m->higher_incarnation_key);
  struct record *own = m->own;

  if (earlier == NULL || own->duplicate_reported || earlier->incarnation < own->member.incarnation
      || m->now_us - earlier->created_us < MT_MEMBERSHIP_SUSPECT_US)
    return;
  g_hash_table_remove (m->by_key, &own->heartbeat.key);
  own->member.incarnation = earlier->incarnation + 1;
  own->heartbeat.key = mt_member_key (mt_str_from (own->member.name), own->member.incarnation);
  g_hash_table_insert (m->by_key, &own->heartbeat.key, own);
}

static bool
is_tombstoned (struct mt_membership *m, const struct mt_gossip_entry *entry)
{
  const struct tombstone *tombstone = g_hash_table_lookup (m->tombstones, &entry->heartbeat.key);

  return tombstone != NULL && entry->heartbeat.number <= tombstone->heartbeat_number;
}

/* Adds a record for an entry whose key is not known yet. Returns NULL if the entry is refused. */
static struct record *
add_unknown_member (struct mt_membership *m, const struct mt_gossip_entry *entry)
{
  g_autofree char *name = NULL;
  struct record *known;
  struct record *record;

  if (!entry->has_identity)
    return NULL;
  name = g_strndup (entry->name.data, entry->name.len);
  known = g_hash_table_lookup (m->by_name, name);
  if (known == m->own)
    {
      handle_own_name (m, entry);
      return NULL;
    }
  if (known != NULL && known->member.incarnation >= entry->incarnation)
    {
      refuse_earlier_incarnation (m, known, entry);
      return NULL;
    }
  if (is_tombstoned (m, entry)
      || (known == NULL && mt_membership_count (m) >= MT_MEMBERSHIP_MAX_MEMBERS))
    return NULL;
  if (known != NULL)
    remove_record (m, known);
  g_hash_table_remove (m->tombstones, &entry->heartbeat.key);
  record = add_record (m, entry->name, entry->zone, entry->address, entry->incarnation);
  merge_heartbeat (m, record, &entry->heartbeat);
  notify (m, MT_MEMBER_JOINED, record);
  return record;
}

static void
merge_entry (struct mt_membership *m, struct mt_gossip_entry *entry)
{
  struct record *record = g_hash_table_lookup (m->by_key, &entry->heartbeat.key);

  if (record == NULL)
    record = add_unknown_member (m, entry);
  if (record == NULL || record == m->own)
    return;
  merge_heartbeat (m, record, &entry->heartbeat);
  if (entry->encoded_report.len == 0 || entry->heartbeat.load_seq <= record->heartbeat.load_seq
      || strcmp (record->member.zone, m->own->member.zone) != 0)
    return;
  record->heartbeat.load_seq = entry->heartbeat.load_seq;
  g_free (record->encoded_report);
  record->encoded_report = g_memdup2 (entry->encoded_report.data, entry->encoded_report.len);
  record->encoded_report_len = entry->encoded_report.len;
  set_report (record, &entry->report);
}

static void
merge_message (struct mt_membership *m, struct mt_gossip_message *message)
{
  for (guint i = 0; i < message->entries->len; i++)
    merge_entry (m, &g_array_index (message->entries, struct mt_gossip_entry, i));
  for (guint i = 0; i < message->heartbeats->len; i++)
    {
      const struct mt_member_heartbeat *heartbeat
          = &g_array_index (message->heartbeats, struct mt_member_heartbeat, i);
      struct record *record = g_hash_table_lookup (m->by_key, &heartbeat->key);

      if (record != NULL)
        merge_heartbeat (m, record, heartbeat);
    }
}

/* A suspected member's last heartbeat is not sent on: a daemon that receives it late would count
 * the silence from then on, and a dead member could be passed from daemon to daemon without end. */
static bool
is_sent_on (const struct record *record)
{
  return !record->suspected;
}

static struct mt_gossip_entry
full_entry (const struct record *record, bool with_load)
{
  struct mt_gossip_entry entry = { .heartbeat = record->heartbeat, .has_identity = true };

  entry.name = mt_str_from (record->member.name);
  entry.zone = mt_str_from (record->member.zone);
  entry.address = mt_str_from (record->member.address);
  entry.incarnation = record->member.incarnation;
  if (with_load)
    entry.encoded_report = (struct mt_str){ record->encoded_report, record->encoded_report_len };
  return entry;
}

static struct mt_gossip_message *
start_message (const struct mt_membership *m)
{
  return mt_gossip_message_create (mt_str_from (m->own->member.name),
                                   mt_str_from (m->own->member.zone));
}

static char *
finish_message (struct mt_gossip_message *message, size_t *len)
{
  char *bytes = mt_gossip_message_encode (message, len);

  mt_gossip_message_destroy (message);
  return bytes;
}

char *
mt_membership_make_request (struct mt_membership *m, size_t *len)
{
  struct mt_gossip_message *message = start_message (m);
  struct mt_gossip_entry own = full_entry (m->own, false);
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (message->entries, own);
  g_hash_table_iter_init (&iter, m->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct record *record = value;

      if (record != m->own && is_sent_on (record))
        g_array_append_val (message->heartbeats, record->heartbeat);
    }
  return finish_message (message, len);
}

/* Returns a table of the heartbeats in a request, by key. */
static GHashTable *
index_heartbeats (const struct mt_gossip_message *request)
{
  GHashTable *received = g_hash_table_new (g_int64_hash, g_int64_equal);

  for (guint i = 0; i < request->entries->len; i++)
    {
      struct mt_gossip_entry *entry = &g_array_index (request->entries, struct mt_gossip_entry, i);

      g_hash_table_insert (received, &entry->heartbeat.key, &entry->heartbeat);
    }
  for (guint i = 0; i < request->heartbeats->len; i++)
    {
      struct mt_member_heartbeat *heartbeat
          = &g_array_index (request->heartbeats, struct mt_member_heartbeat, i);

      g_hash_table_insert (received, &heartbeat->key, heartbeat);
    }
  return received;
}

static void
add_newer_entry (const struct record *record,
                 const struct mt_member_heartbeat *received,
                 bool same_zone,
                 size_t *remaining_load_bytes,
                 struct mt_gossip_message *response)
{
  bool is_newer = received == NULL || record->heartbeat.number > received->number;
  bool load = same_zone && record->encoded_report_len > 0
              && record->encoded_report_len <= *remaining_load_bytes
              && (received == NULL || record->heartbeat.load_seq > received->load_seq);
  struct mt_gossip_entry entry;

  if (!is_newer && !load)
    return;
  entry = full_entry (record, load);
  entry.has_identity = received == NULL;
  if (load)
    *remaining_load_bytes -= record->encoded_report_len;
  g_array_append_val (response->entries, entry);
}

static char *
make_response (struct mt_membership *m, const struct mt_gossip_message *request, size_t *len)
{
  struct mt_gossip_message *response = start_message (m);
  GHashTable *received = index_heartbeats (request);
  size_t remaining_load_bytes = MAX_RESPONSE_LOAD_BYTES;
  bool same_zone = mt_str_equal (request->zone, mt_str_from (m->own->member.zone));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, m->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct record *record = value;
      bool in_zone = same_zone && strcmp (record->member.zone, m->own->member.zone) == 0;

      if (is_sent_on (record))
        add_newer_entry (record, g_hash_table_lookup (received, &record->heartbeat.key), in_zone,
                         &remaining_load_bytes, response);
    }
  g_hash_table_unref (received);
  return finish_message (response, len);
}

char *
mt_membership_handle_request (struct mt_membership *m,
                              struct mt_str request,
                              size_t *len,
                              GError **error)
{
  struct mt_gossip_message *message = mt_gossip_message_decode (request, error);
  char *response;

  if (message == NULL)
    return NULL;
  merge_message (m, message);
  response = make_response (m, message, len);
  mt_gossip_message_destroy (message);
  return response;
}

bool
mt_membership_handle_response (struct mt_membership *m,
                               struct mt_str response,
                               char **responder,
                               GError **error)
{
  struct mt_gossip_message *message = mt_gossip_message_decode (response, error);

  if (message == NULL)
    return false;
  merge_message (m, message);
  if (responder != NULL)
    *responder = g_strndup (message->name.data, message->name.len);
  mt_gossip_message_destroy (message);
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
  m->own->heartbeat.tables_version = MAX (m->own->heartbeat.tables_version, tables);
  m->own->heartbeat.assign_version = MAX (m->own->heartbeat.assign_version, assign);
  copy_heartbeat_to_member (m->own);
}

void
mt_membership_set_leaving (struct mt_membership *m)
{
  m->own->heartbeat.leaving = true;
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
  struct mt_load_report *report = &m->pending_report;

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
  m->has_pending_report = true;
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
  bool assignment_changed = own->heartbeat.assign_version != own->member.loads_assign_version;
  int64_t wait_us
      = (int64_t) own->encoded_report_len * count_in_zone (m) * MT_SECOND / LOAD_BYTES_PER_SECOND;
  char *bytes;
  size_t len;

  if (!m->has_pending_report
      || (own->encoded_report != NULL && !assignment_changed
          && m->now_us - own->loads_sent_us < wait_us))
    return;
  m->has_pending_report = false;
  m->pending_report.assign_version = own->heartbeat.assign_version;
  bytes = mt_load_report_encode (&m->pending_report, &len);
  if (own->encoded_report != NULL && len == own->encoded_report_len
      && memcmp (bytes, own->encoded_report, len) == 0)
    {
      free (bytes);
      return;
    }
  g_free (own->encoded_report);
  own->encoded_report = g_memdup2 (bytes, len);
  own->encoded_report_len = len;
  free (bytes);
  own->heartbeat.load_seq++;
  own->loads_sent_us = m->now_us;
  set_report (own, &m->pending_report);
}

static void
check_silence (struct mt_membership *m, struct record *record)
{
  int64_t silent_us = m->now_us - record->member.heartbeat_seen_us;
  int64_t limit_us = record->member.leaving ? MT_MEMBERSHIP_SUSPECT_US : MT_MEMBERSHIP_REMOVE_US;

  if (silent_us >= MT_MEMBERSHIP_SUSPECT_US && !record->suspected)
    {
      record->suspected = true;
      if (!record->member.leaving)
        notify (m, MT_MEMBER_SUSPECTED, record);
    }
  if (silent_us < limit_us)
    return;
  notify (m, MT_MEMBER_REMOVED, record);
  remove_record (m, record);
}

static gboolean
is_tombstone_expired (gpointer key, gpointer value, gpointer data)
{
  const struct mt_membership *m = data;

  return m->now_us - ((struct tombstone *) value)->created_us > TOMBSTONE_RETENTION_US;
}

void
mt_membership_heartbeat (struct mt_membership *m)
{
  int64_t now = mt_clock_now (m->clock);
  g_autoptr (GList) records = g_hash_table_get_values (m->by_name);

  m->now_us += CLAMP (now - m->last_heartbeat_us, 0, MAX_CLOCK_STEP_US);
  m->last_heartbeat_us = now;
  m->own->heartbeat.number++;
  m->own->member.heartbeat_seen_us = m->now_us;
  copy_heartbeat_to_member (m->own);
  raise_own_incarnation (m);
  publish_loads (m);
  for (GList *at = records; at != NULL; at = at->next)
    if (at->data != m->own)
      check_silence (m, at->data);
  g_hash_table_foreach_remove (m->tombstones, is_tombstone_expired, m);
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
start_round (struct mt_membership *m)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, m->by_name);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (strcmp (name, m->own->member.name) != 0)
      g_ptr_array_add (m->round, g_strdup (name));
  for (guint i = m->round->len; i > 1; i--)
    {
      guint j = (guint) (next_random (m) % i);
      gpointer swapped = m->round->pdata[i - 1];

      m->round->pdata[i - 1] = m->round->pdata[j];
      m->round->pdata[j] = swapped;
    }
}

static const char *
pick_removed_address (struct mt_membership *m)
{
  guint n = g_hash_table_size (m->tombstones);
  guint skip = n > 0 ? (guint) (next_random (m) % n) : 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, m->tombstones);
  for (guint i = 0; i <= skip; i++)
    if (!g_hash_table_iter_next (&iter, NULL, &value))
      return NULL;
  return ((struct tombstone *) value)->address;
}

size_t
mt_membership_pick_peers (struct mt_membership *m, char **out, size_t count)
{
  const char *removed_address
      = m->picks++ % REMOVED_MEMBER_INTERVAL == 0 ? pick_removed_address (m) : NULL;
  size_t others = mt_membership_count (m) - 1;
  size_t n = 0;

  if (removed_address != NULL && n < count)
    out[n++] = g_strdup (removed_address);
  if (m->round->len == 0)
    start_round (m);
  for (size_t tried = 0; n < count && tried < others && m->round->len > 0; tried++)
    {
      g_autofree char *name = g_ptr_array_steal_index (m->round, m->round->len - 1);
      const struct record *record = g_hash_table_lookup (m->by_name, name);

      if (record != NULL && record != m->own)
        out[n++] = g_strdup (record->member.address);
    }
  return n;
}

static const struct mt_member *
refresh_age (struct mt_membership *m, struct record *record)
{
  record->member.heartbeat_age_us = m->now_us - record->member.heartbeat_seen_us;
  return &record->member;
}

const struct mt_member *
mt_membership_find (struct mt_membership *m, const char *name)
{
  struct record *record = g_hash_table_lookup (m->by_name, name);

  return record != NULL ? refresh_age (m, record) : NULL;
}

const struct mt_member *
mt_membership_self (struct mt_membership *m)
{
  return refresh_age (m, m->own);
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
    visit (ctx, refresh_age (m, g_hash_table_lookup (m->by_name, at->data)));
  g_list_free (names);
}

size_t
mt_membership_count (const struct mt_membership *m)
{
  return g_hash_table_size (m->by_name);
}
