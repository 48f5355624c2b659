/* Forecasts the demand of pools whose load surges repeatedly, from their reported demand. A pattern
 * that does not repeat gives a confidence of 0. Does no I/O. Not thread-safe. Times are
 * milliseconds of a monotonic clock. */
#ifndef MEDLARTRACK_FORECAST_H
#define MEDLARTRACK_FORECAST_H

#include "medlartrack/str.h"

#include <glib.h>

struct mt_forecast;

struct mt_forecast_value
{
  double cpu;        /* expected demand, in thousandths of a core */
  double confidence; /* 0: nothing is known, to 1 */
};

/* A method of forecasting; see mt_forecast_method. */
struct mt_forecast_method;

/* Returns the method of that name ("none", "onset", "cycle", "successor"); NULL if there is none.
 */
const struct mt_forecast_method *mt_forecast_method (const char *name);

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

/* Returns what was learned as JSON text, with ages relative to now; free it with g_free. */
char *mt_forecast_save (const struct mt_forecast *forecast, int64_t now);
/* Loads a saved text that is age_ms old. Returns false with an error, and learns nothing, if it
 * can't be read. */
bool mt_forecast_load (
    struct mt_forecast *forecast, struct mt_str text, int64_t age_ms, int64_t now, GError **error);

#endif
