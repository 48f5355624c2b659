/* The front end's decisions on submissions, without sockets: the store, the calls to other daemons,
 * the callers' requests and the clock are replaced here (-Wl,--wrap). */
#include "frontend_internal.h"
#include "journal.h"
#include "metrics.h"
#include "pool_keys.h"
#include "traffic.h"

#include <event2/event.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cmocka.h>

#define MAX_CALLERS 2000
#define MAX_CALLS   16
/* Batches of this duration allow 60 waiting submissions. */
#define BATCH_MS 600
#define PLACES   60
#define PER_TXN  15
/* The first two submissions get a transaction each; later ones wait and share the next. */
#define IN_FLIGHT 2

/* Body of a job with more tasks than a leader can hold. */
#define MANY_TASKS "many tasks"

struct caller
{
  unsigned status; /* 0: not answered */
  unsigned retry_after_s;
  char body[200];
};

struct txn
{
  mt_kv_done done;
  void *data;
  int64_t timeout_ms;
  GPtrArray *keys;
};

struct call
{
  char *args[MT_MESH_MAX_ARGS];
  size_t n;
  mt_mesh_done done;
  void *ctx;
};

struct world
{
  struct event_base *base;
  struct mt_frontend *frontend;
  struct mt_metrics *metrics;
  struct mt_traffic *traffic;
  struct mt_journal *journal;
  int log;
  const char *holder; /* of every pool; NULL: not known */
  int64_t now;
  struct caller callers[MAX_CALLERS];
  unsigned n_callers;
  GQueue txns; /* struct txn, not answered */
  bool store_wait;
  struct call calls[MAX_CALLS];
  unsigned n_calls;
};

/* The replaced functions have no context. */
static struct world *current;

int64_t __wrap_mt_loop_now (void);
const char *__wrap_mt_cluster_holder (const struct mt_cluster *cluster, const char *leadership);
bool __wrap_mt_cluster_lease_is_valid (const struct mt_cluster *cluster);
struct mt_str __wrap_mt_exchange_body (const struct mt_exchange *exchange);
const char *__wrap_mt_exchange_header (const struct mt_exchange *exchange, const char *name);
void __wrap_mt_exchange_answer (struct mt_exchange *exchange,
                                unsigned status,
                                const char *content_type,
                                struct mt_str body,
                                unsigned retry_after_s);
void __wrap_mt_mesh_send (struct mt_mesh *mesh,
                          const char *address,
                          enum mt_mesh_method method,
                          const struct mt_mesh_args *args,
                          int64_t timeout_ms,
                          mt_mesh_done done,
                          void *ctx);

int64_t
__wrap_mt_loop_now (void)
{
  return current->now;
}

const char *
__wrap_mt_cluster_holder (const struct mt_cluster *cluster, const char *leadership)
{
  return current->holder;
}

bool
__wrap_mt_cluster_lease_is_valid (const struct mt_cluster *cluster)
{
  return true;
}

struct mt_str
__wrap_mt_exchange_body (const struct mt_exchange *exchange)
{
  return mt_str_from (((const struct caller *) (const void *) exchange)->body);
}

const char *
__wrap_mt_exchange_header (const struct mt_exchange *exchange, const char *name)
{
  return NULL;
}

void
__wrap_mt_exchange_answer (struct mt_exchange *exchange,
                           unsigned status,
                           const char *content_type,
                           struct mt_str body,
                           unsigned retry_after_s)
{
  struct caller *caller = (void *) exchange;

  assert_int_equal (caller->status, 0);
  caller->status = status;
  caller->retry_after_s = retry_after_s;
}

void
__wrap_mt_mesh_send (struct mt_mesh *mesh,
                     const char *address,
                     enum mt_mesh_method method,
                     const struct mt_mesh_args *args,
                     int64_t timeout_ms,
                     mt_mesh_done done,
                     void *ctx)
{
  struct call *call = &current->calls[current->n_calls];

  if (method != MT_MESH_WAIT_ESTIMATE)
    return;
  assert_true (current->n_calls < MAX_CALLS);
  current->n_calls++;
  call->n = args->n;
  call->done = done;
  call->ctx = ctx;
  for (size_t i = 0; i < args->n; i++)
    call->args[i] = g_strndup (args->at[i].data, args->at[i].len);
}

static struct mt_job_spec *
parse_job (const char *id, const char *route, struct mt_str text, GError **error)
{
  struct mt_job_spec *spec = mt_job_spec_create (id, route, 1);

  if (mt_str_equal (text, MT_STR (MANY_TASKS)))
    spec->repeats = 200001;
  spec->steps[0].count = 1;
  spec->steps[0].estimate_ms = 1000;
  return spec;
}

static void
start_txn (
    void *ctx, const struct mt_kv_txn *request, int64_t timeout_ms, mt_kv_done done, void *data)
{
  struct world *world = ctx;
  struct txn *txn = g_new0 (struct txn, 1);

  txn->done = done;
  txn->data = data;
  txn->timeout_ms = timeout_ms;
  txn->keys = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < request->n_puts; i++)
    g_ptr_array_add (txn->keys, g_strdup (request->puts[i].key));
  g_queue_push_tail (&world->txns, txn);
}

