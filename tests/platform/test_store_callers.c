/* What the callers of mt_kv_write do with a conflict that a first copy of the same write caused.
 * The real callers run in one process with the adapter and the stand-in store. */
#include "adapter.h"
#include "cluster.h"
#include "fleet_store.h"
#include "frontend.h"
#include "journal.h"
#include "pool.h"
#include "pool_keys.h"

#include <event2/event.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define POOL       "quotes"
#define LEADER_KEY "medlartrack/cluster/leadership/" POOL
#define MEMBERS    "medlartrack/cluster/member/"
#define ADDRESS    "127.0.0.1:9"
#define ID         "00000000000000a1"
#define JOB                                                                                        \
  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"est-runtime-ms\":100}]}"
#define CALL_TIMEOUT_MS 20000

struct world
{
  struct event_base *base;
  struct fleet_store *store;
  struct mt_http_front *platform;
  struct mt_http_front *callers;
  struct mt_calls *calls;
  struct mt_adapter *adapter;
  struct mt_codec codec;
  struct mt_journal *journal;
  struct mt_metrics *metrics;
  struct mt_mesh *mesh;
  struct mt_cluster *cluster;
  struct mt_frontend *frontend;
  struct mt_fleet_config *config;
  struct mt_pool *pool;
  unsigned gained;
  unsigned lost;
  int64_t token;
  int64_t lease_at_gain; /* of the leadership's key */
  int status;            /* of the last call of a caller; 0: not answered yet */
};

static void
on_platform_call (void *ctx, struct mt_exchange *exchange)
{
  fleet_store_handle (((struct world *) ctx)->store, exchange);
}

static void
on_caller (void *ctx, struct mt_exchange *exchange)
{
  mt_frontend_handle (((struct world *) ctx)->frontend, exchange);
}

static void
on_gained (void *ctx, const char *leadership, int64_t token)
{
  struct world *w = ctx;

  w->gained++;
  w->token = token;
  w->lease_at_gain = fleet_store_lease (w->store, LEADER_KEY);
}

static void
on_lost (void *ctx, const char *leadership, const char *why)
{
  ((struct world *) ctx)->lost++;
}

static void
on_mesh_call (void *ctx,
              struct mt_mesh_call *call,
              enum mt_mesh_method method,
              const struct mt_mesh_args *args)
{
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
zero (void *ctx)
{
  return 0;
}

static struct mt_http_front *
listen_on (struct world *w, mt_http_front_handler handle)
{
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 64,
                                           .idle_timeout_s = 60,
                                           .max_body_bytes = 65536,
                                           .handle = handle,
                                           .ctx = w };

  return mt_http_front_create (w->base, &options, NULL);
}

static void
wait_until (struct world *w, bool (*condition) (const struct world *))
{
  while (!condition (w))
    event_base_loop (w->base, EVLOOP_ONCE);
}

static bool
has_joined (const struct world *w)
{
  return fleet_store_count (w->store, MEMBERS) == 1;
}

static bool
has_gained (const struct world *w)
{
  return w->gained > 0;
}

static bool
has_lost (const struct world *w)
{
  return w->lost > 0;
}

static bool
is_answered (const struct world *w)
{
  return w->status != 0;
}

static void
create_frontend (struct world *w)
{
  struct mt_fleet_route route = { .name = g_strdup ("r"),
                                  .prefix = g_strdup ("/r/"),
                                  .pool = g_strdup (POOL),
                                  .allow_anonymous = true };
  struct mt_frontend_options options = { .kv = mt_adapter_kv (w->adapter),
                                         .codec = &w->codec,
                                         .cluster = w->cluster,
                                         .mesh = w->mesh,
                                         .journal = w->journal,
                                         .metrics = w->metrics,
                                         .local_pool = no_pool,
                                         .store_answers = store_answers,
                                         .config_age_ms = zero,
                                         .ctx = w };

  w->frontend = mt_frontend_create (w->base, &options);
  w->config = g_new0 (struct mt_fleet_config, 1);
  w->config->version = 1;
  w->config->routes = mt_route_table_create ();
  mt_route_table_set (w->config->routes, &route);
  mt_frontend_set_config (w->frontend, w->config);
  w->callers = listen_on (w, on_caller);
}

