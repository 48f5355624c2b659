#include "medlartrack/retry_budget.h"

void
mt_retry_budget_init (struct mt_retry_budget *budget)
{
  budget->tokens = MT_RETRY_MAX_TOKENS;
}

void
mt_retry_budget_deposit (struct mt_retry_budget *budget)
{
  budget->tokens += MT_RETRY_DEPOSIT;
  if (budget->tokens > MT_RETRY_MAX_TOKENS)
    budget->tokens = MT_RETRY_MAX_TOKENS;
}

bool
mt_retry_budget_take (struct mt_retry_budget *budget)
{
  if (budget->tokens < MT_RETRY_COST)
    return false;
  budget->tokens -= MT_RETRY_COST;
  return true;
}