static void
start_read (void *ctx, const char *key, int64_t timeout_ms, mt_kv_done done, void *data)
{
  static const struct mt_kv_txn nothing = { 0 };

  start_txn (ctx, &nothing, timeout_ms, done, data);
}

static struct mt_pool *
no_pool (void *ctx, const char *pool)
{
  return NULL;
}

static bool
store_answers (void *ctx)
{
  return true;
}

static bool
store_is_down (void *ctx)
{
  return false;
}

static int64_t
config_age (void *ctx)
{
  return 0;
}

static const struct mt_kv_ops kv_ops = { .name = "test", .get = start_read, .txn = start_txn };
static const struct mt_codec_ops codec_ops = { .name = "test", .parse_job = parse_job };
static const struct mt_codec codec = { .ops = &codec_ops, .key_header = "X-Key" };
static const struct mt_fleet_route route = { .name = "route", .pool = "pool" };

static void
start_frontend (struct world *world)
{
  static const struct mt_fleet_config config = { .version = 1 };
  struct mt_frontend_options options = { .kv = { &kv_ops, world },
                                         .codec = &codec,
                                         .journal = world->journal,
                                         .metrics = world->metrics,
                                         .local_pool = no_pool,
                                         .store_answers = store_answers,
                                         .store_is_down = store_is_down,
                                         .store_wait = world->store_wait,
                                         .config_age_ms = config_age,
                                         .ctx = world };

  world->frontend = mt_frontend_create (world->base, &options);
  mt_frontend_set_config (world->frontend, &config);
  for (unsigned i = 0; i < 50; i++)
    mt_admission_record_batch (world->frontend->admission, BATCH_MS);
}

static struct world *
create_world (void)
{
  struct world *world = g_new0 (struct world, 1);

  current = world;
  world->now = 1000000;
  world->base = event_base_new ();
  world->log = memfd_create ("log", 0);
  world->journal = mt_journal_create (world->log, "d1");
  world->metrics = mt_metrics_create ();
  world->traffic = mt_traffic_create ();
  g_queue_init (&world->txns);
  start_frontend (world);
  return world;
}

/* Answers the oldest transaction. Each of the two in flight takes BATCH_MS. Returns its keys, which
 * the caller frees with g_ptr_array_unref. */
static GPtrArray *
answer_txn (struct world *world, const struct mt_kv_reply *reply)
{
  struct txn *txn = g_queue_pop_head (&world->txns);
  GPtrArray *keys = txn->keys;

  world->now += BATCH_MS / 2;
  txn->done (txn->data, reply);
  g_free (txn);
  return keys;
}

static GPtrArray *
store_txn (struct world *world)
{
  static const struct mt_kv_reply ok = { .status = MT_KV_OK };

  return answer_txn (world, &ok);
}

static void
answer_rejected (struct world *world)
{
  static const struct mt_kv_reply rejected = { .status = MT_KV_REJECTED };

  g_ptr_array_unref (answer_txn (world, &rejected));
}

static void
destroy_world (struct world *world)
{
  while (!g_queue_is_empty (&world->txns))
    g_ptr_array_unref (store_txn (world));
  assert_int_equal (mt_frontend_in_flight (world->frontend), 0);
  for (unsigned i = 0; i < world->n_callers; i++)
    assert_true (world->callers[i].status != 0);
  mt_frontend_destroy (world->frontend);
  for (unsigned i = 0; i < world->n_calls; i++)
    for (size_t k = 0; k < world->calls[i].n; k++)
      g_free (world->calls[i].args[k]);
  mt_journal_destroy (world->journal);
  mt_metrics_destroy (world->metrics);
  mt_traffic_destroy (world->traffic);
  event_base_free (world->base);
  close (world->log);
  g_free (world);
}

static struct caller *
submit_job (struct world *world, const char *workspace, const char *id, const char *body)
{
  struct caller *caller = &world->callers[world->n_callers++];

  assert_true (world->n_callers < MAX_CALLERS);
  g_snprintf (caller->body, sizeof caller->body, "%s", body);
  mt_frontend_submit (world->frontend, (void *) caller, &route, id, workspace);
  return caller;
}

static struct caller *
submit (struct world *world, const char *workspace)
{
  g_autofree char *id = g_strdup_printf ("%016x", world->n_callers);

  return submit_job (world, workspace, id, id);
}

static unsigned
count_status (const struct world *world, unsigned status)
{
  unsigned n = 0;

  for (unsigned i = 0; i < world->n_callers; i++)
    n += world->callers[i].status == status;
  return n;
}

static void
check_metric (const struct world *world, const char *line)
{
  g_autofree char *text = mt_metrics_text (world->metrics, world->traffic, world->journal);

  if (strstr (text, line) == NULL)
    fail_msg ("no line %s in the metrics", line);
}

