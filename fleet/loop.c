#include "loop.h"

#include <event2/event.h>
#include <glib.h>
#include <time.h>

struct mt_timer
{
  struct event *event;
  mt_timer_call call;
  void *ctx;
  int64_t due_at; /* by mt_loop_now; 0 while not running */
};

static int64_t
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (int64_t) ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
mt_loop_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

int64_t
mt_loop_wall_ms (void)
{
  return read_clock (CLOCK_REALTIME);
}

struct event_base *
mt_loop_create (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_NO_CACHE_TIME);
  base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

static void
on_timer (evutil_socket_t fd, short what, void *ctx)
{
  struct mt_timer *timer = ctx;

  timer->due_at = 0;
  timer->call (timer->ctx);
}

struct mt_timer *
mt_timer_create (struct event_base *base, mt_timer_call call, void *ctx)
{
  struct mt_timer *timer = g_new0 (struct mt_timer, 1);

  timer->event = event_new (base, -1, 0, on_timer, timer);
  timer->call = call;
  timer->ctx = ctx;
  return timer;
}

void
mt_timer_destroy (struct mt_timer *timer)
{
  if (timer == NULL)
    return;
  event_free (timer->event);
  g_free (timer);
}

void
mt_timer_set (struct mt_timer *timer, int64_t after_ms)
{
  struct timeval limit = { after_ms / 1000, after_ms % 1000 * 1000 };

  timer->due_at = mt_loop_now () + after_ms;
  event_add (timer->event, &limit);
}

void
mt_timer_clear (struct mt_timer *timer)
{
  timer->due_at = 0;
  event_del (timer->event);
}

void
mt_timer_set_if_sooner (struct mt_timer *timer, int64_t after_ms)
{
  if (timer->due_at == 0 || mt_loop_now () + after_ms < timer->due_at)
    mt_timer_set (timer, after_ms);
}
