/* Daemons on thin links that follow the configuration of those on wide ones: publishers and
 * followers with a clock, timers and links of the test's own. */
#include "config_delta.h"
#include "config_follower.h"
#include "config_publisher.h"
#include "journal.h"
#include "loop.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* 10 Mbit/s. */
#define LINK_BYTES_PER_MS 1250
#define LATENCY_MS        2
/* The store confirms the publishers' configuration at this interval. */
#define CONFIRM_MS  1000
#define PUBLISHERS  2
#define MANY        20000U
#define ADDED       1400U
#define SEEDS       20U
#define FAULT_STEPS 60
#define CALM_MS     6000
/* Beyond this age a daemon on a thin link reads the store itself. */
#define MAX_AGE_MS 1600

struct event
{
  int64_t at;
  uint64_t number; /* events of one time happen in the order of their creation */
  void (*call) (void *ctx);
  void *ctx;
};

struct mt_timer
{
  mt_timer_call call;
  void *ctx;
  int64_t due_at; /* 0: it is not running */
};

/* An answer of the store that is on its way to a publisher. */
struct store_answer
{
  int64_t began;
  int64_t version;
  unsigned routes;
};

struct publisher
{
  struct mt_config_publisher *publisher;
  struct mt_fleet_config *config;
  const char *address;
  int64_t confirmed_at;
  int64_t revision; /* of the store then */
  bool silent;      /* its links carry nothing */
  bool random;      /* it reads the store at random intervals, and slowly */
  bool cut_off;     /* the store does not confirm its configuration */
  unsigned calls;   /* received */
  struct store_answer answer;
};

struct mt_mesh_call
{
  struct publisher *to;
  mt_mesh_done done;
  void *ctx;
  bool ended;
  bool replied;
  struct mt_mesh_args args; /* of the call, then of the reply; owned */
};

struct world
{
  int64_t now;
  uint64_t next_number;
  GSequence *events; /* of struct event */
  GPtrArray *timers;
  GPtrArray *calls; /* of struct mt_mesh_call */
  struct publisher publishers[PUBLISHERS];
  struct mt_config_follower *follower;
  struct mt_fleet_config *config; /* of the follower */
  struct mt_journal *journal;
  int64_t link_free_at;
  size_t received; /* bytes of the replies */
  unsigned checked;
  bool confirmed;
  GRand *rand;
  bool slow;       /* the store */
  int64_t version; /* of the follower, as last seen */
  GArray *written; /* int64_t: when each version was written to the store, from version 1 on */
  unsigned routes; /* of the newest version */
};

static struct world *world;

int64_t __wrap_mt_loop_now (void);
struct mt_timer *__wrap_mt_timer_create (struct event_base *base, mt_timer_call call, void *ctx);
void __wrap_mt_timer_set (struct mt_timer *timer, int64_t after_ms);
void __wrap_mt_timer_clear (struct mt_timer *timer);
void __wrap_mt_timer_destroy (struct mt_timer *timer);
void __wrap_mt_mesh_send (struct mt_mesh *mesh,
                          const char *address,
                          enum mt_mesh_method method,
                          const struct mt_mesh_args *args,
                          int64_t timeout_ms,
                          mt_mesh_done done,
                          void *ctx);
void __wrap_mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args);
void __wrap_mt_cluster_for_each_peer (const struct mt_cluster *cluster,
                                      mt_cluster_peer_call call,
                                      void *ctx);
void
__wrap_mt_config_check_request (struct mt_config_check *check, mt_config_checked done, void *data);

/* ---- clock and timers ---- */

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *left = a;
  const struct event *right = b;

  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return left->number < right->number ? -1 : 1;
}

static void
add_event (int64_t after_ms, void (*call) (void *ctx), void *ctx)
{
  struct event *event = g_new0 (struct event, 1);

  *event = (struct event){ world->now + after_ms, world->next_number++, call, ctx };
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
}

