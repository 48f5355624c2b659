/* Allocates the quotas of workspaces to the pools, and tells each pool what its workspaces use in
 * the other pools; runs on the fleet leader. Each pool's leader
 * stays within the share that it was granted. A share is revoked before it is granted to another
 * pool, and counts as revoked only once the pool has acknowledged it. Does no I/O. Not thread-safe.
 * Times are milliseconds of a clock that counts suspension. */
#ifndef MEDLARTRACK_GRANTS_H
#define MEDLARTRACK_GRANTS_H

#include "medlartrack/scheduler.h"
#include "medlartrack/workspaces.h"

struct mt_grants;

/* Returns an allocation without pools; free it with mt_grants_destroy. token: fencing token of the
 * fleet leader. */
struct mt_grants *mt_grants_create (int64_t token, int64_t now);
void mt_grants_destroy (struct mt_grants *grants);

/* Sets the pools and the workspaces with their quotas; the state of those that stay is kept. pools:
 * names, NULL-terminated; workspaces: NULL if there are none. */
void mt_grants_configure (struct mt_grants *grants,
                          const char *const *pools,
                          const struct mt_workspaces *workspaces);

/* Returns the next message to the pool of that name. The caller frees its array of grants with
 * g_free; its array of uses stays valid until the next call of this function, and the workspace
 * names until the next call to mt_grants_configure. */
struct mt_grant_message
mt_grants_next_message (struct mt_grants *grants, const char *name, int64_t now);
/* Handles a pool's acknowledgement of the message with that sequence number. views: the pool's
 * accounts. */
void mt_grants_acknowledge (struct mt_grants *grants,
                            const char *name,
                            uint64_t sequence,
                            const struct mt_account_view *views,
                            size_t n,
                            int64_t now);

#endif
