/* Sends requests and reports their outcomes and latencies.
 *
 * Closed loop: each connection sends its next request once it has the answer to the last one. Open
 * loop (--rate): requests are scheduled at fixed times, whatever happens to earlier ones, and
 * latency is measured from the scheduled time, so that a stall counts for the requests that it
 * delays. */
#include "histogram.h"
#include "http_client.h"

#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_OPTION_VALUES 64
#define MAX_ANSWER_BYTES  (1000 * 1000)
#define ARENA_BYTES       (4 * 1000 * 1000)

enum outcome
{
  WHOLE,     /* a complete answer with status 2xx */
  NOT_RUN,   /* by the daemon's outcome header */
  UNKNOWN,   /* by the daemon's outcome header */
  DUPLICATE, /* by the daemon's outcome header */
  OTHER,     /* any other status */
  LOST,      /* no complete answer */
  N_OUTCOMES,
};

static const char *const outcome_names[N_OUTCOMES]
    = { "whole", "not-run", "unknown", "duplicate", "other", "lost" };

struct options
{
  const char *targets[MAX_OPTION_VALUES];
  unsigned n_targets;
  int pids[MAX_OPTION_VALUES];
  unsigned n_pids;
  const char *path;
  const char *method;
  unsigned connections;
  unsigned audiences;
  double seconds;
  double rate; /* 0: closed loop */
  unsigned deadline_ms;
};

struct worker
{
  struct run *run;
  GThread *thread;
  unsigned number;
  struct mt_histogram latencies; /* of outcome WHOLE, in us */
  uint64_t counts[N_OUTCOMES];
};

struct run
{
  struct options options;
  const struct mt_clock *clock;
  int64_t start_us;
  int64_t end_us;
  guint64 next; /* atomic: number of the next request of the open loop */
};

static const struct argp_option argp_options[] = {
  { "target", 't', "IP:PORT", 0, "Address to send to; may be given several times", 0 },
  { "pid", 'p', "PID", 0, "Report this process's CPU and memory; may be given several times", 0 },
  { "path", 'u', "PATH", 0, "Path (/quotes)", 0 },
  { "method", 'm', "METHOD", 0, "Method (GET)", 0 },
  { "connections", 'c', "N", 0, "Connections (8)", 0 },
  { "audiences", 'a', "N", 0, "Values of the Audience header, in turn (1)", 0 },
  { "seconds", 's', "S", 0, "Duration in seconds (5)", 0 },
  { "rate", 'r', "N", 0, "Open loop with this number of requests a second", 0 },
  { "deadline", 'd', "MS", 0, "Time limit for an answer in ms (30000)", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case 't':
      if (options->n_targets < MAX_OPTION_VALUES)
        options->targets[options->n_targets++] = arg;
      return 0;
    case 'p':
      if (options->n_pids < MAX_OPTION_VALUES)
        options->pids[options->n_pids++] = (int) strtol (arg, NULL, 10);
      return 0;
    case 'u':
      options->path = arg;
      return 0;
    case 'm':
      options->method = arg;
      return 0;
    case 'c':
      options->connections = MAX ((unsigned) strtoul (arg, NULL, 10), 1);
      return 0;
    case 'a':
      options->audiences = MAX ((unsigned) strtoul (arg, NULL, 10), 1);
      return 0;
    case 's':
      options->seconds = strtod (arg, NULL);
      return 0;
    case 'r':
      options->rate = strtod (arg, NULL);
      return 0;
    case 'd':
      options->deadline_ms = (unsigned) strtoul (arg, NULL, 10);
      return 0;
    case ARGP_KEY_END:
      if (options->n_targets == 0)
        argp_error (state, "--target IP:PORT is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static enum outcome
classify_answer (const struct mt_http_answer *answer)
{
  struct mt_str outcome
      = mt_http_header_find (answer->headers, answer->n_headers, MT_STR ("Medlartrack-Outcome"));

  for (int i = NOT_RUN; i <= DUPLICATE; i++)
    if (mt_str_equal (outcome, mt_str_from (outcome_names[i])))
      return (enum outcome) i;
  return answer->status / 100 == 2 ? WHOLE : OTHER;
}

static void
send_one (struct worker *worker, struct mt_http_client *client, int64_t scheduled_us)
{
  const struct options *options = &worker->run->options;
  g_autofree char *audience = g_strdup_printf ("a%u", worker->number % options->audiences);
  struct mt_http_header header = { MT_STR ("Audience"), mt_str_from (audience) };
  struct mt_http_call call = { .method = options->method,
                               .path = options->path,
                               .headers = &header,
                               .n_headers = 1,
                               .deadline_us = scheduled_us + options->deadline_ms * MT_MS,
                               .max_answer_bytes = MAX_ANSWER_BYTES };
  struct mt_arena *arena = mt_arena_create (ARENA_BYTES);
  struct mt_http_answer answer;
  enum outcome outcome = LOST;

  if (mt_http_client_call (client, options->targets[worker->number % options->n_targets], &call,
                           arena, &answer, NULL)
      == MT_HTTP_COMPLETE)
    outcome = classify_answer (&answer);
  worker->counts[outcome]++;
  if (outcome == WHOLE)
    mt_histogram_add (&worker->latencies, mt_clock_now (worker->run->clock) - scheduled_us);
  mt_arena_destroy (arena);
}

/* Waits for the time of the next request. Returns false at the end of the run. */
static bool
wait_for_next (struct run *run, int64_t *scheduled_us)
{
  int64_t now = mt_clock_now (run->clock);

  *scheduled_us = now;
  if (run->options.rate > 0)
    {
      guint64 i = __atomic_fetch_add (&run->next, 1, __ATOMIC_RELAXED);

      *scheduled_us = run->start_us + (int64_t) ((double) i * 1e6 / run->options.rate);
      if (*scheduled_us > now)
        g_usleep ((gulong) (*scheduled_us - now));
    }
  return *scheduled_us < run->end_us;
}

static gpointer
run_worker (gpointer data)
{
  struct worker *worker = data;
  struct mt_http_client *client = mt_http_client_create (worker->run->clock);
  int64_t scheduled_us;

  while (wait_for_next (worker->run, &scheduled_us))
    send_one (worker, client, scheduled_us);
  mt_http_client_destroy (client);
  return NULL;
}

/* Returns the processor time that a process has used, in us, and sets its resident memory in KB.
 * Both are 0 if the process does not exist. */
static int64_t
read_process (int pid, long *rss_kb)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", pid);
  g_autofree char *text = NULL;
  long long user = 0;
  long long system = 0;
  long pages = 0;

  *rss_kb = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL) || strrchr (text, ')') == NULL)
    return 0;
  sscanf (strrchr (text, ')') + 1,
          " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lld %lld %*d %*d %*d %*d %*d %*d %*u %*u "
          "%ld",
          &user, &system, &pages);
  *rss_kb = pages * (sysconf (_SC_PAGESIZE) / 1024);
  return (user + system) * 1000000 / sysconf (_SC_CLK_TCK);
}

