#include "config_delta.h"

#include "medlartrack/error.h"
#include "medlartrack/pack.h"

#include <string.h>
#include <zlib.h>

/* A document is a sequence of blocks: a 4-byte big-endian length and a msgpack array [kind, rows].
 * The first one is the header. The numbers are part of the protocol and never reused. */
enum block_kind
{
  BLOCK_HEADER = 1,     /* [version before, 0 for none; version after] */
  BLOCK_REMOVED = 2,    /* rows of host and prefix */
  BLOCK_ROUTES = 3,     /* rows of the fields of a route, added or changed */
  BLOCK_POOLS = 4,      /* rows of name and standby: all pools */
  BLOCK_WORKSPACES = 5, /* rows of name, quota, weight and digests: all; or nil for none at all */
};

#define LENGTH_BYTES   4
#define ROWS_PER_BLOCK 256
#define REMOVED_FIELDS 2
#define ROUTE_FIELDS   9
#define POOL_FIELDS    2
#define SPACE_FIELDS   6
/* Limits the memory that a document can take. */
#define MAX_DOCUMENT_BYTES (64U * 1024 * 1024)
#define INFLATE_BYTES      65536

enum route_flag
{
  ROUTE_REQUIRES_ADVICE = 1,
  ROUTE_ALLOW_ANONYMOUS = 2,
};

/* ---- encoding ---- */

struct encoder
{
  GByteArray *out;
  msgpack_sbuffer rows; /* of the current block, without its header */
  msgpack_packer packer;
  size_t n_rows;
  enum block_kind kind;
  const struct mt_route_table *other; /* the routes to compare with; NULL for none */
};

