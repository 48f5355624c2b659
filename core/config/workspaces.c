#include "medlartrack/workspaces.h"

#include "medlartrack/error.h"

#include <string.h>

#define DIGEST_BYTES 32

struct mt_workspaces
{
  GPtrArray *rows;     /* struct mt_workspace */
  GHashTable *names;   /* name -> struct mt_workspace; owns neither */
  GHashTable *digests; /* SHA-256 of a key (GBytes) -> struct mt_workspace, not owned */
};

static void
free_workspace (void *data)
{
  struct mt_workspace *workspace = data;

  g_free (workspace->name);
  g_ptr_array_unref (workspace->digests);
  g_free (workspace);
}

struct mt_workspaces *
mt_workspaces_create (void)
{
  struct mt_workspaces *list = g_new0 (struct mt_workspaces, 1);

  list->rows = g_ptr_array_new_with_free_func (free_workspace);
  list->names = g_hash_table_new (g_str_hash, g_str_equal);
  list->digests
      = g_hash_table_new_full (g_bytes_hash, g_bytes_equal, (GDestroyNotify) g_bytes_unref, NULL);
  return list;
}

void
mt_workspaces_destroy (struct mt_workspaces *list)
{
  if (list == NULL)
    return;
  g_hash_table_unref (list->digests);
  g_hash_table_unref (list->names);
  g_ptr_array_unref (list->rows);
  g_free (list);
}

static bool
is_valid_name (const char *name)
{
  size_t len = name != NULL ? strlen (name) : 0;

  for (size_t i = 0; i < len; i++)
    if (!g_ascii_isgraph (name[i]))
      return false;
  return len > 0 && len <= MT_WORKSPACE_MAX_NAME_BYTES;
}

bool
mt_workspaces_add (struct mt_workspaces *list,
                   const char *name,
                   const struct mt_resources *quota,
                   int64_t weight,
                   GError **error)
{
  struct mt_workspace *workspace;

  if (!is_valid_name (name))
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "workspace %u needs a name of 1 to %d printable characters without spaces; "
                   "give it one",
                   list->rows->len + 1, MT_WORKSPACE_MAX_NAME_BYTES);
      return false;
    }
  if (g_hash_table_contains (list->names, name))
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "workspace \"%s\" is listed twice; remove one of them", name);
      return false;
    }
  if (quota->cpu < 0 || quota->mem < 0 || quota->gpu < 0 || weight < 0)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "workspace \"%s\" has a negative limit or weight; write 0 for none", name);
      return false;
    }
  workspace = g_new0 (struct mt_workspace, 1);
  *workspace = (struct mt_workspace){ .name = g_strdup (name),
                                      .quota = *quota,
                                      .weight = weight,
                                      .digests = g_ptr_array_new_with_free_func (
                                          (GDestroyNotify) g_bytes_unref) };
  g_ptr_array_add (list->rows, workspace);
  g_hash_table_insert (list->names, workspace->name, workspace);
  return true;
}

static GBytes *
key_digest (const char *key)
{
  g_autoptr (GChecksum) sum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 digest[DIGEST_BYTES];
  gsize len = sizeof digest;

  g_checksum_update (sum, (const guchar *) key, (gssize) strlen (key));
  g_checksum_get_digest (sum, digest, &len);
  return g_bytes_new (digest, len);
}

static struct mt_workspace *
find_key (const struct mt_workspaces *list, const char *key)
{
  g_autoptr (GBytes) digest = key_digest (key);

  return g_hash_table_lookup (list->digests, digest);
}

/* Takes ownership of the digest. */
static bool
add_digest (struct mt_workspaces *list, GBytes *digest, GError **error)
{
  struct mt_workspace *last = list->rows->pdata[list->rows->len - 1];
  const struct mt_workspace *holder = g_hash_table_lookup (list->digests, digest);

  if (holder != NULL && holder != last)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "key %u of workspace \"%s\" also belongs to workspace \"%s\"; give each its own",
                   last->n_keys + 1, last->name, holder->name);
      g_bytes_unref (digest);
      return false;
    }
  g_ptr_array_add (last->digests, digest);
  if (holder == NULL)
    g_hash_table_insert (list->digests, g_bytes_ref (digest), last);
  last->n_keys++;
  return true;
}

bool
mt_workspaces_add_key (struct mt_workspaces *list, const char *key, GError **error)
{
  const struct mt_workspace *last = list->rows->pdata[list->rows->len - 1];

  if (key == NULL || key[0] == '\0' || strlen (key) > MT_WORKSPACE_MAX_KEY_BYTES)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                   "key %u of workspace \"%s\" must be a text of 1 to %d bytes; replace it",
                   last->n_keys + 1, last->name, MT_WORKSPACE_MAX_KEY_BYTES);
      return false;
    }
  return add_digest (list, key_digest (key), error);
}

bool
mt_workspaces_add_digest (struct mt_workspaces *list, struct mt_str digest, GError **error)
{
  if (list->rows->len == 0 || digest.len != DIGEST_BYTES)
    {
      g_set_error (
          error, MT_ERROR, MT_ERROR_SYNTAX,
          "a key's digest has %zu bytes in place of %d; check that both sides run the same "
          "version",
          digest.len, DIGEST_BYTES);
      return false;
    }
  return add_digest (list, g_bytes_new (digest.data, digest.len), error);
}

unsigned
mt_workspaces_count (const struct mt_workspaces *list)
{
  return list->rows->len;
}

const struct mt_workspace *
mt_workspaces_at (const struct mt_workspaces *list, unsigned index)
{
  return list->rows->pdata[index];
}

const struct mt_workspace *
mt_workspaces_by_key (const struct mt_workspaces *list, const char *key)
{
  if (key == NULL || strlen (key) > MT_WORKSPACE_MAX_KEY_BYTES)
    return NULL;
  return find_key (list, key);
}
