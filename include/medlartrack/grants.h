/* Quotas of workspaces, allocated to the pools by the fleet's leader. Each pool's leader keeps to
 * the share that it was granted; a share is taken back before it is granted to another pool, and
 * counts as taken back only once the pool has acknowledged it. Without I/O; one thread; times in
 * ms.
 */
#ifndef MEDLARTRACK_GRANTS_H
#define MEDLARTRACK_GRANTS_H

#include "medlartrack/scheduler.h"
#include "medlartrack/workspaces.h"

struct mt_grants;

/* token: of the leadership that allocates. */
struct mt_grants *mt_grants_create (int64_t token, int64_t now);
void mt_grants_destroy (struct mt_grants *grants);

/* pools: NULL-terminated; workspaces: NULL for none. */
void mt_grants_configure (struct mt_grants *grants,
                          const char *const *pools,
                          const struct mt_workspaces *workspaces);

/* The next message to the pool of that name; its rows are g_freed by the caller and borrow their
 * names until the next call to mt_grants_configure. */
struct mt_grant_message
mt_grants_next_message (struct mt_grants *grants, const char *name, int64_t now);
/* The pool has acknowledged that message, and has these accounts. */
void mt_grants_acknowledge (struct mt_grants *grants,
                            const char *name,
                            uint64_t number,
                            const struct mt_account_view *views,
                            size_t n,
                            int64_t now);

#endif
