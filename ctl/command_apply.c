#include "medlartrack/clock.h"
#include "medlartrack/error.h"
#include "report.h"

#include <string.h>

/* Minimum duration of a run, and interval between attempts to read back a write. This limits the
 * load that a script running apply in a loop puts on the platform: a run makes at most 3 calls,
 * unless the response to the write was lost. */
#define PAUSE_US (500 * MT_MS)
/* After the store was restored to older tables, a daemon that holds newer ones writes them back
 * within this delay plus the duration of its own two calls; see "Tables" in docs/DESIGN.md. */
#define REPAIR_DELAY_US    (500 * MT_MS)
#define REPAIR_CALLS       4
#define READ_BACK_ATTEMPTS 5

/* State of one run of apply. */
struct edit
{
  const struct mt_command_context *context;
  const struct mt_tables *proposed;
  struct mt_accepted accepted; /* read before the write */
  uint64_t base_version;       /* version that the operator edited */
  uint64_t version;            /* version of the tables once the edit is accepted */
  char *id;
  bool paused; /* has slept for PAUSE_US or longer in this run */
};

static void
wait_us (struct edit *edit, int64_t us)
{
  edit->paused = true;
  edit->context->pause (edit->context->pause_ctx, us);
}

static int
report_accepted (const struct edit *edit, const char *note)
{
  json_t *root = json_pack ("{sI so}", "accepted", (json_int_t) edit->version, "warnings",
                            mt_report_warnings (edit->proposed));

  if (note != NULL)
    json_object_set_new (root, note, json_true ());
  mt_report_json (edit->context, root);
  return MT_EXIT_OK;
}

/* Reports the changes that were accepted after the version that the operator edited. If the change
 * log does not reach back that far, reports how the accepted tables differ from the operator's
 * file. */
static int
report_conflict (const struct edit *edit, const struct mt_tables *current)
{
  char *since = mt_tables_changes_since (current, edit->base_version);
  const char *name = since != NULL ? "changes_since" : "differences";
  json_t *changes
      = mt_report_parse_json (since != NULL ? since : mt_tables_diff (edit->proposed, current));

  fprintf (edit->context->err,
           "medlartrackctl: version %" G_GUINT64_FORMAT " was accepted, but the file is based on "
           "version %" G_GUINT64_FORMAT "; run `show`, merge your edit into its output, and apply "
           "the result\n",
           current->version, edit->base_version);
  mt_report_json (edit->context,
                  json_pack ("{s{ss sI sI so}}", "error", "kind", "conflict", "accepted",
                             (json_int_t) current->version, "edited_from",
                             (json_int_t) edit->base_version, name, changes));
  return MT_EXIT_CONFLICT;
}

static int
report_text (const struct edit *edit, enum mt_error kind, int code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (MT_ERROR, (gint) kind, text);

  return mt_report_error (edit->context, error, code);
}

/* Reads the stored tables back and looks for the edit's id in them and in their change log, to find
 * out whether the write took effect. If the outcome is certain, reports it, sets *code and returns
 * true. Returns false with an error if the platform did not answer, and without one if the write
 * may still arrive. */
static bool
read_back_once (const struct edit *edit, int *code, GError **error)
{
  struct mt_accepted current;
  bool resolved = true;

  if (!mt_accepted_read (edit->context->store, &current, error))
    return false;
  if (current.tables != NULL && mt_tables_descends_from (current.tables, edit->id))
    *code = report_accepted (edit, "read_back");
  /* The stored value is the one that the write compares against, so the write may still arrive. */
  else if (current.value.index == edit->accepted.value.index)
    resolved = false;
  else if (current.tables != NULL)
    *code = report_conflict (edit, current.tables);
  else
    *code = report_text (edit, MT_ERROR_CONFLICT, MT_EXIT_CONFLICT,
                         "another write replaced the accepted tables with a value that can't be "
                         "read as tables; run `show`");
  mt_accepted_clear (&current);
  return resolved;
}

static int
read_back_write (struct edit *edit)
{
  int code = MT_EXIT_UNKNOWN;

  for (int i = 0; i < READ_BACK_ATTEMPTS; i++)
    {
      g_autoptr (GError) error = NULL;

      if (read_back_once (edit, &code, &error))
        return code;
      wait_us (edit, PAUSE_US);
    }
  return report_text (edit, MT_ERROR_UNKNOWN, MT_EXIT_UNKNOWN,
                      "the platform did not confirm whether the edit was accepted; run `show` once "
                      "it answers, and apply again if the edit is missing");
}

/* Waits and reads the write back before reporting "accepted": a store that was restored to older
 * tables accepts an edit that daemons holding newer tables then overwrite. */
static int
confirm_write (struct edit *edit, int64_t write_us)
{
  struct mt_accepted current;
  int code;

  wait_us (edit, REPAIR_DELAY_US + REPAIR_CALLS * write_us);
  if (!mt_accepted_read (edit->context->store, &current, NULL))
    return report_accepted (edit, "not_read_back");
  if (current.tables != NULL && mt_tables_descends_from (current.tables, edit->id))
    code = report_accepted (edit, NULL);
  else
    code = report_text (edit, MT_ERROR_CONFLICT, MT_EXIT_CONFLICT,
                        "the platform's store had been restored to older tables, and the daemons "
                        "replaced the edit with the newer tables that they hold; run `show`, merge "
                        "your edit into its output, and apply the result");
  mt_accepted_clear (&current);
  return code;
}