static struct world *
create_world (void)
{
  struct world *w = g_new0 (struct world, 1);
  struct mt_adapter_settings settings = { .daemon = "d", .hedge = true };
  struct mt_cluster_options cluster = { .name = "d",
                                        .address = ADDRESS,
                                        .zone = "west",
                                        .cores = 1,
                                        .gained = on_gained,
                                        .lost = on_lost,
                                        .ctx = w };
  g_autofree char *address = NULL;

  signal (SIGPIPE, SIG_IGN);
  w->base = event_base_new ();
  w->store = fleet_store_create (w->base);
  w->platform = listen_on (w, on_platform_call);
  address = g_strdup_printf ("127.0.0.1:%u", mt_http_front_port (w->platform));
  settings.store = address;
  w->calls = mt_calls_create (w->base, NULL);
  w->adapter = mt_adapter_create (w->calls, &settings);
  w->codec = mt_adapter_codec ();
  w->journal = mt_journal_create (open ("/dev/null", O_WRONLY | O_CLOEXEC), "d");
  w->metrics = mt_metrics_create ();
  w->mesh = mt_mesh_create (w->base, NULL, "127.0.0.1:0", "d", on_mesh_call, w, NULL);
  w->cluster = mt_cluster_create (w->base, mt_adapter_kv (w->adapter), &cluster);
  create_frontend (w);
  wait_until (w, has_joined);
  return w;
}

static void
compete (struct world *w)
{
  static const char *const names[] = { POOL, NULL };

  mt_cluster_set_leaderships (w->cluster, names);
}

static void
destroy_world (struct world *w)
{
  if (w->pool != NULL)
    mt_pool_destroy (w->pool);
  mt_http_front_destroy (w->callers);
  mt_calls_destroy (w->calls);
  mt_frontend_destroy (w->frontend);
  mt_fleet_config_free (w->config);
  mt_cluster_destroy (w->cluster);
  mt_mesh_destroy (w->mesh);
  mt_adapter_destroy (w->adapter);
  mt_http_front_destroy (w->platform);
  fleet_store_destroy (w->store);
  mt_metrics_destroy (w->metrics);
  mt_journal_destroy (w->journal);
  event_base_free (w->base);
  g_free (w);
}

static void
fault_next (struct world *w, enum fleet_fault fault)
{
  fleet_store_fault_next (w->store, &fault, 1);
}

/* ---- leaderships ---- */

/* Guards against a leadership whose claim was stored, unanswered, and that nobody exercises. */
static void
test_claim_stored_by_its_first_copy_is_held (void **state)
{
  struct world *w = create_world ();

  fault_next (w, FLEET_FAULT_LOSE_ANSWER);
  compete (w);
  wait_until (w, has_gained);
  assert_int_equal (w->token, fleet_store_revision (w->store, LEADER_KEY));
  assert_int_not_equal (w->lease_at_gain, 0);
  /* It was not removed as stale and claimed again. */
  assert_int_equal (fleet_store_count_puts (w->store, ADDRESS), 1);
  destroy_world (w);
}

/* Guards against two leaders: a key with this daemon's address under another lease, from before a
 * restart, ends with that lease, and must not be taken for the claim that it conflicts with. */
static void
test_key_under_another_lease_is_not_an_own_claim (void **state)
{
  struct world *w = create_world ();
  unsigned calls = fleet_store_calls (w->store);

  fault_next (w, FLEET_FAULT_LOSE_REQUEST);
  compete (w);
  while (fleet_store_calls (w->store) == calls)
    event_base_loop (w->base, EVLOOP_ONCE);
  fleet_store_put (w->store, LEADER_KEY, ADDRESS);
  wait_until (w, has_gained);
  assert_int_not_equal (w->lease_at_gain, 0);
  destroy_world (w);
}

/* Guards against a claim that takes another daemon's key for its own. */
static void
test_key_of_another_daemon_is_not_an_own_claim (void **state)
{
  struct world *w = create_world ();
  unsigned calls = fleet_store_calls (w->store);

  fault_next (w, FLEET_FAULT_LOSE_REQUEST);
  compete (w);
  while (fleet_store_calls (w->store) == calls)
    event_base_loop (w->base, EVLOOP_ONCE);
  fleet_store_put (w->store, LEADER_KEY, "127.0.0.1:10");
  while (fleet_store_calls (w->store) < calls + 2
         || g_strcmp0 (mt_cluster_holder (w->cluster, POOL), "127.0.0.1:10") != 0)
    event_base_loop (w->base, EVLOOP_ONCE);
  fleet_store_put (w->store, LEADER_KEY, NULL);
  wait_until (w, has_gained);
  assert_int_equal (w->gained, 1);
  assert_int_not_equal (w->lease_at_gain, 0);
  destroy_world (w);
}

