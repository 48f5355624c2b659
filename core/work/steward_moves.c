#include "steward_internal.h"

void
mt_steward_plan_moves (struct mt_steward *s, int64_t now)
{
}
