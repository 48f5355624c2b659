/* A stand-in for a minion: runs each request, counts runs by idempotency key, and fails on request.
 *
 *   medlartrack-standin-minion [ADDRESS [NAME [WORK_MS [SLOTS]]]]
 *   With SLOTS it refuses a request (503, not run) while that many are running.
 *   PUT /fault {"mode": MODE, "times": n, "delay_ms": n}: sets the mode of the next n requests; -1:
 *       of all. Modes: "none", "error" (500), "drop" (runs, then closes the connection), "crossed"
 *       (answers with another request's id), "oversized" (an 8 MB body), "refuse" (503, not run),
 *       "leaving" (503, not run, with the header Medlartrack-Leaving), "hold" (runs until the next
 *       PUT /fault)
 *   GET /runs -> {"total": n, "epoch": n, "running": n, "most": n, "keys": {key: n}}; "most" is the
 *       highest number of requests running at once
 */
#include "standin.h"

#include <string.h>

#define OVERSIZED_BYTES (8UL * 1024 * 1024)

struct minion
{
  const char *name;
  unsigned work_ms;
  unsigned slots;   /* 0: no limit */
  GCond changed;    /* of the mode */
  GMutex lock;      /* guards all below */
  GHashTable *runs; /* idempotency key -> number of runs */
  unsigned total;
  unsigned running;
  unsigned max_running;
  char *mode;
  int fault_requests_left; /* -1: no limit */
  unsigned delay_ms;
  unsigned mode_changes;
  guint64 epoch; /* newest assignment epoch seen; requests of older ones are refused */
};

static void
handle_fault (struct minion *minion, struct mt_http_request *request)
{
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  const char *mode = json_string_value (json_object_get (body, "mode"));
  const json_t *times = json_object_get (body, "times");

  g_mutex_lock (&minion->lock);
  g_free (minion->mode);
  minion->mode = g_strdup (mode != NULL ? mode : "none");
  minion->fault_requests_left = times != NULL ? (int) json_integer_value (times) : -1;
  minion->delay_ms = (unsigned) json_integer_value (json_object_get (body, "delay_ms"));
  minion->mode_changes++;
  g_cond_broadcast (&minion->changed);
  g_mutex_unlock (&minion->lock);
  json_decref (body);
  standin_answer_text (request, 200, "true");
}

static void
handle_runs (struct minion *minion, struct mt_http_request *request)
{
  json_t *keys = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer count;

  g_mutex_lock (&minion->lock);
  g_hash_table_iter_init (&iter, minion->runs);
  while (g_hash_table_iter_next (&iter, &key, &count))
    json_object_set_new (keys, key, json_integer (GPOINTER_TO_INT (count)));
  standin_answer_json (request, 200,
                       json_pack ("{si sI si si so}", "total", (int) minion->total, "epoch",
                                  (json_int_t) minion->epoch, "running", (int) minion->running,
                                  "most", (int) minion->max_running, "keys", keys));
  g_mutex_unlock (&minion->lock);
}

/* Returns the mode for this request and uses up one faulty request. The lock is held. */
static char *
take_mode (struct minion *minion, unsigned *delay_ms)
{
  char *mode = g_strdup ("none");

  if (minion->fault_requests_left != 0 && minion->mode != NULL)
    {
      g_free (mode);
      mode = g_strdup (minion->mode);
      *delay_ms = minion->delay_ms;
      if (minion->fault_requests_left > 0)
        minion->fault_requests_left--;
    }
  return mode;
}

static void
count_run (struct minion *minion, const struct mt_http_request *request)
{
  struct mt_str key
      = mt_http_header_find (request->headers, request->n_headers, MT_STR ("Idempotency-Key"));
  const char *name = key.data != NULL ? key.data : "(none)";
  int runs = GPOINTER_TO_INT (g_hash_table_lookup (minion->runs, name));

  g_hash_table_insert (minion->runs, g_strdup (name), GINT_TO_POINTER (runs + 1));
  minion->total++;
  minion->running++;
  minion->max_running = MAX (minion->max_running, minion->running);
}

static void
answer_with_id (struct mt_http_request *request, const char *mode)
{
  struct mt_str id = mt_http_header_find (request->headers, request->n_headers,
                                          MT_STR ("Medlartrack-Request-Id"));
  struct mt_http_header *header = mt_arena_alloc (request->arena, sizeof *header);

  if (id.data == NULL)
    return;
  header->name = MT_STR ("Medlartrack-Request-Id");
  header->value = strcmp (mode, "crossed") == 0 ? MT_STR ("somebody-elses") : id;
  request->answer.headers = header;
  request->answer.n_headers = 1;
}

