/* The msgpack encoding of heartbeat messages: [name, zone, heartbeats, entries]. heartbeats is one
 * flat array of HEARTBEAT_FIELDS integers for each; an entry is [heartbeat fields..., [name, zone,
 * address, incarnation] or nil, load report or nil]. */
#include "internal.h"

#include "medlartrack/error.h"
#include "medlartrack/pack.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HEARTBEAT_FIELDS 6
#define ENTRY_FIELDS     (HEARTBEAT_FIELDS + 2)
#define LOAD_FIELDS      3
#define DEMAND_FIELDS    4
#define MAX_NAME_BYTES   255
#define MAX_COUNTER      ((uint64_t) 1 << 53)
#define FLAG_LEAVING     1

uint64_t
mt_member_key (struct mt_str name, uint64_t incarnation)
{
  return XXH3_64bits_withSeed (name.data, name.len, incarnation);
}

void
mt_load_report_clear (struct mt_load_report *report)
{
  for (size_t i = 0; i < report->n_loads; i++)
    g_free (report->loads[i].minion);
  for (size_t i = 0; i < report->n_demands; i++)
    g_free (report->demands[i].pool);
  g_free (report->loads);
  g_free (report->demands);
  *report = (struct mt_load_report){ 0 };
}

/* Minion names mostly differ in their last letters: each is written as the length of the prefix
 * that it shares with the previous name, and the rest. */
static void
write_loads (msgpack_packer *packer, const struct mt_load_report *report)
{
  const char *last = "";

  msgpack_pack_array (packer, report->n_loads * LOAD_FIELDS);
  for (size_t i = 0; i < report->n_loads; i++)
    {
      const char *name = report->loads[i].minion;
      size_t shared = 0;

      while (last[shared] != '\0' && last[shared] == name[shared])
        shared++;
      msgpack_pack_uint64 (packer, shared);
      mt_pack_str (packer, mt_str_from (name + shared));
      msgpack_pack_uint64 (packer, report->loads[i].in_flight);
      last = name;
    }
}

char *
mt_load_report_encode (const struct mt_load_report *report, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint64 (&packer, report->assign_version);
  write_loads (&packer, report);
  msgpack_pack_array (&packer, report->n_demands * DEMAND_FIELDS);
  for (size_t i = 0; i < report->n_demands; i++)
    {
      const struct mt_member_demand *demand = &report->demands[i];

      mt_pack_str (&packer, mt_str_from (demand->pool));
      msgpack_pack_uint64 (&packer, demand->waiting);
      msgpack_pack_uint64 (&packer, demand->in_flight);
      msgpack_pack_uint64 (&packer, demand->rate_milli);
    }
  *len = buffer.size;
  return msgpack_sbuffer_release (&buffer);
}

/* Checks that the object is an array whose length is a multiple of `fields`, with at most max
 * records, and stores their number in n. */
static bool
get_records (const msgpack_object *object, size_t fields, size_t max, size_t *n)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size % fields != 0)
    return false;
  *n = object->via.array.size / fields;
  return *n <= max;
}

static bool
read_loads (const msgpack_object *array, struct mt_load_report *out)
{
  const msgpack_object *at;
  char name[MAX_NAME_BYTES + 1] = "";
  size_t name_len = 0;
  size_t n;

  if (!get_records (array, LOAD_FIELDS, MT_MEMBERSHIP_MAX_LOADS, &n))
    return false;
  at = array->via.array.ptr;
  out->loads = g_new0 (struct mt_member_load, n);
  for (size_t i = 0; i < n; i++, at += LOAD_FIELDS)
    {
      struct mt_str rest;
      uint64_t shared;

      if (!mt_pack_get_u64 (&at[0], name_len, &shared) || !mt_pack_get_str (&at[1], &rest)
          || shared + rest.len > MAX_NAME_BYTES
          || !mt_pack_get_unsigned (&at[2], &out->loads[i].in_flight))
        return false;
      memcpy (name + shared, rest.data, rest.len);
      name_len = shared + rest.len;
      name[name_len] = '\0';
      out->loads[i].minion = g_strdup (name);
      out->n_loads++;
    }
  return true;
}

