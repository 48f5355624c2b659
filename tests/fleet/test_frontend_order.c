/* The order in which callers see the versions of the configuration, at one front end: the clock,
 * the callers' requests and the check of the configuration are replaced here (-Wl,--wrap). Version
 * n has one route, /rn/. */
#include "frontend_internal.h"
#include "journal.h"
#include "metrics.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define MAX_CALLS 400U
#define SEEDS     2000U
#define STEPS     120U
/* bounds.rollback_ms: a call that is sent so long after another one is answered by the same version
 * or a newer one. */
#define ROLLBACK_MS 250
/* The front end serves a path that it knows, and refuses the method. */
#define SERVED 405U

struct call
{
  char path[24];
  int64_t arrived_at;
  unsigned status; /* 0: not answered */
  int64_t answered_at;
  int64_t version; /* in force at the answer */
};

struct check
{
  mt_config_checked done;
  void *data;
};

struct world
{
  struct mt_frontend *frontend;
  struct mt_journal *journal;
  struct mt_metrics *metrics;
  struct mt_fleet_config config;
  int64_t now;
  int64_t config_age_ms;
  bool store_answers;
  GQueue checks; /* of struct check, in progress */
  struct call calls[MAX_CALLS];
  unsigned n_calls;
};

/* The replaced functions have no context. */
static struct world *current;

int64_t __wrap_mt_loop_now (void);
const char *__wrap_mt_exchange_header (const struct mt_exchange *exchange, const char *name);
const char *__wrap_mt_exchange_method (const struct mt_exchange *exchange);
const char *__wrap_mt_exchange_path (const struct mt_exchange *exchange);
void __wrap_mt_exchange_answer (struct mt_exchange *exchange,
                                unsigned status,
                                const char *content_type,
                                struct mt_str body,
                                unsigned retry_after_s);
void
__wrap_mt_config_check_request (struct mt_config_check *check, mt_config_checked done, void *data);

int64_t
__wrap_mt_loop_now (void)
{
  return current->now;
}

const char *
__wrap_mt_exchange_header (const struct mt_exchange *exchange, const char *name)
{
  return NULL;
}

const char *
__wrap_mt_exchange_method (const struct mt_exchange *exchange)
{
  return "PUT";
}

const char *
__wrap_mt_exchange_path (const struct mt_exchange *exchange)
{
  return ((const struct call *) (const void *) exchange)->path;
}

void
__wrap_mt_exchange_answer (struct mt_exchange *exchange,
                           unsigned status,
                           const char *content_type,
                           struct mt_str body,
                           unsigned retry_after_s)
{
  struct call *call = (void *) exchange;

  assert_int_equal (call->status, 0);
  call->status = status;
  call->answered_at = current->now;
  call->version = current->config.version;
}

void
__wrap_mt_config_check_request (struct mt_config_check *check, mt_config_checked done, void *data)
{
  struct check *c = g_new0 (struct check, 1);

  *c = (struct check){ done, data };
  g_queue_push_tail (&current->checks, c);
}

static bool
store_answers (void *ctx)
{
  return ((const struct world *) ctx)->store_answers;
}

static int64_t
config_age_ms (void *ctx)
{
  return ((const struct world *) ctx)->config_age_ms;
}

static void
put_in_force (struct world *w, int64_t version)
{
  struct mt_fleet_route route = { .name = g_strdup ("route"),
                                  .prefix = g_strdup_printf ("/r%" G_GINT64_FORMAT "/", version),
                                  .pool = g_strdup ("pool") };

  mt_route_table_destroy (w->config.routes);
  w->config = (struct mt_fleet_config){ .version = version, .routes = mt_route_table_create () };
  mt_route_table_set (w->config.routes, &route);
  mt_frontend_set_config (w->frontend, &w->config);
}

static struct world *
create_world (void)
{
  static const struct mt_codec_ops ops = { .name = "test" };
  static const struct mt_codec codec = { .ops = &ops, .key_header = "X-Key" };
  struct world *w = g_new0 (struct world, 1);
  struct mt_frontend_options options = { .codec = &codec,
                                         .store_answers = store_answers,
                                         .config_age_ms = config_age_ms,
                                         .config_apply_ms = 2000,
                                         .config_rollback_ms = ROLLBACK_MS,
                                         .ctx = w };

  current = w;
  w->now = 1000000;
  w->store_answers = true;
  w->journal = mt_journal_create (open ("/dev/null", O_WRONLY), "d1");
  w->metrics = mt_metrics_create ();
  options.journal = w->journal;
  options.metrics = w->metrics;
  w->frontend = mt_frontend_create (NULL, &options);
  g_queue_init (&w->checks);
  put_in_force (w, 1);
  return w;
}

/* Ends the check that all waiting calls share. */
static void
end_check (struct world *w, bool confirmed)
{
  GQueue ended = w->checks;
  struct check *c;

  g_queue_init (&w->checks);
  while ((c = g_queue_pop_head (&ended)) != NULL)
    {
      c->done (c->data, confirmed);
      g_free (c);
    }
}

