/* Daemons that got the assignment document from this one. A planner waits for every daemon that may
 * hold a document and learns of them from the keys that they write at the platform; one that is cut
 * off from it can't write its own. Whoever hands it a document writes the key in its place, and
 * until then confirms no drain. Any thread may call. */
#ifndef MT_WARDS_H
#define MT_WARDS_H

#include "view.h"

#include "medlartrack/store.h"

struct mt_wards;

struct mt_wards *mt_wards_create (struct mt_view_holder *views, const char *zone);
void mt_wards_destroy (struct mt_wards *wards);
/* Before the document is read that the daemon gets. False, and it must not get it, where its name
 * is no name of a daemon or too many are noted. */
bool mt_wards_note (struct mt_wards *wards, struct mt_str name);
/* Writes the keys that are missing; those that can't be written stay noted. Blocks on the store. */
void mt_wards_register (struct mt_wards *wards, const struct mt_store *store);
/* Calls visit with one request in flight for each instance that drains, while a key is missing:
 * what the heartbeat then tells holds the drains up. */
void mt_wards_each_held (struct mt_wards *wards,
                         void (*visit) (void *ctx, const char *instance, unsigned in_flight),
                         void *ctx);
unsigned mt_wards_count (struct mt_wards *wards);

#endif
