#include "journal.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* Guards against event counters that miss lines dropped by the rate limit. */
static void
test_events_are_counted_beyond_line_limit (void **state)
{
  int fd = open ("/dev/null", O_WRONLY);
  struct mt_journal *journal = mt_journal_create (fd, "d1");
  g_autoptr (GString) text = g_string_new (NULL);

  for (unsigned i = 0; i < 500; i++)
    mt_journal_log (journal, "TASK_LOST", "id=%u", i);
  mt_journal_append_metrics (journal, text);
  assert_non_null (strstr (text->str, "medlartrack_events_total{event=\"TASK_LOST\"} 500\n"));
  assert_null (strstr (text->str, "WORKER_LOST"));
  mt_journal_destroy (journal);
  close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_events_are_counted_beyond_line_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
