/* Bounds retries to a part of the first tries, so that they can't keep an overload going after its
 * cause is gone. Not thread-safe. */
#ifndef MEDLARTRACK_RETRY_BUDGET_H
#define MEDLARTRACK_RETRY_BUDGET_H

#include <stdbool.h>

/* Thousandths of a token. */
#define MT_RETRY_COST       1000
#define MT_RETRY_DEPOSIT    100   /* one retry for ten first tries */
#define MT_RETRY_MAX_TOKENS 10000 /* burst, and what a new budget holds */

struct mt_retry_budget
{
  unsigned tokens;
};

void mt_retry_budget_init (struct mt_retry_budget *budget);
/* Called once for each first try. */
void mt_retry_budget_deposit (struct mt_retry_budget *budget);
/* False: not to be tried again. */
bool mt_retry_budget_take (struct mt_retry_budget *budget);

#endif
