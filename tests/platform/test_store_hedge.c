/* The adapter's store calls with hedging, against the stand-in store in the same process. No test
 * depends on how long a call takes: time-outs are far longer than any hedge delay. */
#include "fleet_store.h"
#include "internal.h"

#include <event2/event.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LONG_TIMEOUT_MS 30000
#define CYCLE_TXNS      4
#define NO_STORE        "127.0.0.1:1"

struct fixture
{
  struct event_base *base;
  struct fleet_store *store;
  struct mt_http_front *front;
  struct mt_calls *calls;
  struct mt_adapter *adapter;
  struct mt_kv kv;
  unsigned relayed;
  int relay_status;
  unsigned stored; /* progress keys whose value is known to be stored */
  unsigned replies;
  enum mt_kv_status status;
  char *item_value;
};

static void
on_call (void *ctx, struct mt_exchange *exchange)
{
  fleet_store_handle (((struct fixture *) ctx)->store, exchange);
}

static bool
relay (void *ctx,
       const char *method,
       const char *path,
       struct mt_str body,
       int64_t timeout_ms,
       mt_adapter_call_done done,
       void *data)
{
  struct fixture *f = ctx;

  f->relayed++;
  done (data, f->relay_status, (struct mt_str){ "{}", 2 });
  return true;
}

static struct fixture *
create_fixture (bool hedge)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 64,
                                           .idle_timeout_s = 60,
                                           .max_body_bytes = 65536,
                                           .handle = on_call,
                                           .ctx = f };
  struct mt_adapter_settings settings = { .daemon = "d", .hedge = hedge };
  g_autofree char *address = NULL;

  signal (SIGPIPE, SIG_IGN);
  f->base = event_base_new ();
  f->store = fleet_store_create (f->base);
  f->front = mt_http_front_create (f->base, &options, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", mt_http_front_port (f->front));
  settings.store = address;
  f->calls = mt_calls_create (f->base, NULL);
  f->adapter = mt_adapter_create (f->calls, &settings);
  f->kv = mt_adapter_kv (f->adapter);
  return f;
}

static void
destroy_fixture (struct fixture *f)
{
  mt_calls_destroy (f->calls);
  mt_adapter_destroy (f->adapter);
  mt_http_front_destroy (f->front);
  fleet_store_destroy (f->store);
  event_base_free (f->base);
  g_free (f->item_value);
  g_free (f);
}

static void
wait_for_replies (struct fixture *f, unsigned n)
{
  while (f->replies < n)
    event_base_loop (f->base, EVLOOP_ONCE);
}

/* Runs the loop until the store has received n calls, or fails once all n_sent calls have ended. */
static void
wait_for_calls (struct fixture *f, unsigned n, unsigned n_sent)
{
  while (fleet_store_calls (f->store) < n && f->replies < n_sent)
    event_base_loop (f->base, EVLOOP_ONCE);
  assert_true (fleet_store_calls (f->store) >= n);
}

static void
on_reply (void *data, const struct mt_kv_reply *reply)
{
  struct fixture *f = data;

  f->replies++;
  f->status = reply->status;
  g_clear_pointer (&f->item_value, g_free);
  if (reply->n_items > 0 && reply->items[0].value.data != NULL)
    f->item_value = g_strndup (reply->items[0].value.data, reply->items[0].value.len);
}

static void
put (struct fixture *f, const char *key, int64_t revision, const char *value, int64_t timeout_ms)
{
  struct mt_kv_expect expect = { key, revision };
  struct mt_kv_put put = { .key = key, .value = mt_str_from (value) };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  mt_kv_write (&f->kv, &txn, timeout_ms, on_reply, f);
}

/* ---- the pool's write cycle ---- */

static void
on_cycle_reply (void *data, const struct mt_kv_reply *reply)
{
  struct fixture *f = data;

  f->replies++;
  if (reply->status == MT_KV_OK)
    f->stored++;
  else if (reply->status == MT_KV_CONFLICT)
    for (size_t i = 0; i < reply->n_items; i++)
      f->stored += g_str_has_prefix (reply->items[i].key, "progress/")
                   && mt_str_equal (reply->items[i].value, MT_STR ("placed"));
}

static void
send_cycle_txn (struct fixture *f, unsigned i)
{
  g_autofree char *key = g_strdup_printf ("progress/%u", i);
  struct mt_kv_expect expects[]
      = { { "leader", fleet_store_revision (f->store, "leader") }, { key, 0 } };
  struct mt_kv_put put = { .key = key, .value = MT_STR ("placed") };
  struct mt_kv_txn txn = { expects, 2, &put, 1, NULL, 0 };

  mt_kv_write (&f->kv, &txn, LONG_TIMEOUT_MS, on_cycle_reply, f);
}

