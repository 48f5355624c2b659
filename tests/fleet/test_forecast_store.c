#include "forecast_store.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define SURGE_CPU 640000
#define QUIET_CPU 6400
#define TICK_MS   150

/* A store with one key and the revision of the leadership. A call waits until it is answered. */
struct fake_kv
{
  char *text; /* NULL: no such key */
  int64_t leader_revision;
  bool away;
  unsigned reads;
  unsigned writes;
  mt_kv_done done;
  void *data;
  bool is_read;
  bool conflict;
};

static void
fake_get (void *ctx, const char *key, int64_t timeout_ms, mt_kv_done done, void *data)
{
  struct fake_kv *kv = ctx;

  assert_string_equal (key, "medlartrack/forecast");
  assert_null (kv->done);
  kv->reads++;
  kv->done = done;
  kv->data = data;
  kv->is_read = true;
}

static void
fake_txn (void *ctx, const struct mt_kv_txn *txn, int64_t timeout_ms, mt_kv_done done, void *data)
{
  struct fake_kv *kv = ctx;

  assert_null (kv->done);
  assert_int_equal (txn->n_expects, 1);
  assert_string_equal (txn->expects[0].key, "leader");
  assert_int_equal (txn->n_puts, 1);
  assert_string_equal (txn->puts[0].key, "medlartrack/forecast");
  assert_true (txn->puts[0].value.len <= 4096);
  kv->writes++;
  kv->done = done;
  kv->data = data;
  kv->is_read = false;
  kv->conflict = txn->expects[0].revision != kv->leader_revision;
  if (kv->away || kv->conflict)
    return;
  g_free (kv->text);
  kv->text = g_strndup (txn->puts[0].value.data, txn->puts[0].value.len);
}

static const struct mt_kv_ops fake_ops = { .name = "fake", .get = fake_get, .txn = fake_txn };

static void
fake_answer (struct fake_kv *kv)
{
  mt_kv_done done = kv->done;
  struct mt_kv_item item = { .key = "medlartrack/forecast" };
  struct mt_kv_reply reply = { .status = MT_KV_OK };

  if (done == NULL)
    return;
  kv->done = NULL;
  if (kv->away)
    reply.status = MT_KV_UNKNOWN;
  else if (kv->is_read && kv->text == NULL)
    reply.status = MT_KV_MISSING;
  else if (kv->is_read)
    {
      item.value = mt_str_from (kv->text);
      reply.items = &item;
      reply.n_items = 1;
    }
  else if (kv->conflict)
    reply.status = MT_KV_CONFLICT;
  done (kv->data, &reply);
}

/* A fleet's leader as far as the forecast goes. */
struct leader
{
  struct mt_forecast *forecast;
  struct mt_forecast_store *store;
  struct fake_kv *kv;
};

static struct leader
leader_create (struct fake_kv *kv, int64_t token)
{
  struct leader lead = { mt_forecast_create (mt_forecast_method ("onset")), NULL, kv };
  struct mt_forecast_store_options options = {
    .kv = { &fake_ops, kv }, .leader_key = "leader", .token = token, .forecast = lead.forecast
  };

  lead.store = mt_forecast_store_create (&options);
  return lead;
}

static void
leader_destroy (struct leader *lead)
{
  mt_forecast_store_destroy (lead->store);
  mt_forecast_destroy (lead->forecast);
}

/* Two pools surge in turn, each for 5 s of 20 s. wall: Unix time less the time of the clock. */
static void
leader_run (struct leader *lead, int64_t from, int64_t until, int64_t wall)
{
  for (int64_t now = from; now < until; now += TICK_MS)
    {
      int64_t phase = (now - 1000) % 20000;
      bool left = phase >= 4000 && phase < 9000;
      bool right = phase >= 12000 && phase < 17000;

      mt_forecast_observe (lead->forecast, "left", left ? SURGE_CPU : QUIET_CPU, now);
      mt_forecast_observe (lead->forecast, "right", right ? SURGE_CPU : QUIET_CPU, now);
      mt_forecast_store_tick (lead->store, now, wall + now);
      fake_answer (lead->kv);
    }
}

/* The left pool has just begun its third surge; knowing the first two, its height is known. */
static double
confidence_in_surge (struct leader *lead, int64_t wall)
{
  struct mt_forecast_value value;

  leader_run (lead, 41000, 46000, wall);
  mt_forecast_expect (lead->forecast, "left", 47000, 46000, &value);
  return value.surge ? value.confidence : 0;
}

static void
fake_clear (struct fake_kv *kv)
{
  g_free (kv->text);
}

/* Guards against a new leader that starts empty though its predecessor has saved. */
static void
test_leader_replaced_after_a_save_continues (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader first = leader_create (&kv, 1);
  struct leader second;

  leader_run (&first, 1000, 41000, 0);
  assert_true (kv.writes > 0);
  leader_destroy (&first);
  kv.leader_revision = 2;
  second = leader_create (&kv, 2);
  assert_true (confidence_in_surge (&second, 0) > 0.5);
  leader_destroy (&second);
  fake_clear (&kv);
}

