#include "grants_wire.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static const struct mt_grant grants[] = { { "yard", { 4000, 512, 0 } }, { "press", { 0, 1, 2 } } };
static const struct mt_grant_message sample
    = { .token = 7, .sequence = 41, .all = true, .grants = grants, .n_grants = 2 };

/* Guards against a quota share that is decoded for another workspace or with another value. */
static void
test_grant_message_round_trip (void **state)
{
  struct mt_grant_message read;
  size_t len;
  g_autofree char *bytes = mt_grants_pack (&sample, &len);

  assert_true (mt_grants_unpack ((struct mt_str){ bytes, len }, &read));
  assert_int_equal (read.token, 7);
  assert_int_equal (read.sequence, 41);
  assert_true (read.all);
  assert_int_equal (read.n_grants, 2);
  for (size_t i = 0; i < read.n_grants; i++)
    {
      assert_string_equal (read.grants[i].workspace, grants[i].workspace);
      assert_memory_equal (&read.grants[i].resources, &grants[i].resources,
                           sizeof grants[i].resources);
    }
  mt_grants_clear (&read);
}

/* Guards against a use that is decoded for another workspace, and against a message without uses
 * that daemons of the previous release could not read. */
static void
test_uses_round_trip (void **state)
{
  static const struct mt_use_elsewhere uses[] = { { "yard", { 9000, 70, 1 } }, { "press", { 0 } } };
  struct mt_grant_message with_uses = sample;
  struct mt_grant_message read;
  size_t len;
  size_t plain_len;
  g_autofree char *bytes = NULL;
  g_autofree char *plain = mt_grants_pack (&sample, &plain_len);

  with_uses.uses = uses;
  with_uses.n_uses = 2;
  bytes = mt_grants_pack (&with_uses, &len);
  assert_true (mt_grants_unpack ((struct mt_str){ bytes, len }, &read));
  assert_int_equal (read.n_grants, 2);
  assert_int_equal (read.n_uses, 2);
  for (size_t i = 0; i < read.n_uses; i++)
    {
      assert_string_equal (read.uses[i].workspace, uses[i].workspace);
      assert_memory_equal (&read.uses[i].resources, &uses[i].resources, sizeof uses[i].resources);
    }
  mt_grants_clear (&read);
  assert_int_equal ((unsigned char) plain[0], 0x94); /* an array of four, as before */
  for (size_t cut = 0; cut < len; cut++)
    {
      assert_false (mt_grants_unpack ((struct mt_str){ bytes, cut }, &read));
      mt_grants_clear (&read);
    }
}

/* Guards against a truncated frame that is accepted as a message, and against leaks from one. */
static void
test_truncated_grant_message_is_refused (void **state)
{
  size_t len;
  g_autofree char *bytes = mt_grants_pack (&sample, &len);

  for (size_t cut = 0; cut < len; cut++)
    {
      struct mt_grant_message read;

      assert_false (mt_grants_unpack ((struct mt_str){ bytes, cut }, &read));
      mt_grants_clear (&read);
    }
}

static void
test_accounts_round_trip (void **state)
{
  const struct mt_account_view view = { .workspace = "yard",
                                        .used = { 1, 2, 3 },
                                        .waiting = { 4, 5, 6 },
                                        .largest_waiting = { 7, 8, 9 },
                                        .granted = { 10, 11, 12 },
                                        .has_grant = true };
  struct mt_account_view *read;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_unpacked unpacked;
  size_t n;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  mt_accounts_pack (&packer, &view, 1);
  msgpack_unpacked_init (&unpacked);
  assert_int_equal (msgpack_unpack_next (&unpacked, buffer.data, buffer.size, NULL),
                    MSGPACK_UNPACK_SUCCESS);
  assert_true (mt_accounts_unpack (&unpacked.data, &read, &n));
  assert_int_equal (n, 1);
  assert_string_equal (read->workspace, "yard");
  assert_memory_equal (&read->used, &view.used, 4 * sizeof view.used);
  assert_true (read->has_grant);
  mt_accounts_free (read, n);
  msgpack_unpacked_destroy (&unpacked);
  msgpack_sbuffer_destroy (&buffer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_grant_message_round_trip),
    cmocka_unit_test (test_uses_round_trip),
    cmocka_unit_test (test_truncated_grant_message_is_refused),
    cmocka_unit_test (test_accounts_round_trip),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