static void
answer_run (struct minion *minion, struct mt_http_request *request, const char *mode)
{
  g_autofree char *body = NULL;

  if (strcmp (mode, "drop") == 0)
    {
      request->answer.status = MT_HTTP_DROP;
      return;
    }
  if (strcmp (mode, "oversized") == 0)
    body = g_strnfill (OVERSIZED_BYTES, 'x');
  else
    body = g_strdup_printf ("{\"minion\":\"%s\",\"path\":\"%s\",\"body\":\"%.*s\"}\n", minion->name,
                            request->path.data, MT_STR_ARG (request->body));
  standin_answer_text (request, strcmp (mode, "error") == 0 ? 500 : 200, body);
  answer_with_id (request, mode);
}

static void
answer_not_run (struct mt_http_request *request, const char *mode)
{
  struct mt_http_header *headers = mt_arena_alloc (request->arena, 2 * sizeof *headers);

  standin_answer_text (request, 503, "not run\n");
  headers[0] = (struct mt_http_header){ MT_STR ("Medlartrack-Not-Run"), MT_STR ("1") };
  headers[1] = (struct mt_http_header){ MT_STR ("Medlartrack-Leaving"), MT_STR ("1") };
  request->answer.headers = headers;
  request->answer.n_headers = strcmp (mode, "leaving") == 0 ? 2 : 1;
}

/* True if all slots are in use. The lock is held. */
static bool
is_full (const struct minion *minion)
{
  return minion->slots > 0 && minion->running >= minion->slots;
}

/* True if the request's assignment epoch is older than the newest one seen, which it updates. The
 * lock is held. */
static bool
is_outdated (struct minion *minion, const struct mt_http_request *request)
{
  struct mt_str text
      = mt_http_header_find (request->headers, request->n_headers, MT_STR ("Medlartrack-Epoch"));
  unsigned long long epoch = 0;

  if (text.data == NULL || !mt_str_to_u64 (text, &epoch))
    return false;
  if (epoch < minion->epoch)
    return true;
  minion->epoch = epoch;
  return false;
}

/* The lock is held. */
static void
wait_for_mode_change (struct minion *minion)
{
  unsigned changes = minion->mode_changes;

  while (minion->mode_changes == changes)
    g_cond_wait (&minion->changed, &minion->lock);
}

static void
handle_work (struct minion *minion, struct mt_http_request *request)
{
  unsigned delay_ms = 0;
  g_autofree char *mode = NULL;

  g_mutex_lock (&minion->lock);
  mode = take_mode (minion, &delay_ms);
  if (strcmp (mode, "refuse") == 0 || strcmp (mode, "leaving") == 0 || is_full (minion)
      || is_outdated (minion, request))
    {
      g_mutex_unlock (&minion->lock);
      answer_not_run (request, mode);
      return;
    }
  count_run (minion, request);
  if (strcmp (mode, "hold") == 0)
    wait_for_mode_change (minion);
  g_mutex_unlock (&minion->lock);
  g_usleep ((minion->work_ms + delay_ms) * 1000UL);
  answer_run (minion, request, mode);
  g_mutex_lock (&minion->lock);
  minion->running--;
  g_mutex_unlock (&minion->lock);
}

static void
handle (void *ctx, struct mt_http_request *request)
{
  struct minion *minion = ctx;
  g_autofree char *path = standin_path (request);

  if (strcmp (path, "/fault") == 0)
    handle_fault (minion, request);
  else if (strcmp (path, "/runs") == 0)
    handle_runs (minion, request);
  else
    handle_work (minion, request);
}

int
main (int argc, char **argv)
{
  struct minion minion = { .name = argc > 2 ? argv[2] : "minion" };

  minion.work_ms = argc > 3 ? (unsigned) g_ascii_strtoull (argv[3], NULL, 10) : 0;
  minion.slots = argc > 4 ? (unsigned) g_ascii_strtoull (argv[4], NULL, 10) : 0;
  g_mutex_init (&minion.lock);
  g_cond_init (&minion.changed);
  minion.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return standin_serve (argc > 1 ? argv[1] : "127.0.0.1:0", handle, &minion);
}