/* Returns the number of log lines that contain the text. */
static unsigned
count_logged (struct world *world, const char *text)
{
  off_t size;
  char *log;
  unsigned n = 0;

  mt_journal_flush (world->journal);
  size = lseek (world->log, 0, SEEK_END);
  log = g_malloc0 ((gsize) size + 1);
  assert_int_equal (pread (world->log, log, (size_t) size, 0), size);
  for (const char *at = strstr (log, text); at != NULL; at = strstr (at + 1, text))
    n++;
  g_free (log);
  return n;
}

/* ---- places ---- */

/* Guards against one workspace's flood by which the submissions of the others are refused: it is
 * refused instead, and its newest waiting submissions make way. */
static void
test_flood_is_refused_before_others (void **state)
{
  struct world *world = create_world ();
  struct caller *other[10];

  for (unsigned i = 0; i < 200; i++)
    submit (world, "press");
  assert_int_equal (count_status (world, 503), 200 - IN_FLIGHT - PLACES);
  check_metric (world, "medlartrack_submissions_refused_total{cause=\"backlog\"} 138\n");
  for (unsigned i = 0; i < 10; i++)
    other[i] = submit (world, "yard");
  assert_int_equal (count_status (world, 503), 148);
  assert_int_equal (world->callers[IN_FLIGHT + PLACES - 1].status, 503);
  assert_in_range (world->callers[IN_FLIGHT + PLACES - 1].retry_after_s, 1, 4);
  assert_int_equal (submit (world, "press")->status, 503);
  for (unsigned i = 0; i < 3; i++)
    g_ptr_array_unref (store_txn (world));
  for (unsigned i = 0; i < 7; i++)
    assert_int_equal (other[i]->status, 200);
  check_metric (world, "medlartrack_submissions_refused_total{cause=\"share\"} 11\n");
  check_metric (world, "medlartrack_jobs_refused_total 149\n");
  destroy_world (world);
}

/* Guards against weights that the configuration has and the queue doesn't: a new weight applies at
 * once, also a smaller one. */
static void
test_places_follow_the_configured_weights (void **state)
{
  struct world *world = create_world ();
  struct mt_fleet_config config = { .workspaces = mt_workspaces_create () };
  struct mt_fleet_config changed = { .workspaces = mt_workspaces_create () };
  static const struct mt_resources no_quota = { 0 };

  assert_true (mt_workspaces_add (config.workspaces, "press", &no_quota, 0, NULL));
  assert_true (mt_workspaces_add (config.workspaces, "yard", &no_quota, 4, NULL));
  assert_true (mt_workspaces_add (changed.workspaces, "yard", &no_quota, 1, NULL));
  mt_frontend_set_config (world->frontend, &config);
  for (unsigned i = 0; i < 200; i++)
    submit (world, "press");
  for (unsigned i = 0; i < 200; i++)
    submit (world, "yard");
  assert_int_equal (mt_submit_queue_length (world->frontend->submits), PLACES);
  assert_int_equal (mt_submit_queue_share (world->frontend->submits, "press").share, 200);
  assert_int_equal (mt_submit_queue_share (world->frontend->submits, "yard").share, 800);
  mt_frontend_set_config (world->frontend, &changed);
  for (unsigned i = 0; i < 200; i++)
    submit (world, "press");
  assert_int_equal (mt_submit_queue_share (world->frontend->submits, "press").share, 500);
  mt_frontend_set_config (world->frontend, NULL);
  mt_workspaces_destroy (config.workspaces);
  mt_workspaces_destroy (changed.workspaces);
  destroy_world (world);
}

/* Guards against log lines that don't tell why a workspace was refused. */
static void
test_refusal_by_share_is_logged_with_both_shares (void **state)
{
  struct world *world = create_world ();

  for (unsigned i = 0; i < IN_FLIGHT + PLACES; i++)
    submit (world, "press");
  submit (world, "yard");
  assert_int_equal (count_logged (world, "\"name\":\"JOB_REFUSED\""), 1);
  assert_int_equal (
      count_logged (world,
                    "\"workspace\":\"press\",\"cause\":\"share\",\"share\":983,\"fair\":500"),
      1);
  destroy_world (world);
}

/* Guards against submissions that are held without an answer while those of other workspaces are
 * served: no caller waits longer than in order of arrival. */
static void
test_overtaken_submission_is_refused_at_its_deadline (void **state)
{
  struct world *world = create_world ();

  for (unsigned i = 0; i < IN_FLIGHT + PLACES; i++)
    submit (world, "press");
  for (unsigned i = 0; i < 40; i++)
    {
      for (unsigned k = 0; k < PER_TXN; k++)
        submit (world, i % 2 == 0 ? "yard" : "dock");
      g_ptr_array_unref (store_txn (world));
      for (unsigned k = IN_FLIGHT; k < IN_FLIGHT + PLACES && i >= 5; k++)
        assert_true (world->callers[k].status != 0);
    }
  destroy_world (world);
}

