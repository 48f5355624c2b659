#include "commands.h"

#include "medlartrack/error.h"
#include "medlartrack/tables.h"

#include <stdio.h>
#include <string.h>

#define READ_BACK_TRIES    5
#define READ_BACK_PAUSE_US 200000

static int
complain (const GError *error, int code)
{
  fprintf (stderr, "medlartrackctl: %s\n", error != NULL ? error->message : "unknown error");
  return code;
}

static struct mt_tables *
load_file (const char *path, GError **error)
{
  g_autofree char *text = NULL;
  gsize len = 0;

  if (!g_file_get_contents (path, &text, &len, error))
    return NULL;
  return mt_tables_parse ((struct mt_str){ text, len }, error);
}

static int
run_check (const struct mt_command_context *context, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = load_file (path, &error);

  if (tables == NULL)
    return complain (error, MT_EXIT_REFUSED);
  printf ("{\"checked\":true,\"routes\":%zu,\"pools\":%zu}\n", tables->n_routes, tables->n_pools);
  mt_tables_destroy (tables);
  return MT_EXIT_OK;
}

static int
run_show (const struct mt_command_context *context, const char *argument)
{
  g_autoptr (GError) error = NULL;
  struct mt_store_value value;

  if (!context->store->ops->get (context->store->ctx, MT_TABLES_KEY, &value, &error))
    return complain (error, MT_EXIT_UNAVAILABLE);
  printf ("%s\n", value.found ? value.data : "{\"routes\":[],\"pools\":[]}");
  mt_store_value_clear (&value);
  return MT_EXIT_OK;
}

/* The version accepted now, or 0; a document that can't be read is refused. */
static bool
read_accepted (const struct mt_store *store,
               struct mt_store_value *value,
               struct mt_tables **tables,
               GError **error)
{
  *tables = NULL;
  if (!store->ops->get (store->ctx, MT_TABLES_KEY, value, error))
    return false;
  if (!value->found)
    return true;
  *tables = mt_tables_parse ((struct mt_str){ value->data, value->len }, error);
  return *tables != NULL;
}

/* An answer lost after the write is settled by reading: the id in the value tells whose it is. */
static int
settle (const struct mt_store *store, const char *id, uint64_t version)
{
  g_autoptr (GError) error = NULL;

  for (int i = 0; i < READ_BACK_TRIES; i++)
    {
      struct mt_store_value value;
      struct mt_tables *now;
      bool ok;
      bool mine;

      g_clear_error (&error);
      ok = read_accepted (store, &value, &now, &error);
      mine = ok && now != NULL && strcmp (now->id.data, id) == 0;
      mt_tables_destroy (now);
      mt_store_value_clear (&value);
      if (mine)
        {
          printf ("{\"accepted\":%" G_GUINT64_FORMAT "}\n", version);
          return MT_EXIT_OK;
        }
      if (ok)
        return complain (NULL, MT_EXIT_CONFLICT);
      g_usleep (READ_BACK_PAUSE_US);
    }
  return complain (error, MT_EXIT_UNKNOWN);
}

static int
write_tables (const struct mt_store *store, const struct mt_tables *wanted, GError **error)
{
  g_autofree char *id = g_uuid_string_random ();
  g_autofree char *text = NULL;
  struct mt_store_value value;
  struct mt_tables *now;
  uint64_t version;
  enum mt_store_put put;

  if (!read_accepted (store, &value, &now, error))
    return MT_EXIT_UNAVAILABLE;
  version = (now != NULL ? now->version : 0) + 1;
  text = mt_tables_format (wanted, version, id);
  put = store->ops->put (store->ctx, MT_TABLES_KEY, mt_str_from (text), value.index, error);
  mt_tables_destroy (now);
  mt_store_value_clear (&value);
  if (put == MT_STORE_DONE)
    {
      printf ("{\"accepted\":%" G_GUINT64_FORMAT "}\n", version);
      return MT_EXIT_OK;
    }
  if (put == MT_STORE_FAILED)
    return MT_EXIT_UNAVAILABLE;
  if (put == MT_STORE_UNKNOWN)
    {
      g_clear_error (error);
      return settle (store, id, version);
    }
  g_set_error (error, MT_ERROR, MT_ERROR_CONFLICT,
               "another edit was accepted first; run `show`, merge yours, and apply again");
  return MT_EXIT_CONFLICT;
}

static int
run_apply (const struct mt_command_context *context, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = load_file (path, &error);
  int code;

  if (tables == NULL)
    return complain (error, MT_EXIT_REFUSED);
  code = write_tables (context->store, tables, &error);
  mt_tables_destroy (tables);
  return error != NULL ? complain (error, code) : code;
}

static const struct mt_command commands[] = {
  { .name = "check", .description = "check both tables", .argument = "FILE", .run = run_check },
  { .name = "apply",
    .description = "accept both tables as one version",
    .argument = "FILE",
    .run = run_apply },
  { .name = "show", .description = "print the accepted tables", .run = run_show },
  { .name = NULL },
};

const struct mt_command *
mt_commands (void)
{
  return commands;
}
