/* Limits retries to a fraction of the first attempts, so that retries cannot sustain an overload
 * after its cause is gone. Not thread-safe. */
#ifndef MEDLARTRACK_RETRY_BUDGET_H
#define MEDLARTRACK_RETRY_BUDGET_H

#include <stdbool.h>

/* Amounts in thousandths of a token. */
#define MT_RETRY_COST       1000
#define MT_RETRY_DEPOSIT    100   /* one retry per ten first attempts */
#define MT_RETRY_MAX_TOKENS 10000 /* burst size and initial balance */

struct mt_retry_budget
{
  unsigned tokens; /* balance, in thousandths of a token */
};

/* Sets the initial balance. */
void mt_retry_budget_init (struct mt_retry_budget *budget);
/* To be called once for each first attempt. */
void mt_retry_budget_deposit (struct mt_retry_budget *budget);
/* Takes the cost of a retry. Returns false if the balance is too low: the request must not be
 * retried. */
bool mt_retry_budget_take (struct mt_retry_budget *budget);

#endif