static void
append_block (struct encoder *e, enum block_kind kind, size_t n_rows, const char *rows, size_t len)
{
  msgpack_sbuffer head;
  msgpack_packer packer;
  guint32 length;

  msgpack_sbuffer_init (&head);
  msgpack_packer_init (&packer, &head, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_unsigned_int (&packer, kind);
  if (rows != NULL)
    msgpack_pack_array (&packer, n_rows);
  else
    msgpack_pack_nil (&packer);
  length = GUINT32_TO_BE ((guint32) (head.size + len));
  g_byte_array_append (e->out, (const guint8 *) &length, LENGTH_BYTES);
  g_byte_array_append (e->out, (const guint8 *) head.data, (guint) head.size);
  if (len > 0)
    g_byte_array_append (e->out, (const guint8 *) rows, (guint) len);
  msgpack_sbuffer_destroy (&head);
}

static void
end_block (struct encoder *e)
{
  if (e->n_rows > 0)
    append_block (e, e->kind, e->n_rows, e->rows.data, e->rows.size);
  msgpack_sbuffer_clear (&e->rows);
  e->n_rows = 0;
}

static void
end_row (struct encoder *e)
{
  if (++e->n_rows == ROWS_PER_BLOCK)
    end_block (e);
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  if (text != NULL)
    mt_pack_str (packer, mt_str_from (text));
  else
    msgpack_pack_nil (packer);
}

static void
encode_removed (void *ctx, const struct mt_fleet_route *route)
{
  struct encoder *e = ctx;

  if (mt_route_table_get (e->other, route->host, route->prefix) != NULL)
    return;
  msgpack_pack_array (&e->packer, REMOVED_FIELDS);
  pack_text (&e->packer, route->host);
  pack_text (&e->packer, route->prefix);
  end_row (e);
}

static void
encode_changed (void *ctx, const struct mt_fleet_route *route)
{
  struct encoder *e = ctx;
  const struct mt_fleet_route *before
      = e->other != NULL ? mt_route_table_get (e->other, route->host, route->prefix) : NULL;

  if (before != NULL && mt_fleet_route_equal (before, route))
    return;
  msgpack_pack_array (&e->packer, ROUTE_FIELDS);
  pack_text (&e->packer, route->name);
  pack_text (&e->packer, route->host);
  pack_text (&e->packer, route->prefix);
  pack_text (&e->packer, route->pool);
  msgpack_pack_int (&e->packer, route->terms.priority);
  msgpack_pack_int (&e->packer, route->terms.max_attempts);
  msgpack_pack_double (&e->packer, route->terms.stretch);
  msgpack_pack_int64 (&e->packer, route->terms.objective_ms);
  msgpack_pack_unsigned_int (&e->packer,
                             (route->requires_advice ? ROUTE_REQUIRES_ADVICE : 0U)
                                 | (route->allow_anonymous ? ROUTE_ALLOW_ANONYMOUS : 0U));
  end_row (e);
}

static void
encode_pools (struct encoder *e, const struct mt_fleet_config *config)
{
  e->kind = BLOCK_POOLS;
  for (size_t i = 0; i < config->n_pools; i++)
    {
      msgpack_pack_array (&e->packer, POOL_FIELDS);
      pack_text (&e->packer, config->pools[i].name);
      msgpack_pack_int (&e->packer, config->pools[i].standby);
      end_row (e);
    }
  end_block (e);
}

static void
encode_workspaces (struct encoder *e, const struct mt_workspaces *list)
{
  unsigned n = list != NULL ? mt_workspaces_count (list) : 0;

  append_block (e, BLOCK_WORKSPACES, 0, list != NULL ? "" : NULL, 0);
  e->kind = BLOCK_WORKSPACES;
  for (unsigned i = 0; i < n; i++)
    {
      const struct mt_workspace *workspace = mt_workspaces_at (list, i);

      msgpack_pack_array (&e->packer, SPACE_FIELDS);
      pack_text (&e->packer, workspace->name);
      msgpack_pack_int64 (&e->packer, workspace->quota.cpu);
      msgpack_pack_int64 (&e->packer, workspace->quota.mem);
      msgpack_pack_int64 (&e->packer, workspace->quota.gpu);
      msgpack_pack_int64 (&e->packer, workspace->weight);
      msgpack_pack_array (&e->packer, workspace->digests->len);
      for (guint d = 0; d < workspace->digests->len; d++)
        {
          struct mt_str digest;

          digest.data = g_bytes_get_data (workspace->digests->pdata[d], &digest.len);
          mt_pack_bin (&e->packer, digest);
        }
      end_row (e);
    }
  end_block (e);
}

/* Encodes what both configurations have beside the routes, if it differs. */
static void
encode_rest (struct encoder *e,
             const struct mt_fleet_config *from,
             const struct mt_fleet_config *to)
{
  GByteArray *out = e->out;
  g_autoptr (GByteArray) before = g_byte_array_new ();
  g_autoptr (GByteArray) after = g_byte_array_new ();

  e->out = after;
  encode_pools (e, to);
  encode_workspaces (e, to->workspaces);
  e->out = before;
  if (from != NULL)
    {
      encode_pools (e, from);
      encode_workspaces (e, from->workspaces);
    }
  e->out = out;
  if (before->len != after->len || memcmp (before->data, after->data, after->len) != 0)
    g_byte_array_append (out, after->data, after->len);
}

static void
encode_header (struct encoder *e, int64_t before, int64_t after)
{
  e->kind = BLOCK_HEADER;
  msgpack_pack_int64 (&e->packer, before);
  msgpack_pack_int64 (&e->packer, after);
  e->n_rows = 2;
  end_block (e);
}

static GBytes *
compress_bytes (const GByteArray *bytes)
{
  uLongf len = compressBound (bytes->len);
  guint8 *out = g_malloc (len);

  compress2 (out, &len, bytes->data, bytes->len, Z_BEST_SPEED);
  return g_bytes_new_take (g_realloc (out, len), len);
}

GBytes *
mt_config_delta_encode (const struct mt_fleet_config *from, const struct mt_fleet_config *to)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  struct encoder e = { .out = out };

  msgpack_sbuffer_init (&e.rows);
  msgpack_packer_init (&e.packer, &e.rows, msgpack_sbuffer_write);
  encode_header (&e, from != NULL ? from->version : 0, to->version);
  if (from != NULL)
    {
      e.kind = BLOCK_REMOVED;
      e.other = to->routes;
      mt_route_table_for_each (from->routes, encode_removed, &e);
      end_block (&e);
    }
  e.kind = BLOCK_ROUTES;
  e.other = from != NULL ? from->routes : NULL;
  mt_route_table_for_each (to->routes, encode_changed, &e);
  end_block (&e);
  encode_rest (&e, from, to);
  msgpack_sbuffer_destroy (&e.rows);
  return compress_bytes (out);
}

