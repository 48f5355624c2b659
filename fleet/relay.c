#include "relay.h"

#include "avoid_list.h"
#include "loop.h"
#include "medlartrack/scheduler.h"
#include "peer.h"

#include <stdlib.h>
#include <string.h>

/* Margin on a call's own time-out, for the frame's transfer: a watch waits at the other daemon for
 * its full time-out. */
#define FRAME_MARGIN_MS 200
/* Longest answer of the store that is relayed: with the rest of its message it fits into a frame.
 */
#define MAX_RELAYED_BYTES (MT_PEER_MAX_FRAME_BYTES - 4096)
/* A daemon that could not reach the store is avoided for this time. */
#define AVOID_MS 1500

struct mt_relay
{
  struct mt_adapter *platform;
  struct mt_mesh *mesh;
  struct mt_cluster *cluster;
  char *peer; /* daemon through which a call last succeeded; NULL if none */
  struct mt_avoid_list *avoided;
  int64_t outage_confirmed_at; /* when a daemon last confirmed that the store is unreachable */
  int64_t reached_at;          /* when a call last succeeded through another daemon */
  int64_t serve_until;         /* of a stop; INT64_MAX: none has begun */
};

struct relayed_call
{
  struct mt_relay *relay;
  char *peer;
  int64_t sent_at;
  mt_adapter_call_done done;
  void *data;
};

/* Prefers the daemon through which a call last succeeded, else takes a random one, so that not all
 * choose the same. Free with g_free; NULL if there is none. */
static char *
choose_peer (struct mt_relay *relay)
{
  g_auto (GStrv) peers = mt_cluster_peers (relay->cluster);
  guint n = g_strv_length (peers);
  guint from = n > 0 ? (guint) g_random_int_range (0, (gint32) n) : 0;

  if (relay->peer != NULL && !mt_avoid_list_has (relay->avoided, relay->peer))
    return g_strdup (relay->peer);
  for (guint i = 0; i < n; i++)
    {
      const char *address = peers[(from + i) % n];

      if (!mt_avoid_list_has (relay->avoided, address))
        return g_strdup (address);
    }
  return NULL;
}

static void
on_relayed (void *ctx, const struct mt_mesh_args *args)
{
  struct relayed_call *p = ctx;
  struct mt_relay *relay = p->relay;
  unsigned long long status = 0;
  struct mt_str body = { "", 0 };

  if (args != NULL && args->n == 2 && mt_str_to_u64 (args->at[0], &status))
    body = args->at[1];
  else if (args != NULL ? args->n == 0 : mt_mesh_call_undelivered (relay->mesh))
    status = 503; /* the store was not called: the other daemon does not reach it, or was not
                     reached */
  /* Dated by the call: the answer may have waited in the network, or here while this daemon was
   * frozen, and a successor does not await leases that are renewed any later. */
  if (args != NULL && args->n == 0 && mt_cluster_can_confirm_outage (relay->cluster, p->peer))
    relay->outage_confirmed_at = MAX (relay->outage_confirmed_at, p->sent_at);
  else if (status != 0 && status != 503)
    relay->reached_at = mt_loop_now ();
  if (status == 0 || status == 503)
    {
      mt_avoid_list_add (relay->avoided, p->peer, AVOID_MS);
      if (g_strcmp0 (relay->peer, p->peer) == 0)
        g_clear_pointer (&relay->peer, g_free);
    }
  else if (g_strcmp0 (relay->peer, p->peer) != 0)
    {
      g_free (relay->peer);
      relay->peer = g_strdup (p->peer);
    }
  p->done (p->data, (int) status, body);
  g_free (p->peer);
  g_free (p);
}

static bool
relay_call (void *ctx,
            const char *method,
            const char *path,
            struct mt_str body,
            int64_t timeout_ms,
            mt_adapter_call_done done,
            void *data)
{
  struct mt_relay *relay = ctx;
  char *peer = choose_peer (relay);
  struct relayed_call *p;
  g_autofree char *limit = g_strdup_printf ("%" G_GINT64_FORMAT, timeout_ms);
  struct mt_mesh_args args
      = { 4, { mt_str_from (method), mt_str_from (path), body, mt_str_from (limit) } };

  if (peer == NULL)
    return false;
  p = g_new0 (struct relayed_call, 1);
  *p = (struct relayed_call){ relay, peer, mt_loop_now (), done, data };
  mt_mesh_send (relay->mesh, peer, MT_MESH_STORE, &args, timeout_ms + FRAME_MARGIN_MS, on_relayed,
                p);
  return true;
}

bool
mt_relay_sees_outage (const struct mt_relay *relay)
{
  int64_t now = mt_loop_now ();

  return !mt_adapter_reaches_store (relay->platform)
         && now - relay->outage_confirmed_at < MT_OUTAGE_EVIDENCE_MS
         && now - relay->reached_at > MT_OUTAGE_EVIDENCE_MS;
}

static void
on_served (void *data, int status, struct mt_str body)
{
  struct mt_mesh_call *call = data;
  char text[16];
  struct mt_mesh_args args;

  /* An empty reply would say that the store is not reached from here. */
  if (body.len > MAX_RELAYED_BYTES)
    {
      status = 0;
      body = MT_STR ("");
    }
  g_snprintf (text, sizeof text, "%d", status);
  args = (struct mt_mesh_args){ 2, { mt_str_from (text), body } };
  mt_mesh_reply (call, &args);
}

/* Says that the store was not called, though it is reached from here. */
static void
refuse_call (struct mt_mesh_call *call)
{
  const struct mt_mesh_args args = { 2, { MT_STR ("503"), MT_STR ("") } };

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
  if ((int64_t) limit > relay->serve_until - mt_loop_now ())
    {
      refuse_call (call);
      return;
    }
  method = g_strndup (args->at[0].data, args->at[0].len);
  path = g_strndup (args->at[1].data, args->at[1].len);
  mt_adapter_call_store (relay->platform, method, path, args->at[2], (int64_t) limit, on_served,
                         call);
}

struct mt_relay *
mt_relay_create (struct mt_adapter *platform, struct mt_mesh *mesh, struct mt_cluster *cluster)
{
  struct mt_relay *relay = g_new0 (struct mt_relay, 1);

  relay->platform = platform;
  relay->mesh = mesh;
  relay->cluster = cluster;
  relay->avoided = mt_avoid_list_create ();
  relay->serve_until = INT64_MAX;
  mt_adapter_set_relay (platform, relay_call, relay);
  return relay;
}

void
mt_relay_stop (struct mt_relay *relay, int64_t serve_until)
{
  relay->serve_until = serve_until;
}

void
mt_relay_destroy (struct mt_relay *relay)
{
  if (relay == NULL)
    return;
  mt_avoid_list_destroy (relay->avoided);
  g_free (relay->peer);
  g_free (relay);
}
