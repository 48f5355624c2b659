#include "medlartrack/breaker.h"

#include "medlartrack/error.h"

struct mt_breaker
{
  struct mt_breaker_options options;
  struct mt_store store;
  GMutex lock; /* protects the fields below */
  GRand *rand;
  unsigned failures; /* in a row */
  bool open;
  bool probing; /* a probe of the service is in flight */
  int64_t pause_us;
  int64_t next_probe_us; /* earliest time of the next probe */
  struct mt_breaker_counts counts;
};

enum call_kind
{
  CALL_READ,
  CALL_WRITE,
  CALL_WATCH,
};

static void
count_call (struct mt_breaker *breaker, enum call_kind kind)
{
  switch (kind)
    {
    case CALL_READ:
      breaker->counts.reads++;
      break;
    case CALL_WRITE:
      breaker->counts.writes++;
      break;
    case CALL_WATCH:
      breaker->counts.watches++;
      break;
    }
}

/* Returns whether the call is allowed. Sets probe if it is the one that tests the service while the
 * breaker is open. */
static bool
begin_call (struct mt_breaker *breaker, enum call_kind kind, bool *probe, GError **error)
{
  int64_t now = mt_clock_now (breaker->options.clock);
  bool allowed;

  g_mutex_lock (&breaker->lock);
  *probe = breaker->open && !breaker->probing && now >= breaker->next_probe_us;
  allowed = !breaker->open || *probe;
  if (*probe)
    breaker->probing = true;
  if (allowed)
    count_call (breaker, *probe && kind == CALL_WATCH ? CALL_READ : kind);
  else
    breaker->counts.refused++;
  g_mutex_unlock (&breaker->lock);
  if (!allowed)
    g_set_error_literal (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
                         "the platform's service is down; the next attempt is made within seconds");
  return allowed;
}

/* Each pause is random between the shortest pause and three times the last one, so the probes of
 * the daemons spread out, whenever they lost the service. */
static void
open_breaker (struct mt_breaker *breaker)
{
  int64_t min_pause = breaker->options.min_pause_us;
  double max_pause = (double) MAX (breaker->pause_us * 3, min_pause * 2);

  if (!breaker->open)
    breaker->counts.opened++;
  breaker->open = true;
  breaker->pause_us = (int64_t) g_rand_double_range (breaker->rand, (double) min_pause, max_pause);
  breaker->pause_us = MIN (breaker->pause_us, breaker->options.max_pause_us);
  breaker->next_probe_us = mt_clock_now (breaker->options.clock) + breaker->pause_us;
}

static void
end_call (struct mt_breaker *breaker, bool probe, bool ok)
{
  g_mutex_lock (&breaker->lock);
  if (probe)
    breaker->probing = false;
  breaker->failures = ok ? 0 : breaker->failures + 1;
  if (ok)
    {
      breaker->open = false;
      breaker->pause_us = 0;
    }
  else if (probe || (!breaker->open && breaker->failures >= breaker->options.failure_threshold))
    open_breaker (breaker);
  g_mutex_unlock (&breaker->lock);
}

static bool
write_was_answered (enum mt_store_write_result put)
{
  return put == MT_STORE_DONE || put == MT_STORE_CONFLICT;
}

static bool
breaker_get (void *ctx, const char *key, struct mt_store_value *out, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  bool probe;
  bool ok;

  *out = (struct mt_store_value){ 0 };
  if (!begin_call (breaker, CALL_READ, &probe, error))
    return false;
  ok = inner->ops->get (inner->ctx, key, out, error);
  end_call (breaker, probe, ok);
  return ok;
}

/* As a probe, a watch would block all other calls for as long as it waits, so it is replaced by a
 * read. */
static bool
breaker_watch (void *ctx,
               const char *key,
               uint64_t index,
               int64_t wait_us,
               struct mt_store_value *out,
               GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  bool probe;
  bool ok;

  *out = (struct mt_store_value){ 0 };
  if (!begin_call (breaker, CALL_WATCH, &probe, error))
    return false;
  ok = probe ? inner->ops->get (inner->ctx, key, out, error)
             : inner->ops->watch (inner->ctx, key, index, wait_us, out, error);
  end_call (breaker, probe, ok);
  return ok;
}

static bool
breaker_list (void *ctx, const char *prefix, GPtrArray **out, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  bool probe;
  bool ok;

  *out = NULL;
  if (!begin_call (breaker, CALL_READ, &probe, error))
    return false;
  ok = inner->ops->list (inner->ctx, prefix, out, error);
  end_call (breaker, probe, ok);
  return ok;
}