static int
write_edit (struct edit *edit)
{
  const struct mt_store *store = edit->context->store;
  g_autoptr (GError) error = NULL;
  g_autofree char *text
      = mt_tables_format_next (edit->accepted.tables, edit->proposed, edit->version, edit->id);
  int64_t began_us = mt_clock_now (mt_clock_system ());
  enum mt_store_write_result put = store->ops->put (store->ctx, MT_TABLES_KEY, mt_str_from (text),
                                                    edit->accepted.value.index, &error);

  switch (put)
    {
    case MT_STORE_DONE:
      return confirm_write (edit, mt_clock_now (mt_clock_system ()) - began_us);
    case MT_STORE_FAILED:
      return mt_report_error (edit->context, error, MT_EXIT_UNAVAILABLE);
    case MT_STORE_CONFLICT:
    case MT_STORE_UNKNOWN:
      break;
    }
  return read_back_write (edit);
}

/* Sets the version that the edit is based on: --onto if given, else the version in the file, as
 * `show` wrote it. Returns false with an error if --onto is not a number. */
static bool
read_base_version (struct edit *edit, GError **error)
{
  const char *onto = edit->context->onto;
  unsigned long long version = edit->proposed->version;

  if (onto != NULL && !mt_str_to_u64 (mt_str_from (onto), &version))
    {
      g_set_error (error, MT_ERROR, MT_ERROR_USAGE,
                   "--onto: \"%s\" is not a version; give the version that the edit is based on",
                   onto);
      return false;
    }
  edit->base_version = version;
  return true;
}

/* Returns the "version" member of a stored value that can't be parsed as tables; 0 if there is
 * none. */
static uint64_t
read_claimed_version (const struct mt_store_value *value)
{
  json_t *root = json_loadb (value->data, value->len, 0, NULL);
  json_int_t version = json_integer_value (json_object_get (root, "version"));

  json_decref (root);
  return version > 0 ? (uint64_t) version : 0;
}

/* Allows an unreadable value to be replaced only if --onto names its version. Such a value comes
 * from another release or was written without this tool. It must be replaceable: otherwise a
 * stricter release could lock everyone out of the tables. Reports an error and returns false if the
 * edit is not allowed. */
static bool
check_unreadable (const struct edit *edit, int *code)
{
  uint64_t version = read_claimed_version (&edit->accepted.value);
  g_autofree char *text = NULL;

  if (edit->context->onto != NULL && edit->base_version == version)
    return true;
  text = g_strdup_printf ("the accepted tables can't be read (%s); give --onto %" G_GUINT64_FORMAT
                          " to replace them as a whole",
                          edit->accepted.parse_error->message, version);
  *code = report_text (edit, MT_ERROR_TABLES, MT_EXIT_REFUSED, text);
  return false;
}

/* Checks that the edit is based on the accepted tables; reports an error and returns false if it
 * isn't. */
static bool
check_base_version (const struct edit *edit, int *code)
{
  const struct mt_tables *current = edit->accepted.tables;
  bool same_id = edit->context->onto != NULL || edit->proposed->id.len == 0
                 || (current != NULL && mt_str_equal (edit->proposed->id, current->id));
  uint64_t accepted = current != NULL ? current->version : 0;

  if (edit->base_version > accepted)
    *code = report_text (edit, MT_ERROR_CONFLICT, MT_EXIT_CONFLICT,
                         "the platform holds older tables than the file is based on: its store was "
                         "restored; wait until the daemons have written the newer tables back, or "
                         "give --onto with the version that `show` prints");
  else if (current != NULL && edit->base_version == 0)
    *code = report_text (edit, MT_ERROR_TABLES, MT_EXIT_REFUSED,
                         "the file has no version, so it might undo another operator's edit; edit "
                         "the output of `show`, or give --onto VERSION");
  else if (current != NULL && (edit->base_version < accepted || !same_id))
    *code = report_conflict (edit, current);
  else
    return true;
  return false;
}

static int
check_and_write (struct edit *edit)
{
  const struct mt_tables *current = edit->accepted.tables;
  g_autoptr (GError) error = NULL;
  int code;

  if (current != NULL && mt_tables_same_rows (current, edit->proposed))
    {
      edit->version = current->version;
      return report_accepted (edit, "unchanged");
    }
  if (edit->accepted.parse_error != NULL ? !check_unreadable (edit, &code)
                                         : !check_base_version (edit, &code))
    return code;
  if (!mt_tables_check_change (current, edit->proposed, edit->context->may_empty, &error))
    return mt_report_error (edit->context, error, MT_EXIT_REFUSED);
  edit->version = edit->base_version + 1;
  return write_edit (edit);
}

int
mt_command_apply (const struct mt_command_context *context, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct edit edit = { .context = context };
  int code;
  struct mt_tables *proposed = mt_report_load_tables (context, path, &code);

  if (proposed == NULL)
    return code;
  edit.proposed = proposed;
  edit.id = g_uuid_string_random ();
  if (!read_base_version (&edit, &error))
    code = mt_report_error (context, error, MT_EXIT_USAGE);
  else
    {
      code = mt_accepted_read (context->store, &edit.accepted, &error)
                 ? check_and_write (&edit)
                 : mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
      if (!edit.paused)
        wait_us (&edit, PAUSE_US);
    }
  mt_accepted_clear (&edit.accepted);
  g_free (edit.id);
  mt_tables_destroy (proposed);
  return code;
}
