#include "pool_keys.h"

#include <stdlib.h>
#include <string.h>

#define PREFIX "medlartrack/pool/"

char *
mt_pool_queue_prefix (const char *pool)
{
  return g_strconcat (PREFIX, pool, "/queue/", NULL);
}

char *
mt_pool_job_key (const char *pool, const char *id)
{
  return g_strconcat (PREFIX, pool, "/queue/job/", id, NULL);
}

char *
mt_pool_cancel_key (const char *pool, const char *id)
{
  return g_strconcat (PREFIX, pool, "/queue/cancel/", id, NULL);
}

char *
mt_pool_progress_key (const char *pool, const char *id)
{
  return g_strconcat (PREFIX, pool, "/progress/", id, NULL);
}

bool
mt_pool_key_is_cancel (const char *pool, const char *key)
{
  g_autofree char *prefix = mt_pool_cancel_key (pool, "");

  return g_str_has_prefix (key, prefix);
}

const char *
mt_pool_key_id (const char *key)
{
  const char *slash = strrchr (key, '/');

  return slash != NULL ? slash + 1 : key;
}

enum mt_job_state
mt_pool_record_state (struct mt_str record)
{
  const struct mt_str head = MT_STR ("{\"s\":\"");
  const char *name;
  const char *end;

  if (!mt_str_has_prefix (record, head))
    return MT_JOB_UNKNOWN;
  name = record.data + head.len;
  end = memchr (name, '"', record.len - head.len);
  if (end == NULL)
    return MT_JOB_UNKNOWN;
  return mt_job_state_parse ((struct mt_str){ name, (size_t) (end - name) });
}

char *
mt_pool_submission_pack (const struct mt_pool_submission *submission, size_t *len)
{
  struct mt_str body = submission->body;
  GString *out = g_string_sized_new (body.len + 64);

  g_string_printf (out, "%s\n%" G_GINT64_FORMAT " %s\n", submission->route, submission->accepted_ms,
                   submission->workspace);
  g_string_append_len (out, body.data, (gssize) body.len);
  *len = out->len;
  return g_string_free (out, FALSE);
}

/* A value from a version without workspaces has only the time in its second line. */
bool
mt_pool_submission_unpack (struct mt_str value, struct mt_pool_submission *out)
{
  const char *end = value.data + value.len;
  const char *first = value.len > 0 ? memchr (value.data, '\n', value.len) : NULL;
  const char *second = first != NULL ? memchr (first + 1, '\n', (size_t) (end - first - 1)) : NULL;
  const char *space;

  *out = (struct mt_pool_submission){ 0 };
  if (second == NULL)
    return false;
  space = memchr (first + 1, ' ', (size_t) (second - first - 1));
  out->route = g_strndup (value.data, (gsize) (first - value.data));
  out->workspace
      = space != NULL ? g_strndup (space + 1, (gsize) (second - space - 1)) : g_strdup ("");
  out->accepted_ms = strtoll (first + 1, NULL, 10);
  out->body = (struct mt_str){ second + 1, (size_t) (end - second - 1) };
  return true;
}

bool
mt_pool_job_is_visible (const char *owner, const char *workspace)
{
  return owner[0] == '\0' || strcmp (owner, workspace) == 0;
}

void
mt_pool_submission_clear (struct mt_pool_submission *submission)
{
  g_free (submission->route);
  g_free (submission->workspace);
  *submission = (struct mt_pool_submission){ 0 };
}
