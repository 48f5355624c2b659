/* Counters, gauges and latency histograms in the Prometheus text format. Not thread-safe: runs on
 * the loop's thread. */
#ifndef MT_FLEET_METRICS_H
#define MT_FLEET_METRICS_H

#include <glib.h>
#include <stdint.h>

struct mt_journal;
struct mt_metrics;
struct mt_traffic;

enum mt_counter
{
  MT_COUNT_ACCEPTED,
  MT_COUNT_REFUSED,
  MT_COUNT_OUTCOME_UNKNOWN,
  MT_COUNT_CANCELS,
  MT_COUNT_QUERIES,
  MT_COUNT_QUERIES_LEADER,
  MT_COUNT_QUERIES_STORE,
  MT_COUNT_QUERIES_UNANSWERED,
  MT_COUNT_UNAUTHORIZED,
  MT_COUNT_ROUTE_UNKNOWN,
  MT_COUNT_CONFIG_UNCONFIRMED,
  MT_COUNT_LEADERSHIPS_LOST,
  MT_COUNT_WAITED_STORED,
  MT_COUNT_WAITED_REFUSED,
  MT_COUNTERS,
};

/* Causes of refusals with status 503. */
enum mt_refusal
{
  MT_REFUSAL_NONE,
  MT_REFUSAL_STORE,   /* the store does not answer */
  MT_REFUSAL_BACKLOG, /* more submissions wait than can be stored in time */
  MT_REFUSAL_SHARE,   /* the workspace has more than its share of submissions or of the pool */
  MT_REFUSAL_WAIT,    /* the pool could not complete the job while its result is useful */
  MT_REFUSAL_STOP,    /* the daemon exits before the outcome of a write would be known */
  MT_REFUSALS,
};

/* Names of the causes in metrics and log fields, by enum mt_refusal. */
extern const char *const mt_refusal_names[MT_REFUSALS];

enum mt_latency
{
  MT_LATENCY_SUBMIT,
  MT_LATENCY_QUERY,
  MT_LATENCIES,
};

enum mt_gauge
{
  MT_GAUGE_CONFIG,
  MT_GAUGE_CONFIG_AGE,
  MT_GAUGE_LEADERSHIPS,
  MT_GAUGE_STORE_CALLS,
  MT_GAUGE_STORE_HEDGES,
  MT_GAUGE_STORE_HEDGES_FIRST,
  MT_GAUGE_STORE_HEDGES_DENIED,
  MT_GAUGE_CONNECTIONS_OPENED,
  MT_GAUGE_JOBS,
  MT_GAUGE_TASKS_WAITING,
  MT_GAUGE_TASKS_RUNNING,
  MT_GAUGE_WORKERS,
  MT_GAUGE_WORKERS_SILENT,
  MT_GAUGES,
};

struct mt_metrics *mt_metrics_create (void);
void mt_metrics_destroy (struct mt_metrics *metrics);
void mt_metrics_increment (struct mt_metrics *metrics, enum mt_counter counter);
/* Counts a refusal of the cause; MT_REFUSAL_NONE is not counted. */
void mt_metrics_count_refusal (struct mt_metrics *metrics, enum mt_refusal cause);
void mt_metrics_observe (struct mt_metrics *metrics, enum mt_latency latency, int64_t ms);
void mt_metrics_set (struct mt_metrics *metrics, enum mt_gauge gauge, int64_t value);
/* Sets the machines of a pool, which the fleet's leader plans; other daemons have no such rows. */
void mt_metrics_set_pool_machines (struct mt_metrics *metrics,
                                   const char *pool,
                                   unsigned planned,
                                   unsigned present);
/* Removes the rows of all pools. */
void mt_metrics_clear_pools (struct mt_metrics *metrics);
/* Free the text with g_free. */
char *mt_metrics_text (const struct mt_metrics *metrics,
                       const struct mt_traffic *traffic,
                       const struct mt_journal *journal);

#endif