static bool
run_event (int64_t until)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);
  struct event event;

  if (g_sequence_iter_is_end (first) || ((const struct event *) g_sequence_get (first))->at > until)
    return false;
  event = *(const struct event *) g_sequence_get (first);
  g_sequence_remove (first);
  world->now = event.at;
  event.call (event.ctx);
  return true;
}

static void
run_for (int64_t ms)
{
  int64_t until = world->now + ms;

  while (run_event (until))
    continue;
  world->now = until;
}

int64_t
__wrap_mt_loop_now (void)
{
  return world->now;
}

struct mt_timer *
__wrap_mt_timer_create (struct event_base *base, mt_timer_call call, void *ctx)
{
  struct mt_timer *timer = g_new0 (struct mt_timer, 1);

  *timer = (struct mt_timer){ .call = call, .ctx = ctx };
  g_ptr_array_add (world->timers, timer);
  return timer;
}

static void
on_timer (void *ctx)
{
  struct mt_timer *timer = ctx;

  if (timer->due_at == 0 || timer->due_at > world->now)
    return;
  timer->due_at = 0;
  timer->call (timer->ctx);
}

void
__wrap_mt_timer_set (struct mt_timer *timer, int64_t after_ms)
{
  timer->due_at = world->now + after_ms;
  add_event (after_ms, on_timer, timer);
}

void
__wrap_mt_timer_clear (struct mt_timer *timer)
{
  timer->due_at = 0;
}

/* Events may still refer to it. */
void
__wrap_mt_timer_destroy (struct mt_timer *timer)
{
  timer->due_at = 0;
}

/* ---- links ---- */

static struct mt_mesh_args
copy_args (const struct mt_mesh_args *args)
{
  struct mt_mesh_args copy = { .n = args != NULL ? args->n : 0 };

  for (size_t i = 0; i < copy.n; i++)
    copy.at[i] = (struct mt_str){ g_memdup2 (args->at[i].data, args->at[i].len), args->at[i].len };
  return copy;
}

static void
clear_args (struct mt_mesh_args *args)
{
  for (size_t i = 0; i < args->n; i++)
    g_free ((char *) args->at[i].data);
  *args = (struct mt_mesh_args){ 0 };
}

static void
end_call (struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  if (call->ended)
    return;
  call->ended = true;
  call->done (call->ctx, args);
}

static void
on_timeout (void *ctx)
{
  end_call (ctx, NULL);
}

static void
on_reply (void *ctx)
{
  struct mt_mesh_call *call = ctx;

  end_call (call, &call->args);
  clear_args (&call->args);
}

static void
on_delivered (void *ctx)
{
  struct mt_mesh_call *call = ctx;
  struct mt_mesh_args args = call->args;

  call->args = (struct mt_mesh_args){ 0 };
  call->to->calls++;
  if (!call->to->silent)
    mt_config_publisher_serve (call->to->publisher, call, &args);
  clear_args (&args);
}

static void
free_call (void *data)
{
  struct mt_mesh_call *call = data;

  clear_args (&call->args);
  g_free (call);
}

static struct publisher *
find_publisher (const char *address)
{
  for (unsigned i = 0; i < PUBLISHERS; i++)
    if (strcmp (world->publishers[i].address, address) == 0)
      return &world->publishers[i];
  return NULL;
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
  struct mt_mesh_call *call = g_new0 (struct mt_mesh_call, 1);

  *call = (struct mt_mesh_call){ find_publisher (address), done, ctx, .args = copy_args (args) };
  g_ptr_array_add (world->calls, call);
  add_event (timeout_ms, on_timeout, call);
  add_event (LATENCY_MS, on_delivered, call);
}

/* Replies follow each other on the follower's link. */
void
__wrap_mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  size_t bytes = 0;

  assert_false (call->replied);
  call->replied = true;
  call->args = copy_args (args);
  for (size_t i = 0; i < call->args.n; i++)
    bytes += call->args.at[i].len;
  world->received += bytes;
  world->link_free_at
      = MAX (world->link_free_at, world->now) + (int64_t) (bytes / LINK_BYTES_PER_MS);
  if (!call->to->silent)
    add_event (world->link_free_at - world->now + LATENCY_MS, on_reply, call);
}

