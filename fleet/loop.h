/* Clock and timers of the event loop. */
#ifndef MT_FLEET_LOOP_H
#define MT_FLEET_LOOP_H

#include <stdint.h>

struct event_base;
struct event;

/* Monotonic time in milliseconds that includes suspension: leases run on while a machine is
 * frozen. */
int64_t mt_loop_now (void);
/* Unix time in milliseconds; may jump. */
int64_t mt_loop_wall_ms (void);

/* Returns a loop whose timers count from the call that sets them. Those of a plain one count from
 * when the current callback began: a time-out set after half a second of work ends that much too
 * early. Free it with event_base_free. */
struct event_base *mt_loop_create (void);

typedef void (*mt_timer_call) (void *ctx);
struct mt_timer;
/* Creates a timer that is not running. */
struct mt_timer *mt_timer_create (struct event_base *base, mt_timer_call call, void *ctx);
void mt_timer_destroy (struct mt_timer *timer);
/* Runs the callback once after after_ms; replaces an earlier deadline. */
void mt_timer_set (struct mt_timer *timer, int64_t after_ms);
void mt_timer_clear (struct mt_timer *timer);
/* Sets the timer only if it is not running or would run later. */
void mt_timer_set_if_sooner (struct mt_timer *timer, int64_t after_ms);

#endif
