#include "mesh.h"
#include "peer.h"

#include <event2/event.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

struct fixture
{
  struct event_base *base;
  struct mt_mesh *caller;
  struct mt_mesh *server;
  bool answered;
  bool undelivered;
};

/* Never replies: the call is left to its time-out. */
static void
keep_call (void *ctx,
           struct mt_mesh_call *call,
           enum mt_mesh_method method,
           const struct mt_mesh_args *args)
{
  *(struct mt_mesh_call **) ctx = call;
}

static void
on_done (void *ctx, const struct mt_mesh_args *args)
{
  struct fixture *f = ctx;

  assert_null (args);
  f->undelivered = mt_mesh_call_undelivered (f->caller);
  f->answered = true;
}

static void
send_and_wait (struct fixture *f, const char *address)
{
  struct mt_mesh_args args = { 1, { MT_STR ("x") } };

  f->answered = false;
  mt_mesh_send (f->caller, address, MT_MESH_STORE, &args, 300, on_done, f);
  while (!f->answered)
    event_base_loop (f->base, EVLOOP_ONCE);
}

/* Guards against "outcome unknown" for a store call that was to be forwarded and never left this
 * daemon, and against "nothing was done" for one that the other daemon has. */
static void
test_call_is_undelivered_only_without_a_connection (void **state)
{
  struct fixture f = { .base = event_base_new () };
  struct mt_mesh_call *call = NULL;
  g_autofree char *address = NULL;

  f.caller = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "a", keep_call, &call, NULL);
  f.server = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "b", keep_call, &call, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", mt_mesh_port (f.server));
  send_and_wait (&f, address);
  assert_non_null (call);
  assert_false (f.undelivered);
  mt_mesh_reply (call, NULL);
  /* No process listens there. */
  send_and_wait (&f, "127.0.0.1:1");
  assert_true (f.undelivered);
  mt_mesh_destroy (f.caller);
  mt_mesh_destroy (f.server);
  event_base_free (f.base);
}

/* Guards against callbacks that run at the mesh's destruction, when the store's client that they
 * use is gone. */
static void
test_cancelled_calls_complete_before_destruction (void **state)
{
  struct fixture f = { .base = event_base_new () };
  struct mt_mesh_call *call = NULL;
  struct mt_mesh_args args = { 1, { MT_STR ("x") } };

  f.caller = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "a", keep_call, &call, NULL);
  mt_mesh_send (f.caller, "127.0.0.1:1", MT_MESH_STORE, &args, 30000, on_done, &f);
  mt_mesh_cancel_calls (f.caller);
  assert_true (f.answered);
  f.answered = false;
  mt_mesh_destroy (f.caller);
  assert_false (f.answered);
  event_base_free (f.base);
}

struct exchange
{
  struct mt_mesh_call *calls[3]; /* as received */
  unsigned received;
  unsigned failed;
  bool answered;
};

static void
collect_call (void *ctx,
              struct mt_mesh_call *call,
              enum mt_mesh_method method,
              const struct mt_mesh_args *args)
{
  struct exchange *e = ctx;

  e->calls[e->received++] = call;
}

static void
on_first_calls_done (void *ctx, const struct mt_mesh_args *args)
{
  assert_null (args);
  ((struct exchange *) ctx)->failed++;
}

static void
on_last_call_done (void *ctx, const struct mt_mesh_args *args)
{
  assert_non_null (args);
  ((struct exchange *) ctx)->answered = true;
}

/* Guards against a call whose answer is lost because an older call, sent on an earlier connection
 * that was given up, times out and takes the new connection with it. */
static void
test_time_out_closes_no_newer_connection (void **state)
{
  struct event_base *base = event_base_new ();
  struct exchange e = { .received = 0 };
  struct mt_mesh *caller = mt_mesh_create (base, NULL, "127.0.0.1:0", "a", collect_call, &e, NULL);
  struct mt_mesh *server = mt_mesh_create (base, NULL, "127.0.0.1:0", "b", collect_call, &e, NULL);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", mt_mesh_port (server));
  struct mt_mesh_args args = { 1, { MT_STR ("x") } };

  mt_mesh_send (caller, address, MT_MESH_STORE, &args, 50, on_first_calls_done, &e);
  mt_mesh_send (caller, address, MT_MESH_STORE, &args, 500, on_first_calls_done, &e);
  while (e.received < 2 || e.failed < 1)
    event_base_loop (base, EVLOOP_ONCE);
  mt_mesh_send (caller, address, MT_MESH_STORE, &args, 30000, on_last_call_done, &e);
  while (e.received < 3 || e.failed < 2)
    event_base_loop (base, EVLOOP_ONCE);
  for (unsigned i = 0; i < G_N_ELEMENTS (e.calls); i++)
    mt_mesh_reply (e.calls[i], &args);
  while (!e.answered)
    event_base_loop (base, EVLOOP_ONCE);
  mt_mesh_destroy (caller);
  mt_mesh_destroy (server);
  event_base_free (base);
}

/* Guards against calls that wait for their time-outs, of over a second, after the connection on
 * which their answers would come has been closed. */
