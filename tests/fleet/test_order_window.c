#include "order_window.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define ANSWER_MS 10
#define ORDERS    1200

/* Sends ORDERS orders to a platform that takes per_s of them a second, at one end of which a queue
 * of the refused ones is sent again. Returns how long it took; sets the number that were refused.
 */
static int64_t
send_all (unsigned per_s, unsigned *refused)
{
  struct mt_order_window w = mt_order_window_make ();
  unsigned left = ORDERS;
  double allowance = 0;
  int64_t now = 0;

  *refused = 0;
  for (; left > 0 && now < 60000; now += ANSWER_MS)
    {
      unsigned sent = 0;

      allowance = MIN (allowance + per_s * ANSWER_MS / 1000.0, per_s);
      for (; sent < left && mt_order_window_may_send (&w, now); sent++)
        mt_order_window_sent (&w);
      assert_true (sent <= MT_MAX_MACHINE_ORDERS);
      for (; sent > 0; sent--)
        {
          bool taken = allowance >= 1;

          allowance -= taken ? 1 : 0;
          left -= taken;
          *refused += !taken;
          mt_order_window_answered (&w, taken ? MT_MACHINE_DONE : MT_MACHINE_LIMITED,
                                    now + ANSWER_MS);
        }
    }
  return now;
}

/* Guards against a thousand orders at once: most waited in this daemon past their time-out and were
 * sent again as a whole, some 150 a second where the platform took four times as many. */
static void
test_many_orders_go_at_the_platforms_pace (void **state)
{
  static const unsigned rates[] = { 60, 600, 2000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      unsigned refused;
      int64_t took = send_all (rates[i], &refused);

      assert_true (took <= 2 * ORDERS * 1000 / rates[i] + 2000);
      /* The window is halved at each limit. */
      assert_true (refused <= ORDERS / 2);
    }
}

/* Guards against a window that never opens again after a limit, or that an order without an answer
 * closes. */
static void
test_window_opens_again (void **state)
{
  struct mt_order_window w = mt_order_window_make ();

  for (int64_t now = 0; now < 20000; now += 1000)
    {
      mt_order_window_sent (&w);
      mt_order_window_answered (&w, MT_MACHINE_LIMITED, now);
      assert_false (mt_order_window_may_send (&w, now));
      assert_true (mt_order_window_may_send (&w, now + 1000));
    }
  for (int i = 0; i < 2000; i++)
    {
      mt_order_window_sent (&w);
      mt_order_window_answered (&w, i % 2 == 0 ? MT_MACHINE_DONE : MT_MACHINE_UNKNOWN, 30000);
    }
  assert_true ((unsigned) w.size == MT_MAX_MACHINE_ORDERS);
  assert_int_equal (w.in_flight, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_many_orders_go_at_the_platforms_pace),
    cmocka_unit_test (test_window_opens_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
