/* Encodes the report of a pool's leader to the fleet controller as msgpack. Pure functions. */
#ifndef MT_FLEET_POOL_REPORT_H
#define MT_FLEET_POOL_REPORT_H

#include "medlartrack/scheduler.h"
#include "medlartrack/str.h"

struct mt_pool_report
{
  struct mt_scheduler_load load;
  struct mt_worker_view *workers; /* ids are owned by the report */
  size_t n_workers;
  struct mt_account_view *accounts; /* names are owned by the report */
  size_t n_accounts;
};

/* Free the bytes with g_free. */
char *mt_pool_report_pack (const struct mt_scheduler *sched, int64_t now, size_t *len);
bool mt_pool_report_unpack (struct mt_str bytes, struct mt_pool_report *out);
void mt_pool_report_clear (struct mt_pool_report *report);

#endif
