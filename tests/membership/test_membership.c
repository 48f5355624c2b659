#include "medlartrack/error.h"
#include "medlartrack/membership.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

struct daemon
{
  struct mt_clock_manual *clock;
  struct mt_membership *membership;
  unsigned events[MT_MEMBER_DUPLICATE_NAME + 1];
};

static void
count_event (void *ctx, enum mt_membership_event event, const struct mt_member *member)
{
  ((struct daemon *) ctx)->events[event]++;
}

static const struct mt_membership_callbacks count_events
    = { "count", "counts events by kind", count_event };

static struct daemon *
start (const char *name, const char *zone, uint64_t incarnation)
{
  struct daemon *d = g_new0 (struct daemon, 1);
  struct mt_membership_options options = { .name = name, .zone = zone, .address = "127.0.0.1:1" };

  d->clock = mt_clock_manual_create (MT_SECOND);
  options.clock = mt_clock_manual_clock (d->clock);
  options.incarnation = incarnation;
  options.callbacks = &count_events;
  options.ctx = d;
  d->membership = mt_membership_create (&options);
  mt_membership_heartbeat (d->membership);
  return d;
}

static void
stop (struct daemon *d)
{
  mt_membership_destroy (d->membership);
  mt_clock_manual_destroy (d->clock);
  g_free (d);
}

static void
advance (struct daemon *d, unsigned seconds)
{
  for (unsigned i = 0; i < seconds; i++)
    {
      mt_clock_manual_advance (d->clock, MT_SECOND);
      mt_membership_heartbeat (d->membership);
    }
}

static size_t
exchange (struct daemon *from, struct daemon *to)
{
  size_t request_len;
  size_t len;
  g_autoptr (GError) error = NULL;
  char *request = mt_membership_make_request (from->membership, &request_len);
  char *response = mt_membership_handle_request (
      to->membership, (struct mt_str){ request, request_len }, &len, &error);

  assert_non_null (response);
  assert_true (mt_membership_handle_response (from->membership, (struct mt_str){ response, len },
                                              NULL, NULL));
  free (request);
  free (response);
  return request_len + len;
}

static const struct mt_member *
find (struct daemon *d, const char *name)
{
  return mt_membership_find (d->membership, name);
}

/* The link from a to c is cut in one direction or both; b reaches both. a must show c as alive but
 * not reachable: work must not be forwarded over the cut link, and c must not be taken for dead. */
static void
test_member_heard_through_third_is_alive_but_unreachable (void **state)
{
  struct daemon *a = start ("a", "west", 1);
  struct daemon *b = start ("b", "east", 1);
  struct daemon *c = start ("c", "east", 1);

  for (int i = 0; i < 60; i++)
    {
      advance (a, 1);
      advance (b, 1);
      advance (c, 1);
      exchange (c, b);
      exchange (a, b);
      mt_membership_record_call (a->membership, "b", true);
      mt_membership_record_call (a->membership, "c", false);
      assert_true (mt_membership_is_alive (find (a, "c")));
    }
  assert_int_equal (find (a, "c")->reach, MT_REACH_NO);
  assert_int_equal (find (a, "b")->reach, MT_REACH_YES);
  assert_int_equal (a->events[MT_MEMBER_SUSPECTED] + a->events[MT_MEMBER_REMOVED], 0);
  assert_int_equal (a->events[MT_MEMBER_JOINED], 2);
  stop (a);
  stop (b);
  stop (c);
}

/* a is stopped for an hour (SIGSTOP) and resumes. It must not count its own pause as the others'
 * silence, or it would drop them all and take every slot of the data centre for itself. The others
 * removed it meanwhile, and must add it again at its next heartbeat, without a restart. */
static void
test_paused_daemon_drops_nobody_and_rejoins (void **state)
{
  struct daemon *a = start ("a", "west", 1);
  struct daemon *b = start ("b", "west", 1);

  exchange (a, b);
  exchange (a, b);
  advance (b, 31);
  assert_null (find (b, "a"));
  mt_clock_manual_advance (a->clock, 3600 * MT_SECOND);
  advance (a, 1);
  assert_true (mt_membership_is_alive (find (a, "b")));
  exchange (a, b);
  assert_non_null (find (b, "a"));
  assert_true (find (b, "a")->incarnation == 1);
  assert_int_equal (a->events[MT_MEMBER_REMOVED], 0);
  stop (a);
  stop (b);
}

