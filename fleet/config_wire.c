#include "config_wire.h"

#define QUERY_ARGS 4
#define PART_ARGS  6

static void
set_numbers (struct mt_config_message *out, const int64_t *values, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      g_snprintf (out->texts[i], sizeof out->texts[i], "%" G_GINT64_FORMAT, values[i]);
      out->args.at[i] = mt_str_from (out->texts[i]);
    }
}

static bool
get_numbers (const struct mt_mesh_args *args, int64_t *values, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      unsigned long long value;
      bool negative = args->at[i].len > 1 && args->at[i].data[0] == '-';
      struct mt_str digits = { args->at[i].data + negative, args->at[i].len - negative };

      if (!mt_str_to_u64 (digits, &value) || value > INT64_MAX)
        return false;
      values[i] = negative ? -(int64_t) value : (int64_t) value;
    }
  return true;
}

void
mt_config_query_pack (const struct mt_config_query *query, struct mt_config_message *out)
{
  const int64_t values[QUERY_ARGS]
      = { query->mode, query->known, query->version, (int64_t) query->offset };

  *out = (struct mt_config_message){ .args = { .n = QUERY_ARGS } };
  set_numbers (out, values, QUERY_ARGS);
}

bool
mt_config_query_unpack (const struct mt_mesh_args *args, struct mt_config_query *out)
{
  int64_t v[QUERY_ARGS];

  if (args->n != QUERY_ARGS || !get_numbers (args, v, QUERY_ARGS) || v[0] < MT_CONFIG_NOW
      || v[0] > MT_CONFIG_CHECK || v[1] < 0 || v[2] < 0 || v[3] < 0)
    return false;
  *out = (struct mt_config_query){ (enum mt_config_mode) v[0], v[1], v[2], (uint64_t) v[3] };
  return true;
}

void
mt_config_part_pack (const struct mt_config_part *part, struct mt_config_message *out)
{
  const int64_t values[PART_ARGS - 1] = { part->version, part->confirmed_ms, part->revision,
                                          (int64_t) part->size, (int64_t) part->offset };

  *out = (struct mt_config_message){ .args = { .n = PART_ARGS } };
  set_numbers (out, values, PART_ARGS - 1);
  out->args.at[PART_ARGS - 1] = part->bytes;
}

bool
mt_config_part_unpack (const struct mt_mesh_args *args, struct mt_config_part *out)
{
  int64_t v[PART_ARGS - 1];

  if (args->n != PART_ARGS || !get_numbers (args, v, PART_ARGS - 1) || v[0] < 0 || v[2] < 0
      || v[3] < 0 || v[4] < 0)
    return false;
  *out = (struct mt_config_part){
    v[0], v[1], v[2], (uint64_t) v[3], (uint64_t) v[4], args->at[PART_ARGS - 1]
  };
  return out->offset <= out->size && out->bytes.len <= out->size - out->offset
         && (out->bytes.len > 0 || out->size == 0);
}
