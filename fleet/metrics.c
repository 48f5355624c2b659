#include "metrics.h"

#include "journal.h"
#include "traffic.h"

#include <string.h>

struct metric_info
{
  const char *name;
  const char *help;
};

static const struct metric_info counters[MT_COUNTERS] = {
  [MT_COUNT_ACCEPTED] = { "jobs_accepted_total", "Jobs stored and acknowledged." },
  [MT_COUNT_REFUSED] = { "jobs_refused_total", "Jobs refused; they never run." },
  [MT_COUNT_OUTCOME_UNKNOWN] = { "jobs_unsettled_total", "Submissions without a known outcome." },
  [MT_COUNT_CANCELS] = { "cancels_total", "Cancellings stored." },
  [MT_COUNT_QUERIES] = { "questions_total", "Questions about jobs and queues." },
  [MT_COUNT_QUERIES_LEADER]
  = { "questions_leader_total", "Questions answered by the pool's leader." },
  [MT_COUNT_QUERIES_STORE] = { "questions_store_total", "Questions that needed the store." },
  [MT_COUNT_QUERIES_UNANSWERED]
  = { "questions_unanswered_total", "Questions without an answer in time." },
  [MT_COUNT_UNAUTHORIZED] = { "calls_unauthorized_total", "Calls without a key that holds." },
  [MT_COUNT_ROUTE_UNKNOWN] = { "calls_without_route_total", "Calls for a path without a route." },
  [MT_COUNT_CONFIG_UNCONFIRMED]
  = { "calls_config_unconfirmed_total", "Calls refused as the configuration may be outdated." },
  [MT_COUNT_LEADERSHIPS_LOST] = { "duties_lost_total", "Leaderships lost." },
  [MT_COUNT_WAITED_STORED]
  = { "submissions_waited_stored_total", "Submissions stored after they waited for the store." },
  [MT_COUNT_WAITED_REFUSED]
  = { "submissions_waited_refused_total", "Submissions refused after they waited for the store." },
};

static const struct metric_info refusals
    = { "submissions_refused_total", "Submissions refused with status 503, by cause." };

const char *const mt_refusal_names[MT_REFUSALS] = {
  [MT_REFUSAL_NONE] = "none",   [MT_REFUSAL_STORE] = "store", [MT_REFUSAL_BACKLOG] = "backlog",
  [MT_REFUSAL_SHARE] = "share", [MT_REFUSAL_WAIT] = "wait",   [MT_REFUSAL_STOP] = "stop",
};

static const struct metric_info latencies[MT_LATENCIES] = {
  [MT_LATENCY_SUBMIT] = { "submit_milliseconds", "From a whole submission to its answer." },
  [MT_LATENCY_QUERY] = { "question_milliseconds", "From a whole question to its answer." },
};

static const struct metric_info gauges[MT_GAUGES] = {
  [MT_GAUGE_CONFIG] = { "config_version", "Version of the configuration in force." },
  [MT_GAUGE_CONFIG_AGE] = { "config_age_milliseconds",
                            "Time since the store confirmed that version; -1: there is none." },
  [MT_GAUGE_LEADERSHIPS] = { "leaderships", "Leaderships that this daemon has." },
  [MT_GAUGE_STORE_CALLS] = { "store_calls", "Calls on the store so far." },
  [MT_GAUGE_STORE_HEDGES] = { "store_hedges", "Second copies of calls on the store so far." },
  [MT_GAUGE_STORE_HEDGES_FIRST]
  = { "store_hedges_answered_first", "Second copies that were answered before the first." },
  [MT_GAUGE_STORE_HEDGES_DENIED]
  = { "store_hedges_denied", "Second copies not sent for lack of budget." },
  [MT_GAUGE_CONNECTIONS_OPENED] = { "connections_opened", "Outgoing connections so far." },
  [MT_GAUGE_JOBS] = { "jobs_open", "Jobs not ended in the pools led here." },
  [MT_GAUGE_TASKS_WAITING] = { "tasks_waiting", "Tasks that could start now." },
  [MT_GAUGE_TASKS_RUNNING] = { "tasks_running", "Tasks on workers." },
  [MT_GAUGE_WORKERS] = { "workers", "Workers of the pools led here." },
  [MT_GAUGE_WORKERS_SILENT] = { "workers_silent", "Of these, those that don't answer." },
};

