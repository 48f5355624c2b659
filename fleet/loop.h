/* The clock and timers of the loop. */
#ifndef MT_FLEET_LOOP_H
#define MT_FLEET_LOOP_H

#include <stdint.h>

struct event_base;
struct event;

/* Milliseconds of a clock that counts suspension: leases run on while a machine is frozen. */
int64_t mt_loop_now (void);
/* Unix time in milliseconds; may jump. */
int64_t mt_loop_wall_ms (void);

typedef void (*mt_timer_call) (void *ctx);
struct mt_timer;
/* A timer that is not running yet. */
struct mt_timer *mt_timer_create (struct event_base *base, mt_timer_call call, void *ctx);
void mt_timer_destroy (struct mt_timer *timer);
/* Calls once after so many ms; replaces what was set before. */
void mt_timer_set (struct mt_timer *timer, int64_t after_ms);
void mt_timer_clear (struct mt_timer *timer);
/* Sets it only where that is sooner than what is set. */
void mt_timer_set_if_sooner (struct mt_timer *timer, int64_t after_ms);

#endif
