#include "medlartrack/arena.h"
#include "medlartrack/clock.h"
#include "medlartrack/str.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
test_str_to_u64_rejects_overflow (void **state)
{
  unsigned long long value = 7;

  assert_true (mt_str_to_u64 (MT_STR ("18446744073709551615"), &value));
  assert_true (value == UINT64_MAX);
  assert_false (mt_str_to_u64 (MT_STR ("18446744073709551616"), &value));
  assert_false (mt_str_to_u64 (MT_STR (""), &value));
  assert_false (mt_str_to_u64 (MT_STR ("-1"), &value));
}

static void
test_arena_enforces_its_limit (void **state)
{
  struct mt_arena *arena = mt_arena_create (64);

  assert_non_null (mt_arena_alloc (arena, 60));
  assert_null (mt_arena_alloc (arena, 5));
  assert_null (mt_arena_dup (arena, MT_STR ("too long")).data);
  assert_int_equal (mt_arena_used (arena), 60);
  mt_arena_destroy (arena);
}

static void
test_manual_clock_changes_only_when_advanced (void **state)
{
  struct mt_clock_manual *manual = mt_clock_manual_create (5);
  const struct mt_clock *clock = mt_clock_manual_clock (manual);

  assert_true (mt_clock_now (clock) == 5);
  mt_clock_manual_advance (manual, 3 * MT_SECOND);
  assert_true (mt_clock_now (clock) == 5 + 3 * MT_SECOND);
  mt_clock_manual_destroy (manual);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_str_to_u64_rejects_overflow),
    cmocka_unit_test (test_arena_enforces_its_limit),
    cmocka_unit_test (test_manual_clock_changes_only_when_advanced),
  };

  return cmocka_run_group_tests_name ("base", tests, NULL, NULL);
}