/* Upper bounds of the buckets in ms; longer requests go into the +Inf bucket. */
static const int64_t bounds[] = { 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

#define BUCKETS G_N_ELEMENTS (bounds)

struct mt_metrics
{
  uint64_t counts[MT_COUNTERS];
  uint64_t refusals[MT_REFUSALS];
  int64_t values[MT_GAUGES];
  uint64_t buckets[MT_LATENCIES][BUCKETS + 1];
  int64_t sums[MT_LATENCIES];
  GHashTable *pools; /* name to struct pool_machines */
};

struct pool_machines
{
  unsigned planned;
  unsigned present;
};

struct mt_metrics *
mt_metrics_create (void)
{
  struct mt_metrics *m = g_new0 (struct mt_metrics, 1);

  m->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return m;
}

void
mt_metrics_destroy (struct mt_metrics *m)
{
  if (m == NULL)
    return;
  g_hash_table_unref (m->pools);
  g_free (m);
}

void
mt_metrics_increment (struct mt_metrics *m, enum mt_counter counter)
{
  m->counts[counter]++;
}

void
mt_metrics_count_refusal (struct mt_metrics *m, enum mt_refusal cause)
{
  m->refusals[cause]++;
}

void
mt_metrics_set (struct mt_metrics *m, enum mt_gauge gauge, int64_t value)
{
  m->values[gauge] = value;
}

void
mt_metrics_observe (struct mt_metrics *m, enum mt_latency latency, int64_t ms)
{
  size_t i = 0;

  while (i < BUCKETS && ms > bounds[i])
    i++;
  m->buckets[latency][i]++;
  m->sums[latency] += ms;
}

void
mt_metrics_set_pool_machines (struct mt_metrics *m,
                              const char *pool,
                              unsigned planned,
                              unsigned present)
{
  struct pool_machines *row = g_new (struct pool_machines, 1);

  *row = (struct pool_machines){ planned, present };
  g_hash_table_replace (m->pools, g_strdup (pool), row);
}

void
mt_metrics_clear_pools (struct mt_metrics *m)
{
  g_hash_table_remove_all (m->pools);
}

static void
append_head (GString *out, const struct metric_info *m, const char *type)
{
  g_string_append_printf (out, "# HELP medlartrack_%s %s\n# TYPE medlartrack_%s %s\n", m->name,
                          m->help, m->name, type);
}

static void
append_refusals (GString *out, const struct mt_metrics *m)
{
  append_head (out, &refusals, "counter");
  for (int i = MT_REFUSAL_NONE + 1; i < MT_REFUSALS; i++)
    g_string_append_printf (out, "medlartrack_%s{cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            refusals.name, mt_refusal_names[i], m->refusals[i]);
}

static void
append_latency (GString *out, const struct mt_metrics *m, int which)
{
  const char *name = latencies[which].name;
  uint64_t sum = 0;

  append_head (out, &latencies[which], "histogram");
  for (size_t i = 0; i < BUCKETS; i++)
    {
      sum += m->buckets[which][i];
      g_string_append_printf (
          out, "medlartrack_%s_bucket{le=\"%" G_GINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n", name,
          bounds[i], sum);
    }
  sum += m->buckets[which][BUCKETS];
  g_string_append_printf (out,
                          "medlartrack_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
                          "\nmedlartrack_%s_sum %" G_GINT64_FORMAT
                          "\nmedlartrack_%s_count %" G_GUINT64_FORMAT "\n",
                          name, sum, name, m->sums[which], name, sum);
}

/* Appends each traffic counter with one row per kind of message. */
static void
append_traffic (GString *out, const struct mt_traffic *traffic)
{
  static const struct metric_info families[]
      = { { "messages_sent_total", "Messages sent, by kind." },
          { "messages_received_total", "Messages received, by kind." },
          { "bytes_sent_total", "Bytes of messages sent, by kind." },
          { "bytes_received_total", "Bytes of messages received, by kind." } };
  const struct mt_traffic_row *rows;
  size_t n = mt_traffic_rows (traffic, &rows);

  for (size_t f = 0; f < G_N_ELEMENTS (families); f++)
    {
      append_head (out, &families[f], "counter");
      for (size_t i = 0; i < n; i++)
        {
          const uint64_t values[]
              = { rows[i].sent, rows[i].received, rows[i].bytes_out, rows[i].bytes_in };

          g_string_append_printf (out, "medlartrack_%s{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
                                  families[f].name, rows[i].kind, values[f]);
        }
    }
}

static void
append_pools (GString *out, const struct mt_metrics *m)
{
  static const struct metric_info families[]
      = { { "pool_machines_planned", "Machines that the pool should have." },
          { "pool_machines_present", "Machines that are up in the pool." } };
  g_autoptr (GList) names = g_list_sort (g_hash_table_get_keys (m->pools), (GCompareFunc) strcmp);

  for (size_t f = 0; names != NULL && f < G_N_ELEMENTS (families); f++)
    {
      append_head (out, &families[f], "gauge");
      for (GList *at = names; at != NULL; at = at->next)
        {
          const struct pool_machines *row = g_hash_table_lookup (m->pools, at->data);

          g_string_append_printf (out, "medlartrack_%s{pool=\"%s\"} %u\n", families[f].name,
                                  (const char *) at->data, f == 0 ? row->planned : row->present);
        }
    }
}

char *
mt_metrics_text (const struct mt_metrics *m,
                 const struct mt_traffic *traffic,
                 const struct mt_journal *journal)
{
  GString *out = g_string_sized_new (4096);

  for (int i = 0; i < MT_COUNTERS; i++)
    {
      append_head (out, &counters[i], "counter");
      g_string_append_printf (out, "medlartrack_%s %" G_GUINT64_FORMAT "\n", counters[i].name,
                              m->counts[i]);
    }
  append_refusals (out, m);
  for (int i = 0; i < MT_GAUGES; i++)
    {
      append_head (out, &gauges[i], "gauge");
      g_string_append_printf (out, "medlartrack_%s %" G_GINT64_FORMAT "\n", gauges[i].name,
                              m->values[i]);
    }
  for (int i = 0; i < MT_LATENCIES; i++)
    append_latency (out, m, i);
  append_pools (out, m);
  append_traffic (out, traffic);
  mt_journal_append_metrics (journal, out);
  return g_string_free (out, FALSE);
}