static void
print_report (const struct run *run, const struct worker *sum, const int64_t *cpu_before)
{
  double seconds = (double) (mt_clock_now (run->clock) - run->start_us) / 1e6;
  json_t *outcomes = json_object ();
  json_t *processes = json_array ();
  json_t *root;
  uint64_t n = 0;

  for (int i = 0; i < N_OUTCOMES; i++)
    {
      n += sum->counts[i];
      json_object_set_new (outcomes, outcome_names[i], json_integer ((json_int_t) sum->counts[i]));
    }
  for (unsigned i = 0; i < run->options.n_pids; i++)
    {
      long rss_kb;
      int64_t cpu = read_process (run->options.pids[i], &rss_kb) - cpu_before[i];

      json_array_append_new (
          processes, json_pack ("{si sf si}", "pid", run->options.pids[i], "cpu_us_a_request",
                                n > 0 ? (double) cpu / (double) n : 0.0, "rss_kb", (int) rss_kb));
    }
  root = json_pack ("{sI sf sf sI sI sI so so}", "requests", (json_int_t) n, "seconds", seconds,
                    "whole_a_second", (double) sum->counts[WHOLE] / seconds, "p50_us",
                    (json_int_t) mt_histogram_quantile (&sum->latencies, 0.5), "p99_us",
                    (json_int_t) mt_histogram_quantile (&sum->latencies, 0.99), "most_us",
                    (json_int_t) sum->latencies.max, "outcomes", outcomes, "processes", processes);
  json_dumpf (root, stdout, JSON_INDENT (0) | JSON_REAL_PRECISION (6));
  json_decref (root);
  printf ("\n");
}

static void
run_all (struct run *run)
{
  unsigned n = run->options.connections;
  struct worker *workers = g_new0 (struct worker, n);
  struct worker *sum = g_new0 (struct worker, 1);
  int64_t cpu_before[MAX_OPTION_VALUES];
  long rss_kb;

  for (unsigned i = 0; i < run->options.n_pids; i++)
    cpu_before[i] = read_process (run->options.pids[i], &rss_kb);
  run->start_us = mt_clock_now (run->clock);
  run->end_us = run->start_us + (int64_t) (run->options.seconds * 1e6);
  for (unsigned i = 0; i < n; i++)
    {
      workers[i].run = run;
      workers[i].number = i;
      workers[i].thread = g_thread_new ("load", run_worker, &workers[i]);
    }
  for (unsigned i = 0; i < n; i++)
    {
      g_thread_join (workers[i].thread);
      mt_histogram_merge (&sum->latencies, &workers[i].latencies);
      for (int k = 0; k < N_OUTCOMES; k++)
        sum->counts[k] += workers[i].counts[k];
    }
  print_report (run, sum, cpu_before);
  g_free (workers);
  g_free (sum);
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    argp_options, parse_option, NULL, "Sends requests and reports their outcomes and latencies.",
    NULL,         NULL,         NULL
  };
  struct run run = { .clock = mt_clock_system (),
                     .options = { .path = "/quotes",
                                  .method = "GET",
                                  .connections = 8,
                                  .audiences = 1,
                                  .seconds = 5,
                                  .deadline_ms = 30000 } };

  argp_parse (&argp, argc, argv, 0, NULL, &run.options);
  signal (SIGPIPE, SIG_IGN);
  run_all (&run);
  return 0;
}