static void
destroy_world (struct world *w)
{
  end_check (w, false);
  assert_int_equal (mt_frontend_in_flight (w->frontend), 0);
  for (unsigned i = 0; i < w->n_calls; i++)
    assert_true (w->calls[i].status != 0);
  mt_frontend_destroy (w->frontend);
  mt_route_table_destroy (w->config.routes);
  mt_journal_destroy (w->journal);
  mt_metrics_destroy (w->metrics);
  g_free (w);
}

/* Sends a call for the route that only this version has. */
static struct call *
send_call (struct world *w, int64_t version)
{
  struct call *call = &w->calls[w->n_calls++];

  assert_true (w->n_calls <= MAX_CALLS);
  call->arrived_at = w->now;
  g_snprintf (call->path, sizeof call->path, "/r%" G_GINT64_FORMAT "/", version);
  mt_frontend_handle (w->frontend, (void *) call);
  return call;
}

/* Guards against a call on a route that a newer version drops, served by the older one while an
 * earlier call waits for that newer version and then shows it. */
static void
test_call_does_not_overtake_one_that_waits_for_a_newer_version (void **state)
{
  struct world *w = create_world ();
  struct call *added = send_call (w, 2);
  struct call *dropped;

  w->now += ROLLBACK_MS;
  dropped = send_call (w, 1);
  w->now += 20;
  put_in_force (w, 2);
  end_check (w, true);
  assert_int_equal (added->status, SERVED);
  assert_int_equal (dropped->status, 404);
  destroy_world (w);
}

/* Guards against calls that are held up for no reason: a check that takes as long as usual, a call
 * that came first, and a check that has ended. */
static void
test_calls_beside_a_quick_check_are_served_at_once (void **state)
{
  struct world *w = create_world ();

  assert_int_equal (send_call (w, 1)->status, SERVED);
  assert_int_equal (send_call (w, 2)->status, 0);
  w->now += 50;
  assert_int_equal (send_call (w, 1)->status, SERVED);
  end_check (w, true);
  w->now += ROLLBACK_MS;
  assert_int_equal (send_call (w, 1)->status, SERVED);
  destroy_world (w);
}

/* Guards against calls on known routes that are refused or lost because a check beside them got no
 * answer. */
static void
test_calls_held_by_a_failed_check_are_served (void **state)
{
  struct world *w = create_world ();
  struct call *added = send_call (w, 2);
  struct call *known;

  w->now += ROLLBACK_MS;
  known = send_call (w, 1);
  w->store_answers = false;
  w->now += ROLLBACK_MS;
  end_check (w, false);
  assert_int_equal (added->status, 503);
  assert_int_equal (known->status, SERVED);
  destroy_world (w);
}

/* ---- random orders of versions, calls and checks ---- */

static void
take_step (struct world *w, GRand *rand)
{
  int64_t version = w->config.version;
  int what = g_rand_int_range (rand, 0, 100);

  w->now
      += g_rand_boolean (rand) ? g_rand_int_range (rand, 0, 20) : g_rand_int_range (rand, 0, 400);
  if (what < 60)
    send_call (w, MAX (version + g_rand_int_range (rand, -1, 3), 1));
  else if (what < 70)
    put_in_force (w, version + g_rand_int_range (rand, 1, 3));
  else if (what < 90)
    end_check (w, g_rand_int_range (rand, 0, 4) > 0);
  else if (what < 95)
    w->config_age_ms = g_rand_int_range (rand, 0, 2500);
  else
    w->store_answers = !w->store_answers;
}

/* A refusal that is not final shows no version. */
static void
check_order (const struct world *w, unsigned seed)
{
  for (unsigned i = 0; i < w->n_calls; i++)
    for (unsigned k = 0; k < w->n_calls; k++)
      {
        const struct call *first = &w->calls[i];
        const struct call *later = &w->calls[k];

        if (first->status == 503 || later->status == 503
            || later->arrived_at <= first->arrived_at + ROLLBACK_MS)
          continue;
        if (later->version < first->version)
          fail_msg ("seed %u: a call of %" G_GINT64_FORMAT
                    " is answered by version %" G_GINT64_FORMAT ", one of %" G_GINT64_FORMAT
                    " by version %" G_GINT64_FORMAT,
                    seed, first->arrived_at, first->version, later->arrived_at, later->version);
      }
}

/* Guards against any order of versions, calls and answers of the store in which one daemon goes
 * back to an older version. */
static void
test_one_daemon_never_goes_back (void **state)
{
  for (unsigned seed = 0; seed < SEEDS; seed++)
    {
      struct world *w = create_world ();
      GRand *rand = g_rand_new_with_seed (seed);

      for (unsigned i = 0; i < STEPS; i++)
        take_step (w, rand);
      end_check (w, false);
      check_order (w, seed);
      g_rand_free (rand);
      destroy_world (w);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_call_does_not_overtake_one_that_waits_for_a_newer_version),
    cmocka_unit_test (test_calls_beside_a_quick_check_are_served_at_once),
    cmocka_unit_test (test_calls_held_by_a_failed_check_are_served),
    cmocka_unit_test (test_one_daemon_never_goes_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