static void
test_calls_end_with_their_connection (void **state)
{
  struct event_base *base = event_base_new ();
  struct exchange e = { .received = 0 };
  struct mt_mesh *caller = mt_mesh_create (base, NULL, "127.0.0.1:0", "a", collect_call, &e, NULL);
  struct mt_mesh *server = mt_mesh_create (base, NULL, "127.0.0.1:0", "b", collect_call, &e, NULL);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", mt_mesh_port (server));
  struct mt_mesh_args args = { 1, { MT_STR ("x") } };

  mt_mesh_send (caller, address, MT_MESH_STORE, &args, 50, on_first_calls_done, &e);
  mt_mesh_send (caller, address, MT_MESH_STORE, &args, 3600 * 1000, on_first_calls_done, &e);
  while (e.received < 2 || e.failed < 2)
    event_base_loop (base, EVLOOP_ONCE);
  for (unsigned i = 0; i < 2; i++)
    mt_mesh_reply (e.calls[i], NULL);
  mt_mesh_destroy (caller);
  mt_mesh_destroy (server);
  event_base_free (base);
}

/* Replies to all but store calls, which are left to their time-outs. */
static void
reply_to_others (void *ctx,
                 struct mt_mesh_call *call,
                 enum mt_mesh_method method,
                 const struct mt_mesh_args *args)
{
  if (method == MT_MESH_STORE)
    g_ptr_array_add (ctx, call);
  else
    mt_mesh_reply (call, args);
}

static void
count_done (void *ctx, const struct mt_mesh_args *args)
{
  ++*(unsigned *) ctx;
}

/* Guards against a slow reply, or a long one, that ends all other calls to the same daemon. */
static void
test_time_out_spares_a_connection_with_replies (void **state)
{
  struct fixture f = { .base = event_base_new () };
  struct mt_mesh_args args = { 1, { MT_STR ("x") } };
  g_autoptr (GPtrArray) held = g_ptr_array_new ();
  g_autofree char *address = NULL;
  unsigned long_ended = 0;
  unsigned short_ended = 0;
  unsigned replies = 0;

  f.caller = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "a", reply_to_others, held, NULL);
  f.server = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "b", reply_to_others, held, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", mt_mesh_port (f.server));
  mt_mesh_send (f.caller, address, MT_MESH_STORE, &args, 60000, count_done, &long_ended);
  mt_mesh_send (f.caller, address, MT_MESH_STORE, &args, 100, count_done, &short_ended);
  for (unsigned sent = 0; short_ended == 0;)
    {
      if (replies == sent)
        {
          mt_mesh_send (f.caller, address, MT_MESH_PENDING, &args, 60000, count_done, &replies);
          sent++;
        }
      event_base_loop (f.base, EVLOOP_ONCE);
    }
  for (unsigned before = replies; replies < before + 2;)
    {
      mt_mesh_send (f.caller, address, MT_MESH_PENDING, &args, 60000, count_done, &replies);
      event_base_loop (f.base, EVLOOP_ONCE);
    }
  assert_int_equal (long_ended, 0);
  for (guint i = 0; i < held->len; i++)
    mt_mesh_reply (held->pdata[i], NULL);
  mt_mesh_destroy (f.caller);
  mt_mesh_destroy (f.server);
  event_base_free (f.base);
}

static void
reply_too_long (void *ctx,
                struct mt_mesh_call *call,
                enum mt_mesh_method method,
                const struct mt_mesh_args *args)
{
  g_autofree char *text = g_strnfill (MT_PEER_MAX_FRAME_BYTES, 'x');
  struct mt_mesh_args reply = { 1, { { text, MT_PEER_MAX_FRAME_BYTES } } };

  mt_mesh_reply (call, &reply);
}

static void
on_empty_reply (void *ctx, const struct mt_mesh_args *args)
{
  struct fixture *f = ctx;

  assert_non_null (args);
  assert_int_equal (args->n, 0);
  f->answered = true;
}

/* Guards against a reply that is dropped because of its size: the caller would wait for its
 * time-out and close the connection with all other calls on it. */
static void
test_reply_beyond_a_frame_is_sent_empty (void **state)
{
  struct fixture f = { .base = event_base_new () };
  struct mt_mesh_args args = { 1, { MT_STR ("x") } };
  g_autofree char *address = NULL;

  f.caller = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "a", reply_too_long, NULL, NULL);
  f.server = mt_mesh_create (f.base, NULL, "127.0.0.1:0", "b", reply_too_long, NULL, NULL);
  address = g_strdup_printf ("127.0.0.1:%u", mt_mesh_port (f.server));
  mt_mesh_send (f.caller, address, MT_MESH_STORE, &args, 30000, on_empty_reply, &f);
  while (!f.answered)
    event_base_loop (f.base, EVLOOP_ONCE);
  mt_mesh_destroy (f.caller);
  mt_mesh_destroy (f.server);
  event_base_free (f.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_call_is_undelivered_only_without_a_connection),
    cmocka_unit_test (test_time_out_closes_no_newer_connection),
    cmocka_unit_test (test_calls_end_with_their_connection),
    cmocka_unit_test (test_time_out_spares_a_connection_with_replies),
    cmocka_unit_test (test_reply_beyond_a_frame_is_sent_empty),
    cmocka_unit_test (test_cancelled_calls_complete_before_destruction),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
