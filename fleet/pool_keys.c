#include "pool_keys.h"

#include <errno.h>
#include <string.h>

#define PREFIX       "medlartrack/pool/"
#define STRETCH_UNIT 1000

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

char *
mt_pool_token_key (const char *pool)
{
  return g_strconcat (PREFIX, pool, "/token", NULL);
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

/* Appends ":VERSION:PRIORITY:ATTEMPTS:STRETCH:OBJECTIVE:TICKETS", with the stretch in thousandths.
 * Daemons without policies in submissions read the time up to the first colon. */
static void
append_policy (GString *out, const struct mt_route_policy *policy)
{
  if (policy->max_attempts <= 0)
    return;
  g_string_append_printf (
      out, ":%" G_GINT64_FORMAT ":%d:%d:%" G_GINT64_FORMAT ":%" G_GINT64_FORMAT ":%d",
      policy->version, policy->priority, policy->max_attempts,
      (int64_t) (policy->stretch * STRETCH_UNIT + 0.5), policy->objective_ms,
      policy->needs_tickets);
}

/* text: what follows the time; "" or anything unreadable for no policy. */
static void
read_policy (const char *text, struct mt_route_policy *out)
{
  int64_t fields[6];

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      char *end = NULL;

      if (*text != ':')
        return;
      errno = 0;
      fields[i] = g_ascii_strtoll (text + 1, &end, 10);
      if (end == text + 1 || errno != 0)
        return;
      text = end;
    }
  if (fields[0] < 0 || fields[1] < G_MININT || fields[1] > G_MAXINT || fields[2] <= 0
      || fields[2] > G_MAXINT || fields[3] < 0 || fields[4] < 0)
    return;
  *out = (struct mt_route_policy){ .version = fields[0],
                                   .priority = (int) fields[1],
                                   .max_attempts = (int) fields[2],
                                   .stretch = (double) fields[3] / STRETCH_UNIT,
                                   .objective_ms = fields[4],
                                   .needs_tickets = fields[5] != 0 };
}

char *
mt_pool_submission_pack (const struct mt_pool_submission *submission, size_t *len)
{
  struct mt_str body = submission->body;
  GString *out = g_string_sized_new (body.len + 64);

  g_string_printf (out, "%s\n%" G_GINT64_FORMAT, submission->route, submission->accepted_ms);
  append_policy (out, &submission->policy);
  g_string_append_printf (out, " %s\n", submission->workspace);
  g_string_append_len (out, body.data, (gssize) body.len);
  *len = out->len;
  return g_string_free (out, FALSE);
}

/* A value from a version without workspaces has only the time in its second line; one from a
 * version without policies has the time and the workspace. */
bool
mt_pool_submission_unpack (struct mt_str value, struct mt_pool_submission *out)
{
  const char *end = value.data + value.len;
  const char *first = value.len > 0 ? memchr (value.data, '\n', value.len) : NULL;
  const char *second = first != NULL ? memchr (first + 1, '\n', (size_t) (end - first - 1)) : NULL;
  const char *space;
  g_autofree char *times = NULL;
  char *policy = NULL;

  *out = (struct mt_pool_submission){ 0 };
  if (second == NULL)
    return false;
  space = memchr (first + 1, ' ', (size_t) (second - first - 1));
  out->route = g_strndup (value.data, (gsize) (first - value.data));
  out->workspace
      = space != NULL ? g_strndup (space + 1, (gsize) (second - space - 1)) : g_strdup ("");
  times = g_strndup (first + 1, (gsize) ((space != NULL ? space : second) - first - 1));
  out->accepted_ms = g_ascii_strtoll (times, &policy, 10);
  read_policy (policy, &out->policy);
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