static bool
read_demands (const msgpack_object *array, struct mt_load_report *out)
{
  const msgpack_object *at;
  size_t n;

  if (!get_records (array, DEMAND_FIELDS, MT_MEMBERSHIP_MAX_LOADS, &n))
    return false;
  at = array->via.array.ptr;
  out->demands = g_new0 (struct mt_member_demand, n);
  for (size_t i = 0; i < n; i++, at += DEMAND_FIELDS)
    {
      struct mt_member_demand *demand = &out->demands[i];
      struct mt_str pool;

      if (!mt_pack_get_str (&at[0], &pool) || pool.len > MAX_NAME_BYTES
          || !mt_pack_get_unsigned (&at[1], &demand->waiting)
          || !mt_pack_get_unsigned (&at[2], &demand->in_flight)
          || !mt_pack_get_unsigned (&at[3], &demand->rate_milli))
        return false;
      demand->pool = g_strndup (pool.data, pool.len);
      out->n_demands++;
    }
  return true;
}

bool
mt_load_report_decode (struct mt_str bytes, struct mt_load_report *out)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  bool ok;

  *out = (struct mt_load_report){ 0 };
  if (!mt_pack_read (bytes, &unpacked, NULL))
    return false;
  fields = mt_pack_get_array (&unpacked.data, 3);
  ok = fields != NULL && mt_pack_get_u64 (&fields[0], MAX_COUNTER, &out->assign_version)
       && read_loads (&fields[1], out) && read_demands (&fields[2], out);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    mt_load_report_clear (out);
  return ok;
}

static void
write_heartbeat (msgpack_packer *packer, const struct mt_member_heartbeat *heartbeat)
{
  msgpack_pack_uint64 (packer, heartbeat->key);
  msgpack_pack_uint64 (packer, heartbeat->number);
  msgpack_pack_uint64 (packer, heartbeat->tables_version);
  msgpack_pack_uint64 (packer, heartbeat->assign_version);
  msgpack_pack_uint64 (packer, heartbeat->load_seq);
  msgpack_pack_uint64 (packer, heartbeat->leaving ? FLAG_LEAVING : 0);
}

static void
write_entry (msgpack_packer *packer, const struct mt_gossip_entry *entry)
{
  msgpack_pack_array (packer, ENTRY_FIELDS);
  write_heartbeat (packer, &entry->heartbeat);
  if (entry->has_identity)
    {
      msgpack_pack_array (packer, 4);
      mt_pack_str (packer, entry->name);
      mt_pack_str (packer, entry->zone);
      mt_pack_str (packer, entry->address);
      msgpack_pack_uint64 (packer, entry->incarnation);
    }
  else
    msgpack_pack_nil (packer);
  if (entry->encoded_report.len > 0)
    mt_pack_bin (packer, entry->encoded_report);
  else
    msgpack_pack_nil (packer);
}

char *
mt_gossip_message_encode (const struct mt_gossip_message *message, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 4);
  mt_pack_str (&packer, message->name);
  mt_pack_str (&packer, message->zone);
  msgpack_pack_array (&packer, (size_t) message->heartbeats->len * HEARTBEAT_FIELDS);
  for (guint i = 0; i < message->heartbeats->len; i++)
    write_heartbeat (&packer, &g_array_index (message->heartbeats, struct mt_member_heartbeat, i));
  msgpack_pack_array (&packer, message->entries->len);
  for (guint i = 0; i < message->entries->len; i++)
    write_entry (&packer, &g_array_index (message->entries, struct mt_gossip_entry, i));
  *len = buffer.size;
  return msgpack_sbuffer_release (&buffer);
}

static bool
read_heartbeat (const msgpack_object *at, struct mt_member_heartbeat *out)
{
  uint64_t flags;

  if (!mt_pack_get_u64 (&at[0], UINT64_MAX, &out->key)
      || !mt_pack_get_u64 (&at[1], MAX_COUNTER, &out->number)
      || !mt_pack_get_u64 (&at[2], MAX_COUNTER, &out->tables_version)
      || !mt_pack_get_u64 (&at[3], MAX_COUNTER, &out->assign_version)
      || !mt_pack_get_u64 (&at[4], MAX_COUNTER, &out->load_seq)
      || !mt_pack_get_u64 (&at[5], UINT32_MAX, &flags))
    return false;
  out->leaving = (flags & FLAG_LEAVING) != 0;
  return true;
}