/* Guards against "not run" for a submission that may be stored: one of an unanswered transaction is
 * displaced after it was queued again. */
static void
test_displaced_submission_with_unknown_outcome_is_not_called_refused (void **state)
{
  struct world *world = create_world ();
  static const struct mt_kv_reply unknown = { .status = MT_KV_UNKNOWN };
  struct mt_pool_submission stored = { .route = (char *) "other", .workspace = (char *) "" };
  g_autofree char *key = mt_pool_job_key ("pool", "0000000000000002");
  size_t len = 0;
  g_autofree char *value = mt_pool_submission_pack (&stored, &len);
  struct mt_kv_item item = { .key = key, .value = { value, len }, .revision = 7 };
  struct mt_kv_reply conflict = { .status = MT_KV_CONFLICT, .items = &item, .n_items = 1 };

  for (unsigned i = 0; i < IN_FLIGHT + 2 * PER_TXN; i++)
    submit (world, "press");
  for (unsigned i = 0; i < IN_FLIGHT; i++)
    g_ptr_array_unref (store_txn (world));
  g_ptr_array_unref (answer_txn (world, &unknown));
  while (world->txns.length < 2)
    event_base_loop (world->base, EVLOOP_ONCE);
  for (unsigned i = 0; i < PLACES; i++)
    submit (world, "press");
  g_queue_reverse (&world->txns);
  g_ptr_array_unref (answer_txn (world, &conflict));
  assert_int_equal (world->callers[IN_FLIGHT].status, 409);
  submit (world, "yard");
  submit (world, "yard");
  assert_int_equal (count_status (world, 503), 0);
  assert_int_equal (count_status (world, 504), 1);
  assert_int_equal (world->callers[IN_FLIGHT + PER_TXN - 1].status, 504);
  destroy_world (world);
}

/* Guards against state of a stopped daemon that its successor would need: after a restart the queue
 * is empty and nobody is above a share. */
static void
test_queue_is_empty_after_a_restart (void **state)
{
  struct world *world = create_world ();

  for (unsigned i = 0; i < 200; i++)
    submit (world, i % 3 == 0 ? "yard" : "press");
  assert_true (count_status (world, 503) > 0);
  while (!g_queue_is_empty (&world->txns))
    g_ptr_array_unref (store_txn (world));
  mt_frontend_destroy (world->frontend);
  start_frontend (world);
  for (unsigned i = 0; i < IN_FLIGHT + PLACES; i++)
    assert_int_equal (submit (world, "press")->status, 0);
  destroy_world (world);
}

/* ---- equal ids ---- */

/* Guards against two jobs of one id that are both accepted, of which one is overwritten: they
 * arrived together and were stored by one transaction. */
static void
test_jobs_of_one_id_in_one_transaction_are_told_apart (void **state)
{
  struct world *world = create_world ();
  const struct caller *first, *again, *other;
  GPtrArray *keys;

  for (unsigned i = 0; i < IN_FLIGHT; i++)
    submit (world, "");
  first = submit_job (world, "", "00000000000000aa", "a");
  again = submit_job (world, "", "00000000000000aa", "a");
  other = submit_job (world, "", "00000000000000aa", "b");
  for (unsigned i = 0; i < IN_FLIGHT; i++)
    g_ptr_array_unref (store_txn (world));
  keys = store_txn (world);
  assert_int_equal (keys->len, 1);
  g_ptr_array_unref (keys);
  assert_int_equal (first->status, 200);
  assert_int_equal (again->status, 200);
  assert_int_equal (other->status, 409);
  destroy_world (world);
}

/* ---- unknown outcomes ---- */

static void
restart_with_store_wait (struct world *world)
{
  mt_frontend_destroy (world->frontend);
  world->store_wait = true;
  start_frontend (world);
}

/* Lets the oldest call of the store time out. */
static void
time_out_call (struct world *world)
{
  static const struct mt_kv_reply unknown = { .status = MT_KV_UNKNOWN };
  struct txn *txn = g_queue_pop_head (&world->txns);

  world->now += txn->timeout_ms;
  txn->done (txn->data, &unknown);
  g_ptr_array_unref (txn->keys);
  g_free (txn);
}

/* Guards against an outcome that is still being found out when its caller has stopped waiting:
 * look-ups and repeated writes without an answer took until 3.3 s, and the caller waits 3 s. */
static void
test_unknown_outcome_is_answered_within_the_callers_time (void **state)
{
  struct world *world = create_world ();
  int64_t began = world->now;
  struct caller *caller;

  restart_with_store_wait (world);
  caller = submit (world, "");
  while (caller->status == 0)
    if (g_queue_is_empty (&world->txns))
      event_base_loop (world->base, EVLOOP_ONCE);
    else
      time_out_call (world);
  assert_int_equal (caller->status, 504);
  assert_in_range (world->now - began, 0, 2600);
  destroy_world (world);
}

