#include "relay.h"

#include "loop.h"

#include <stdlib.h>
#include <string.h>

/* A watch waits at the neighbour for as long as its own time-out says; the frame takes a little. */
#define SLACK_MS 200
/* A neighbour that could not help is left alone for this long. */
#define USELESS_MS 1500
/* What neighbours said counts for so long. */
#define EVIDENCE_MS 2000

struct mt_relay
{
  struct mt_adapter *platform;
  struct mt_mesh *mesh;
  struct mt_cluster *cluster;
  char *neighbour;     /* the one that helped last */
  GHashTable *useless; /* address to when it may be asked again */
  int64_t also_lost; /* when one in another data centre last said that it doesn't reach the store */
  int64_t helped;    /* when one last did */
};

struct passed
{
  struct mt_relay *relay;
  char *neighbour;
  mt_adapter_raw_done done;
  void *data;
};

static bool
is_useless (struct mt_relay *relay, const char *address)
{
  int64_t *until = g_hash_table_lookup (relay->useless, address);

  return until != NULL && *until > mt_loop_now ();
}

static void
set_useless (struct mt_relay *relay, const char *address)
{
  int64_t *until = g_new (int64_t, 1);

  *until = mt_loop_now () + USELESS_MS;
  g_hash_table_replace (relay->useless, g_strdup (address), until);
}

/* The one that helped last; else any other, so that not all choose the same. */
static char *
choose (struct mt_relay *relay)
{
  g_auto (GStrv) others = mt_cluster_peers (relay->cluster);
  guint n = g_strv_length (others);
  guint from = n > 0 ? (guint) g_random_int_range (0, (gint32) n) : 0;

  if (relay->neighbour != NULL && !is_useless (relay, relay->neighbour))
    return g_strdup (relay->neighbour);
  for (guint i = 0; i < n; i++)
    {
      const char *address = others[(from + i) % n];

      if (!is_useless (relay, address))
        return g_strdup (address);
    }
  return NULL;
}

static void
on_passed (void *ctx, const struct mt_mesh_args *args)
{
  struct passed *p = ctx;
  struct mt_relay *relay = p->relay;
  unsigned long long status = 0;
  struct mt_str body = { "", 0 };

  if (args != NULL && args->n == 2 && mt_str_to_u64 (args->at[0], &status))
    body = args->at[1];
  if (args != NULL && args->n == 0 && mt_cluster_can_confirm_outage (relay->cluster, p->neighbour))
    relay->also_lost = mt_loop_now ();
  else if (status != 0 && status != 503)
    relay->helped = mt_loop_now ();
  if (status == 0 || status == 503)
    {
      set_useless (relay, p->neighbour);
      if (g_strcmp0 (relay->neighbour, p->neighbour) == 0)
        g_clear_pointer (&relay->neighbour, g_free);
    }
  else if (g_strcmp0 (relay->neighbour, p->neighbour) != 0)
    {
      g_free (relay->neighbour);
      relay->neighbour = g_strdup (p->neighbour);
    }
  p->done (p->data, (int) status, body);
  g_free (p->neighbour);
  g_free (p);
}

static bool
pass_on (void *ctx,
         const char *method,
         const char *path,
         struct mt_str body,
         int64_t timeout_ms,
         mt_adapter_raw_done done,
         void *data)
{
  struct mt_relay *relay = ctx;
  char *neighbour = choose (relay);
  struct passed *p;
  g_autofree char *limit = g_strdup_printf ("%" G_GINT64_FORMAT, timeout_ms);
  struct mt_mesh_args args
      = { 4, { mt_str_from (method), mt_str_from (path), body, mt_str_from (limit) } };

  if (neighbour == NULL)
    return false;
  p = g_new0 (struct passed, 1);
  *p = (struct passed){ relay, neighbour, done, data };
  mt_mesh_send (relay->mesh, neighbour, MT_MESH_STORE, &args, timeout_ms + SLACK_MS, on_passed, p);
  return true;
}

bool
mt_relay_sees_outage (const struct mt_relay *relay)
{
  int64_t now = mt_loop_now ();

  return !mt_adapter_reaches_store (relay->platform) && now - relay->also_lost < EVIDENCE_MS
         && now - relay->helped > EVIDENCE_MS;
}

static void
on_served (void *data, int status, struct mt_str body)
{
  struct mt_mesh_call *call = data;
  char text[16];
  struct mt_mesh_args args;

  g_snprintf (text, sizeof text, "%d", status);
  args = (struct mt_mesh_args){ 2, { mt_str_from (text), body } };
  mt_mesh_reply (call, &args);
}

void
mt_relay_serve (struct mt_relay *relay, struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  g_autofree char *method = NULL;
  g_autofree char *path = NULL;
  unsigned long long limit = 0;

  if (args->n != 4 || !mt_str_to_u64 (args->at[3], &limit)
      || !mt_adapter_reaches_store (relay->platform))
    {
      mt_mesh_reply (call, NULL);
      return;
    }
  method = g_strndup (args->at[0].data, args->at[0].len);
  path = g_strndup (args->at[1].data, args->at[1].len);
  mt_adapter_raw (relay->platform, method, path, args->at[2], (int64_t) limit, on_served, call);
}

struct mt_relay *
mt_relay_create (struct mt_adapter *platform, struct mt_mesh *mesh, struct mt_cluster *cluster)
{
  struct mt_relay *relay = g_new0 (struct mt_relay, 1);

  relay->platform = platform;
  relay->mesh = mesh;
  relay->cluster = cluster;
  relay->useless = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  mt_adapter_set_relay (platform, pass_on, relay);
  return relay;
}

void
mt_relay_destroy (struct mt_relay *relay)
{
  if (relay == NULL)
    return;
  g_hash_table_unref (relay->useless);
  g_free (relay->neighbour);
  g_free (relay);
}
