#include "grants_wire.h"

#include "medlartrack/pack.h"

#include <glib.h>

/* Number of values in each packed row; any other number means another version and is refused. */
#define MESSAGE_FIELDS      4
#define MESSAGE_FIELDS_USES 5 /* with the uses in other pools, sent only if there are any */
#define GRANT_FIELDS        2
#define USE_FIELDS          2
#define ACCOUNT_FIELDS      6

static void
pack_bool (msgpack_packer *packer, bool value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
pack_resources (msgpack_packer *packer, const struct mt_resources *resources)
{
  msgpack_pack_array (packer, MT_RESOURCE_KINDS);
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    msgpack_pack_int64 (packer, MAX (mt_resources_get (resources, i), 0));
}

static bool
unpack_resources (const msgpack_object *object, struct mt_resources *out)
{
  const msgpack_object *f = mt_pack_get_array (object, MT_RESOURCE_KINDS);
  uint64_t value;

  for (unsigned i = 0; f != NULL && i < MT_RESOURCE_KINDS; i++)
    {
      if (!mt_pack_get_u64 (&f[i], INT64_MAX, &value))
        return false;
      *mt_resources_field (out, i) = (int64_t) value;
    }
  return f != NULL;
}

static bool
unpack_name (const msgpack_object *object, const char **out)
{
  struct mt_str name;

  if (!mt_pack_get_bin (object, &name))
    return false;
  *out = g_strndup (name.data, name.len);
  return true;
}

/* ---- messages ---- */

char *
mt_grants_pack (const struct mt_grant_message *message, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  char *bytes;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, message->n_uses > 0 ? MESSAGE_FIELDS_USES : MESSAGE_FIELDS);
  msgpack_pack_int64 (&packer, message->token);
  msgpack_pack_uint64 (&packer, message->sequence);
  pack_bool (&packer, message->all);
  msgpack_pack_array (&packer, message->n_grants);
  for (size_t i = 0; i < message->n_grants; i++)
    {
      msgpack_pack_array (&packer, GRANT_FIELDS);
      mt_pack_bin (&packer, mt_str_from (message->grants[i].workspace));
      pack_resources (&packer, &message->grants[i].resources);
    }
  if (message->n_uses > 0)
    msgpack_pack_array (&packer, message->n_uses);
  for (size_t i = 0; i < message->n_uses; i++)
    {
      msgpack_pack_array (&packer, USE_FIELDS);
      mt_pack_bin (&packer, mt_str_from (message->uses[i].workspace));
      pack_resources (&packer, &message->uses[i].resources);
    }
  *len = buffer.size;
  bytes = g_memdup2 (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static bool
read_grants (const msgpack_object *object, struct mt_grant_message *out)
{
  struct mt_grant *rows;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return false;
  rows = g_new0 (struct mt_grant, object->via.array.size + 1);
  out->grants = rows;
  for (uint32_t i = 0; i < object->via.array.size; i++)
    {
      const msgpack_object *f = mt_pack_get_array (&object->via.array.ptr[i], GRANT_FIELDS);

      if (f == NULL || !unpack_name (&f[0], &rows[i].workspace))
        return false;
      out->n_grants++;
      if (!unpack_resources (&f[1], &rows[i].resources))
        return false;
    }
  return true;
}

static bool
read_uses (const msgpack_object *object, struct mt_grant_message *out)
{
  struct mt_use_elsewhere *rows;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return false;
  rows = g_new0 (struct mt_use_elsewhere, object->via.array.size + 1);
  out->uses = rows;
  for (uint32_t i = 0; i < object->via.array.size; i++)
    {
      const msgpack_object *f = mt_pack_get_array (&object->via.array.ptr[i], USE_FIELDS);

      if (f == NULL || !unpack_name (&f[0], &rows[i].workspace))
        return false;
      out->n_uses++;
      if (!unpack_resources (&f[1], &rows[i].resources))
        return false;
    }
  return true;
}

static bool
read_message (const msgpack_object *root, struct mt_grant_message *out)
{
  const msgpack_object *with_uses = mt_pack_get_array (root, MESSAGE_FIELDS_USES);
  const msgpack_object *f
      = with_uses != NULL ? with_uses : mt_pack_get_array (root, MESSAGE_FIELDS);
  uint64_t token;

  if (f == NULL || !mt_pack_get_u64 (&f[0], INT64_MAX, &token)
      || !mt_pack_get_u64 (&f[1], UINT64_MAX, &out->sequence)
      || !mt_pack_get_bool (&f[2], &out->all))
    return false;
  out->token = (int64_t) token;
  return read_grants (&f[3], out) && (with_uses == NULL || read_uses (&f[4], out));
}

bool
mt_grants_unpack (struct mt_str bytes, struct mt_grant_message *out)
{
  msgpack_unpacked unpacked;
  bool ok;

  *out = (struct mt_grant_message){ 0 };
  if (!mt_pack_read (bytes, &unpacked, NULL))
    return false;
  ok = read_message (&unpacked.data, out);
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

void
mt_grants_clear (struct mt_grant_message *message)
{
  for (size_t i = 0; i < message->n_grants; i++)
    g_free ((char *) message->grants[i].workspace);
  g_free ((struct mt_grant *) message->grants);
  for (size_t i = 0; i < message->n_uses; i++)
    g_free ((char *) message->uses[i].workspace);
  g_free ((struct mt_use_elsewhere *) message->uses);
  *message = (struct mt_grant_message){ 0 };
}

/* ---- accounts ---- */

void
mt_accounts_pack (msgpack_packer *packer, const struct mt_account_view *views, size_t n)
{
  msgpack_pack_array (packer, n);
  for (size_t i = 0; i < n; i++)
    {
      msgpack_pack_array (packer, ACCOUNT_FIELDS);
      mt_pack_bin (packer, mt_str_from (views[i].workspace));
      pack_resources (packer, &views[i].used);
      pack_resources (packer, &views[i].waiting);
      pack_resources (packer, &views[i].largest_waiting);
      pack_resources (packer, &views[i].granted);
      pack_bool (packer, views[i].has_grant);
    }
}

bool
mt_accounts_unpack (const msgpack_object *object, struct mt_account_view **out, size_t *n)
{
  struct mt_account_view *views;

  *out = NULL;
  *n = 0;
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return false;
  views = g_new0 (struct mt_account_view, object->via.array.size + 1);
  *out = views;
  for (uint32_t i = 0; i < object->via.array.size; i++)
    {
      const msgpack_object *f = mt_pack_get_array (&object->via.array.ptr[i], ACCOUNT_FIELDS);

      if (f == NULL || !unpack_name (&f[0], &views[i].workspace))
        return false;
      (*n)++;
      if (!unpack_resources (&f[1], &views[i].used) || !unpack_resources (&f[2], &views[i].waiting)
          || !unpack_resources (&f[3], &views[i].largest_waiting)
          || !unpack_resources (&f[4], &views[i].granted)
          || !mt_pack_get_bool (&f[5], &views[i].has_grant))
        return false;
    }
  return true;
}

void
mt_accounts_free (struct mt_account_view *views, size_t n)
{
  for (size_t i = 0; i < n; i++)
    g_free ((char *) views[i].workspace);
  g_free (views);
}
