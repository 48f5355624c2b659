#include "kv_lease.h"

#include "loop.h"

/* A lease is renewed three times within its duration, so that one lost call or a short stall does
 * no harm. While renewals are unanswered the interval is shorter: it then shows sooner that the
 * store is back or has ended the lease. Both are in thousandths of the duration. */
#define RENEW_INTERVAL_PER_MILLE 300
#define RENEW_RETRY_PER_MILLE    80
/* Time-out of a renewal; the next one is then due. */
#define RENEW_TIMEOUT_MS 400
/* Renewals in flight at once; more would only queue behind a store that does not answer. */
#define MAX_RENEWALS_IN_FLIGHT 3U
/* Interval of requests for a lease. */
#define GRANT_RETRY_MS 120
/* The lease counts as expired this long before its end, to allow for clock drift. */
#define MARGIN_MS 150

struct mt_kv_lease
{
  struct mt_kv_lease_options options;
  int64_t id; /* 0: none */
  int64_t ttl_ms;
  int64_t valid_until;
  int64_t renew_sent_at; /* of the last renewal */
  int64_t grant_sent_at; /* of the last request for a lease */
  int64_t requested_ttl_ms;
  unsigned renewals_in_flight;
  bool last_renewal_unanswered;
  bool grant_in_flight;
};

struct renewal
{
  struct mt_kv_lease *lease;
  int64_t id;
  int64_t sent_at;
};

struct mt_kv_lease *
mt_kv_lease_create (const struct mt_kv_lease_options *options)
{
  struct mt_kv_lease *l = g_new0 (struct mt_kv_lease, 1);

  l->options = *options;
  return l;
}

void
mt_kv_lease_destroy (struct mt_kv_lease *l)
{
  g_free (l);
}

void
mt_kv_lease_drop (struct mt_kv_lease *l, const char *why)
{
  if (l->id == 0)
    return;
  l->id = l->ttl_ms = l->valid_until = 0;
  l->options.lost (l->options.ctx, why);
}

static void
on_renewed (void *data, const struct mt_kv_reply *reply)
{
  struct renewal *r = data;
  struct mt_kv_lease *l = r->lease;
  int64_t ttl_ms = reply->ttl_ms > 0 ? reply->ttl_ms : l->ttl_ms;

  l->renewals_in_flight--;
  l->last_renewal_unanswered = reply->status != MT_KV_OK && reply->status != MT_KV_MISSING;
  if (l->id == r->id && reply->status == MT_KV_MISSING)
    mt_kv_lease_drop (l, "the lease expired");
  else if (l->id == r->id && reply->status == MT_KV_OK)
    l->valid_until = MAX (l->valid_until, r->sent_at + ttl_ms - MARGIN_MS);
  g_free (r);
}

/* While renewals are unanswered, several are in flight at a time: the daemon then notices at once
 * that the store is back, and not only after the time-out of the last renewal. */
static void
renew (struct mt_kv_lease *l, int64_t now)
{
  int64_t per_mille = l->last_renewal_unanswered ? RENEW_RETRY_PER_MILLE : RENEW_INTERVAL_PER_MILLE;
  struct renewal *r;

  if (l->renewals_in_flight >= (l->last_renewal_unanswered ? MAX_RENEWALS_IN_FLIGHT : 1U)
      || now - MAX (l->renew_sent_at, l->grant_sent_at) < l->ttl_ms * per_mille / 1000)
    return;
  r = g_new0 (struct renewal, 1);
  *r = (struct renewal){ l, l->id, now };
  l->renewals_in_flight++;
  l->renew_sent_at = now;
  l->options.kv.ops->renew (l->options.kv.ctx, l->id, RENEW_TIMEOUT_MS, on_renewed, r);
}

static void
on_granted (void *data, const struct mt_kv_reply *reply)
{
  struct mt_kv_lease *l = data;

  l->grant_in_flight = false;
  if (reply->status != MT_KV_OK || reply->lease == 0)
    return;
  l->id = reply->lease;
  l->ttl_ms = reply->ttl_ms > 0 ? reply->ttl_ms : l->requested_ttl_ms;
  l->valid_until = l->grant_sent_at + l->ttl_ms - MARGIN_MS;
  l->options.granted (l->options.ctx);
}

void
mt_kv_lease_replace (struct mt_kv_lease *l, int64_t ttl_ms, int64_t now)
{
  if (l->grant_in_flight || now - l->grant_sent_at < GRANT_RETRY_MS)
    return;
  l->grant_in_flight = true;
  l->grant_sent_at = now;
  l->requested_ttl_ms = ttl_ms;
  l->options.kv.ops->grant (l->options.kv.ctx, ttl_ms, on_granted, l);
}

void
mt_kv_lease_keep (struct mt_kv_lease *l, int64_t ttl_ms, int64_t now)
{
  if (l->id == 0)
    mt_kv_lease_replace (l, ttl_ms, now);
  else
    renew (l, now);
}

int64_t
mt_kv_lease_id (const struct mt_kv_lease *l)
{
  return l->id;
}

int64_t
mt_kv_lease_ttl (const struct mt_kv_lease *l)
{
  return l->ttl_ms;
}

int64_t
mt_kv_lease_valid_until (const struct mt_kv_lease *l)
{
  return l->valid_until;
}