static bool
get_name (const msgpack_object *object, struct mt_str *out)
{
  return mt_pack_get_str (object, out) && out->len > 0 && out->len <= MAX_NAME_BYTES
         && memchr (out->data, '\0', out->len) == NULL;
}

static bool
read_entry (const msgpack_object *object, struct mt_gossip_entry *out)
{
  const msgpack_object *at = mt_pack_get_array (object, ENTRY_FIELDS);
  const msgpack_object *full;

  *out = (struct mt_gossip_entry){ 0 };
  if (at == NULL || !read_heartbeat (at, &out->heartbeat))
    return false;
  full = &at[HEARTBEAT_FIELDS];
  out->has_identity = full->type != MSGPACK_OBJECT_NIL;
  if (out->has_identity)
    {
      const msgpack_object *fields = mt_pack_get_array (full, 4);

      if (fields == NULL || !get_name (&fields[0], &out->name) || !get_name (&fields[1], &out->zone)
          || !get_name (&fields[2], &out->address)
          || !mt_pack_get_u64 (&fields[3], UINT64_MAX, &out->incarnation)
          || out->heartbeat.key != mt_member_key (out->name, out->incarnation))
        return false;
    }
  if (at[HEARTBEAT_FIELDS + 1].type == MSGPACK_OBJECT_NIL)
    return true;
  return mt_pack_get_bin (&at[HEARTBEAT_FIELDS + 1], &out->encoded_report)
         && mt_load_report_decode (out->encoded_report, &out->report);
}

struct mt_gossip_message *
mt_gossip_message_create (struct mt_str name, struct mt_str zone)
{
  struct mt_gossip_message *message = g_new0 (struct mt_gossip_message, 1);

  message->name = name;
  message->zone = zone;
  message->heartbeats = g_array_new (FALSE, FALSE, sizeof (struct mt_member_heartbeat));
  message->entries = g_array_new (FALSE, FALSE, sizeof (struct mt_gossip_entry));
  return message;
}

void
mt_gossip_message_destroy (struct mt_gossip_message *message)
{
  for (guint i = 0; i < message->entries->len; i++)
    mt_load_report_clear (&g_array_index (message->entries, struct mt_gossip_entry, i).report);
  g_array_unref (message->heartbeats);
  g_array_unref (message->entries);
  g_free (message);
}

static bool
read_message (const msgpack_object *root, struct mt_gossip_message *out)
{
  const msgpack_object *fields = mt_pack_get_array (root, 4);
  size_t n;

  if (fields == NULL || !get_name (&fields[0], &out->name) || !get_name (&fields[1], &out->zone)
      || !get_records (&fields[2], HEARTBEAT_FIELDS, MT_MEMBERSHIP_MAX_MEMBERS, &n))
    return false;
  for (size_t i = 0; i < n; i++)
    {
      struct mt_member_heartbeat heartbeat;

      if (!read_heartbeat (fields[2].via.array.ptr + i * HEARTBEAT_FIELDS, &heartbeat))
        return false;
      g_array_append_val (out->heartbeats, heartbeat);
    }
  if (!get_records (&fields[3], 1, MT_MEMBERSHIP_MAX_MEMBERS, &n))
    return false;
  for (size_t i = 0; i < n; i++)
    {
      struct mt_gossip_entry entry;

      if (!read_entry (fields[3].via.array.ptr + i, &entry))
        return false;
      g_array_append_val (out->entries, entry);
    }
  return true;
}

struct mt_gossip_message *
mt_gossip_message_decode (struct mt_str bytes, GError **error)
{
  struct mt_gossip_message *message;
  msgpack_unpacked unpacked;
  bool ok;

  if (bytes.len > MT_MEMBERSHIP_MAX_MESSAGE_BYTES)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_LIMIT,
                   "heartbeat message of %zu bytes exceeds the limit of %d; check the sender",
                   bytes.len, MT_MEMBERSHIP_MAX_MESSAGE_BYTES);
      return NULL;
    }
  if (!mt_pack_read (bytes, &unpacked, error))
    return NULL;
  message = mt_gossip_message_create (MT_STR (""), MT_STR (""));
  ok = read_message (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return message;
  mt_gossip_message_destroy (message);
  g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
               "invalid heartbeat message; check that the sender runs the same version");
  return NULL;
}
