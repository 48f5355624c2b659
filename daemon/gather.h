/* A snapshot of the data centre's daemons for one planner step, copied from the membership. Used by
 * the planner's thread only. */
#ifndef MT_GATHER_H
#define MT_GATHER_H

#include "control.h"
#include "instances.h"

struct mt_gather;

/* Takes the snapshot. */
struct mt_gather *mt_gather_create (const struct mt_control_options *options);
void mt_gather_destroy (struct mt_gather *gather);
/* Adds a daemon that may hold a document, unless it is in the snapshot already. One added here is
 * not a live member and confirms no version. */
void mt_gather_add_registered (struct mt_gather *gather, const char *name);
/* Marks the daemons as gone that the list calls gone and that are no live members: drains don't
 * wait for them. */
void mt_gather_mark_gone (struct mt_gather *gather, const struct mt_instances *list);
/* Returns the daemons of the snapshot; valid until one is added. */
const struct mt_assign_member *mt_gather_members (const struct mt_gather *gather, size_t *n);
/* Returns each pool's demand, summed over the live daemons; valid as long as the snapshot. */
const struct mt_capacity_demand *mt_gather_demands (const struct mt_gather *gather, size_t *n);

#endif