/* ---- decoding ---- */

/* What a document says, checked as a whole before any of it is applied. */
struct changes
{
  int64_t before;
  int64_t after;
  GArray *removed; /* of struct mt_fleet_route, of which host and prefix are set */
  GArray *routes;  /* of struct mt_fleet_route */
  GArray *pools;   /* of struct mt_fleet_pool */
  bool has_rest;   /* pools and workspaces are replaced */
  struct mt_workspaces *workspaces;
};

static void
clear_route (void *route)
{
  mt_fleet_route_clear (route);
}

static void
clear_pool (void *pool)
{
  g_free (((struct mt_fleet_pool *) pool)->name);
}

static void
init_changes (struct changes *c)
{
  *c = (struct changes){ .removed = g_array_new (FALSE, TRUE, sizeof (struct mt_fleet_route)),
                         .routes = g_array_new (FALSE, TRUE, sizeof (struct mt_fleet_route)),
                         .pools = g_array_new (FALSE, TRUE, sizeof (struct mt_fleet_pool)) };
  g_array_set_clear_func (c->removed, clear_route);
  g_array_set_clear_func (c->routes, clear_route);
  g_array_set_clear_func (c->pools, clear_pool);
}

static void
clear_changes (struct changes *c)
{
  g_array_unref (c->removed);
  g_array_unref (c->routes);
  g_array_unref (c->pools);
  mt_workspaces_destroy (c->workspaces);
}

/* Sets *out to a copy of a text; NULL for nil. */
static bool
unpack_text (const msgpack_object *object, bool may_be_nil, char **out)
{
  struct mt_str text;

  *out = NULL;
  if (object->type == MSGPACK_OBJECT_NIL)
    return may_be_nil;
  if (!mt_pack_get_str (object, &text) || memchr (text.data, '\0', text.len) != NULL)
    return false;
  *out = g_strndup (text.data, text.len);
  return true;
}

static bool
unpack_int (const msgpack_object *object, int64_t *out)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      && object->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return false;
  *out = object->via.i64;
  return object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER || object->via.u64 <= INT64_MAX;
}

static bool
unpack_small_int (const msgpack_object *object, int *out)
{
  int64_t value;

  if (!unpack_int (object, &value) || value < INT_MIN || value > INT_MAX)
    return false;
  *out = (int) value;
  return true;
}

static bool
unpack_double (const msgpack_object *object, double *out)
{
  if (object->type != MSGPACK_OBJECT_FLOAT64)
    return false;
  *out = object->via.f64;
  return true;
}

static bool
unpack_header (struct changes *c, const msgpack_object *rows)
{
  const msgpack_object *f = mt_pack_get_array (rows, 2);

  return f != NULL && unpack_int (&f[0], &c->before) && unpack_int (&f[1], &c->after)
         && c->before >= 0 && c->after > c->before;
}

static bool
unpack_removed (struct changes *c, const msgpack_object *row)
{
  const msgpack_object *f = mt_pack_get_array (row, REMOVED_FIELDS);
  struct mt_fleet_route route = { 0 };
  bool ok = f != NULL && unpack_text (&f[0], true, &route.host)
            && unpack_text (&f[1], false, &route.prefix);

  g_array_append_val (c->removed, route);
  return ok;
}

