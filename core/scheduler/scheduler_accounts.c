/* Workspace quotas: the resources that each workspace may use in all pools together.
 *
 * Different daemons place the tasks of the pools at the same time, and in a surge a workspace's
 * jobs arrive at one pool. Each pool stays within the share of the quota that the fleet's leader
 * grants it and later takes back (grants.c). */
#include "scheduler_internal.h"

/* Fraction of an even share that a pool may use before its first grant. It keeps all pools together
 * within the overrun that operators allow for. */
#define INITIAL_SHARE 0.1
/* How long INITIAL_SHARE applies, after which a pool without a grant gets its even share. By then
 * the granting leader has not heard from this pool for a while, and the tasks of other pools beyond
 * their shares have ended. */
#define INITIAL_SHARE_MS 4000

void
mt_account_free (void *data)
{
  struct mt_account *account = data;

  g_free (account->name);
  g_free (account);
}

struct mt_account *
mt_scheduler_get_account (struct mt_scheduler *sched, const char *workspace)
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

/* Scales the grant down with the quota. All pools do so by the same ratio, whether or not the
 * fleet's leader can reach them. */
static void
shrink_share (struct mt_account *account, const struct mt_resources *quota, unsigned i)
{
  int64_t before = mt_resources_get (&account->limits.quota, i);
  int64_t after = mt_resources_get (quota, i);
  int64_t *granted = mt_resources_field (&account->granted, i);

  if (after > 0 && after < before)
    *granted = (int64_t) ((double) *granted * (double) after / (double) before);
}

void
mt_scheduler_set_workspace (struct mt_scheduler *sched,
                            const char *name,
                            const struct mt_workspace_limits *limits)
{
  struct mt_account *account = mt_scheduler_get_account (sched, name);

  if (account == NULL)
    return;
  for (unsigned i = 0; i < MT_RESOURCE_KINDS; i++)
    shrink_share (account, &limits->quota, i);
  sched->n_weighted += (limits->weight > 0) - (account->limits.weight > 0);
  account->limits = *limits;
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

static int64_t
even_share (const struct mt_account *account, unsigned i)
{
  return mt_resources_get (&account->limits.quota, i) / MAX (account->limits.pools, 1U);
}

/* Returns the part of the quota that the pool may use now. A pool whose grants have expired keeps
 * no more than an even share: the granting leader relies on this and can give the rest to other
 * pools. A pool without any grant waits until the other pools have freed resources for it. */
static int64_t
share_limit (const struct mt_scheduler *sched,
             const struct mt_account *account,
             unsigned i,
             int64_t now)
{
  int64_t quota = mt_resources_get (&account->limits.quota, i);
  int64_t even = even_share (account, i);
  int64_t granted = mt_resources_get (&account->granted, i);

  if (account->has_grant)
    return MIN (granted, now < sched->grants_until ? quota : even);
  if (now - sched->first_placed_at < INITIAL_SHARE_MS)
    return (int64_t) (INITIAL_SHARE * (double) even);
  return even;
}

int64_t
mt_account_limit (const struct mt_scheduler *sched,
                  const struct mt_account *account,
                  unsigned kind,
                  int64_t now)
{
  if (mt_resources_get (&account->limits.quota, kind) == 0)
    return INT64_MAX;
  return share_limit (sched, account, kind, now);
}

/* A pool that was granted the whole quota may exceed it by one task: a task larger than the quota
 * would otherwise never run. */
bool
mt_account_allows (const struct mt_scheduler *sched,
                   const struct mt_account *account,
                   const struct mt_step *step,
                   int64_t now)
{
  for (unsigned i = 0; account != NULL && i < MT_RESOURCE_KINDS; i++)
    {
      int64_t quota = mt_resources_get (&account->limits.quota, i);
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

/* Reduces expired grants to an even share. The next message must not restore them: other pools may
 * have those resources by now. */
static void
trim_expired_grants (struct mt_scheduler *sched, int64_t now)
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
      || (message->token == sched->grants_token && message->sequence <= sched->grants_sequence))
    return false;
  trim_expired_grants (sched, now);
  sched->grants_token = message->token;
  sched->grants_sequence = message->sequence;
  sched->grants_all = message->all;
  sched->grants_until = now + MT_GRANT_LEASE_MS;
  for (size_t i = 0; i < message->n_grants; i++)
    {
      struct mt_account *account = mt_scheduler_get_account (sched, message->grants[i].workspace);

      if (account == NULL)
        continue;
      account->granted = message->grants[i].resources;
      account->has_grant = true;
      sched->changed = true;
    }
  for (size_t i = 0; i < message->n_uses; i++)
    {
      struct mt_account *account = mt_scheduler_get_account (sched, message->uses[i].workspace);

      if (account == NULL)
        continue;
      account->elsewhere = message->uses[i].resources;
      account->elsewhere_at = now;
    }
  return true;
}

static bool
is_limited (const struct mt_account *account)
{
  const struct mt_resources *quota = &account->limits.quota;

  return quota->cpu > 0 || quota->mem > 0 || quota->gpu > 0;
}

static bool
is_in_use (const struct mt_account_view *view)
{
  return view->used.mem > 0 || view->used.cpu > 0 || view->used.gpu > 0 || view->waiting.mem > 0
         || view->waiting.cpu > 0 || view->waiting.gpu > 0;
}

static void
add_waiting_tasks (const struct mt_occurrence *occ, struct mt_account_view *view)
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
add_waiting_jobs (const struct mt_scheduler *sched, GHashTable *views)
{
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_job *job = l->data;
      struct mt_account_view *view
          = job->account != NULL ? g_hash_table_lookup (views, job->account) : NULL;

      for (unsigned k = 0; view != NULL && k < job->n_occurrences; k++)
        if (job->occurrences[k] != NULL && !job->occurrences[k]->ended)
          add_waiting_tasks (job->occurrences[k], view);
    }
}

/* Adds the accounts with a quota, or those without one; returns their number. */
static size_t
add_accounts (const struct mt_scheduler *sched,
              bool limited,
              GHashTable *views,
              struct mt_account_view *out,
              size_t max)
{
  GHashTableIter it;
  struct mt_account *account;
  size_t n = 0;

  g_hash_table_iter_init (&it, sched->accounts);
  while (n < max && g_hash_table_iter_next (&it, NULL, (void **) &account))
    {
      if (is_limited (account) != limited)
        continue;
      out[n] = (struct mt_account_view){ .workspace = account->name,
                                         .used = account->used,
                                         .granted = account->granted,
                                         .has_grant = account->has_grant };
      g_hash_table_insert (views, account, &out[n++]);
    }
  return n;
}

size_t
mt_scheduler_max_accounts (const struct mt_scheduler *sched)
{
  return g_hash_table_size (sched->accounts);
}

size_t
mt_scheduler_accounts (const struct mt_scheduler *sched, struct mt_account_view *out, size_t max)
{
  g_autoptr (GHashTable) views = g_hash_table_new (NULL, NULL);
  size_t n_limited = add_accounts (sched, true, views, out, max);
  size_t n = n_limited;
  size_t kept = 0;

  if (sched->n_weighted > 0)
    n += add_accounts (sched, false, views, out + n, max - n);
  add_waiting_jobs (sched, views);
  for (size_t i = 0; i < n; i++)
    if (is_in_use (&out[i]) || (i < n_limited && (sched->grants_all || !out[i].has_grant)))
      out[kept++] = out[i];
  return kept;
}
