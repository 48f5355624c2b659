/* The relay on a clock of the test's own, with the calls to other daemons answered by the test. */
#include "loop.h"
#include "medlartrack/scheduler.h"
#include "relay.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define CALL_TIMEOUT_MS 5000
/* Longer than a daemon that could not help is avoided. */
#define AVOIDED_MS 10000

struct world
{
  int64_t now;
  mt_adapter_relay relay;
  void *relay_ctx;
  mt_mesh_done done; /* of the call in flight */
  void *done_ctx;
  bool reaches_store;
  unsigned served;           /* calls that were passed to the store */
  struct mt_mesh_args reply; /* the last one to another daemon */
};

static struct world world;

int64_t __wrap_mt_loop_now (void);
void __wrap_mt_adapter_set_relay (struct mt_adapter *adapter, mt_adapter_relay relay, void *ctx);
bool __wrap_mt_adapter_reaches_store (const struct mt_adapter *adapter);
void __wrap_mt_adapter_call_store (struct mt_adapter *adapter,
                                   const char *method,
                                   const char *path,
                                   struct mt_str body,
                                   int64_t timeout_ms,
                                   mt_adapter_call_done done,
                                   void *data);
void __wrap_mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args);
char **__wrap_mt_cluster_peers (const struct mt_cluster *cluster);
bool __wrap_mt_cluster_can_confirm_outage (const struct mt_cluster *cluster, const char *address);
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
  return world.now;
}

void
__wrap_mt_adapter_set_relay (struct mt_adapter *adapter, mt_adapter_relay relay, void *ctx)
{
  world.relay = relay;
  world.relay_ctx = ctx;
}

bool
__wrap_mt_adapter_reaches_store (const struct mt_adapter *adapter)
{
  return world.reaches_store;
}

void
__wrap_mt_adapter_call_store (struct mt_adapter *adapter,
                              const char *method,
                              const char *path,
                              struct mt_str body,
                              int64_t timeout_ms,
                              mt_adapter_call_done done,
                              void *data)
{
  world.served++;
}

void
__wrap_mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  world.reply = args != NULL ? *args : (struct mt_mesh_args){ 0 };
}

char **
__wrap_mt_cluster_peers (const struct mt_cluster *cluster)
{
  return g_strsplit ("127.0.0.1:1", ",", 0);
}

bool
__wrap_mt_cluster_can_confirm_outage (const struct mt_cluster *cluster, const char *address)
{
  return true;
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
  world.done = done;
  world.done_ctx = ctx;
}

static void
ignore_result (void *data, int status, struct mt_str body)
{
}

/* Relays a call; the other daemon's answer, that it does not reach the store, takes answer_ms. */
static void
relay_in_outage (int64_t answer_ms)
{
  struct mt_mesh_args none = { 0 };

  assert_true (world.relay (world.relay_ctx, "POST", "/kv-txn", MT_STR ("{}"), CALL_TIMEOUT_MS,
                            ignore_result, NULL));
  world.now += answer_ms;
  world.done (world.done_ctx, &none);
}

static struct mt_relay *
create_relay (void)
{
  world = (struct world){ .now = 60000 };
  return mt_relay_create (NULL, NULL, NULL);
}

static void
test_outage_is_believed_for_as_long_as_a_successor_awaits_leases (void **state)
{
  struct mt_relay *relay = create_relay ();

  assert_false (mt_relay_sees_outage (relay));
  relay_in_outage (5);
  assert_true (mt_relay_sees_outage (relay));
  world.now += MT_OUTAGE_EVIDENCE_MS - 6;
  assert_true (mt_relay_sees_outage (relay));
  world.now += 1;
  assert_false (mt_relay_sees_outage (relay));
  mt_relay_destroy (relay);
}

/* Guards against a former leader that renews leases beyond those that its successor awaits, because
 * it was frozen while an answer from during the outage was under way. */
static void
test_late_answer_does_not_prolong_the_outage (void **state)
{
  struct mt_relay *relay = create_relay ();

  relay_in_outage (MT_OUTAGE_EVIDENCE_MS - 100);
  assert_true (mt_relay_sees_outage (relay));
  world.now += 100;
  assert_false (mt_relay_sees_outage (relay));
  world.now += AVOIDED_MS;
  relay_in_outage (MT_OUTAGE_EVIDENCE_MS + 1600);
  assert_false (mt_relay_sees_outage (relay));
  mt_relay_destroy (relay);
}

/* Guards against a store call of another daemon that is begun by one that exits before the answer,
 * and against a refusal that says that the store is not reached. */
static void
test_stopping_daemon_refuses_calls_it_cannot_answer (void **state)
{
  struct mt_relay *relay = create_relay ();
  const struct mt_mesh_args args
      = { 4, { MT_STR ("POST"), MT_STR ("/kv-txn"), MT_STR ("{}"), MT_STR ("600") } };

  world.reaches_store = true;
  mt_relay_stop (relay, world.now + 1000);
  mt_relay_serve (relay, NULL, &args);
  assert_int_equal (world.served, 1);
  world.now += 500;
  mt_relay_serve (relay, NULL, &args);
  assert_int_equal (world.served, 1);
  assert_int_equal (world.reply.n, 2);
  assert_true (mt_str_equal (world.reply.at[0], MT_STR ("503")));
  mt_relay_destroy (relay);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outage_is_believed_for_as_long_as_a_successor_awaits_leases),
    cmocka_unit_test (test_late_answer_does_not_prolong_the_outage),
    cmocka_unit_test (test_stopping_daemon_refuses_calls_it_cannot_answer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