/* A slower daemon still holds the last heartbeat of a dead member: it must not revive the member
 * where it was removed. */
static void
test_old_heartbeat_does_not_revive_a_removed_member (void **state)
{
  struct daemon *a = start ("a", "west", 1);
  struct daemon *b = start ("b", "west", 1);
  struct daemon *c = start ("c", "west", 1);

  exchange (c, a);
  exchange (b, a);
  stop (c);
  advance (a, 31);
  assert_null (find (a, "c"));
  exchange (a, b);
  assert_null (find (a, "c"));
  assert_non_null (find (b, "c"));
  stop (a);
  stop (b);
}

/* A daemon that starts after the death must not hear of the dead member and count its silence anew:
 * with repeated restarts, the dead member would be passed on among new daemons without end. */
static void
test_dead_member_is_not_sent_on (void **state)
{
  struct daemon *b = start ("b", "west", 1);
  struct daemon *c = start ("c", "west", 1);
  struct daemon *newcomer = start ("newcomer", "west", 1);

  exchange (b, c);
  stop (c);
  advance (b, 6);
  exchange (newcomer, b);
  assert_non_null (find (newcomer, "b"));
  assert_null (find (newcomer, "c"));
  stop (b);
  stop (newcomer);
}

/* Two processes run under one name, for example with a copied settings file. Both and every other
 * daemon must report it; a plain restart must not be reported. */
static void
test_two_processes_under_one_name_are_reported (void **state)
{
  struct daemon *first = start ("twin", "west", 10);
  struct daemon *second = start ("twin", "west", 20);
  struct daemon *other = start ("other", "west", 1);

  exchange (first, other);
  exchange (second, other);
  assert_int_equal (other->events[MT_MEMBER_DUPLICATE_NAME], 0);
  for (int i = 0; i < 4; i++)
    {
      advance (first, 1);
      advance (second, 1);
      exchange (first, other);
      exchange (second, other);
    }
  assert_int_equal (other->events[MT_MEMBER_DUPLICATE_NAME], 1);
  assert_int_equal (first->events[MT_MEMBER_DUPLICATE_NAME], 1);
  assert_true (find (other, "twin")->incarnation == 20);
  stop (first);
  stop (second);
  stop (other);
}

/* The machine's clock is set back before a restart: the new incarnation is the lower one and is
 * ignored, until the daemon notices that the higher one sends no heartbeats and raises its own. */
static void
test_restart_with_clock_set_back_is_accepted (void **state)
{
  struct daemon *before = start ("a", "west", 1000);
  struct daemon *other = start ("other", "west", 1);
  struct daemon *after;

  exchange (before, other);
  stop (before);
  after = start ("a", "west", 500);
  mt_membership_set_versions (after->membership, 7, 0);
  for (int i = 0; i < 8; i++)
    {
      exchange (after, other);
      advance (after, 1);
      advance (other, 1);
    }
  exchange (after, other);
  assert_true (find (other, "a")->tables_version == 7);
  assert_int_equal (other->events[MT_MEMBER_DUPLICATE_NAME], 0);
  assert_int_equal (after->events[MT_MEMBER_DUPLICATE_NAME], 0);
  stop (after);
  stop (other);
}

static void
test_leaving_is_reported_and_member_removed_soon (void **state)
{
  struct daemon *a = start ("a", "west", 1);
  struct daemon *b = start ("b", "west", 1);

  exchange (a, b);
  mt_membership_set_leaving (a->membership);
  advance (a, 1);
  exchange (a, b);
  assert_true (find (b, "a")->leaving);
  assert_int_equal (b->events[MT_MEMBER_LEAVING], 1);
  advance (b, 6);
  assert_null (find (b, "a"));
  assert_int_equal (b->events[MT_MEMBER_SUSPECTED], 0);
  stop (a);
  stop (b);
}

static void
set_loads (struct daemon *d, unsigned n, unsigned in_flight)
{
  struct mt_member_load *loads = g_new0 (struct mt_member_load, n);
  struct mt_member_demand demand = { "quotes", 3, 4, 5000 };

  for (unsigned i = 0; i < n; i++)
    loads[i] = (struct mt_member_load){ g_strdup_printf ("minion-%04u", i), in_flight };
  mt_membership_set_loads (d->membership, loads, n, &demand, 1);
  for (unsigned i = 0; i < n; i++)
    g_free (loads[i].minion);
  g_free (loads);
}

