#include "medlartrack/clock.h"

#include <glib.h>
#include <time.h>

struct mt_clock_manual
{
  struct mt_clock clock;
  gint64 now_us; /* atomic: read by any thread, written by the owner */
};

int64_t
mt_clock_now (const struct mt_clock *clock)
{
  return clock->ops->now_us (clock->ctx);
}

int64_t
mt_clock_wall (const struct mt_clock *clock)
{
  return clock->ops->wall_us (clock->ctx);
}

static int64_t
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (int64_t) ts.tv_sec * MT_SECOND + ts.tv_nsec / 1000;
}

/* CLOCK_MONOTONIC stops while a machine is suspended: after resuming, a lease would look valid
 * though it has expired at the platform. CLOCK_BOOTTIME includes the suspension. */
static int64_t
system_now (void *ctx)
{
  return read_clock (CLOCK_BOOTTIME);
}

static int64_t
system_wall (void *ctx)
{
  return read_clock (CLOCK_REALTIME);
}

static const struct mt_clock_ops system_ops = {
  .name = "system",
  .description = "the machine's boot-time and real-time clocks",
  .now_us = system_now,
  .wall_us = system_wall,
};

static const struct mt_clock system_clock = { .ops = &system_ops, .ctx = NULL };

const struct mt_clock *
mt_clock_system (void)
{
  return &system_clock;
}

static int64_t
manual_now (void *ctx)
{
  struct mt_clock_manual *manual = ctx;

  return __atomic_load_n (&manual->now_us, __ATOMIC_SEQ_CST);
}

static const struct mt_clock_ops manual_ops = {
  .name = "manual",
  .description = "changes only when advanced; wall time equals monotonic time",
  .now_us = manual_now,
  .wall_us = manual_now,
};

struct mt_clock_manual *
mt_clock_manual_create (int64_t start_us)
{
  struct mt_clock_manual *manual = g_new0 (struct mt_clock_manual, 1);

  manual->clock.ops = &manual_ops;
  manual->clock.ctx = manual;
  manual->now_us = start_us;
  return manual;
}

void
mt_clock_manual_destroy (struct mt_clock_manual *manual)
{
  g_free (manual);
}

void
mt_clock_manual_advance (struct mt_clock_manual *manual, int64_t by_us)
{
  __atomic_add_fetch (&manual->now_us, by_us, __ATOMIC_SEQ_CST);
}

const struct mt_clock *
mt_clock_manual_clock (struct mt_clock_manual *manual)
{
  return &manual->clock;
}
