#include "order_window.h"

#define FIRST_SIZE 8.0
/* While the platform takes no more orders, none is sent for this time. */
#define PAUSE_MS 100

struct mt_order_window
mt_order_window_make (void)
{
  return (struct mt_order_window){ .size = FIRST_SIZE };
}

bool
mt_order_window_may_send (const struct mt_order_window *w, int64_t now)
{
  return w->in_flight < (unsigned) w->size && now >= w->paused_until;
}

void
mt_order_window_sent (struct mt_order_window *w)
{
  w->in_flight++;
}

void
mt_order_window_answered (struct mt_order_window *w, enum mt_machine_answer answer, int64_t now)
{
  w->in_flight--;
  if (answer == MT_MACHINE_LIMITED)
    {
      /* The other orders of the round are refused for the same reason. */
      if (now >= w->paused_until)
        w->size = MAX (w->size / 2, 1);
      w->paused_until = now + PAUSE_MS;
    }
  else if (answer != MT_MACHINE_UNKNOWN)
    w->size = MIN (w->size + 1 / w->size, MT_MAX_MACHINE_ORDERS);
}