/* Guards against a leadership that stays free because the removal of a stale key was carried out,
 * unanswered, and its second copy conflicts. */
static void
test_stale_key_removed_by_first_copy_is_claimed (void **state)
{
  struct world *w = create_world ();

  fleet_store_put (w->store, LEADER_KEY, ADDRESS);
  while (g_strcmp0 (mt_cluster_holder (w->cluster, POOL), ADDRESS) != 0)
    event_base_loop (w->base, EVLOOP_ONCE);
  fault_next (w, FLEET_FAULT_LOSE_ANSWER);
  compete (w);
  wait_until (w, has_gained);
  assert_int_not_equal (w->lease_at_gain, 0);
  destroy_world (w);
}

/* ---- front end ---- */

static void
on_caller_answer (void *ctx, const struct mt_call_answer *answer)
{
  ((struct world *) ctx)->status = answer->status != 0 ? answer->status : -1;
}

static int
call (struct world *w, enum mt_call_method method, const char *body)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", mt_http_front_port (w->callers));
  struct mt_call call = { .address = address,
                          .kind = "test",
                          .method = method,
                          .path = "/r/" ID,
                          .body = mt_str_from (body),
                          .timeout_ms = CALL_TIMEOUT_MS,
                          .max_connections = 1 };

  w->status = 0;
  mt_calls_send (w->calls, &call, on_caller_answer, w);
  wait_until (w, is_answered);
  return w->status;
}

/* Guards against 409 or 504 for a job that the first copy of its own write stored. */
static void
test_submission_stored_by_its_first_copy_is_accepted (void **state)
{
  struct world *w = create_world ();
  g_autofree char *key = mt_pool_job_key (POOL, ID);

  fault_next (w, FLEET_FAULT_LOSE_ANSWER);
  assert_int_equal (call (w, MT_CALL_POST, JOB), 200);
  assert_int_not_equal (fleet_store_revision (w->store, key), 0);
  destroy_world (w);
}

/* Guards against 200 for a job whose id another job took while the write was unanswered. */
static void
test_submission_that_lost_to_another_job_gets_409 (void **state)
{
  struct world *w = create_world ();
  g_autofree char *key = mt_pool_job_key (POOL, ID);

  fleet_store_put (w->store, key, "r\n1781923329000\n{\"steps\":[]}");
  fault_next (w, FLEET_FAULT_LOSE_REQUEST);
  assert_int_equal (call (w, MT_CALL_POST, JOB), 409);
  destroy_world (w);
}

/* Guards against a cancellation reported as failed that its first copy stored. */
static void
test_cancellation_stored_by_its_first_copy_is_accepted (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_NONE, FLEET_FAULT_LOSE_ANSWER };
  struct world *w = create_world ();
  g_autofree char *key = mt_pool_cancel_key (POOL, ID);

  assert_int_equal (call (w, MT_CALL_POST, JOB), 200);
  fleet_store_fault_next (w->store, faults, G_N_ELEMENTS (faults));
  assert_int_equal (call (w, MT_CALL_DELETE, ""), 200);
  assert_int_not_equal (fleet_store_revision (w->store, key), 0);
  destroy_world (w);
}

/* Guards against 504 for calls that never reached the store: the caller would have to ask again
 * although nothing was done. */
static void
test_calls_without_a_store_are_refused (void **state)
{
  struct world *w = create_world ();
  struct mt_adapter_settings settings = { .daemon = "d", .store = "127.0.0.1:1" };

  mt_adapter_set_addresses (w->adapter, &settings);
  assert_int_equal (call (w, MT_CALL_POST, JOB), 503);
  assert_int_equal (call (w, MT_CALL_DELETE, ""), 503);
  destroy_world (w);
}

/* ---- pool ---- */

static void
refuse_txn (void *ctx, const struct mt_kv_txn *txn, int64_t timeout_ms, mt_kv_done done, void *data)
{
  static const struct mt_kv_reply refused = { .status = MT_KV_REFUSED };

  done (data, &refused);
}

/* The adapter's store, except that it refuses all transactions. */
static struct mt_kv
refusing_kv (struct world *w)
{
  static struct mt_kv_ops ops;

  ops = *mt_adapter_kv (w->adapter).ops;
  ops.txn = refuse_txn;
  return (struct mt_kv){ &ops, mt_adapter_kv (w->adapter).ctx };
}