void
__wrap_mt_cluster_for_each_peer (const struct mt_cluster *cluster,
                                 mt_cluster_peer_call call,
                                 void *ctx)
{
  for (unsigned i = 0; i < PUBLISHERS; i++)
    call (ctx, &(struct mt_cluster_peer){ world->publishers[i].address, 1000, i == 0 });
  call (ctx, &(struct mt_cluster_peer){ "10.0.0.9:1", 10, true });
}

/* ---- configurations ---- */

static struct mt_fleet_config *
create_config (int64_t version, unsigned routes)
{
  struct mt_fleet_config *config = g_new0 (struct mt_fleet_config, 1);

  config->version = version;
  config->routes = mt_route_table_create ();
  for (unsigned i = 0; i < routes; i++)
    {
      struct mt_fleet_route route = { .name = g_strdup_printf ("r-%08x", i * 2654435761U),
                                      .host = g_strdup_printf ("h%u.example", i % 7),
                                      .prefix = g_strdup_printf ("/%08x/", i * 2246822519U),
                                      .pool = g_strdup_printf ("p%u", i % 5),
                                      .terms = { 1, 4, 1.6, 600 } };

      mt_route_table_set (config->routes, &route);
    }
  return config;
}

/* The store brings a version to a publisher, and confirms it. */
static void
publish_as_of (struct publisher *p, int64_t version, unsigned routes, int64_t confirmed_at)
{
  struct mt_fleet_config *before = p->config;

  p->config = create_config (version, routes);
  p->revision = version;
  mt_config_publisher_set (p->publisher, before, p->config);
  mt_fleet_config_free (before);
  p->confirmed_at = confirmed_at;
  mt_config_publisher_confirmed (p->publisher);
}

static void
publish (struct publisher *p, int64_t version, unsigned routes)
{
  publish_as_of (p, version, routes, world->now);
}

static void
publish_all (int64_t version, unsigned routes)
{
  for (unsigned i = 0; i < PUBLISHERS; i++)
    publish (&world->publishers[i], version, routes);
}

static void
on_confirmation (void *ctx)
{
  struct publisher *p = ctx;

  if (p->random)
    return;
  add_event (CONFIRM_MS, on_confirmation, p);
  if (p->cut_off)
    return;
  p->confirmed_at = world->now;
  mt_config_publisher_confirmed (p->publisher);
}

static int64_t
publisher_age_ms (void *ctx)
{
  return world->now - ((struct publisher *) ctx)->confirmed_at;
}

static int64_t
publisher_revision (void *ctx)
{
  return ((struct publisher *) ctx)->revision;
}

void
__wrap_mt_config_check_request (struct mt_config_check *check, mt_config_checked done, void *data)
{
  done (data, true);
}

static bool
wanted (void *ctx)
{
  return true;
}

static int64_t
follower_version (void *ctx)
{
  return world->config != NULL ? world->config->version : 0;
}

static bool
apply (void *ctx, struct mt_str changes)
{
  struct mt_fleet_config *config = mt_config_delta_apply (world->config, changes, NULL);

  if (config != NULL)
    world->config = config;
  return config != NULL;
}

static void
create_follower (void)
{
  struct mt_config_follower_options options = { .name = "f",
                                                .wanted = wanted,
                                                .version = follower_version,
                                                .apply = apply,
                                                .journal = world->journal };

  world->follower = mt_config_follower_create (NULL, &options);
}

static void
create_world (void)
{
  static const char *const addresses[PUBLISHERS] = { "10.0.0.1:1", "10.0.0.2:1" };

  world = g_new0 (struct world, 1);
  world->now = 1000000;
  world->events = g_sequence_new (g_free);
  world->timers = g_ptr_array_new_with_free_func (g_free);
  world->calls = g_ptr_array_new_with_free_func (free_call);
  world->journal = mt_journal_create (open ("/dev/null", O_WRONLY), "f");
  for (unsigned i = 0; i < PUBLISHERS; i++)
    {
      struct publisher *p = &world->publishers[i];
      struct mt_config_publisher_options publishing
          = { .age_ms = publisher_age_ms, .revision = publisher_revision, .ctx = p };

      p->address = addresses[i];
      p->publisher = mt_config_publisher_create (NULL, &publishing);
      add_event (0, on_confirmation, p);
    }
  create_follower ();
  run_for (10);
}

