#include "medlartrack/acceptance.h"

enum mt_acceptance
mt_acceptance_compare (const struct mt_tables *held, const struct mt_tables *offered)
{
  if (held == NULL || offered->version > held->version)
    return MT_ACCEPTANCE_NEWER;
  if (offered->version < held->version)
    return MT_ACCEPTANCE_OLDER;
  return mt_str_equal (held->id, offered->id) ? MT_ACCEPTANCE_SAME : MT_ACCEPTANCE_FORKED;
}

/* A value that can't be parsed doesn't count as older and is not replaced: a newer release may have
 * written it. */
static bool
is_older (const struct mt_tables *held, const struct mt_store_value *value)
{
  struct mt_tables *now;
  bool older;

  if (!value->found)
    return true;
  now = mt_tables_parse ((struct mt_str){ value->data, value->len }, NULL);
  older = now != NULL && mt_acceptance_compare (held, now) == MT_ACCEPTANCE_OLDER;
  mt_tables_destroy (now);
  return older;
}

static enum mt_repair
write_back (const struct mt_store *store,
            const struct mt_tables *held,
            uint64_t index,
            GError **error)
{
  g_autofree char *text = mt_tables_format (held, held->version, held->id.data);

  switch (store->ops->put (store->ctx, MT_TABLES_KEY, mt_str_from (text), index, error))
    {
    case MT_STORE_DONE:
      return MT_REPAIR_DONE;
    case MT_STORE_CONFLICT:
      return MT_REPAIR_CONFLICT;
    case MT_STORE_FAILED:
    case MT_STORE_UNKNOWN:
      break;
    }
  return MT_REPAIR_FAILED;
}

enum mt_repair
mt_acceptance_repair (const struct mt_store *store, const struct mt_tables *held, GError **error)
{
  struct mt_store_value value;
  enum mt_repair result = MT_REPAIR_NOT_NEEDED;

  if (!store->ops->get (store->ctx, MT_TABLES_KEY, &value, error))
    return MT_REPAIR_FAILED;
  if (is_older (held, &value))
    result = write_back (store, held, value.index, error);
  mt_store_value_clear (&value);
  return result;
}
