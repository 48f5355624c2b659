/* Quotas of workspaces: what each may have running in all pools together.
 *
 * The load: pools are placed by different daemons at the same moment, and a workspace's jobs come
 * to one of them in a surge. Each pool keeps to the share of the quota that the fleet's leader
 * grants it and takes back (grants.c). */
#include "scheduler_internal.h"

/* A workspace may hand in so many seconds' worth of its rate at once. */
#define BURST_S 1
/* Of an even share: what a pool may use before its first grant. All pools together stay within the
 * overrun that operators allow for. */
#define INITIAL_SHARE 0.1
/* ... and for how long: by then whoever grants has missed it for a while, and what the others had
 * running beyond their shares has ended. */
#define INITIAL_MS 4000

void
mt_account_free (void *data)
{
  struct mt_account *account = data;

  g_free (account->name);
  g_free (account);
}

struct mt_account *
mt_scheduler_account (struct mt_scheduler *sched, const char *workspace)
{
  struct mt_account *account;

  if (workspace == NULL || workspace[0] == '\0')
    return NULL;
  account = g_hash_table_lookup (sched->accounts, workspace);
  if (account != NULL)
    return account;
  account = g_new0 (struct mt_account, 1);
  account->name = g_strdup (workspace);
  g_hash_table_insert (sched->accounts, account->name, account);
  return account;
}

/* All pools shrink their shares alike, whether or not the fleet's leader reaches them. */
static void
shrink_share (struct mt_account *account, const struct mt_resources *quota, unsigned i)
{
  int64_t before = mt_resources_get (&account->terms.quota, i);
  int64_t after = mt_resources_get (quota, i);
  int64_t *granted = mt_resources_field (&account->granted, i);

  if (after > 0 && after < before)
    *granted = (int64_t) ((double) *granted * (double) after / (double) before);
}

void
mt_scheduler_set_workspace (struct mt_scheduler *sched,
                            const char *name,
                            const struct mt_workspace_limits *terms)
{
  struct mt_account *account = mt_scheduler_account (sched, name);

  if (account == NULL)
    return;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    shrink_share (account, &terms->quota, i);
  account->terms = *terms;
  sched->changed = true;
}

void
mt_account_add_usage (struct mt_account *account, const struct mt_step *step, int sign)
{
  if (account == NULL)
    return;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    *mt_resources_field (&account->used, i) += sign * mt_resources_get (&step->need, i);
}

/* A pool sees its own jobs only, so it lets pass what a workspace sends beyond its rate to several
 * at once; a surge comes to one at a time. */
bool
mt_account_record_job (struct mt_account *account, int64_t now)
{
  double rate;

  if (account == NULL || account->terms.rate == 0)
    return false;
  rate = (double) account->terms.rate;
  account->burst -= rate * (double) (now - account->burst_at) / 1000;
  account->burst = MAX (account->burst, 0) + 1;
  account->burst_at = now;
  if (account->burst <= BURST_S * rate)
    return false;
  account->burst--;
  return true;
}

static int64_t
even_share (const struct mt_account *account, unsigned i)
{
  return mt_resources_get (&account->terms.quota, i) / MAX (account->terms.pools, 1U);
}

/* A pool that hears nothing keeps no more than an even share: whoever grants counts on that, and
 * can give the rest to others. One without any grant waits until the others have made room for it.
 */
static int64_t
share_limit (const struct mt_scheduler *sched,
             const struct mt_account *account,
             unsigned i,
             int64_t now)
{
  int64_t quota = mt_resources_get (&account->terms.quota, i);
  int64_t even = even_share (account, i);
  int64_t granted = mt_resources_get (&account->granted, i);

  if (account->has_grant)
    return MIN (granted, now < sched->grants_until ? quota : even);
  if (now - sched->created < INITIAL_MS)
    return (int64_t) (INITIAL_SHARE * (double) even);
  return even;
}

/* A pool that has the whole quota may go beyond it by one task: one that is larger than all of it
 * would never run. */
