#include "heartbeat.h"

struct mt_heartbeat
{
  struct mt_pools *pools;
  const struct mt_settings *settings;
  struct mt_jobs_part *jobs;  /* set before the heartbeat thread starts */
  struct mt_proxied *proxied; /* set before the heartbeat thread starts */
  struct mt_shares *shares;   /* in use by the pools; accessed by the heartbeat thread only */
};

struct collected
{
  GArray *loads;   /* of struct mt_member_load; names owned */
  GArray *demands; /* of struct mt_member_demand; names owned */
};

static void
collect_pool (void *ctx, const char *pool, unsigned waiting, unsigned in_flight)
{
  struct collected *collected = ctx;
  struct mt_member_demand demand = { g_strdup (pool), waiting, in_flight, 0 };

  g_array_append_val (collected->demands, demand);
}

static void
collect_minion (void *ctx, const char *minion, unsigned in_flight)
{
  struct collected *collected = ctx;
  struct mt_member_load load = { g_strdup (minion), in_flight };

  g_array_append_val (collected->loads, load);
}

static void
clear_load (gpointer load)
{
  g_free (((struct mt_member_load *) load)->minion);
}

static void
clear_demand (gpointer demand)
{
  g_free (((struct mt_member_demand *) demand)->pool);
}

static void
report_loads (void *ctx, struct mt_peers *peers)
{
  struct mt_heartbeat *heartbeat = ctx;
  struct collected collected = { g_array_new (FALSE, FALSE, sizeof (struct mt_member_load)),
                                 g_array_new (FALSE, FALSE, sizeof (struct mt_member_demand)) };
  struct mt_pools_visitor visitor = { collect_pool, collect_minion, &collected };

  g_array_set_clear_func (collected.loads, clear_load);
  g_array_set_clear_func (collected.demands, clear_demand);
  mt_pools_each (heartbeat->pools, &visitor);
  /* Tasks on a draining instance count as in flight: otherwise it would be rebooted while they
   * run. */
  mt_jobs_part_each_draining (heartbeat->jobs, collect_minion, &collected);
  mt_proxied_each_draining (heartbeat->proxied, collect_minion, &collected);
  mt_peers_set_loads (peers, (struct mt_member_load *) collected.loads->data, collected.loads->len,
                      (struct mt_member_demand *) collected.demands->data, collected.demands->len);
  g_array_unref (collected.loads);
  g_array_unref (collected.demands);
}

static void
update_shares (void *ctx, struct mt_peers *peers)
{
  struct mt_heartbeat *heartbeat = ctx;
  struct mt_shares *old = heartbeat->shares;

  heartbeat->shares = mt_shares_create (heartbeat->settings->name.data);
  mt_peers_each_alive (peers, heartbeat->settings->zone.data, mt_shares_add_member,
                       heartbeat->shares);
  mt_pools_set_shares (heartbeat->pools, heartbeat->shares);
  mt_shares_destroy (old);
}

static const struct mt_peers_callbacks callbacks = {
  .name = "pools",
  .description = "reports the pools' loads and sets their share of the slots",
  .report = report_loads,
  .after_heartbeat = update_shares,
};

const struct mt_peers_callbacks *
mt_heartbeat_callbacks (void)
{
  return &callbacks;
}

struct mt_heartbeat *
mt_heartbeat_create (struct mt_pools *pools, const struct mt_settings *settings)
{
  struct mt_heartbeat *heartbeat = g_new0 (struct mt_heartbeat, 1);

  heartbeat->pools = pools;
  heartbeat->settings = settings;
  return heartbeat;
}

void
mt_heartbeat_set_jobs (struct mt_heartbeat *heartbeat, struct mt_jobs_part *jobs)
{
  heartbeat->jobs = jobs;
}

void
mt_heartbeat_set_proxied (struct mt_heartbeat *heartbeat, struct mt_proxied *proxied)
{
  heartbeat->proxied = proxied;
}

void
mt_heartbeat_destroy (struct mt_heartbeat *heartbeat)
{
  if (heartbeat == NULL)
    return;
  mt_shares_destroy (heartbeat->shares);
  g_free (heartbeat);
}