/* Guards against a leader that needs the text of a predecessor that never saved one. */
static void
test_leader_replaced_before_a_save_starts_empty (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader first = leader_create (&kv, 1);
  struct leader second;

  leader_run (&first, 1000, 4000, 0);
  assert_int_equal (kv.writes, 0);
  leader_destroy (&first);
  kv.leader_revision = 2;
  second = leader_create (&kv, 2);
  assert_true (confidence_in_surge (&second, 0) == 0);
  leader_destroy (&second);
  fake_clear (&kv);
}

/* Guards against a predecessor that was paused and writes over what its successor has saved. */
static void
test_replaced_leader_saves_nothing (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader first = leader_create (&kv, 1);

  leader_run (&first, 1000, 2000, 0);
  kv.leader_revision = 2;
  kv.text = g_strdup ("successor's");
  leader_run (&first, 2000, 41000, 0);
  assert_true (kv.writes > 0);
  assert_string_equal (kv.text, "successor's");
  leader_destroy (&first);
  fake_clear (&kv);
}

/* Guards against a leader that stops learning or saving because of a damaged text. */
static void
test_unreadable_text_is_written_over (void **state)
{
  static const char *const texts[]
      = { "", "{", "7", "{\"saved_ms\":1}", "{\"saved_ms\":1,\"forecast\":{\"method\":3}}" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct fake_kv kv = { .leader_revision = 1, .text = g_strdup (texts[i]) };
      struct leader lead = leader_create (&kv, 1);

      leader_run (&lead, 1000, 41000, 0);
      assert_int_equal (kv.reads, 1);
      assert_non_null (strstr (kv.text, "\"left\""));
      assert_true (confidence_in_surge (&lead, 0) > 0.5);
      leader_destroy (&lead);
      fake_clear (&kv);
    }
}

/* Guards against a text of hours ago that is taken for the present load. */
static void
test_old_text_counts_for_nothing (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader first = leader_create (&kv, 1);
  struct leader second;

  leader_run (&first, 1000, 41000, 0);
  leader_destroy (&first);
  kv.leader_revision = 2;
  second = leader_create (&kv, 2);
  assert_true (confidence_in_surge (&second, 7200000) == 0);
  leader_destroy (&second);
  fake_clear (&kv);
}

/* Guards against a text that is lost because the store was away as it was to be saved, and against
 * more than one write in 5 s meanwhile. */
static void
test_save_is_repeated_after_an_outage (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader lead = leader_create (&kv, 1);

  leader_run (&lead, 1000, 2000, 0);
  kv.away = true;
  leader_run (&lead, 2000, 30000, 0);
  assert_null (kv.text);
  assert_true (kv.writes > 0 && kv.writes <= 6);
  kv.away = false;
  leader_run (&lead, 30000, 36000, 0);
  assert_non_null (kv.text);
  assert_non_null (strstr (kv.text, "\"left\""));
  leader_destroy (&lead);
  fake_clear (&kv);
}

/* Guards against a read that is given up because the store was away as the leader began. */
static void
test_read_is_repeated_after_an_outage (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader first = leader_create (&kv, 1);
  struct leader second;

  leader_run (&first, 1000, 41000, 0);
  leader_destroy (&first);
  kv.leader_revision = 2;
  kv.away = true;
  second = leader_create (&kv, 2);
  leader_run (&second, 41000, 43000, 0);
  assert_true (kv.reads > 1);
  kv.away = false;
  leader_run (&second, 43000, 44000, 0);
  assert_true (confidence_in_surge (&second, 0) > 0.5);
  leader_destroy (&second);
  fake_clear (&kv);
}

/* Guards against writes without a change, which would cost the store a write every 5 s for each
 * fleet, and against an answer that comes after the leader is gone. */
static void
test_quiet_fleet_saves_nothing (void **state)
{
  struct fake_kv kv = { .leader_revision = 1 };
  struct leader lead = leader_create (&kv, 1);

  for (int64_t now = 1000; now < 61000; now += TICK_MS)
    {
      mt_forecast_observe (lead.forecast, "left", QUIET_CPU, now);
      mt_forecast_store_tick (lead.store, now, now);
      fake_answer (&kv);
    }
  assert_int_equal (kv.writes, 0);
  leader_destroy (&lead);
  lead = leader_create (&kv, 1);
  mt_forecast_store_tick (lead.store, 1000, 1000);
  leader_destroy (&lead);
  fake_answer (&kv);
  fake_clear (&kv);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_leader_replaced_after_a_save_continues),
    cmocka_unit_test (test_leader_replaced_before_a_save_starts_empty),
    cmocka_unit_test (test_replaced_leader_saves_nothing),
    cmocka_unit_test (test_unreadable_text_is_written_over),
    cmocka_unit_test (test_old_text_counts_for_nothing),
    cmocka_unit_test (test_save_is_repeated_after_an_outage),
    cmocka_unit_test (test_read_is_repeated_after_an_outage),
    cmocka_unit_test (test_quiet_fleet_saves_nothing),
  };

  return cmocka_run_group_tests_name ("forecast_store", tests, NULL, NULL);
}
