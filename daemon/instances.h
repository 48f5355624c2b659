/* The platform's lagging list of live and leaving instances, minions and daemons alike:
 * {"instances": [{"name", "state": "live" | "leaving" | "down" | "gone", "boot", "epoch"}]}. */
#ifndef MT_INSTANCES_H
#define MT_INSTANCES_H

#include "medlartrack/planner.h"

#define MT_INSTANCES_KEY "platform/instances"

struct mt_instances;

/* An empty list where the text is none; a row that can't be read is left out. */
struct mt_instances *mt_instances_parse (struct mt_str json);
void mt_instances_destroy (struct mt_instances *list);
/* Sorted by name, as the planner wants them; valid as long as the list. */
const struct mt_planner_instance *mt_instances_all (const struct mt_instances *list, size_t *n);
const struct mt_planner_instance *mt_instances_find (const struct mt_instances *list,
                                                     const char *name);
/* The platform says that it is gone for good; not being listed is no such word. */
bool mt_instances_is_gone (const struct mt_instances *list, const char *name);

#endif