static bool
unpack_route (struct changes *c, const msgpack_object *row)
{
  const msgpack_object *f = mt_pack_get_array (row, ROUTE_FIELDS);
  struct mt_fleet_route route = { 0 };
  int flags = 0;
  bool ok = f != NULL && unpack_text (&f[0], false, &route.name)
            && unpack_text (&f[1], true, &route.host) && unpack_text (&f[2], false, &route.prefix)
            && unpack_text (&f[3], false, &route.pool)
            && unpack_small_int (&f[4], &route.terms.priority)
            && unpack_small_int (&f[5], &route.terms.max_attempts)
            && unpack_double (&f[6], &route.terms.stretch)
            && unpack_int (&f[7], &route.terms.objective_ms) && unpack_small_int (&f[8], &flags);

  route.requires_advice = (flags & ROUTE_REQUIRES_ADVICE) != 0;
  route.allow_anonymous = (flags & ROUTE_ALLOW_ANONYMOUS) != 0;
  g_array_append_val (c->routes, route);
  return ok;
}

static bool
unpack_pool (struct changes *c, const msgpack_object *row)
{
  const msgpack_object *f = mt_pack_get_array (row, POOL_FIELDS);
  struct mt_fleet_pool pool = { 0 };
  int standby = 0;
  bool ok
      = f != NULL && unpack_text (&f[0], false, &pool.name) && unpack_small_int (&f[1], &standby);

  pool.standby = standby != 0;
  g_array_append_val (c->pools, pool);
  return ok;
}

static bool
unpack_workspace (struct changes *c, const msgpack_object *row)
{
  const msgpack_object *f = mt_pack_get_array (row, SPACE_FIELDS);
  struct mt_resources quota = { 0 };
  g_autofree char *name = NULL;
  int64_t weight;

  if (f == NULL || c->workspaces == NULL || !unpack_text (&f[0], false, &name)
      || !unpack_int (&f[1], &quota.cpu) || !unpack_int (&f[2], &quota.mem)
      || !unpack_int (&f[3], &quota.gpu) || !unpack_int (&f[4], &weight)
      || f[5].type != MSGPACK_OBJECT_ARRAY
      || !mt_workspaces_add (c->workspaces, name, &quota, weight, NULL))
    return false;
  for (uint32_t i = 0; i < f[5].via.array.size; i++)
    {
      struct mt_str digest;

      if (!mt_pack_get_bin (&f[5].via.array.ptr[i], &digest)
          || !mt_workspaces_add_digest (c->workspaces, digest, NULL))
        return false;
    }
  return true;
}

static bool
unpack_rows (struct changes *c, uint64_t kind, const msgpack_object *rows)
{
  static bool (*const unpack[]) (struct changes * c, const msgpack_object *row)
      = { [BLOCK_REMOVED] = unpack_removed,
          [BLOCK_ROUTES] = unpack_route,
          [BLOCK_POOLS] = unpack_pool,
          [BLOCK_WORKSPACES] = unpack_workspace };

  if (kind >= G_N_ELEMENTS (unpack) || unpack[kind] == NULL)
    return false;
  c->has_rest |= kind == BLOCK_POOLS || kind == BLOCK_WORKSPACES;
  if (kind == BLOCK_WORKSPACES && rows->type == MSGPACK_OBJECT_NIL)
    return true;
  if (rows->type != MSGPACK_OBJECT_ARRAY)
    return false;
  if (kind == BLOCK_WORKSPACES && c->workspaces == NULL)
    c->workspaces = mt_workspaces_create ();
  for (uint32_t i = 0; i < rows->via.array.size; i++)
    if (!unpack[kind](c, &rows->via.array.ptr[i]))
      return false;
  return true;
}

static bool
unpack_block (struct changes *c, struct mt_str block, bool first, GError **error)
{
  msgpack_unpacked unpacked;
  const msgpack_object *f;
  uint64_t kind;
  bool ok;

  if (!mt_pack_read (block, &unpacked, error))
    return false;
  f = mt_pack_get_array (&unpacked.data, 2);
  ok = f != NULL && mt_pack_get_u64 (&f[0], UINT32_MAX, &kind) && first == (kind == BLOCK_HEADER)
       && (first ? unpack_header (c, &f[1]) : unpack_rows (c, kind, &f[1]));
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                 "changes of a configuration are malformed; check that both sides run the same "
                 "version");
  return ok;
}

