/* Communication between daemons with real processes: membership, and data that they exchange
 * without the platform. */
#include "harness.h"
#include "peer.h"

#include <jansson.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define CALL_TIMEOUT_US (20 * MT_SECOND)
#define LIMITS          "{\"platform_ms\":300}"

static const char *build;

struct fixture
{
  struct harness *harness;
  struct process *platform;
  struct process *minion;
  struct mt_peer_client *client;
};

static int
set_up (void **state)
{
  struct fixture *f = g_new0 (struct fixture, 1);

  f->harness = harness_create (build);
  f->platform = harness_start_platform (f->harness);
  f->minion = harness_start_minion (f->harness, "m", 1);
  f->client = mt_peer_client_create (mt_clock_system (), "test");
  *state = f;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  mt_peer_client_destroy (f->client);
  harness_destroy (f->harness);
  g_free (f);
  return 0;
}

static unsigned
peer_port (const struct process *daemon)
{
  g_autofree char *log = NULL;
  const char *position;

  assert_true (g_file_get_contents (daemon->log_path, &log, NULL, NULL));
  position = strstr (log, "peer_port=");
  assert_non_null (position);
  return (unsigned) atoi (position + strlen ("peer_port="));
}

/* Starts a daemon whose settings name one peer. platform_port 0: the daemon reaches no platform. */
static struct process *
start_with_peer (struct fixture *f,
                 const char *name,
                 unsigned platform_port,
                 const struct process *peer)
{
  g_autofree char *path
      = g_strdup_printf ("%s/%s-%u.json", g_get_tmp_dir (), name, (unsigned) f->minion->pid);
  g_autofree char *text = g_strdup_printf (
      "{\"name\":\"%s\",\"zone\":\"west\",\"listen\":\"127.0.0.1:0\","
      "\"peer_listen\":\"127.0.0.1:0\",\"platform\":\"127.0.0.1:%u\",\"limits\":" LIMITS ","
      "\"peers\":[\"127.0.0.1:%u\"]}",
      name, platform_port != 0 ? platform_port : 1, peer_port (peer));
  const char *const args[] = { "--settings", path, NULL };
  struct process *process;

  assert_true (g_file_set_contents (path, text, -1, NULL));
  process = harness_start (f->harness, "daemon/medlartrackd", args);
  remove (path);
  return process;
}

static json_t *
read_dump (struct fixture *f, const struct process *daemon)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", peer_port (daemon));
  char *text = NULL;
  size_t len;
  json_t *root;

  assert_true (mt_peer_client_call (f->client, address, MT_PEER_DUMP, MT_STR (""),
                                    mt_clock_now (mt_clock_system ()) + CALL_TIMEOUT_US, &text,
                                    &len, NULL));
  root = json_loads (text, 0, NULL);
  free (text);
  assert_non_null (root);
  return root;
}

/* Expected value of one member's field in a daemon's dump. */
struct member_query
{
  struct fixture *f;
  const struct process *daemon;
  const char *member;
  const char *field;
  json_int_t expected; /* -1: the member is absent */
};

static bool
has_expected_value (void *ctx)
{
  const struct member_query *q = ctx;
  json_t *root = read_dump (q->f, q->daemon);
  json_t *member = json_object_get (json_object_get (root, "members"), q->member);
  json_t *field = json_object_get (member, q->field);
  bool ok = q->expected == -1         ? member == NULL
            : json_is_boolean (field) ? json_is_true (field) == (q->expected != 0)
                                      : field != NULL && json_integer_value (field) == q->expected;

  json_decref (root);
  return ok;
}

static void
wait_for_field (struct fixture *f,
                const struct process *daemon,
                const char *member,
                const char *field,
                json_int_t expected)
{
  struct member_query q = { f, daemon, member, field, expected };

  assert_true (harness_wait (has_expected_value, &q));
}

static json_int_t
read_own_heartbeat (struct fixture *f, const struct process *daemon, const char *name)
{
  json_t *root = read_dump (f, daemon);
  json_t *member = json_object_get (json_object_get (root, "members"), name);
  json_int_t heartbeat = json_integer_value (json_object_get (member, "heartbeat"));

  json_decref (root);
  return heartbeat;
}

static bool
has_reached_heartbeat (void *ctx)
{
  const struct member_query *q = ctx;

  return read_own_heartbeat (q->f, q->daemon, q->member) >= q->expected;
}

/* Waits until the daemon, whose own name is given, has sent n_heartbeats more. */
static void
wait_for_heartbeats (struct fixture *f,
                     const struct process *daemon,
                     const char *name,
                     unsigned n_heartbeats)
{
  struct member_query q
      = { f, daemon, name, NULL, read_own_heartbeat (f, daemon, name) + n_heartbeats };

  assert_true (harness_wait (has_reached_heartbeat, &q));
}

static bool
is_serving (void *ctx)
{
  const struct member_query *q = ctx;

  return harness_status (q->f->harness, q->daemon, "GET", "/safe", NULL, NULL) == 200;
}

