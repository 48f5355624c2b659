#include "peer_call.h"
#include "report.h"

#include "medlartrack/error.h"

#include <stdlib.h>

#define MEMBERS_PREFIX "medlartrack/members/"

/* Fetches the dump of the daemon given by --peer, else of the first daemon listed by the platform
 * that answers. */
static char *
fetch_any_dump (const struct mt_command_context *context, GError **error)
{
  GPtrArray *values;
  char *text = NULL;

  if (context->peer != NULL)
    return mt_peer_call_dump (context->peer, error);
  if (!context->store->ops->list (context->store->ctx, MEMBERS_PREFIX, &values, error))
    return NULL;
  for (guint i = 0; i < values->len && text == NULL; i++)
    {
      const struct mt_store_value *value = values->pdata[i];

      g_clear_error (error);
      if (value->data != NULL)
        text = mt_peer_call_dump (value->data, error);
    }
  if (text == NULL && error != NULL && *error == NULL)
    g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
                 "the platform lists no daemon; name one with --peer IP:PORT");
  g_ptr_array_unref (values);
  return text;
}

static json_int_t
find_newest_version (json_t *members)
{
  json_int_t newest = 0;
  const char *name;
  json_t *member;

  json_object_foreach (members, name, member)
  {
    json_int_t version = json_integer_value (json_object_get (member, "tables_version"));

    newest = MAX (newest, version);
  }
  return newest;
}

static json_t *
summarize_dump (json_t *dump)
{
  json_t *members = json_object_get (dump, "members");
  json_int_t newest = find_newest_version (members);
  json_t *lagging = json_array ();
  json_t *silent = json_array ();
  json_t *unreachable = json_array ();
  const char *name;
  json_t *member;

  json_object_foreach (members, name, member)
  {
    const char *reachable = json_string_value (json_object_get (member, "reachable"));

    if (json_integer_value (json_object_get (member, "tables_version")) < newest)
      json_array_append_new (lagging, json_string (name));
    if (!json_is_true (json_object_get (member, "alive")))
      json_array_append_new (silent, json_string (name));
    if (g_strcmp0 (reachable, "no") == 0)
      json_array_append_new (unreachable, json_string (name));
  }
  return json_pack ("{sO sI so so so sO}", "seen_by", json_object_get (dump, "name"),
                    "tables_version", newest, "lagging", lagging, "silent", silent, "unreachable",
                    unreachable, "daemons", members);
}

int
mt_command_status (const struct mt_command_context *context, const char *argument)
{
  g_autoptr (GError) error = NULL;
  char *text = fetch_any_dump (context, &error);
  json_t *dump;
  json_t *status = NULL;

  if (text == NULL)
    return mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
  dump = json_loads (text, 0, NULL);
  free (text);
  if (dump != NULL)
    status = summarize_dump (dump);
  json_decref (dump);
  if (status == NULL)
    {
      g_set_error (&error, MT_ERROR, MT_ERROR_SYNTAX,
                   "the daemon's dump can't be parsed; check that the daemon runs the same version "
                   "as medlartrackctl");
      return mt_report_error (context, error, MT_EXIT_UNAVAILABLE);
    }
  mt_report_json (context, status);
  return MT_EXIT_OK;
}