static bool
unpack_blocks (struct changes *c, const GByteArray *bytes, GError **error)
{
  size_t at = 0;

  do
    {
      guint32 length = 0;

      if (bytes->len - at >= LENGTH_BYTES)
        memcpy (&length, bytes->data + at, LENGTH_BYTES);
      length = GUINT32_FROM_BE (length);
      if (bytes->len - at < LENGTH_BYTES || length > bytes->len - at - LENGTH_BYTES)
        {
          g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                       "changes of a configuration end within a block; they were cut");
          return false;
        }
      if (!unpack_block (c,
                         (struct mt_str){ (const char *) bytes->data + at + LENGTH_BYTES, length },
                         at == 0, error))
        return false;
      at += LENGTH_BYTES + length;
    }
  while (at < bytes->len);
  return true;
}

static GByteArray *
inflate_bytes (struct mt_str bytes, GError **error)
{
  GByteArray *out = g_byte_array_new ();
  z_stream stream = { .next_in = (Bytef *) bytes.data, .avail_in = (uInt) bytes.len };
  int result = inflateInit (&stream);

  while (result == Z_OK && out->len <= MAX_DOCUMENT_BYTES)
    {
      guint had = out->len;

      g_byte_array_set_size (out, had + INFLATE_BYTES);
      stream.next_out = out->data + had;
      stream.avail_out = INFLATE_BYTES;
      result = inflate (&stream, Z_NO_FLUSH);
      g_byte_array_set_size (out, had + INFLATE_BYTES - stream.avail_out);
    }
  inflateEnd (&stream);
  if (result == Z_STREAM_END && stream.avail_in == 0)
    return out;
  g_byte_array_unref (out);
  g_set_error (error, MT_ERROR, result == Z_OK ? MT_ERROR_LIMIT : MT_ERROR_SYNTAX,
               "changes of a configuration can't be decompressed; they are damaged, or larger than "
               "%u bytes",
               MAX_DOCUMENT_BYTES);
  return NULL;
}

static void
replace_rest (struct mt_fleet_config *config, struct changes *c)
{
  for (size_t i = 0; i < config->n_pools; i++)
    g_free (config->pools[i].name);
  g_free (config->pools);
  config->n_pools = c->pools->len;
  config->pools = g_memdup2 (c->pools->data, c->pools->len * sizeof (struct mt_fleet_pool));
  g_array_set_clear_func (c->pools, NULL);
  mt_workspaces_destroy (config->workspaces);
  config->workspaces = g_steal_pointer (&c->workspaces);
}

static void
apply_changes (struct mt_fleet_config *config, struct changes *c)
{
  for (guint i = 0; i < c->removed->len; i++)
    {
      const struct mt_fleet_route *route = &g_array_index (c->removed, struct mt_fleet_route, i);

      mt_route_table_remove (config->routes, route->host, route->prefix);
    }
  for (guint i = 0; i < c->routes->len; i++)
    mt_route_table_set (config->routes, &g_array_index (c->routes, struct mt_fleet_route, i));
  if (c->has_rest)
    replace_rest (config, c);
  config->version = c->after;
}

struct mt_fleet_config *
mt_config_delta_apply (struct mt_fleet_config *config, struct mt_str bytes, GError **error)
{
  g_autoptr (GByteArray) text = inflate_bytes (bytes, error);
  struct mt_fleet_config *out = NULL;
  struct changes c;

  if (text == NULL)
    return NULL;
  init_changes (&c);
  if (!unpack_blocks (&c, text, error))
    goto done;
  if (c.before != 0 && (config == NULL || c.before != config->version))
    {
      g_set_error (error, MT_ERROR, MT_ERROR_CONFLICT,
                   "changes of version %" G_GINT64_FORMAT
                   " don't apply to version %" G_GINT64_FORMAT
                   "; ask for those of the version in force",
                   c.before, config != NULL ? config->version : 0);
      goto done;
    }
  out = config;
  if (c.before == 0)
    {
      out = g_new0 (struct mt_fleet_config, 1);
      out->routes = mt_route_table_create ();
      mt_fleet_config_free (config);
    }
  apply_changes (out, &c);

done:
  clear_changes (&c);
  return out;
}
