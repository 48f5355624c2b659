#include "medlartrack/clock.h"
#include "medlartrack/error.h"
#include "report.h"

#include <string.h>

/* A script that applies in a loop may cost the platform so many calls and no more: each run makes
 * at most 3 calls unless the answer to the write was lost, and lasts at least this long. */
#define PACE_US (500 * MT_MS)
/* A daemon that holds newer tables than a restored store writes them back within this plus the time
 * of its own two calls; see "Tables" in docs/DESIGN.md. */
#define REPAIR_US       (500 * MT_MS)
#define REPAIR_CALLS    4
#define READ_BACK_TRIES 5

/* One run of apply. */
struct edit
{
  const struct mt_command_context *context;
  const struct mt_tables *wanted;
  struct mt_accepted accepted; /* what the edit was decided from */
  uint64_t base;               /* version that the operator edited */
  uint64_t version;            /* that the edit would get */
  char *id;
  bool paced; /* it has waited long enough to bound the rate of calls */
};

static void
wait_us (struct edit *edit, int64_t us)
{
  edit->paced = true;
  edit->context->pause (edit->context->pause_ctx, us);
}

static int
report_accepted (const struct edit *edit, const char *note)
{
  json_t *root = json_pack ("{sI so}", "accepted", (json_int_t) edit->version, "warnings",
                            mt_report_warnings (edit->wanted));

  if (note != NULL)
    json_object_set_new (root, note, json_true ());
  mt_report_json (edit->context, root);
  return MT_EXIT_OK;
}

/* Tells what was accepted since the version that the operator edited. Where the log of changes is
 * too short for that, it tells how the accepted tables differ from the operator's file. */
static int
report_conflict (const struct edit *edit, const struct mt_tables *now)
{
  char *since = mt_tables_changes_since (now, edit->base);
  const char *name = since != NULL ? "changes_since" : "differences";
  json_t *changes = mt_report_parse (since != NULL ? since : mt_tables_diff (edit->wanted, now));

  fprintf (edit->context->err,
           "medlartrackctl: version %" G_GUINT64_FORMAT " was accepted, the file was edited from "
           "version %" G_GUINT64_FORMAT "; run `show`, merge your edit into it, and apply that\n",
           now->version, edit->base);
  mt_report_json (edit->context, json_pack ("{s{ss sI sI so}}", "error", "kind", "conflict",
                                            "accepted", (json_int_t) now->version, "edited_from",
                                            (json_int_t) edit->base, name, changes));
  return MT_EXIT_CONFLICT;
}

static int
report_text (const struct edit *edit, enum mt_error kind, int code, const char *text)
{
  g_autoptr (GError) error = g_error_new_literal (MT_ERROR, (gint) kind, text);

  return mt_report_error (edit->context, error, code);
}

/* Whether reading back settled the write, with the code told. The id in the value or in its log of
 * changes tells whose write it is. */
static bool
settle_once (const struct edit *edit, int *code, GError **error)
{
  struct mt_accepted now;
  bool settled = true;

  if (!mt_accepted_read (edit->context->store, &now, error))
    return false;
  if (now.tables != NULL && mt_tables_descends_from (now.tables, edit->id))
    *code = report_accepted (edit, "read_back");
  /* The value that the write compares with still stands: the write may yet arrive. */
  else if (now.value.index == edit->accepted.value.index)
    settled = false;
  else if (now.tables != NULL)
    *code = report_conflict (edit, now.tables);
  else
    *code = report_text (edit, MT_ERROR_CONFLICT, MT_EXIT_CONFLICT,
                         "another write replaced the accepted tables by something unreadable; run "
                         "`show`");
  mt_accepted_clear (&now);
  return settled;
}

static int
settle (struct edit *edit)
{
  int code = MT_EXIT_UNKNOWN;

  for (int i = 0; i < READ_BACK_TRIES; i++)
    {
      g_autoptr (GError) error = NULL;

      if (settle_once (edit, &code, &error))
        return code;
      wait_us (edit, PACE_US);
    }
  return report_text (edit, MT_ERROR_UNKNOWN, MT_EXIT_UNKNOWN,
                      "the platform did not tell whether the edit was accepted; run `show` once it "
                      "answers, and apply again if the edit is not there");
}

/* A store that was restored to an older value takes an edit that daemons, which hold newer tables,
 * then replace. So "accepted" is told only once they had the time for it. */
static int
confirm (struct edit *edit, int64_t write_us)
{
  struct mt_accepted now;
  int code;

  wait_us (edit, REPAIR_US + REPAIR_CALLS * write_us);
  if (!mt_accepted_read (edit->context->store, &now, NULL))
    return report_accepted (edit, "not_read_back");
  if (now.tables != NULL && mt_tables_descends_from (now.tables, edit->id))
    code = report_accepted (edit, NULL);
  else
    code
        = report_text (edit, MT_ERROR_CONFLICT, MT_EXIT_CONFLICT,
                       "the platform's store had been restored to older tables, and the newer ones "
                       "that the daemons hold were put back; run `show`, merge your edit into it, "
                       "and apply that");
  mt_accepted_clear (&now);
  return code;
}