/* ---- destruction ---- */

/* Guards against submissions that are never freed, because the front end is destroyed while they
 * are queued or their transaction is to be retried. Only the leak check of ASan shows it. */
static void
test_unanswered_submissions_are_freed_with_the_front_end (void **state)
{
  static const struct mt_kv_reply unknown = { .status = MT_KV_UNKNOWN };
  struct world *world = create_world ();

  for (unsigned i = 0; i < IN_FLIGHT + 3; i++)
    submit (world, "");
  for (unsigned i = 0; i < IN_FLIGHT; i++)
    g_ptr_array_unref (answer_txn (world, &unknown));
  assert_int_equal (mt_frontend_in_flight (world->frontend), IN_FLIGHT + 3);
  mt_frontend_destroy (world->frontend);
  world->n_callers = 0;
  start_frontend (world);
  destroy_world (world);
}

/* ---- without workspaces ---- */

/* The queue as it was before shares: in order of arrival, with one limit. */
struct model
{
  GQueue waiting;
  unsigned in_flight;
};

static void
take_batches (struct model *model, GQueue *expected)
{
  while (model->waiting.length > 0 && model->in_flight < 2)
    {
      GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);

      while (keys->len < PER_TXN && model->waiting.length > 0)
        g_ptr_array_add (keys, g_queue_pop_head (&model->waiting));
      model->in_flight++;
      g_queue_push_tail (expected, keys);
    }
}

static void
check_batch (const GPtrArray *got, const GPtrArray *expected)
{
  assert_int_equal (got->len, expected->len);
  for (guint i = 0; i < got->len; i++)
    assert_string_equal (got->pdata[i], expected->pdata[i]);
}

/* Guards against any change for deployments without workspaces: 1,500 submissions in bursts are
 * admitted, refused, told when to retry, and stored in the same order as before shares. */
static void
test_without_workspaces_every_decision_is_the_same_as_before (void **state)
{
  struct world *world = create_world ();
  struct mt_admission *admission = world->frontend->admission;
  struct model model = { .waiting = G_QUEUE_INIT };
  GQueue expected = G_QUEUE_INIT;
  unsigned n_refused = 0;

  for (unsigned i = 0; i < 1500; i++)
    {
      bool admits = mt_admission_admits (admission, model.waiting.length);
      unsigned seed = 20261202 + i;
      unsigned retry_after_s;
      struct caller *caller;

      g_random_set_seed (seed);
      retry_after_s
          = mt_admission_retry_after_s (admission, model.waiting.length, g_random_double ());
      g_random_set_seed (seed);
      caller = submit (world, "");
      assert_int_equal (caller->status, admits ? 0 : 503);
      if (admits)
        {
          g_queue_push_tail (&model.waiting, mt_pool_job_key ("pool", caller->body));
          take_batches (&model, &expected);
        }
      else
        assert_int_equal (caller->retry_after_s, retry_after_s);
      n_refused += !admits;
      if (i % 200 > 120 && i % 3 == 0 && world->txns.length > 0)
        {
          g_autoptr (GPtrArray) got = store_txn (world);
          g_autoptr (GPtrArray) keys = g_queue_pop_head (&expected);

          check_batch (got, keys);
          model.in_flight--;
          take_batches (&model, &expected);
        }
    }
  assert_in_range (n_refused, 100, 1400);
  while (!g_queue_is_empty (&world->txns))
    {
      g_autoptr (GPtrArray) got = store_txn (world);
      g_autoptr (GPtrArray) keys = g_queue_pop_head (&expected);

      check_batch (got, keys);
      model.in_flight--;
      take_batches (&model, &expected);
    }
  assert_int_equal (expected.length + model.waiting.length, 0);
  destroy_world (world);
}

/* ---- wait estimate ---- */

static void
answer_call (struct world *world, unsigned number, const char *const *texts, size_t n)
{
  struct mt_mesh_args args = { .n = n };
  struct call *call = &world->calls[number];

  for (size_t i = 0; i < n; i++)
    args.at[i] = mt_str_from (texts[i]);
  call->done (call->ctx, &args);
}

/* Guards against refusing jobs of a pool whose state is unknown, and against a wait for each of
 * them. */
static void
test_estimate_without_an_answer_refuses_nothing (void **state)
{
  struct world *world = create_world ();
  struct caller *caller;

  world->holder = "127.0.0.1:1";
  caller = submit (world, "yard");
  assert_int_equal (world->n_calls, 1);
  world->calls[0].done (world->calls[0].ctx, NULL);
  submit (world, "yard");
  assert_int_equal (world->n_calls, 1);
  g_ptr_array_unref (store_txn (world));
  assert_int_equal (caller->status, 200);
  destroy_world (world);
}

/* Guards against a call that a leader of the older form doesn't answer: its callers would lose the
 * estimate, and overdue work would be accepted. */