/* An entry instance is replaced while the platform is down. The new daemon finds one peer in its
 * settings, fetches the tables (and the assignment) from it, and serves its callers. */
static void
test_daemon_started_in_an_outage_serves_from_its_peers (void **state)
{
  struct fixture *f = *state;
  struct process *first = harness_start_daemon (f->harness, "first", f->platform, LIMITS);
  struct process *second;
  struct member_query member_query = { .f = f };

  harness_apply_tables (f->harness, f->platform, f->minion, &first, 1);
  harness_kill (f->platform);
  second = start_with_peer (f, "second", f->platform->port, first);
  member_query.daemon = second;
  assert_true (harness_wait (is_serving, &member_query));
  wait_for_field (f, first, "second", "tables_version", 1);
}

/* An edit is accepted, one daemon receives it, and the platform goes down. The other daemons,
 * which can no longer read it there, receive it from the first one, one of them through another
 * peer. */
static void
test_change_accepted_before_an_outage_reaches_all_daemons (void **state)
{
  struct fixture *f = *state;
  struct process *first = harness_start_daemon (f->harness, "first", f->platform, LIMITS);
  struct process *second = start_with_peer (f, "second", 0, first);
  struct process *third = start_with_peer (f, "third", 0, second);
  struct member_query member_query = { .f = f, .daemon = third };

  wait_for_field (f, third, "first", "alive", 1);
  harness_apply_tables (f->harness, f->platform, f->minion, &first, 1);
  harness_kill (f->platform);
  wait_for_field (f, second, "second", "tables_version", 1);
  wait_for_field (f, third, "third", "tables_version", 1);
  wait_for_field (f, first, "third", "tables_version", 1);
  assert_true (harness_wait (is_serving, &member_query));
}

/* One daemon is killed and another frozen. Both are first shown as silent, then removed. When
 * the frozen daemon resumes it removes no member, though it has received nothing for longer than
 * the removal time; it rejoins without a restart, and serves. */
static void
test_killed_daemon_is_removed_and_frozen_one_returns (void **state)
{
  struct fixture *f = *state;
  struct process *daemons[3];
  struct member_query member_query = { .f = f };
  g_autofree char *log = NULL;

  daemons[0] = harness_start_daemon (f->harness, "first", f->platform, LIMITS);
  daemons[1] = start_with_peer (f, "killed", f->platform->port, daemons[0]);
  daemons[2] = start_with_peer (f, "frozen", f->platform->port, daemons[0]);
  harness_apply_tables (f->harness, f->platform, f->minion, daemons, 3);
  wait_for_field (f, daemons[2], "first", "alive", 1);
  wait_for_field (f, daemons[2], "killed", "alive", 1);
  wait_for_field (f, daemons[0], "frozen", "alive", 1);
  harness_signal (daemons[2], SIGSTOP);
  harness_kill (daemons[1]);
  wait_for_field (f, daemons[0], "killed", "alive", 0);
  wait_for_field (f, daemons[0], "killed", NULL, -1);
  wait_for_field (f, daemons[0], "frozen", NULL, -1);
  wait_for_heartbeats (f, daemons[0], "first", 5);
  harness_signal (daemons[2], SIGCONT);
  wait_for_field (f, daemons[0], "frozen", "alive", 1);
  wait_for_field (f, daemons[2], "first", "alive", 1);
  wait_for_field (f, daemons[2], "killed", "alive", 0);
  /* Its removal is not awaited: the 30 s start again here, and the first daemon has removed it. */
  member_query.daemon = daemons[2];
  assert_true (harness_wait (is_serving, &member_query));
  assert_true (g_file_get_contents (daemons[2]->log_path, &log, NULL, NULL));
  assert_null (strstr (log, "is forgotten: member=first"));
}

/* A graceful stop is announced at once: the other daemon shows the stopping one as leaving while
 * it still lingers for the balancer, seconds before it would count as silent. */
static void
test_leaving_daemon_is_shown_as_leaving (void **state)
{
  struct fixture *f = *state;
  struct process *first = harness_start_daemon (f->harness, "first", f->platform, LIMITS);
  struct process *second = start_with_peer (f, "second", f->platform->port, first);

  wait_for_field (f, first, "second", "alive", 1);
  harness_signal (second, SIGTERM);
  wait_for_field (f, first, "second", "leaving", 1);
  wait_for_field (f, first, "second", NULL, -1);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_daemon_started_in_an_outage_serves_from_its_peers, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_change_accepted_before_an_outage_reaches_all_daemons,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_killed_daemon_is_removed_and_frozen_one_returns, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_leaving_daemon_is_shown_as_leaving, set_up, tear_down),
  };

  if (argc < 3)
    return 2;
  build = argv[1];
  cmocka_set_test_filter (argv[2]);
  return cmocka_run_group_tests_name ("process_peers", tests, NULL, NULL);
}
