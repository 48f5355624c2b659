#include "front.h"

#include "fake_store.h"
#include "scripted.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define N_MINIONS 2

struct fixture
{
  struct mt_view_holder *views;
  struct mt_pools *pools;
  struct mt_http_client *client;
  struct mt_http_exchanges *exchanges;
  struct mt_counters counters;
  struct fake_store *store;
  struct mt_breaker *breaker;
  struct mt_claims *claims;
  struct mt_front *front;
  struct scripted *minions[N_MINIONS];
  struct mt_arena *arena;
};

/* Minions get requests only if an assignment record names them. */
static void
add_assignments (struct fixture *f)
{
  struct mt_assign *empty = mt_assign_create ();
  struct mt_assign *records = mt_assign_next (empty, "first");

  mt_assign_add (records, "m0", "p", 0);
  mt_assign_add (records, "m1", "p", 0);
  mt_assign_destroy (empty);
  assert_true (mt_view_offer_assign (f->views, records));
}

static void
offer_tables (struct fixture *f, unsigned version, const char *once)
{
  g_autofree char *text = g_strdup_printf (
      "{\"version\":%u,\"id\":\"t\",\"routes\":["
      "{\"route\":\"safe\",\"method\":\"GET\",\"path\":\"/"
      "safe\",\"pool\":\"p\",\"repeat\":\"safe\"},"
      "{\"route\":\"%s\",\"method\":\"POST\",\"path\":\"/once\",\"pool\":\"p\","
      "\"repeat\":\"never\"}],"
      "\"pools\":[{\"pool\":\"p\",\"service\":\"s\",\"instances\":["
      "{\"name\":\"m0\",\"address\":\"%s\",\"zone\":\"west\",\"rack\":\"r0\"},"
      "{\"name\":\"m1\",\"address\":\"%s\",\"zone\":\"west\",\"rack\":\"r1\"}]}]}",
      version, once, scripted_address (f->minions[0]), scripted_address (f->minions[1]));
  g_autoptr (GError) error = NULL;
  struct mt_tables *tables = mt_tables_parse (mt_str_from (text), &error);

  if (tables == NULL)
    fail_msg ("%s", error->message);
  assert_true (mt_view_offer (f->views, tables));
}

static void
create_claims (struct fixture *f, const struct mt_clock *clock)
{
  struct mt_breaker_options breaker = {
    .clock = clock, .failure_threshold = 3, .min_pause_us = MT_SECOND, .max_pause_us = MT_SECOND
  };
  struct mt_claims_options claims = { .clock = clock };

  f->store = fake_store_create (clock);
  breaker.inner = fake_store_store (f->store);
  f->breaker = mt_breaker_create (&breaker);
  claims.breaker = f->breaker;
  f->claims = mt_claims_create (&claims);
}

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  const struct mt_clock *clock = mt_clock_system ();
  struct mt_front_options options = { .clock = clock, .answer_bytes = 1000 };

  for (int i = 0; i < N_MINIONS; i++)
    f->minions[i] = scripted_create ();
  f->views = mt_view_holder_create (clock);
  f->pools = mt_pools_create (clock, f->views, "west");
  mt_view_add_listener (f->views, mt_pools_refresh, f->pools);
  f->client = mt_http_client_create (clock);
  f->exchanges = mt_http_exchanges_create (f->client, clock, 8, 100 * 1000);
  f->arena = mt_arena_create (0);
  options.views = f->views;
  options.pools = f->pools;
  options.exchanges = f->exchanges;
  create_claims (f, clock);
  options.claims = f->claims;
  options.counters = &f->counters;
  f->front = mt_front_create (&options);
  offer_tables (f, 1, "once");
  add_assignments (f);
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_http_exchanges_destroy (f->exchanges);
  mt_front_destroy (f->front);
  mt_claims_destroy (f->claims);
  mt_breaker_destroy (f->breaker);
  fake_store_destroy (f->store);
  mt_pools_destroy (f->pools);
  mt_http_client_destroy (f->client);
  mt_view_holder_destroy (f->views);
  for (int i = 0; i < N_MINIONS; i++)
    scripted_destroy (f->minions[i]);
  mt_arena_destroy (f->arena);
  g_free (f);
  return 0;
}

static void
set_scripts (struct fixture *f, enum script script)
{
  for (int i = 0; i < N_MINIONS; i++)
    scripted_set_scripts (f->minions[i], &script, 1);
}

static unsigned
count_requests (struct fixture *f)
{
  return scripted_requests (f->minions[0]) + scripted_requests (f->minions[1]);
}

static struct mt_http_answer
send_request (struct fixture *f, const char *method, const char *path)
{
  static struct mt_http_header key[] = { { MT_STR ("Idempotency-Key"), MT_STR ("invoice-4711") } };
  struct mt_http_request request = { .arena = f->arena,
                                     .method = mt_str_from (method),
                                     .path = mt_str_from (path),
                                     .headers = key,
                                     .n_headers = 1,
                                     .fd = -1 };

  mt_front_handle (f->front, &request);
  return request.answer;
}