static int
write_edit (struct edit *edit)
{
  const struct mt_store *store = edit->context->store;
  g_autoptr (GError) error = NULL;
  g_autofree char *text
      = mt_tables_format_next (edit->accepted.tables, edit->wanted, edit->version, edit->id);
  int64_t began_us = mt_clock_now (mt_clock_system ());
  enum mt_store_write_result put = store->ops->put (store->ctx, MT_TABLES_KEY, mt_str_from (text),
                                                    edit->accepted.value.index, &error);

  switch (put)
    {
    case MT_STORE_DONE:
      return confirm (edit, mt_clock_now (mt_clock_system ()) - began_us);
    case MT_STORE_FAILED:
      return mt_report_error (edit->context, error, MT_EXIT_UNAVAILABLE);
    case MT_STORE_CONFLICT:
    case MT_STORE_UNKNOWN:
      break;
    }
  return settle (edit);
}

/* The version that the edit starts from: --onto, or what `show` wrote into the file. */
static bool
read_base (struct edit *edit, GError **error)
{
  const char *onto = edit->context->onto;
  unsigned long long version = edit->wanted->version;

  if (onto != NULL && !mt_str_to_u64 (mt_str_from (onto), &version))
    {
      g_set_error (error, MT_ERROR, MT_ERROR_USAGE,
                   "--onto: found \"%s\"; write the version that the edit starts from", onto);
      return false;
    }
  edit->base = version;
  return true;
}

/* The version that a value which can't be read as tables claims to be; 0 where it claims none. */
static uint64_t
claimed_version (const struct mt_store_value *value)
{
  json_t *root = json_loadb (value->data, value->len, 0, NULL);
  json_int_t version = json_integer_value (json_object_get (root, "version"));

  json_decref (root);
  return version > 0 ? (uint64_t) version : 0;
}

/* A value of another release, or written past this tool, may only be replaced by an operator who
 * names it: without that way out a stricter release could lock everyone out of the tables. */
static bool
check_unreadable (const struct edit *edit, int *code)
{
  uint64_t version = claimed_version (&edit->accepted.value);
  g_autofree char *text = NULL;

  if (edit->context->onto != NULL && edit->base == version)
    return true;
  text = g_strdup_printf ("the accepted tables can't be read (%s); give --onto %" G_GUINT64_FORMAT
                          " to replace them as a whole",
                          edit->accepted.why_unreadable->message, version);
  *code = report_text (edit, MT_ERROR_TABLES, MT_EXIT_REFUSED, text);
  return false;
}

/* Whether the edit starts from what is accepted; tells why where it doesn't. */
static bool
check_base (const struct edit *edit, int *code)
{
  const struct mt_tables *now = edit->accepted.tables;
  bool same_id = edit->context->onto != NULL || edit->wanted->id.len == 0
                 || (now != NULL && mt_str_equal (edit->wanted->id, now->id));
  uint64_t accepted = now != NULL ? now->version : 0;

  if (edit->base > accepted)
    *code = report_text (edit, MT_ERROR_CONFLICT, MT_EXIT_CONFLICT,
                         "the platform holds older tables than the file was edited from: its store "
                         "was restored; wait until the daemons have written the newer ones back, "
                         "or give --onto with the version that `show` prints");
  else if (now != NULL && edit->base == 0)
    *code = report_text (edit, MT_ERROR_TABLES, MT_EXIT_REFUSED,
                         "the file has no version, so it can't be told whether it undoes another "
                         "operator's edit; edit what `show` prints, or give --onto VERSION");
  else if (now != NULL && (edit->base < accepted || !same_id))
    *code = report_conflict (edit, now);
  else
    return true;
  return false;
}

static int
decide (struct edit *edit)
{
  const struct mt_tables *now = edit->accepted.tables;
  g_autoptr (GError) error = NULL;
  int code;

  if (now != NULL && mt_tables_same_rows (now, edit->wanted))
    {
      edit->version = now->version;
      return report_accepted (edit, "unchanged");
    }
  if (edit->accepted.why_unreadable != NULL ? !check_unreadable (edit, &code)
                                            : !check_base (edit, &code))
    return code;
  if (!mt_tables_check_change (now, edit->wanted, edit->context->may_empty, &error))
    return mt_report_error (edit->context, error, MT_EXIT_REFUSED);
  edit->version = edit->base + 1;
  return write_edit (edit);
}

int
mt_command_apply (const struct mt_command_context *context, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct edit edit = { .context = context };
  int code;
  struct mt_tables *wanted = mt_report_load (context, path, &code);

  if (wanted == NULL)
    return code;
  edit.wanted = wanted;
  edit.id = g_uuid_string_random ();
  if (!read_base (&edit, &error))
    code = mt_report_error (context, error, MT_EXIT_USAGE);
  else
    {
      code = mt_accepted_read (context->store, &edit.accepted, &error)
                 ? decide (&edit)
                 : mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
      if (!edit.paced)
        wait_us (&edit, PACE_US);
    }
  mt_accepted_clear (&edit.accepted);
  g_free (edit.id);
  mt_tables_destroy (wanted);
  return code;
}