/* behind: by how much the pool's token is lower than the leadership's. */
static void
lead_pool (struct world *w, struct mt_kv kv, int64_t behind)
{
  struct mt_pool_options options
      = { .name = POOL,
          .kv = kv,
          .workers = mt_adapter_workers (w->adapter),
          .codec = &w->codec,
          .cluster = w->cluster,
          .sched
          = { .lease_ms = 1000, .remote_factor = 2, .retention_ms = 120000, .stop_grace_ms = 1000 },
          .store_is_down = store_is_down,
          .link_wait_ms = zero,
          .ctx = w,
          .journal = w->journal };

  compete (w);
  wait_until (w, has_gained);
  options.token = w->token - behind;
  w->pool = mt_pool_create (w->base, &options);
  while (!mt_pool_is_loaded (w->pool))
    event_base_loop (w->base, EVLOOP_ONCE);
}

/* A cancelled job has to be written by a cycle, without any worker. */
static void
submit_and_cancel (struct world *w)
{
  g_autofree char *key = mt_pool_job_key (POOL, ID);

  mt_pool_handle_submission (w->pool, key, MT_STR ("r\n1781923329000\n" JOB), true);
  mt_pool_handle_cancel (w->pool, ID);
}

/* Guards against a pool and its writes that are never freed, because the pool is destroyed between
 * a failed write and its retry. Only the leak check of ASan shows it. */
static void
test_pool_is_freed_while_a_write_is_to_be_retried (void **state)
{
  struct world *w = create_world ();

  lead_pool (w, refusing_kv (w), 0);
  submit_and_cancel (w);
  destroy_world (w);
}

/* Guards against a leader that resigns, or a cycle that never ends, because a write conflicts with
 * its own first copy. */
static void
test_cycle_stored_by_its_first_copy_ends (void **state)
{
  struct world *w = create_world ();
  g_autofree char *key = mt_pool_progress_key (POOL, ID);
  unsigned calls;

  lead_pool (w, mt_adapter_kv (w->adapter), 0);
  calls = fleet_store_calls (w->store);
  fault_next (w, FLEET_FAULT_LOSE_ANSWER);
  submit_and_cancel (w);
  /* Both copies of the write, and the retry after the conflict. */
  while (fleet_store_calls (w->store) < calls + 3
         || mt_scheduler_job_revision (mt_pool_scheduler (w->pool), ID)
                != fleet_store_revision (w->store, key))
    event_base_loop (w->base, EVLOOP_ONCE);
  assert_int_equal (w->lost, 0);
  destroy_world (w);
}

/* Guards against a leader that takes a conflict for its own write although another daemon has taken
 * over: its state is obsolete, and it has to resign. */
static void
test_conflict_after_a_takeover_ends_the_leadership (void **state)
{
  struct world *w = create_world ();
  unsigned calls;

  lead_pool (w, mt_adapter_kv (w->adapter), 0);
  calls = fleet_store_calls (w->store);
  fault_next (w, FLEET_FAULT_LOSE_ANSWER);
  submit_and_cancel (w);
  while (fleet_store_calls (w->store) == calls)
    event_base_loop (w->base, EVLOOP_ONCE);
  fleet_store_put (w->store, LEADER_KEY, ADDRESS);
  wait_until (w, has_lost);
  destroy_world (w);
}

/* Guards against a pool that takes a conflict on its leadership's key for one that its own copy
 * caused. The cluster's watch has no part in it: the key does not change. */
static void
test_conflict_on_the_leadership_ends_it (void **state)
{
  struct world *w = create_world ();

  lead_pool (w, mt_adapter_kv (w->adapter), 1);
  submit_and_cancel (w);
  wait_until (w, has_lost);
  destroy_world (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_claim_stored_by_its_first_copy_is_held),
    cmocka_unit_test (test_key_under_another_lease_is_not_an_own_claim),
    cmocka_unit_test (test_key_of_another_daemon_is_not_an_own_claim),
    cmocka_unit_test (test_stale_key_removed_by_first_copy_is_claimed),
    cmocka_unit_test (test_submission_stored_by_its_first_copy_is_accepted),
    cmocka_unit_test (test_submission_that_lost_to_another_job_gets_409),
    cmocka_unit_test (test_cancellation_stored_by_its_first_copy_is_accepted),
    cmocka_unit_test (test_calls_without_a_store_are_refused),
    cmocka_unit_test (test_pool_is_freed_while_a_write_is_to_be_retried),
    cmocka_unit_test (test_cycle_stored_by_its_first_copy_ends),
    cmocka_unit_test (test_conflict_after_a_takeover_ends_the_leadership),
    cmocka_unit_test (test_conflict_on_the_leadership_ends_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