static void
assert_typed (struct mt_http_answer answer, int status, const char *outcome, bool has_retry_after)
{
  struct mt_str outcome_header
      = mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("Medlartrack-Outcome"));
  struct mt_str retry_after
      = mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("Retry-After"));
  json_t *body = json_loadb (answer.body.data, answer.body.len, 0, NULL);

  assert_int_equal (answer.status, status);
  assert_true (mt_str_equal (outcome_header, mt_str_from (outcome)));
  assert_string_equal (json_string_value (json_object_get (body, "outcome")), outcome);
  assert_non_null (json_object_get (body, "reason"));
  assert_true (has_retry_after == (retry_after.len > 0));
  json_decref (body);
}

static void
test_complete_response (void **state)
{
  struct fixture *f = *state;

  set_scripts (f, SCRIPT_COMPLETE);
  assert_int_equal (send_request (f, "GET", "/safe/1").status, 200);
  assert_int_equal (f->counters.values[MT_COUNTER_WHOLE], 1);
}

/* The minion ran the request, and its response carries the header that says the opposite. */
static void
test_minion_cannot_forge_not_run (void **state)
{
  struct fixture *f = *state;
  struct mt_http_answer answer;

  set_scripts (f, SCRIPT_SPOOFED);
  answer = send_request (f, "GET", "/safe/1");
  assert_int_equal (answer.status, 200);
  assert_non_null (mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("X-Good")).data);
  assert_null (
      mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("Medlartrack-Outcome")).data);
}

static void
test_no_route_is_not_run (void **state)
{
  assert_typed (send_request (*state, "GET", "/nowhere"), 404, "not-run", false);
}

/* Both minions read the request and close the connection. The route allows retries, so it is tried
 * on both; the third attempt goes to the first minion again. The outcome must be "unknown", however
 * the last attempt ends. */
static void
test_unknown_attempt_is_never_not_run (void **state)
{
  struct fixture *f = *state;

  set_scripts (f, SCRIPT_CLOSE);
  assert_typed (send_request (f, "GET", "/safe/1"), 504, "unknown", true);
  assert_in_range (count_requests (f), 3, 3);
}

/* The minions read each request and close the connection until the retry budget is spent: the next
 * retry is refused before it is sent. The outcome must not be "not run", since the attempt before
 * it may have run. */
static void
test_refused_retry_is_unknown (void **state)
{
  struct fixture *f = *state;

  set_scripts (f, SCRIPT_CLOSE);
  for (int i = 0; i < 40; i++)
    assert_typed (send_request (f, "GET", "/safe/1"), 504, "unknown", true);
  assert_true (count_requests (f) < 40 + 40);
  assert_int_equal (f->counters.values[MT_COUNTER_NOT_RUN], 0);
}

/* Both minions refuse the request. The caller must get "not run" and the time after which to retry.
 */
static void
test_minion_refusal_is_not_run (void **state)
{
  struct fixture *f = *state;

  set_scripts (f, SCRIPT_REFUSED);
  assert_typed (send_request (f, "GET", "/safe/1"), 503, "not-run", true);
  assert_true (f->counters.values[MT_COUNTER_MINION_REFUSALS] >= 1);
}

/* Each minion announces once that it leaves. Neither must be called again, and the caller is
 * answered at once. */
static void
test_leaving_minions_get_no_requests (void **state)
{
  struct fixture *f = *state;

  set_scripts (f, SCRIPT_LEAVING);
  assert_typed (send_request (f, "GET", "/safe/1"), 503, "not-run", true);
  assert_true (mt_pools_is_leaving (f->pools, "p", "m0"));
  assert_true (mt_pools_is_leaving (f->pools, "p", "m1"));
  set_scripts (f, SCRIPT_COMPLETE);
  assert_typed (send_request (f, "GET", "/safe/1"), 503, "not-run", true);
  assert_int_equal (count_requests (f), 2);
  mt_pools_rejoin (f->pools, "p", "m0");
  assert_int_equal (send_request (f, "GET", "/safe/1").status, 200);
}

/* The request's memory limit is so low that allocations fail, at another point for each limit. The
 * caller must still get a typed answer. */
static void
test_out_of_memory_answer_is_typed (void **state)
{
  struct fixture *f = *state;

  for (size_t limit = 1; limit < 2000; limit += 37)
    {
      struct mt_http_answer answer;

      mt_arena_destroy (f->arena);
      f->arena = mt_arena_create (limit);
      set_scripts (f, SCRIPT_COMPLETE);
      answer = send_request (f, "GET", "/safe/1");
      if (answer.status != 200)
        assert_non_null (
            mt_http_header_find (answer.headers, answer.n_headers, MT_STR ("Medlartrack-Outcome"))
                .data);
    }
}

/* The request runs and its response is lost on the way to the caller. Before the caller retries,
 * the route is renamed. The idempotency key must still identify the same request: it must not run a
 * second time. */
static void
test_renamed_route_does_not_run_again (void **state)
{
  struct fixture *f = *state;

  set_scripts (f, SCRIPT_COMPLETE);
  assert_int_equal (send_request (f, "POST", "/once").status, 200);
  offer_tables (f, 2, "renamed");
  assert_int_equal (send_request (f, "POST", "/once?again=1").status, 409);
  assert_int_equal (count_requests (f), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_complete_response, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_minion_cannot_forge_not_run, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_no_route_is_not_run, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_unknown_attempt_is_never_not_run, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refused_retry_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_minion_refusal_is_not_run, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_leaving_minions_get_no_requests, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_out_of_memory_answer_is_typed, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_renamed_route_does_not_run_again, set_up, tear_down),
  };

  return cmocka_run_group_tests_name ("front", tests, NULL, NULL);
}
