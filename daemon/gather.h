/* What the planner knows of the data centre's daemons in one moment, copied out of the membership.
 * Used by the planner's thread alone. */
#ifndef MT_GATHER_H
#define MT_GATHER_H

#include "control.h"
#include "instances.h"

struct mt_gather;

struct mt_gather *mt_gather_create (const struct mt_control_options *options);
void mt_gather_destroy (struct mt_gather *gather);
/* A daemon that may hold a document, heard of or not: unheard, it confirms nothing. */
void mt_gather_add_registered (struct mt_gather *gather, const char *name);
/* Those that the list calls gone, and that nobody hears of, stand in no drain's way. */
void mt_gather_mark_gone (struct mt_gather *gather, const struct mt_instances *list);
const struct mt_assign_member *mt_gather_members (const struct mt_gather *gather, size_t *n);
const struct mt_capacity_demand *mt_gather_demands (const struct mt_gather *gather, size_t *n);

#endif