static void
destroy_world (void)
{
  for (guint i = 0; i < world->calls->len; i++)
    end_call (world->calls->pdata[i], NULL);
  mt_config_follower_destroy (world->follower);
  for (unsigned i = 0; i < PUBLISHERS; i++)
    {
      mt_config_publisher_destroy (world->publishers[i].publisher);
      mt_fleet_config_free (world->publishers[i].config);
    }
  mt_fleet_config_free (world->config);
  mt_journal_destroy (world->journal);
  g_sequence_free (world->events);
  g_ptr_array_unref (world->calls);
  g_ptr_array_unref (world->timers);
  g_clear_pointer (&world, g_free);
}

/* Returns the milliseconds until the version is in force at the follower. */
static int64_t
time_to_version (int64_t version)
{
  int64_t began = world->now;

  while (follower_version (NULL) != version && world->now - began < 20000)
    run_for (1);
  assert_int_equal (follower_version (NULL), version);
  return world->now - began;
}

static int64_t
largest_age_ms (int64_t ms)
{
  int64_t largest = 0;

  for (int64_t i = 0; i < ms; i++)
    {
      run_for (1);
      largest = MAX (largest, world->now - mt_config_follower_confirmed_at (world->follower));
    }
  return largest;
}

/* ---- random faults ---- */

static int64_t
newest_version (void)
{
  return (int64_t) world->written->len;
}

/* Returns when the version was replaced in the store. */
static int64_t
replaced_at (int64_t version)
{
  return version < newest_version () ? g_array_index (world->written, int64_t, version) : INT64_MAX;
}

static void read_store (void *ctx);

static void
on_store_answer (void *ctx)
{
  struct publisher *p = ctx;
  const struct store_answer *answer = &p->answer;

  if (!p->cut_off)
    {
      if (answer->version > (p->config != NULL ? p->config->version : 0))
        publish_as_of (p, answer->version, answer->routes, answer->began);
      p->confirmed_at = answer->began;
      p->revision = answer->version;
      mt_config_publisher_confirmed (p->publisher);
    }
  add_event (g_rand_int_range (world->rand, 1, CONFIRM_MS), read_store, p);
}

static void
read_store (void *ctx)
{
  struct publisher *p = ctx;

  p->answer = (struct store_answer){ world->now, newest_version (), world->routes };
  add_event (g_rand_int_range (world->rand, 1, world->slow ? 1500 : 60), on_store_answer, p);
}

/* A publisher that has just been started has no configuration. */
static void
restart_publisher (struct publisher *p)
{
  struct mt_config_publisher_options options
      = { .age_ms = publisher_age_ms, .revision = publisher_revision, .ctx = p };

  mt_config_publisher_destroy (p->publisher);
  mt_fleet_config_free (g_steal_pointer (&p->config));
  p->confirmed_at = 0;
  p->revision = 0;
  p->publisher = mt_config_publisher_create (NULL, &options);
}

/* Its calls are lost with the process. */
static void
restart_follower (void)
{
  for (guint i = 0; i < world->calls->len; i++)
    ((struct mt_mesh_call *) world->calls->pdata[i])->ended = true;
  mt_config_follower_destroy (world->follower);
  mt_fleet_config_free (g_steal_pointer (&world->config));
  world->version = 0;
  create_follower ();
}

static void
act_at_random (void)
{
  struct publisher *p = &world->publishers[g_rand_int_range (world->rand, 0, PUBLISHERS)];

  switch (g_rand_int_range (world->rand, 0, 8))
    {
    case 0:
    case 1:
    case 2:
      world->routes = (unsigned) g_rand_int_range (world->rand, 0, 3000);
      g_array_append_val (world->written, world->now);
      break;
    case 3:
      p->silent = !p->silent;
      break;
    case 4:
      p->cut_off = !p->cut_off;
      break;
    case 5:
      world->slow = !world->slow;
      break;
    case 6:
      restart_publisher (p);
      break;
    default:
      restart_follower ();
      break;
    }
}

