#include "../config/fields.h"
#include "medlartrack/assign.h"

#include <string.h>
#include <talloc.h>

/* A record is an array, not an object: with 450 instances the keys would make up most of the value.
 * Pools are indices into the document's own list; -1 is none. */
#define RECORD_FORMAT "[siiiiiIII]"

static int
pool_number (json_t *pools, GHashTable *numbers, const char *name)
{
  gpointer found;

  if (name == NULL)
    return -1;
  if (g_hash_table_lookup_extended (numbers, name, NULL, &found))
    return GPOINTER_TO_INT (found);
  json_array_append_new (pools, json_string (name));
  g_hash_table_insert (numbers, (gpointer) name, GINT_TO_POINTER (json_array_size (pools) - 1));
  return (int) json_array_size (pools) - 1;
}

static json_t *
write_record (const struct mt_assign_record *record, json_t *pools, GHashTable *numbers)
{
  int bits = (int) record->state | (int) record->goal << 2 | (int) record->wave_state << 4;

  return json_pack (RECORD_FORMAT, record->instance, pool_number (pools, numbers, record->home),
                    pool_number (pools, numbers, record->pool),
                    pool_number (pools, numbers, record->target), bits, (int) record->leave_causes,
                    (json_int_t) record->boot_when_left, (json_int_t) record->epoch,
                    (json_int_t) record->since_s);
}

char *
mt_assign_format (const struct mt_assign *assign)
{
  g_autoptr (GHashTable) numbers = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *pools = json_array ();
  json_t *records = json_array ();
  json_t *waves = json_array ();
  json_t *root;
  char *text;
  char *copy;

  for (size_t i = 0; i < assign->n_records; i++)
    json_array_append_new (records, write_record (&assign->records[i], pools, numbers));
  for (size_t i = 0; i < assign->n_waves; i++)
    json_array_append_new (waves, json_pack ("[ss]", assign->waves[i].pool, assign->waves[i].id));
  root = json_pack ("{sI ss sI so so so}", "version", (json_int_t) assign->version, "id",
                    assign->id, "tables", (json_int_t) assign->tables_version, "pools", pools,
                    "records", records, "waves", waves);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  copy = g_strdup (text);
  free (text);
  return copy;
}

static bool
fail_syntax (GError **error, const char *what)
{
  g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
               "assignment document: %s; only daemons may write it; remove the key to have it "
               "rebuilt from the tables",
               what);
  return false;
}

static bool
read_pool (const struct mt_assign *assign, const json_t *pools, int number, const char **out)
{
  const char *name
      = number >= 0 ? json_string_value (json_array_get (pools, (size_t) number)) : NULL;

  *out = talloc_strdup (assign, name);
  return number == -1 || name != NULL;
}

static bool
read_record (struct mt_assign *assign,
             struct mt_assign_record *record,
             json_t *row,
             const json_t *pools)
{
  const char *name;
  int home, pool, target, bits, leave;
  json_int_t boot, epoch, since;

  if (json_unpack (row, RECORD_FORMAT, &name, &home, &pool, &target, &bits, &leave, &boot, &epoch,
                   &since)
      != 0)
    return false;
  record->instance = talloc_strdup (assign, name);
  record->state = (enum mt_assign_state) (bits & 3);
  record->goal = (enum mt_assign_goal) (bits >> 2 & 3);
  record->wave_state = (enum mt_wave_state) (bits >> 4 & 3);
  record->leave_causes = (unsigned) leave;
  record->boot_when_left = (uint64_t) boot;
  record->epoch = (uint64_t) epoch;
  record->since_s = since;
  return read_pool (assign, pools, home, &record->home)
         && read_pool (assign, pools, pool, &record->pool)
         && read_pool (assign, pools, target, &record->target) && home >= 0 && pool >= 0;
}

static bool
read_records (struct mt_assign *assign, const json_t *records, const json_t *pools, GError **error)
{
  assign->n_records = json_array_size (records);
  assign->records = talloc_zero_array (assign, struct mt_assign_record, assign->n_records);
  for (size_t i = 0; i < assign->n_records; i++)
    {
      if (!read_record (assign, &assign->records[i], json_array_get (records, i), pools))
        return fail_syntax (error, "a record is malformed");
      if (i > 0 && strcmp (assign->records[i - 1].instance, assign->records[i].instance) >= 0)
        return fail_syntax (error, "the records are out of order");
    }
  return true;
}

static bool
read_waves (struct mt_assign *assign, const json_t *waves, GError **error)
{
  assign->n_waves = json_array_size (waves);
  assign->waves = talloc_zero_array (assign, struct mt_assign_wave, assign->n_waves);
  for (size_t i = 0; i < assign->n_waves; i++)
    {
      const char *pool;
      const char *id;

      if (json_unpack (json_array_get (waves, i), "[ss]", &pool, &id) != 0)
        return fail_syntax (error, "a wave is malformed");
      assign->waves[i].pool = talloc_strdup (assign, pool);
      assign->waves[i].id = talloc_strdup (assign, id);
    }
  return true;
}

struct mt_assign *
mt_assign_parse (struct mt_str json, GError **error)
{
  struct mt_field_location place = { MT_ERROR_SYNTAX, "assignment document" };
  json_t *root = mt_fields_load (json, place, error);
  struct mt_assign *assign;
  json_int_t version;
  json_int_t tables;
  json_t *pools, *records, *waves;
  const char *id;
  bool ok;

  if (root == NULL)
    return NULL;
  assign = mt_assign_create ();
  ok = json_unpack (root, "{sI ss sI so so so}", "version", &version, "id", &id, "tables", &tables,
                    "pools", &pools, "records", &records, "waves", &waves)
           == 0
       || fail_syntax (error, "a key is missing");
  ok = ok && read_records (assign, records, pools, error) && read_waves (assign, waves, error);
  if (ok)
    {
      assign->version = (uint64_t) version;
      assign->tables_version = (uint64_t) tables;
      assign->id = talloc_strdup (assign, id);
    }
  json_decref (root);
  if (ok)
    return assign;
  mt_assign_destroy (assign);
  return NULL;
}