bool
mt_account_allows (const struct mt_scheduler *sched,
                   const struct mt_account *account,
                   const struct mt_step *step,
                   int64_t now)
{
  for (unsigned i = 0; account != NULL && i < MT_RESOURCE_KINDS; i++)
    {
      int64_t quota = mt_resources_get (&account->terms.quota, i);
      int64_t used = mt_resources_get (&account->used, i);
      int64_t limit;

      if (quota == 0)
        continue;
      limit = share_limit (sched, account, i, now);
      if (used + mt_resources_get (&step->need, i) > limit && (limit < quota || used >= quota))
        return false;
    }
  return true;
}

/* ---- grants ---- */

/* What a lease allowed beyond an even share does not come back with the next message: others have
 * it by now. */
static void
drop_lapsed (struct mt_scheduler *sched, int64_t now)
{
  GHashTableIter it;
  struct mt_account *account;

  if (now < sched->grants_until)
    return;
  g_hash_table_iter_init (&it, sched->accounts);
  while (g_hash_table_iter_next (&it, NULL, (void **) &account))
    for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
      {
        int64_t *granted = mt_resources_field (&account->granted, i);

        *granted = MIN (*granted, even_share (account, i));
      }
}

bool
mt_scheduler_apply_grants (struct mt_scheduler *sched,
                           const struct mt_grant_message *message,
                           int64_t now)
{
  if (message->token < sched->grants_token
      || (message->token == sched->grants_token && message->sequence <= sched->grants_number))
    return false;
  drop_lapsed (sched, now);
  sched->grants_token = message->token;
  sched->grants_number = message->sequence;
  sched->grants_all = message->all;
  sched->grants_until = now + MT_GRANT_LEASE_MS;
  for (size_t i = 0; i < message->n_grants; i++)
    {
      struct mt_account *account = mt_scheduler_account (sched, message->grants[i].workspace);

      if (account == NULL)
        continue;
      account->granted = message->grants[i].resources;
      account->has_grant = true;
      sched->changed = true;
    }
  return true;
}

static bool
is_limited (const struct mt_account *account)
{
  const struct mt_resources *quota = &account->terms.quota;

  return quota->cpu > 0 || quota->mem > 0 || quota->gpu > 0;
}

static bool
has_news (const struct mt_account_view *view)
{
  return !view->has_grant || view->used.mem > 0 || view->used.cpu > 0 || view->waiting.mem > 0
         || view->waiting.cpu > 0;
}

static void
add_waiting (const struct mt_occurrence *occ, struct mt_account_view *view)
{
  for (unsigned s = 0; s < occ->job->spec->n_steps; s++)
    {
      const struct mt_step *step = &occ->job->spec->steps[s];

      if (occ->step_waiting[s] == 0 || !mt_occurrence_step_is_ready (occ, s))
        continue;
      for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
        {
          int64_t need = mt_resources_get (&step->need, i);
          int64_t *largest = mt_resources_field (&view->largest_waiting, i);

          *mt_resources_field (&view->waiting, i) += occ->step_waiting[s] * need;
          *largest = MAX (*largest, need);
        }
    }
}

static void
add_jobs (const struct mt_scheduler *sched, GHashTable *views)
{
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_job *job = l->data;
      struct mt_account_view *view
          = job->account != NULL ? g_hash_table_lookup (views, job->account) : NULL;

      for (unsigned k = 0; view != NULL && k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && !job->occurrences[k]->ended)
          add_waiting (job->occurrences[k], view);
    }
}

size_t
mt_scheduler_accounts (const struct mt_scheduler *sched, struct mt_account_view *out, size_t max)
{
  g_autoptr (GHashTable) views = g_hash_table_new (NULL, NULL);
  GHashTableIter it;
  struct mt_account *account;
  struct mt_account_view *view;
  size_t n = 0;
  size_t kept = 0;

  g_hash_table_iter_init (&it, sched->accounts);
  while (n < max && g_hash_table_iter_next (&it, NULL, (void **) &account))
    {
      if (!is_limited (account))
        continue;
      view = &out[n++];
      *view = (struct mt_account_view){ .workspace = account->name,
                                        .used = account->used,
                                        .granted = account->granted,
                                        .has_grant = account->has_grant };
      g_hash_table_insert (views, account, view);
    }
  add_jobs (sched, views);
  for (size_t i = 0; i < n; i++)
    if (sched->grants_all || has_news (&out[i]))
      out[kept++] = out[i];
  return kept;
}