static void
test_leader_of_the_older_form_is_asked_without_the_workspace (void **state)
{
  struct world *world = create_world ();
  static const char *const reply[] = { "5000" };
  struct caller *caller;

  world->holder = "127.0.0.1:1";
  caller = submit (world, "yard");
  assert_int_equal (world->calls[0].n, 4);
  assert_string_equal (world->calls[0].args[3], "yard");
  answer_call (world, 0, NULL, 0);
  assert_int_equal (world->n_calls, 2);
  assert_int_equal (world->calls[1].n, 3);
  assert_string_equal (world->calls[1].args[0], "pool");
  assert_string_equal (world->calls[1].args[1], "route");
  assert_string_equal (world->calls[1].args[2], "1000");
  assert_int_equal (caller->status, 0);
  answer_call (world, 1, reply, 1);
  assert_int_equal (caller->status, 503);
  assert_in_range (caller->retry_after_s, 5, 10);
  check_metric (world, "medlartrack_submissions_refused_total{cause=\"wait\"} 1\n");
  destroy_world (world);
}

/* Guards against an endless exchange with a leader that answers neither form. */
static void
test_leader_without_an_estimate_is_asked_once_in_each_form (void **state)
{
  struct world *world = create_world ();
  struct caller *caller;

  world->holder = "127.0.0.1:1";
  caller = submit (world, "yard");
  answer_call (world, 0, NULL, 0);
  answer_call (world, 1, NULL, 0);
  assert_int_equal (world->n_calls, 2);
  g_ptr_array_unref (store_txn (world));
  assert_int_equal (caller->status, 200);
  destroy_world (world);
}

/* Guards against a changed call where there are no workspaces. */
static void
test_call_without_a_workspace_has_the_older_form (void **state)
{
  struct world *world = create_world ();
  static const char *const reply[] = { "0" };

  world->holder = "127.0.0.1:1";
  submit (world, "");
  assert_int_equal (world->calls[0].n, 3);
  answer_call (world, 0, reply, 1);
  submit (world, "");
  answer_call (world, 1, NULL, 0);
  assert_int_equal (world->n_calls, 2);
  destroy_world (world);
}

/* Guards against a refusal that blames the pool where the workspace's share of it is the cause. */
static void
test_refusal_for_the_share_of_the_pool_is_logged (void **state)
{
  struct world *world = create_world ();
  static const char *const reply[] = { "7000", "620", "50" };

  world->holder = "127.0.0.1:1";
  submit (world, "press");
  answer_call (world, 0, reply, 3);
  assert_int_equal (world->callers[0].status, 503);
  assert_int_equal (count_logged (world, "\"cause\":\"share\",\"share\":620,\"fair\":50"), 1);
  check_metric (world, "medlartrack_submissions_refused_total{cause=\"share\"} 1\n");
  destroy_world (world);
}

/* ---- what can't be held ---- */

/* Guards against a job that is accepted though no leader can hold its tasks: each would run out of
 * memory. */
static void
test_job_of_too_many_tasks_is_refused_for_good (void **state)
{
  struct world *world = create_world ();
  struct caller *caller = submit_job (world, "", "00000000000000aa", MANY_TASKS);

  assert_int_equal (caller->status, 413);
  assert_int_equal (caller->retry_after_s, 0);
  assert_int_equal (world->txns.length, 0);
  destroy_world (world);
}

/* Guards against a submission that the store does not accept and that is sent again and again, with
 * all that share its transaction. */
static void
test_submission_that_is_rejected_is_refused_alone (void **state)
{
  for (size_t i = 0; i < 2; i++)
    {
      struct world *world = create_world ();
      struct caller *callers[3];

      mt_frontend_destroy (world->frontend);
      world->store_wait = i == 1;
      start_frontend (world);
      for (unsigned k = 0; k < IN_FLIGHT; k++)
        submit (world, "");
      for (unsigned k = 0; k < 3; k++)
        callers[k] = submit (world, "");
      for (unsigned k = 0; k < IN_FLIGHT; k++)
        g_ptr_array_unref (store_txn (world));
      assert_int_equal (world->txns.length, 1);
      answer_rejected (world);
      assert_int_equal (world->txns.length, 3);
      g_ptr_array_unref (store_txn (world));
      answer_rejected (world);
      g_ptr_array_unref (store_txn (world));
      assert_int_equal (callers[0]->status, 200);
      assert_int_equal (callers[1]->status, 413);
      assert_int_equal (callers[2]->status, 200);
      destroy_world (world);
    }
}

/* ---- stop ---- */

/* Time from a stop to its last answer: what a daemon with 6 s for its exit has. */
#define STOP_MS 5400
/* Longer than the outcome of a write takes to be found out. */
#define SETTLED_MS 4000

static struct world *
create_stopping_world (bool store_wait)
{
  struct world *world = create_world ();

  mt_frontend_destroy (world->frontend);
  world->store_wait = store_wait;
  start_frontend (world);
  return world;
}

static struct caller *
cancel (struct world *world, const char *id)
{
  struct caller *caller = &world->callers[world->n_callers++];

  mt_frontend_cancel (world->frontend, (void *) caller, &route, id, "");
  return caller;
}

