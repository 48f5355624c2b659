/* Workspaces: who calls, by which API key, and how much may run for them at a time. Keys are kept
 * and compared as SHA-256 digests: no state dump, log or core file of a daemon holds one. A value:
 * filled by one thread, then read by any. */
#ifndef MEDLARTRACK_WORKSPACES_H
#define MEDLARTRACK_WORKSPACES_H

#include "medlartrack/job_spec.h"
#include "medlartrack/str.h"

#include <glib.h>

/* Bytes of a key and of a workspace's name at most. */
#define MT_WORKSPACE_MAX_KEY_BYTES  256
#define MT_WORKSPACE_MAX_NAME_BYTES 64

struct mt_workspace
{
  char *name;
  struct mt_resources quota; /* running at a time, in all pools together; 0 for no limit */
  int64_t rate;              /* jobs a second that are its due; 0 for no limit */
  unsigned n_keys;
};

struct mt_workspaces;

struct mt_workspaces *mt_workspaces_create (void);
void mt_workspaces_destroy (struct mt_workspaces *list);

/* False with an error that names the workspace and the remedy: the name is missing, too long or
 * taken, or a limit is negative. */
bool mt_workspaces_add (struct mt_workspaces *list,
                        const char *name,
                        const struct mt_resources *quota,
                        int64_t rate,
                        GError **error);
/* To the workspace added last. False with an error that never shows the key: it is empty, too long,
 * or another workspace has it. */
bool mt_workspaces_add_key (struct mt_workspaces *list, const char *key, GError **error);

unsigned mt_workspaces_count (const struct mt_workspaces *list);
const struct mt_workspace *mt_workspaces_at (const struct mt_workspaces *list, unsigned index);
/* NULL for a key that no workspace has. */
const struct mt_workspace *mt_workspaces_by_key (const struct mt_workspaces *list, const char *key);

#endif
