/* Injected clock. No code in core/ asks the operating system for the time; tests use a manual clock
 * that they advance. Any thread may read a clock; only its owner advances a manual clock. */
#ifndef MEDLARTRACK_CLOCK_H
#define MEDLARTRACK_CLOCK_H

#include <stdint.h>

#define MT_MS     1000LL    /* microseconds in a millisecond */
#define MT_SECOND 1000000LL /* microseconds in a second */

struct mt_clock_ops
{
  const char *name;
  const char *description;
  int64_t (*now_us) (void *ctx);  /* never goes back; includes time that the machine is suspended */
  int64_t (*wall_us) (void *ctx); /* since the Unix epoch; may jump */
};

struct mt_clock
{
  const struct mt_clock_ops *ops;
  void *ctx;
};

/* Return the clock's monotonic time and its wall time, in microseconds. */
int64_t mt_clock_now (const struct mt_clock *clock);
int64_t mt_clock_wall (const struct mt_clock *clock);

/* Returns the machine's clock; static, never freed. */
const struct mt_clock *mt_clock_system (void);

struct mt_clock_manual;
/* Returns a clock that starts at start_us and changes only by mt_clock_manual_advance; free it with
 * mt_clock_manual_destroy. */
struct mt_clock_manual *mt_clock_manual_create (int64_t start_us);
void mt_clock_manual_destroy (struct mt_clock_manual *manual);
void mt_clock_manual_advance (struct mt_clock_manual *manual, int64_t by_us);
/* Returns the clock to pass on; valid as long as manual. */
const struct mt_clock *mt_clock_manual_clock (struct mt_clock_manual *manual);

#endif
