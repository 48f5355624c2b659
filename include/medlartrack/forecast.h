/* Forecasts the demand of pools whose load surges repeatedly, from their reported demand. A pattern
 * that does not repeat gives a confidence of 0. Does no I/O. Not thread-safe. Times are
 * milliseconds of a monotonic clock. */
#ifndef MEDLARTRACK_FORECAST_H
#define MEDLARTRACK_FORECAST_H

#include "medlartrack/str.h"

#include <glib.h>
#include <stdint.h>

struct mt_forecast;

/* Longest text that mt_forecast_save returns, in bytes. The pools that surged longest ago are left
 * out if all do not fit. */
#define MT_FORECAST_MAX_TEXT 4000

struct mt_forecast_value
{
  double cpu;        /* expected demand, in thousandths of a core */
  double confidence; /* 0: nothing is known, to 1 */
  bool surge;        /* the pool is expected to surge at that time */
};

/* A method of forecasting; see mt_forecast_method. */
struct mt_forecast_method;

/* Returns the method of that name ("none", "onset", "cycle", "successor"); NULL if there is none.
 */
const struct mt_forecast_method *mt_forecast_method (const char *name);
/* Returns the method of that index, from 0; NULL after the last. */
const struct mt_forecast_method *mt_forecast_method_at (size_t index);
const char *mt_forecast_method_name (const struct mt_forecast_method *method);
/* Returns whether the method never forecasts anything ("none"). */
bool mt_forecast_method_is_none (const struct mt_forecast_method *method);

/* Free the result with mt_forecast_destroy. */
struct mt_forecast *mt_forecast_create (const struct mt_forecast_method *method);
void mt_forecast_destroy (struct mt_forecast *forecast);

/* Records a pool's present demand, in thousandths of a core. */
void mt_forecast_observe (struct mt_forecast *forecast, const char *pool, int64_t cpu, int64_t now);
/* Forecasts the pool's demand at the time `at`, not before now. */
void mt_forecast_expect (const struct mt_forecast *forecast,
                         const char *pool,
                         int64_t at,
                         int64_t now,
                         struct mt_forecast_value *out);

/* Returns whether a surge of the pool has begun when it was expected, and has ended. Until then its
 * forecast rests on a pattern that was seen once. Never true for a method that forecasts no
 * beginnings. */
bool mt_forecast_is_confirmed (const struct mt_forecast *forecast, const char *pool);

/* A surge that has begun, or one that was expected and did not come. */
struct mt_forecast_event
{
  const char *pool;    /* valid until the next event is taken */
  bool began;          /* false: the expected surge did not come */
  int64_t expected_at; /* 0: it was not expected */
  int64_t began_at;    /* 0: it did not come */
  double cpu;          /* expected height; 0 if unknown */
  double confidence;   /* of the expectation */
};

/* Takes the next event; at most one for each pool waits. Returns false if there is none. */
bool mt_forecast_next_event (struct mt_forecast *forecast, struct mt_forecast_event *event);

/* Returns a number that grows with each change of what mt_forecast_save returns, apart from
 * ages. */
uint64_t mt_forecast_revision (const struct mt_forecast *forecast);
/* Returns what was learned as JSON text, with ages relative to now; free it with g_free. */
char *mt_forecast_save (const struct mt_forecast *forecast, int64_t now);
/* Loads a saved text that is age_ms old. Returns false with an error, and learns nothing, if it
 * can't be read. A pool that has already surged keeps what was learned of it. */
bool mt_forecast_load (
    struct mt_forecast *forecast, struct mt_str text, int64_t age_ms, int64_t now, GError **error);

#endif