/* Answers the oldest call of the store. */
static void
answer_store (struct world *world, enum mt_kv_status status)
{
  const struct mt_kv_reply reply = { .status = status };

  g_ptr_array_unref (answer_txn (world, &reply));
}

/* Answers the read of a job for a cancel: it is there, without a workspace. */
static void
answer_job (struct world *world)
{
  struct mt_pool_submission job = { .route = "route", .workspace = "", .body = MT_STR ("{}") };
  size_t len = 0;
  g_autofree char *value = mt_pool_submission_pack (&job, &len);
  const struct mt_kv_item item = { .key = "job", .value = { value, len }, .revision = 1 };
  const struct mt_kv_reply reply = { .status = MT_KV_OK, .items = &item, .n_items = 1 };

  g_ptr_array_unref (answer_txn (world, &reply));
}

static const bool with_store_wait[] = { false, true };

/* Guards against a write that is begun so late in a stop that the daemon exits before its outcome
 * is known. */
static void
test_stop_begins_no_write_that_it_cannot_answer (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (with_store_wait); i++)
    {
      struct world *world = create_stopping_world (with_store_wait[i]);
      struct caller *early, *late, *late_cancel;

      mt_frontend_stop (world->frontend, world->now + STOP_MS);
      early = submit (world, "");
      assert_int_equal (world->txns.length, 1);
      g_ptr_array_unref (store_txn (world));
      assert_int_equal (early->status, 200);
      world->now += STOP_MS - MT_FRONTEND_TXN_TIMEOUT_MS - BATCH_MS / 2;
      late = submit (world, "");
      late_cancel = cancel (world, "00000000000000aa");
      assert_int_equal (world->txns.length, 0);
      assert_int_equal (late->status, 503);
      assert_int_equal (late_cancel->status, 503);
      assert_true (late->retry_after_s > 0);
      destroy_world (world);
    }
}

/* Guards against queued submissions that are sent once the writes before them are answered, late in
 * a stop. */
static void
test_stop_refuses_what_waits_to_be_sent (void **state)
{
  struct world *world = create_stopping_world (true);
  struct caller *queued;

  mt_frontend_stop (world->frontend, world->now + STOP_MS);
  for (unsigned i = 0; i < IN_FLIGHT; i++)
    submit (world, "");
  queued = submit (world, "");
  assert_int_equal (world->txns.length, IN_FLIGHT);
  world->now += STOP_MS - MT_FRONTEND_TXN_TIMEOUT_MS - BATCH_MS / 2;
  g_ptr_array_unref (store_txn (world));
  assert_int_equal (queued->status, 503);
  g_ptr_array_unref (store_txn (world));
  assert_int_equal (world->txns.length, 0);
  assert_int_equal (count_status (world, 200), IN_FLIGHT);
  destroy_world (world);
}

/* Guards against a write that the store refused, and that is sent again at the end of a stop. */
static void
test_stop_sends_no_refused_write_again (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (with_store_wait); i++)
    {
      struct world *world = create_stopping_world (with_store_wait[i]);
      struct caller *caller = submit (world, "");

      mt_frontend_stop (world->frontend, world->now + BATCH_MS);
      answer_store (world, MT_KV_REFUSED);
      assert_int_equal (caller->status, 503);
      assert_int_equal (world->txns.length, 0);
      destroy_world (world);
    }
}

/* Guards against a daemon that exits and calls a job refused whose write it has sent. */
static void
test_write_under_way_at_the_exit_is_not_called_refused (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (with_store_wait); i++)
    {
      struct world *world = create_stopping_world (with_store_wait[i]);
      struct caller *sent = submit (world, "");
      struct caller *queued;

      submit (world, "");
      queued = submit (world, "");
      mt_frontend_close (world->frontend);
      assert_int_equal (queued->status, 503);
      answer_store (world, MT_KV_UNKNOWN);
      assert_int_equal (sent->status, 504);
      answer_store (world, MT_KV_OK);
      assert_int_equal (count_status (world, 200), 1);
      destroy_world (world);
    }
}

/* Guards against a look-up of an unanswered write that ends at the exit without an answer to the
 * caller. */
static void
test_look_up_under_way_at_the_exit_leaves_the_outcome_unknown (void **state)
{
  struct world *world = create_stopping_world (true);
  struct caller *caller = submit (world, "");

  answer_store (world, MT_KV_UNKNOWN);
  assert_int_equal (world->txns.length, 1);
  mt_frontend_close (world->frontend);
  answer_store (world, MT_KV_UNKNOWN);
  assert_int_equal (caller->status, 504);
  destroy_world (world);
}

/* Guards against a submission with an unknown outcome that waits to be sent again and is never
 * answered, or called refused. */