/* What the follower says of its configuration holds by what was written when. */
static void
check_follower (void)
{
  int64_t version = follower_version (NULL);

  assert_true (version >= world->version);
  world->version = version;
  assert_true (mt_config_follower_confirmed_at (world->follower) <= replaced_at (version));
  assert_true (mt_config_follower_revision (world->follower) <= version);
}

static void
end_faults (void)
{
  world->slow = false;
  for (unsigned i = 0; i < PUBLISHERS; i++)
    {
      world->publishers[i].silent = false;
      world->publishers[i].cut_off = false;
    }
}

static void
play_random_faults (guint32 seed)
{
  create_world ();
  world->rand = g_rand_new_with_seed (seed);
  world->written = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (unsigned i = 0; i < PUBLISHERS; i++)
    {
      world->publishers[i].random = true;
      add_event (0, read_store, &world->publishers[i]);
    }
  for (unsigned step = 0; step < FAULT_STEPS; step++)
    {
      act_at_random ();
      for (int ms = g_rand_int_range (world->rand, 1, 600); ms > 0; ms--)
        {
          run_for (1);
          check_follower ();
        }
    }
  end_faults ();
  run_for (CALM_MS);
  assert_int_equal (follower_version (NULL), newest_version ());
  assert_true (newest_version () == 0
               || mt_route_table_size (world->config->routes) == world->routes);
  assert_true (largest_age_ms (3000) < MAX_AGE_MS);
  g_rand_free (world->rand);
  g_array_unref (world->written);
  destroy_world ();
}

/* Guards against a daemon that takes an old version for a confirmed one, goes back, or does not
 * catch up, while sources fall silent, lose the store, restart and read a slow store, and versions
 * change. SOAK_SEEDS plays more. */
static void
test_random_faults (void **state)
{
  const char *seeds = g_getenv ("SOAK_SEEDS");
  guint32 n = seeds != NULL ? (guint32) atoi (seeds) : SEEDS;

  for (guint32 seed = 1; seed <= n; seed++)
    {
      print_message ("seed %u\n", seed);
      play_random_faults (seed);
    }
}

/* ---- tests ---- */

/* Guards against a change that takes as long as the whole configuration takes to transfer: the
 * value in the store has 5.7 MB for 20,000 routes, 4.6 s on this link. */
static void
test_change_is_in_force_after_the_time_of_its_own_size (void **state)
{
  create_world ();
  publish_all (1, MANY - ADDED);
  assert_true (time_to_version (1) < 1000);
  run_for (2000);
  world->received = 0;
  publish_all (2, MANY);
  assert_true (time_to_version (2) < 100);
  assert_true (world->received < 100 * LINK_BYTES_PER_MS);
  run_for (2000);
  publish_all (3, 0);
  assert_true (time_to_version (3) < 1000);
  run_for (2000);
  publish_all (4, MANY);
  assert_true (time_to_version (4) < 1000);
  assert_int_equal (mt_route_table_size (world->config->routes), MANY);
  destroy_world ();
}

/* Guards against a follower that never catches up while versions follow each other faster than all
 * of one is transferred. */
static void
test_versions_that_replace_each_other_during_a_transfer (void **state)
{
  create_world ();
  for (int64_t version = 1; version <= 20; version++)
    {
      publish_all (version, MANY + (unsigned) version);
      run_for (300);
    }
  assert_true (time_to_version (20) < 1000);
  assert_int_equal (mt_route_table_size (world->config->routes), MANY + 20);
  destroy_world ();
}

static void
test_confirmations_reach_the_follower (void **state)
{
  create_world ();
  publish_all (1, 10);
  run_for (100);
  assert_true (largest_age_ms (10000) <= CONFIRM_MS + 10 * LATENCY_MS);
  assert_int_equal (mt_config_follower_revision (world->follower), 1);
  destroy_world ();
}

