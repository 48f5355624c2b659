/* Workspaces: which API keys belong to which caller, and how much may run for the caller at a time.
 * Keys are stored and compared as SHA-256 digests, so no state dump, log or core file of a daemon
 * contains one. A list is filled by one thread; then any thread may read it. */
#ifndef MEDLARTRACK_WORKSPACES_H
#define MEDLARTRACK_WORKSPACES_H

#include "medlartrack/job_spec.h"
#include "medlartrack/str.h"

#include <glib.h>

/* Maximum length of a key and of a workspace's name. */
#define MT_WORKSPACE_MAX_KEY_BYTES  256
#define MT_WORKSPACE_MAX_NAME_BYTES 64

struct mt_workspace
{
  char *name;
  struct mt_resources quota; /* resources in use at a time, in all pools together; 0 for no limit */
  int64_t weight;            /* sets its share when all capacity is in use; 0 counts as 1 */
  unsigned n_keys;
  GPtrArray *digests; /* of GBytes: the SHA-256 of each key, in the order of addition */
};

struct mt_workspaces;

/* Returns an empty list; free it with mt_workspaces_destroy. */
struct mt_workspaces *mt_workspaces_create (void);
void mt_workspaces_destroy (struct mt_workspaces *list);

/* Adds a workspace. Returns false with an error that names the workspace and the remedy if the name
 * is missing, invalid, too long or already used, or if a limit or the weight is negative. */
bool mt_workspaces_add (struct mt_workspaces *list,
                        const char *name,
                        const struct mt_resources *quota,
                        int64_t weight,
                        GError **error);
/* Adds a key to the workspace added last. Returns false with an error if the key is empty, too long
 * or belongs to another workspace; the error never contains the key. */
bool mt_workspaces_add_key (struct mt_workspaces *list, const char *key, GError **error);

/* Adds a key by its digest, as another list has it. Returns false with an error if it is no SHA-256
 * or belongs to another workspace. */
bool mt_workspaces_add_digest (struct mt_workspaces *list, struct mt_str digest, GError **error);

/* Number of workspaces, and access by index from 0. */
unsigned mt_workspaces_count (const struct mt_workspaces *list);
const struct mt_workspace *mt_workspaces_at (const struct mt_workspaces *list, unsigned index);
/* Returns the workspace of an API key; NULL if the key belongs to none. */
const struct mt_workspace *mt_workspaces_by_key (const struct mt_workspaces *list, const char *key);

#endif
