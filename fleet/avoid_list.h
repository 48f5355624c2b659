/* Addresses of daemons that are not called for a while after a failure. Not thread-safe: runs on
 * the loop's thread. */
#ifndef MT_FLEET_AVOID_LIST_H
#define MT_FLEET_AVOID_LIST_H

#include <stdbool.h>
#include <stdint.h>

struct mt_avoid_list;

struct mt_avoid_list *mt_avoid_list_create (void);
void mt_avoid_list_destroy (struct mt_avoid_list *list);
/* Avoids the address for this time from now on, in place of what was set before. */
void mt_avoid_list_add (struct mt_avoid_list *list, const char *address, int64_t ms);
bool mt_avoid_list_has (const struct mt_avoid_list *list, const char *address);

#endif
