#include "estimate_wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static const struct mt_wait_estimate estimate
    = { .wait_ms = 9, .retry_after_ms = 4100, .share = 620, .fair = 50 };

/* Guards against fields that are lost or swapped between caller and leader. */
static void
test_call_with_a_workspace (void **state)
{
  struct mt_estimate_call call;
  struct mt_estimate_query query;
  struct mt_estimate_reply reply;
  struct mt_wait_estimate out;

  mt_estimate_call_pack (&call, "pool", "route", 1234, "yard");
  assert_int_equal (call.args.n, 4);
  assert_true (mt_estimate_query_unpack (&call.args, &query));
  assert_string_equal (query.route, "route");
  assert_string_equal (query.workspace, "yard");
  assert_int_equal (query.chain_ms, 1234);
  mt_estimate_query_clear (&query);
  mt_estimate_reply_pack (&reply, &estimate, &call.args);
  mt_estimate_reply_unpack (&reply.args, &out);
  assert_int_equal (out.retry_after_ms, 4100);
  assert_int_equal (out.share, 620);
  assert_int_equal (out.fair, 50);
}

/* Guards against a leader that turns callers of the older form away, or that replies to them with
 * more than the one argument that they accept. */
static void
test_caller_of_the_older_form_is_answered_in_it (void **state)
{
  struct mt_mesh_args args
      = { 3, { mt_str_from ("pool"), mt_str_from ("route"), mt_str_from ("1234") } };
  struct mt_estimate_query query;
  struct mt_estimate_reply reply;

  assert_true (mt_estimate_query_unpack (&args, &query));
  assert_string_equal (query.workspace, "");
  assert_int_equal (query.chain_ms, 1234);
  mt_estimate_query_clear (&query);
  mt_estimate_reply_pack (&reply, &estimate, &args);
  assert_int_equal (reply.args.n, 1);
  assert_true (mt_str_equal (reply.args.at[0], mt_str_from ("4100")));
}

/* Guards against a caller without a workspace that a leader of the older form can't answer. */
static void
test_caller_without_a_workspace_uses_the_older_form (void **state)
{
  struct mt_estimate_call call;

  mt_estimate_call_pack (&call, "pool", "route", 1234, "");
  assert_int_equal (call.args.n, 3);
  assert_true (mt_str_equal (call.args.at[2], mt_str_from ("1234")));
}

/* Guards against a malformed message that refuses a job or is read beyond its end. */
static void
test_malformed_messages_give_no_estimate (void **state)
{
  struct mt_mesh_args args = { 2, { mt_str_from ("pool"), mt_str_from ("route") } };
  struct mt_mesh_args reply
      = { 3, { mt_str_from ("5"), mt_str_from ("-1"), mt_str_from ("99999999999") } };
  struct mt_estimate_query query;
  struct mt_wait_estimate out;

  assert_false (mt_estimate_query_unpack (&args, &query));
  args.n = 5;
  args.at[2] = mt_str_from ("1234");
  assert_false (mt_estimate_query_unpack (&args, &query));
  args.n = 4;
  args.at[2] = mt_str_from ("soon");
  assert_false (mt_estimate_query_unpack (&args, &query));
  args.at[2] = mt_str_from ("18446744073709551615");
  assert_false (mt_estimate_query_unpack (&args, &query));
  mt_estimate_reply_unpack (&reply, &out);
  assert_int_equal (out.retry_after_ms, 5);
  assert_int_equal (out.share + out.fair, 0);
  reply.at[0] = mt_str_from ("later");
  mt_estimate_reply_unpack (&reply, &out);
  assert_int_equal (out.retry_after_ms, 0);
  reply.n = 0;
  mt_estimate_reply_unpack (&reply, &out);
  assert_int_equal (out.retry_after_ms, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_call_with_a_workspace),
    cmocka_unit_test (test_caller_of_the_older_form_is_answered_in_it),
    cmocka_unit_test (test_caller_without_a_workspace_uses_the_older_form),
    cmocka_unit_test (test_malformed_messages_give_no_estimate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
