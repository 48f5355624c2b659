/* Keeps what the fleet's leader learned of the pools' surges in the store, for its successor. The
 * forecast is read once and then written at intervals if it has changed, with the leadership as
 * precondition. Not thread-safe: runs on the loop's thread. */
#ifndef MT_FLEET_FORECAST_STORE_H
#define MT_FLEET_FORECAST_STORE_H

#include "medlartrack/forecast.h"
#include "ports.h"

struct mt_journal;
struct mt_forecast_store;

struct mt_forecast_store_options
{
  struct mt_kv kv;
  const char *leader_key; /* copied */
  int64_t token;
  struct mt_forecast *forecast; /* outlives the store */
  struct mt_journal *journal;   /* NULL: no log */
};

struct mt_forecast_store *
mt_forecast_store_create (const struct mt_forecast_store_options *options);
void mt_forecast_store_destroy (struct mt_forecast_store *store);
/* Reads or writes what is due. wall_ms: Unix time, which tells a successor the age of the text. */
void mt_forecast_store_tick (struct mt_forecast_store *store, int64_t now, int64_t wall_ms);

#endif
