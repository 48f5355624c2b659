/* How many orders to machines may be in flight: the window grows by one with each round of orders
 * that the platform takes, and is halved when it takes no more. A large pool that gives up most of
 * its machines has a thousand orders at a time. Pure functions on a value of the caller's. */
#ifndef MT_FLEET_ORDER_WINDOW_H
#define MT_FLEET_ORDER_WINDOW_H

#include "ports.h"

struct mt_order_window
{
  double size;
  unsigned in_flight;
  int64_t paused_until; /* by the caller's clock, in ms */
};

struct mt_order_window mt_order_window_make (void);
bool mt_order_window_may_send (const struct mt_order_window *window, int64_t now);
void mt_order_window_sent (struct mt_order_window *window);
void mt_order_window_answered (struct mt_order_window *window,
                               enum mt_machine_answer answer,
                               int64_t now);

#endif