/* Guards against a pool that starts nothing until a time-out because one transaction of its write
 * cycle got no answer while the store answers all others. */
static void
test_cycle_completes_although_one_answer_is_lost (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_NONE, FLEET_FAULT_LOSE_ANSWER };
  struct fixture *f = create_fixture (true);

  fleet_store_put (f->store, "leader", "me");
  fleet_store_fault_next (f->store, faults, G_N_ELEMENTS (faults));
  for (unsigned i = 0; i < CYCLE_TXNS; i++)
    send_cycle_txn (f, i);
  wait_for_replies (f, CYCLE_TXNS);
  assert_int_equal (f->stored, CYCLE_TXNS);
  assert_int_equal (mt_adapter_hedge_counts (f->adapter).sent, 1);
  assert_int_equal (mt_adapter_hedge_counts (f->adapter).answered_first, 1);
  destroy_fixture (f);
}

/* ---- copies ---- */

/* Guards against a write applied twice, or reported wrongly, when its first copy is carried out
 * after the second. */
static void
test_copy_carried_out_late_conflicts (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LATE };
  struct fixture *f = create_fixture (true);

  fleet_store_fault_next (f->store, faults, 1);
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_OK);
  fleet_store_release_late (f->store);
  assert_int_equal (fleet_store_count_puts (f->store, "mine"), 1);
  assert_int_equal (f->replies, 1);
  destroy_fixture (f);
}

/* Guards against a conflict that a write's own first copy caused and that hides what is stored: the
 * caller has to see its value. */
static void
test_conflict_with_own_copy_shows_own_value (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_ANSWER };
  struct fixture *f = create_fixture (true);

  fleet_store_fault_next (f->store, faults, 1);
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_CONFLICT);
  assert_string_equal (f->item_value, "mine");
  assert_int_equal (fleet_store_count_puts (f->store, "mine"), 1);
  destroy_fixture (f);
}

/* Guards against a lost request that is reported as unknown although a second copy was stored. */
static void
test_lost_request_is_stored_by_second_copy (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_REQUEST };
  struct fixture *f = create_fixture (true);

  fleet_store_fault_next (f->store, faults, 1);
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_OK);
  destroy_fixture (f);
}

/* Guards against "nothing was done" for a write of which one copy is refused and the other is
 * carried out, unanswered. */
static void
test_refusal_of_second_copy_leaves_outcome_unknown (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_ANSWER, FLEET_FAULT_BUSY };
  struct fixture *f = create_fixture (true);

  fleet_store_fault_next (f->store, faults, 2);
  put (f, "k", 0, "mine", 1000);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_UNKNOWN);
  assert_int_equal (fleet_store_calls (f->store), 2);
  destroy_fixture (f);
}

/* Guards against a read that waits for a time-out although the store answers other calls. */
static void
test_read_is_hedged (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_REQUEST };
  struct fixture *f = create_fixture (true);

  fleet_store_put (f->store, "k", "v");
  fleet_store_fault_next (f->store, faults, 1);
  mt_kv_read (&f->kv, "k", LONG_TIMEOUT_MS, on_reply, f);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_OK);
  assert_string_equal (f->item_value, "v");
  destroy_fixture (f);
}

/* Guards against a second copy of a transaction whose only precondition is a leadership: a late
 * copy would remove or overwrite what was written since. */
static void
test_fenced_write_is_not_hedged (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_ANSWER };
  struct fixture *f = create_fixture (true);
  struct mt_kv_expect expect = { "leader", 0 };
  struct mt_kv_put wave = { .key = "wave", .value = MT_STR ("1 of 2") };
  const char *remove = "job/1";
  struct mt_kv_txn put_txn = { &expect, 1, &wave, 1, NULL, 0 };
  struct mt_kv_txn remove_txn = { &expect, 1, NULL, 0, &remove, 1 };
  struct mt_kv_txn blind_txn = { NULL, 0, &wave, 1, NULL, 0 };

  fleet_store_put (f->store, "leader", "me");
  expect.revision = fleet_store_revision (f->store, "leader");
  assert_false (mt_kv_txn_excludes_repeat (&remove_txn));
  assert_false (mt_kv_txn_excludes_repeat (&blind_txn));
  fleet_store_fault_next (f->store, faults, 1);
  mt_kv_write (&f->kv, &put_txn, 1000, on_reply, f);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_UNKNOWN);
  assert_int_equal (fleet_store_calls (f->store), 1);
  destroy_fixture (f);
}