static void
test_loads_stay_in_the_data_centre (void **state)
{
  struct daemon *a = start ("a", "west", 1);
  struct daemon *b = start ("b", "west", 1);
  struct daemon *c = start ("c", "east", 1);

  set_loads (a, 450, 2);
  advance (a, 1);
  exchange (b, a);
  exchange (c, a);
  assert_int_equal (find (b, "a")->n_loads, 450);
  assert_string_equal (find (b, "a")->loads[17].minion, "minion-0017");
  assert_int_equal (find (b, "a")->loads[17].in_flight, 2);
  assert_int_equal (find (b, "a")->demands[0].waiting, 3);
  assert_int_equal (find (c, "a")->n_loads, 0);
  stop (a);
  stop (b);
  stop (c);
}

/* A report of 1,000 minions that changes every second must not be published every second: the bytes
 * per second are bounded. A new assignment version must be published at once, since a drain waits
 * for it. */
static void
test_load_reports_are_rate_limited (void **state)
{
  struct daemon *a = start ("a", "west", 1);
  struct daemon *b = start ("b", "west", 1);
  size_t bytes = 0;

  exchange (a, b);
  for (unsigned i = 0; i < 60; i++)
    {
      set_loads (a, 1000, 1 + i % 7);
      advance (a, 1);
      advance (b, 1);
      bytes += exchange (b, a);
    }
  assert_true (bytes < 60 * 2048); /* half of what a daemon may receive: there are two */
  assert_true (bytes > 60 * 1024);
  mt_membership_set_versions (a->membership, 0, 9);
  set_loads (a, 1, 1);
  advance (a, 1);
  exchange (b, a);
  assert_true (find (b, "a")->loads_assign_version == 9);
  assert_int_equal (find (b, "a")->n_loads, 1);
  stop (a);
  stop (b);
}

static void
test_invalid_heartbeats_are_rejected (void **state)
{
  static const struct mt_str bad[] = {
    { "", 0 },                                                /* nothing */
    { "\x94\xa1x\xa1z\x90", 6 },                              /* truncated */
    { "\x94\xa0\xa1z\x90\x90", 5 },                           /* no name */
    { "\x94\xa1x\xa1z\x91\x01\x90", 7 },                      /* heartbeat of one field */
    { "\x94\xa1x\xa1z\x96\x01\xff\x00\x00\x00\x00\x90", 12 }, /* heartbeat -1 */
    { "\x94\xa1x\xa1z\x90\x91\x98\x01\x01\x00\x00\x00\x00\x94\xa1n\xa1z\xa1q\x01\xc0",
      22 }, /* key does not match the name */
    { "\x94\xa1x\xa1z\x90\x91\x98\x01\x01\x00\x00\x00\x00\xc0\xc4\x01\xc1",
      17 }, /* invalid load report */
  };
  struct daemon *a = start ("a", "west", 1);

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      g_autoptr (GError) error = NULL;
      size_t len;

      assert_null (mt_membership_handle_request (a->membership, bad[i], &len, &error));
      assert_true (error != NULL && error->domain == MT_ERROR);
    }
  assert_int_equal (mt_membership_count (a->membership), 1);
  stop (a);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_member_heard_through_third_is_alive_but_unreachable),
    cmocka_unit_test (test_paused_daemon_drops_nobody_and_rejoins),
    cmocka_unit_test (test_old_heartbeat_does_not_revive_a_removed_member),
    cmocka_unit_test (test_dead_member_is_not_sent_on),
    cmocka_unit_test (test_two_processes_under_one_name_are_reported),
    cmocka_unit_test (test_restart_with_clock_set_back_is_accepted),
    cmocka_unit_test (test_leaving_is_reported_and_member_removed_soon),
    cmocka_unit_test (test_loads_stay_in_the_data_centre),
    cmocka_unit_test (test_load_reports_are_rate_limited),
    cmocka_unit_test (test_invalid_heartbeats_are_rejected),
  };

  return cmocka_run_group_tests_name ("membership", tests, NULL, NULL);
}