static void
test_retry_at_the_exit_leaves_the_outcome_unknown (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (with_store_wait); i++)
    {
      struct world *world = create_stopping_world (with_store_wait[i]);
      struct caller *caller = submit (world, "");

      answer_store (world, MT_KV_UNKNOWN);
      if (with_store_wait[i])
        answer_store (world, MT_KV_MISSING);
      assert_int_equal (caller->status, 0);
      mt_frontend_close (world->frontend);
      assert_int_equal (caller->status, 504);
      destroy_world (world);
    }
}

/* Guards against a cancel that is called refused though its write was sent, and against one that is
 * never answered. */
static void
test_cancel_under_way_at_the_exit_is_not_called_refused (void **state)
{
  struct world *world = create_stopping_world (false);
  struct caller *reading = cancel (world, "00000000000000aa");
  struct caller *writing = cancel (world, "00000000000000bb");
  struct caller *refused = cancel (world, "00000000000000cc");
  struct caller *unanswered = cancel (world, "00000000000000dd");
  struct txn *first = g_queue_pop_head (&world->txns);
  int64_t began = world->now;

  for (unsigned i = 0; i < 3; i++)
    answer_job (world);
  world->now = began;
  g_queue_push_tail (&world->txns, g_queue_pop_head (&world->txns));
  answer_store (world, MT_KV_REFUSED);
  answer_store (world, MT_KV_UNKNOWN);
  assert_int_equal (count_status (world, 0), 4);
  mt_frontend_close (world->frontend);
  assert_int_equal (refused->status, 503);
  assert_int_equal (unanswered->status, 504);
  answer_store (world, MT_KV_UNKNOWN);
  assert_int_equal (writing->status, 504);
  g_queue_push_tail (&world->txns, first);
  answer_store (world, MT_KV_UNKNOWN);
  assert_int_equal (reading->status, 503);
  destroy_world (world);
}

/* Guards against a time-out that a slow store's answers never meet: no outcome would be known. */
static void
test_time_out_follows_a_slow_store (void **state)
{
  struct world *world = create_stopping_world (true);
  const struct txn *last;

  for (unsigned i = 0; i < 20; i++)
    {
      submit (world, "");
      world->now += MT_FRONTEND_TXN_TIMEOUT_MS;
      g_ptr_array_unref (store_txn (world));
    }
  submit (world, "");
  last = g_queue_peek_tail (&world->txns);
  assert_in_range (last->timeout_ms, 2 * MT_FRONTEND_TXN_TIMEOUT_MS, SETTLED_MS);
  g_ptr_array_unref (store_txn (world));
  for (unsigned i = 0; i < 40; i++)
    {
      submit (world, "");
      world->now -= BATCH_MS / 2;
      g_ptr_array_unref (store_txn (world));
    }
  submit (world, "");
  last = g_queue_peek_tail (&world->txns);
  assert_int_equal (last->timeout_ms, MT_FRONTEND_TXN_TIMEOUT_MS);
  destroy_world (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_flood_is_refused_before_others),
    cmocka_unit_test (test_places_follow_the_configured_weights),
    cmocka_unit_test (test_refusal_by_share_is_logged_with_both_shares),
    cmocka_unit_test (test_overtaken_submission_is_refused_at_its_deadline),
    cmocka_unit_test (test_displaced_submission_with_unknown_outcome_is_not_called_refused),
    cmocka_unit_test (test_queue_is_empty_after_a_restart),
    cmocka_unit_test (test_jobs_of_one_id_in_one_transaction_are_told_apart),
    cmocka_unit_test (test_unknown_outcome_is_answered_within_the_callers_time),
    cmocka_unit_test (test_unanswered_submissions_are_freed_with_the_front_end),
    cmocka_unit_test (test_without_workspaces_every_decision_is_the_same_as_before),
    cmocka_unit_test (test_estimate_without_an_answer_refuses_nothing),
    cmocka_unit_test (test_leader_of_the_older_form_is_asked_without_the_workspace),
    cmocka_unit_test (test_leader_without_an_estimate_is_asked_once_in_each_form),
    cmocka_unit_test (test_call_without_a_workspace_has_the_older_form),
    cmocka_unit_test (test_refusal_for_the_share_of_the_pool_is_logged),
    cmocka_unit_test (test_job_of_too_many_tasks_is_refused_for_good),
    cmocka_unit_test (test_submission_that_is_rejected_is_refused_alone),
    cmocka_unit_test (test_stop_begins_no_write_that_it_cannot_answer),
    cmocka_unit_test (test_stop_refuses_what_waits_to_be_sent),
    cmocka_unit_test (test_stop_sends_no_refused_write_again),
    cmocka_unit_test (test_write_under_way_at_the_exit_is_not_called_refused),
    cmocka_unit_test (test_look_up_under_way_at_the_exit_leaves_the_outcome_unknown),
    cmocka_unit_test (test_retry_at_the_exit_leaves_the_outcome_unknown),
    cmocka_unit_test (test_cancel_under_way_at_the_exit_is_not_called_refused),
    cmocka_unit_test (test_time_out_follows_a_slow_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