/* Guards against a daemon that stays at an old version with a source that has lost its power or
 * whose connection is silent. */
static void
test_silent_source_is_replaced (void **state)
{
  create_world ();
  publish_all (1, 10);
  run_for (3000);
  assert_int_equal (world->publishers[1].calls, 0);
  world->publishers[0].silent = true;
  assert_true (largest_age_ms (10000) < MAX_AGE_MS);
  assert_true (world->publishers[1].calls > 0);
  publish (&world->publishers[1], 2, 20);
  assert_true (time_to_version (2) < 3000);
  destroy_world ();
}

/* Guards against a daemon that follows a source which no longer hears of changes itself. */
static void
test_source_without_the_store_is_replaced (void **state)
{
  create_world ();
  publish_all (1, 10);
  run_for (3000);
  world->publishers[0].cut_off = true;
  run_for (2500);
  publish (&world->publishers[1], 2, 20);
  assert_true (time_to_version (2) < 1000);
  assert_true (largest_age_ms (5000) < MAX_AGE_MS);
  destroy_world ();
}

/* Guards against a configuration that counts as confirmed while no source reaches the store. */
static void
test_age_grows_while_no_source_reaches_the_store (void **state)
{
  create_world ();
  publish_all (1, 10);
  run_for (3000);
  for (unsigned i = 0; i < PUBLISHERS; i++)
    world->publishers[i].cut_off = true;
  run_for (5000);
  assert_true (world->now - mt_config_follower_confirmed_at (world->follower) >= 5000);
  destroy_world ();
}

/* Guards against a change that is missed by a daemon that turns from its source to the store: it
 * would read on from a revision beyond the version that it has. */
static void
test_revision_is_not_beyond_the_version (void **state)
{
  create_world ();
  publish_all (1, 10);
  run_for (3000);
  for (unsigned i = 0; i < PUBLISHERS; i++)
    world->publishers[i].silent = true;
  publish_all (2, 20);
  publish_all (3, 30);
  run_for (1500);
  for (unsigned i = 0; i < PUBLISHERS; i++)
    world->publishers[i].silent = false;
  while (follower_version (NULL) < 3)
    {
      run_for (1);
      assert_true (mt_config_follower_revision (world->follower) <= follower_version (NULL));
    }
  destroy_world ();
}

static void
on_checked (void *data, bool confirmed)
{
  world->checked++;
  world->confirmed = confirmed;
}

/* Guards against a caller who is refused by a version that the source has replaced: the check ends
 * once the newer one is in force here. */
static void
test_check_ends_with_the_version_that_it_found (void **state)
{
  create_world ();
  publish_all (1, 10);
  run_for (3000);
  assert_true (mt_config_follower_check (world->follower, on_checked, NULL));
  run_for (10 * LATENCY_MS);
  assert_int_equal (world->checked, 1);
  assert_true (world->confirmed);
  publish_all (2, MANY);
  assert_true (mt_config_follower_check (world->follower, on_checked, NULL));
  while (world->checked == 1)
    run_for (1);
  assert_int_equal (world->confirmed, follower_version (NULL) == 2);
  time_to_version (2);
  world->publishers[0].silent = true;
  assert_true (mt_config_follower_check (world->follower, on_checked, NULL));
  run_for (1000);
  assert_int_equal (world->checked, 3);
  assert_false (world->confirmed);
  destroy_world ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_is_in_force_after_the_time_of_its_own_size),
    cmocka_unit_test (test_versions_that_replace_each_other_during_a_transfer),
    cmocka_unit_test (test_confirmations_reach_the_follower),
    cmocka_unit_test (test_silent_source_is_replaced),
    cmocka_unit_test (test_source_without_the_store_is_replaced),
    cmocka_unit_test (test_age_grows_while_no_source_reaches_the_store),
    cmocka_unit_test (test_revision_is_not_beyond_the_version),
    cmocka_unit_test (test_random_faults),
    cmocka_unit_test (test_check_ends_with_the_version_that_it_found),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