static enum mt_store_write_result
breaker_put (void *ctx, const char *key, struct mt_str value, uint64_t index, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  enum mt_store_write_result put;
  bool probe;

  if (!begin_call (breaker, CALL_WRITE, &probe, error))
    return MT_STORE_FAILED;
  put = inner->ops->put (inner->ctx, key, value, index, error);
  end_call (breaker, probe, write_was_answered (put));
  return put;
}

static enum mt_store_write_result
breaker_remove (void *ctx, const char *prefix, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  enum mt_store_write_result put;
  bool probe;

  if (!begin_call (breaker, CALL_WRITE, &probe, error))
    return MT_STORE_FAILED;
  put = inner->ops->remove (inner->ctx, prefix, error);
  end_call (breaker, probe, write_was_answered (put));
  return put;
}

static bool
breaker_lease_grant (void *ctx, unsigned ttl_s, char **id, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  bool probe;
  bool ok;

  *id = NULL;
  if (!begin_call (breaker, CALL_WRITE, &probe, error))
    return false;
  ok = inner->ops->lease_grant (inner->ctx, ttl_s, id, error);
  end_call (breaker, probe, ok);
  return ok;
}

static bool
breaker_lease_renew (void *ctx, const char *id, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  GError *local = NULL;
  bool probe;
  bool ok;

  if (!begin_call (breaker, CALL_WRITE, &probe, error))
    return false;
  ok = inner->ops->lease_renew (inner->ctx, id, &local);
  end_call (breaker, probe, ok || g_error_matches (local, MT_ERROR, MT_ERROR_STALE));
  if (local != NULL)
    g_propagate_error (error, local);
  return ok;
}

static void
breaker_lease_end (void *ctx, const char *id)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  bool probe;

  /* Never used as the probe, because lease_end does not return whether it was answered. */
  if (mt_breaker_is_open (breaker) || !begin_call (breaker, CALL_WRITE, &probe, NULL))
    return;
  inner->ops->lease_end (inner->ctx, id);
  if (probe)
    end_call (breaker, probe, false);
}

static enum mt_store_write_result
breaker_acquire (void *ctx, const char *key, struct mt_str value, const char *lease, GError **error)
{
  struct mt_breaker *breaker = ctx;
  const struct mt_store *inner = breaker->options.inner;
  enum mt_store_write_result put;
  bool probe;

  if (!begin_call (breaker, CALL_WRITE, &probe, error))
    return MT_STORE_FAILED;
  put = inner->ops->acquire (inner->ctx, key, value, lease, error);
  end_call (breaker, probe, write_was_answered (put));
  return put;
}

static const struct mt_store_ops breaker_ops = {
  .name = "breaker",
  .description = "passes calls to a store unless it is known to be down",
  .get = breaker_get,
  .watch = breaker_watch,
  .list = breaker_list,
  .put = breaker_put,
  .remove = breaker_remove,
  .lease_grant = breaker_lease_grant,
  .lease_renew = breaker_lease_renew,
  .lease_end = breaker_lease_end,
  .acquire = breaker_acquire,
};

struct mt_breaker *
mt_breaker_create (const struct mt_breaker_options *options)
{
  struct mt_breaker *breaker = g_new0 (struct mt_breaker, 1);

  breaker->options = *options;
  breaker->store.ops = &breaker_ops;
  breaker->store.ctx = breaker;
  breaker->rand = g_rand_new_with_seed (options->seed);
  g_mutex_init (&breaker->lock);
  return breaker;
}

void
mt_breaker_destroy (struct mt_breaker *breaker)
{
  if (breaker == NULL)
    return;
  g_rand_free (breaker->rand);
  g_mutex_clear (&breaker->lock);
  g_free (breaker);
}

const struct mt_store *
mt_breaker_store (struct mt_breaker *breaker)
{
  return &breaker->store;
}

bool
mt_breaker_is_open (struct mt_breaker *breaker)
{
  bool open;

  g_mutex_lock (&breaker->lock);
  open = breaker->open;
  g_mutex_unlock (&breaker->lock);
  return open;
}

struct mt_breaker_counts
mt_breaker_counts (struct mt_breaker *breaker)
{
  struct mt_breaker_counts counts;

  g_mutex_lock (&breaker->lock);
  counts = breaker->counts;
  g_mutex_unlock (&breaker->lock);
  return counts;
}
