/* The platform's lagging list of live and leaving instances, minions and daemons alike:
 * {"instances": [{"name", "state": "live" | "leaving" | "down" | "gone", "boot", "epoch"}]}. */
#ifndef MT_INSTANCES_H
#define MT_INSTANCES_H

#include "medlartrack/planner.h"

#define MT_INSTANCES_KEY "platform/instances"

struct mt_instances;

/* Returns an empty list if the text is empty or can't be parsed; skips rows that can't be parsed.
 */
struct mt_instances *mt_instances_parse (struct mt_str json);
void mt_instances_destroy (struct mt_instances *list);
/* Returns the instances sorted by name, as the planner requires; valid as long as the list. */
const struct mt_planner_instance *mt_instances_all (const struct mt_instances *list, size_t *n);
/* Returns NULL if the instance is not listed; otherwise valid as long as the list. */
const struct mt_planner_instance *mt_instances_find (const struct mt_instances *list,
                                                     const char *name);
/* Whether the platform reports the instance as permanently gone. One that is not listed does not
 * count as gone. */
bool mt_instances_is_gone (const struct mt_instances *list, const char *name);

#endif