/* Guards against a change of behaviour without the setting. */
static void
test_nothing_is_hedged_without_the_setting (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_ANSWER };
  struct fixture *f = create_fixture (false);

  fleet_store_fault_next (f->store, faults, 1);
  put (f, "k", 0, "mine", 1000);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_UNKNOWN);
  assert_int_equal (fleet_store_calls (f->store), 1);
  destroy_fixture (f);
}

/* ---- through another daemon ---- */

/* Guards against a hedged call that fails because the daemon chosen for the second copy does not
 * reach the store. */
static void
test_second_copy_goes_directly_if_not_relayed (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_REQUEST };
  struct fixture *f = create_fixture (true);

  f->relay_status = 503;
  mt_adapter_set_relay (f->adapter, relay, f);
  fleet_store_fault_next (f->store, faults, 1);
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_replies (f, 1);
  assert_int_equal (f->relayed, 1);
  assert_int_equal (f->status, MT_KV_OK);
  destroy_fixture (f);
}

/* Guards against a second copy on the path on which the first one is stuck. */
static void
test_second_copy_goes_through_another_daemon (void **state)
{
  static const enum fleet_fault faults[] = { FLEET_FAULT_LOSE_REQUEST };
  struct fixture *f = create_fixture (true);

  f->relay_status = 200;
  mt_adapter_set_relay (f->adapter, relay, f);
  fleet_store_fault_next (f->store, faults, 1);
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_replies (f, 1);
  assert_int_equal (f->relayed, 1);
  assert_int_equal (f->status, MT_KV_OK);
  assert_int_equal (fleet_store_calls (f->store), 1);
  destroy_fixture (f);
}

/* ---- outcome of calls that were not sent ---- */

/* Guards against "outcome unknown" for a write that never reached a server. */
static void
test_write_without_connection_is_refused (void **state)
{
  struct fixture *f = create_fixture (true);
  struct mt_adapter_settings settings = { .daemon = "d", .store = NO_STORE };

  mt_adapter_set_addresses (f->adapter, &settings);
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_replies (f, 1);
  assert_int_equal (f->status, MT_KV_REFUSED);
  destroy_fixture (f);
}

/* ---- unresponsive connections ---- */

/* Guards against calls that queue behind connections whose answers are lost. */
static void
test_calls_do_not_wait_for_unresponsive_connections (void **state)
{
  static const enum fleet_fault faults[]
      = { FLEET_FAULT_LATE, FLEET_FAULT_LATE, FLEET_FAULT_LATE, FLEET_FAULT_LATE };
  struct fixture *f = create_fixture (true);
  struct mt_kv_put blind = { .key = "blind", .value = MT_STR ("x") };
  struct mt_kv_txn txn = { NULL, 0, &blind, 1, NULL, 0 };
  unsigned sent = 0;

  for (; sent < 30; sent++)
    {
      mt_kv_read (&f->kv, "k", LONG_TIMEOUT_MS, on_reply, f);
      wait_for_replies (f, sent + 1);
    }
  fleet_store_fault_next (f->store, faults, G_N_ELEMENTS (faults));
  /* Without preconditions they are not hedged: they fill the connections until the time-out. */
  for (unsigned i = 0; i < G_N_ELEMENTS (faults); i++, sent++)
    mt_kv_write (&f->kv, &txn, LONG_TIMEOUT_MS, on_reply, f);
  wait_for_calls (f, sent, sent);
  /* The queued first copy is sent once the answer to the second one, which has connections of its
   * own, has shown that the four are unresponsive. */
  put (f, "k", 0, "mine", LONG_TIMEOUT_MS);
  wait_for_calls (f, sent + 2, sent + 1);
  assert_int_equal (f->replies, sent + 1 - G_N_ELEMENTS (faults));
  assert_int_equal (fleet_store_count_puts (f->store, "mine"), 1);
  destroy_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cycle_completes_although_one_answer_is_lost),
    cmocka_unit_test (test_copy_carried_out_late_conflicts),
    cmocka_unit_test (test_conflict_with_own_copy_shows_own_value),
    cmocka_unit_test (test_lost_request_is_stored_by_second_copy),
    cmocka_unit_test (test_refusal_of_second_copy_leaves_outcome_unknown),
    cmocka_unit_test (test_read_is_hedged),
    cmocka_unit_test (test_fenced_write_is_not_hedged),
    cmocka_unit_test (test_nothing_is_hedged_without_the_setting),
    cmocka_unit_test (test_second_copy_goes_directly_if_not_relayed),
    cmocka_unit_test (test_second_copy_goes_through_another_daemon),
    cmocka_unit_test (test_write_without_connection_is_refused),
    cmocka_unit_test (test_calls_do_not_wait_for_unresponsive_connections),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
