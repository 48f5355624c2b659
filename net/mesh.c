#include "mesh.h"

#include "address.h"
#include "frame.h"
#include "medlartrack/error.h"
#include "medlartrack/pack.h"
#include "peer.h"
#include "traffic.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#define MAX_QUEUED_BYTES (4 * 1024 * 1024)
/* A connection on which bytes arrived within this time is not dead. */
#define PROVEN_MS 250

/* One connection, opened by either side. Reference counted: the mesh holds one reference, and each
 * received call one until it is replied to. */
struct link
{
  struct mt_mesh *mesh;
  struct bufferevent *bev;
  char *address; /* of the peer; NULL if the peer opened the connection */
  GList node;
  bool connected;      /* bytes may have been sent on it */
  int64_t received_at; /* when bytes last arrived, ms of the monotonic clock */
  bool closed;
};

struct pending_call
{
  struct mt_mesh *mesh;
  enum mt_mesh_method method;
  uint64_t id;
  struct link *link; /* on which it was queued; NULL if it was not */
  struct event *timer;
  mt_mesh_done done;
  void *ctx;
};

struct mt_mesh_call
{
  struct link *link;
  enum mt_mesh_method method;
  uint64_t id;
};

struct mt_mesh
{
  struct event_base *base;
  struct mt_traffic *traffic;
  struct evconnlistener *listener;
  char *name;
  mt_mesh_handler handler;
  void *ctx;
  GHashTable *links;         /* address to struct link, for connections that this side opened */
  GQueue all_links;          /* of struct link */
  GHashTable *pending_calls; /* id to struct pending_call */
  bool undelivered;          /* of the call that is being completed */
  uint64_t next_id;
};

const char *
mt_mesh_method_name (enum mt_mesh_method method)
{
  static const char *const names[] = {
    [MT_MESH_SUBMITTED] = "submitted",   [MT_MESH_CANCELLED] = "cancelled",
    [MT_MESH_STATE] = "state",           [MT_MESH_PENDING] = "pending",
    [MT_MESH_STORE] = "passed on",       [MT_MESH_CORDON] = "report",
    [MT_MESH_WAIT_ESTIMATE] = "outlook", [MT_MESH_CONFIG] = "config",
  };

  return method > 0 && method < G_N_ELEMENTS (names) ? names[method] : "other";
}

/* ---- encoding ---- */

static char *
encode_message (const struct mt_mesh *mesh,
                enum mt_peer_type type,
                uint64_t id,
                unsigned method,
                const struct mt_mesh_args *args,
                size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  char *frame;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 2 + (args != NULL ? args->n : 0));
  msgpack_pack_uint64 (&packer, id);
  msgpack_pack_unsigned_int (&packer, method);
  for (size_t i = 0; args != NULL && i < args->n; i++)
    mt_pack_bin (&packer, args->at[i]);
  frame = mt_frame_encode (type, mt_str_from (mesh->name),
                           (struct mt_str){ buffer.data, buffer.size }, len);
  msgpack_sbuffer_destroy (&buffer);
  return frame;
}

static bool
decode_message (const msgpack_object *root,
                uint64_t *id,
                uint64_t *method,
                struct mt_mesh_args *args)
{
  const msgpack_object_array *array = &root->via.array;

  if (root->type != MSGPACK_OBJECT_ARRAY || array->size < 2 || array->size > 2 + MT_MESH_MAX_ARGS
      || !mt_pack_get_u64 (&array->ptr[0], UINT64_MAX, id)
      || !mt_pack_get_u64 (&array->ptr[1], UINT32_MAX, method))
    return false;
  args->n = array->size - 2;
  for (size_t i = 0; i < args->n; i++)
    if (!mt_pack_get_bin (&array->ptr[2 + i], &args->at[i]))
      return false;
  return true;
}

/* ---- links ---- */

static void
clear_link (void *data)
{
  struct link *link = data;

  g_free (link->address);
}

static void
unref_link (struct link *link)
{
  g_rc_box_release_full (link, clear_link);
}

/* Lets the calls sent on a closed connection end in the loop's next round: no answer to them can
 * arrive any more. */
static void
end_calls (const struct link *link)
{
  static const struct timeval now = { 0, 0 };
  GHashTableIter it;
  struct pending_call *pending;

  g_hash_table_iter_init (&it, link->mesh->pending_calls);
  while (g_hash_table_iter_next (&it, NULL, (void **) &pending))
    if (pending->link == link)
      event_add (pending->timer, &now);
}

static void
close_link (struct link *link)
{
  struct mt_mesh *mesh = link->mesh;

  if (link->closed)
    return;
  link->closed = true;
  bufferevent_free (link->bev);
  link->bev = NULL;
  g_queue_unlink (&mesh->all_links, &link->node);
  if (link->address != NULL && g_hash_table_lookup (mesh->links, link->address) == link)
    g_hash_table_remove (mesh->links, link->address);
  end_calls (link);
  unref_link (link);
}

static void
complete_call (struct pending_call *pending, const struct mt_mesh_args *args)
{
  mt_mesh_done done = pending->done;
  void *ctx = pending->ctx;

  pending->mesh->undelivered = args == NULL && (pending->link == NULL || !pending->link->connected);
  g_hash_table_remove (pending->mesh->pending_calls, &pending->id);
  if (done != NULL)
    done (ctx, args);
}

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* After a time-out the connection may be dead without a reset, so it is closed, and the next call
 * opens a new one; unless bytes arrive on it, of other replies or of a long one. */
static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  struct pending_call *pending = ctx;

  if (pending->link != NULL && now_ms () - pending->link->received_at > PROVEN_MS)
    close_link (pending->link);
  complete_call (pending, NULL);
}

static void
handle_call (struct link *link, uint64_t id, uint64_t method, const struct mt_mesh_args *args)
{
  struct mt_mesh_call *call = g_new0 (struct mt_mesh_call, 1);

  call->link = link;
  call->method = (enum mt_mesh_method) method;
  call->id = id;
  g_rc_box_acquire (link);
  link->mesh->handler (link->mesh->ctx, call, (enum mt_mesh_method) method, args);
}

static void
handle_reply (struct mt_mesh *mesh, uint64_t id, const struct mt_mesh_args *args, size_t bytes)
{
  struct pending_call *pending = g_hash_table_lookup (mesh->pending_calls, &id);

  if (pending == NULL)
    return;
  mt_traffic_add_received (mesh->traffic, mt_mesh_method_name (pending->method), bytes);
  complete_call (pending, args);
}

static bool
handle_frame (struct link *link, struct mt_str payload)
{
  struct mt_frame frame;
  msgpack_unpacked unpacked;
  struct mt_mesh_args args = { 0 };
  uint64_t id, method;
  bool ok;

  if (!mt_frame_decode (payload, &frame, NULL) || !mt_pack_read (frame.body, &unpacked, NULL))
    return false;
  ok = decode_message (&unpacked.data, &id, &method, &args);
  if (ok && frame.type == MT_PEER_MESH_CALL)
    {
      mt_traffic_add_received (link->mesh->traffic,
                               mt_mesh_method_name ((enum mt_mesh_method) method), payload.len);
      handle_call (link, id, method, &args);
    }
  else if (ok && frame.type == MT_PEER_MESH_REPLY)
    handle_reply (link->mesh, id, &args, payload.len);
  else
    ok = false;
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

static void
on_readable (struct bufferevent *bev, void *ctx)
{
  struct link *link = ctx;
  struct evbuffer *input = bufferevent_get_input (bev);
  char header[MT_FRAME_HEADER_BYTES];

  link->received_at = now_ms ();
  g_rc_box_acquire (link);
  while (!link->closed && evbuffer_get_length (input) >= MT_FRAME_HEADER_BYTES)
    {
      size_t len = 0;
      g_autofree char *payload = NULL;

      evbuffer_copyout (input, header, sizeof header);
      if (!mt_frame_length (header, &len, NULL))
        {
          close_link (link);
          break;
        }
      if (evbuffer_get_length (input) < MT_FRAME_HEADER_BYTES + len)
        break;
      evbuffer_drain (input, MT_FRAME_HEADER_BYTES);
      payload = g_malloc (len);
      evbuffer_remove (input, payload, len);
      if (!handle_frame (link, (struct mt_str){ payload, len }))
        close_link (link);
    }
  unref_link (link);
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  struct link *link = ctx;

  if (what & BEV_EVENT_CONNECTED)
    link->connected = true;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    close_link (link);
}

static void
set_no_delay (evutil_socket_t fd)
{
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static struct link *
add_link (struct mt_mesh *mesh, evutil_socket_t fd, const char *address)
{
  struct link *link = g_rc_box_new0 (struct link);

  link->mesh = mesh;
  link->address = g_strdup (address);
  link->node.data = link;
  link->bev = bufferevent_socket_new (mesh->base, fd, BEV_OPT_CLOSE_ON_FREE);
  g_queue_push_tail_link (&mesh->all_links, &link->node);
  bufferevent_setcb (link->bev, on_readable, NULL, on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  return link;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int len,
           void *ctx)
{
  set_no_delay (fd);
  add_link (ctx, fd, NULL);
}

static struct link *
get_link (struct mt_mesh *mesh, const char *address)
{
  struct link *link = g_hash_table_lookup (mesh->links, address);
  struct sockaddr_in peer;

  if (link != NULL || !mt_address_parse (address, &peer, NULL))
    return link;
  link = add_link (mesh, -1, address);
  g_hash_table_insert (mesh->links, link->address, link);
  if (bufferevent_socket_connect (link->bev, (struct sockaddr *) &peer, sizeof peer) != 0)
    {
      close_link (link);
      return NULL;
    }
  set_no_delay (bufferevent_getfd (link->bev));
  return link;
}

/* ---- calls ---- */

static void
free_pending_call (void *data)
{
  struct pending_call *pending = data;

  event_free (pending->timer);
  if (pending->link != NULL)
    unref_link (pending->link);
  g_free (pending);
}

void
mt_mesh_send (struct mt_mesh *mesh,
              const char *address,
              enum mt_mesh_method method,
              const struct mt_mesh_args *args,
              int64_t timeout_ms,
              mt_mesh_done done,
              void *ctx)
{
  struct pending_call *pending = g_new0 (struct pending_call, 1);
  struct link *link = get_link (mesh, address);
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  size_t len = 0;
  g_autofree char *frame = NULL;

  pending->mesh = mesh;
  pending->method = method;
  pending->id = ++mesh->next_id;
  pending->done = done;
  pending->ctx = ctx;
  pending->timer = event_new (mesh->base, -1, 0, on_timeout, pending);
  g_hash_table_insert (mesh->pending_calls, &pending->id, pending);
  frame = encode_message (mesh, MT_PEER_MESH_CALL, pending->id, method, args, &len);
  if (link == NULL || frame == NULL
      || evbuffer_get_length (bufferevent_get_output (link->bev)) + len > MAX_QUEUED_BYTES)
    timeout = (struct timeval){ 0 };
  else
    {
      mt_traffic_add_sent (mesh->traffic, mt_mesh_method_name (method), len);
      bufferevent_write (link->bev, frame, len);
      pending->link = g_rc_box_acquire (link);
    }
  event_add (pending->timer, &timeout);
}

bool
mt_mesh_call_undelivered (const struct mt_mesh *mesh)
{
  return mesh->undelivered;
}

void
mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  struct link *link = call->link;
  size_t len = 0;

  if (!link->closed)
    {
      g_autofree char *frame
          = encode_message (link->mesh, MT_PEER_MESH_REPLY, call->id, 0, args, &len);

      /* Without a reply the caller would close the connection after its time-out. */
      if (frame == NULL)
        frame = encode_message (link->mesh, MT_PEER_MESH_REPLY, call->id, 0, NULL, &len);
      mt_traffic_add_sent (link->mesh->traffic, mt_mesh_method_name (call->method), len);
      bufferevent_write (link->bev, frame, len);
    }
  unref_link (link);
  g_free (call);
}

/* ---- creation and destruction ---- */

struct mt_mesh *
mt_mesh_create (struct event_base *base,
                struct mt_traffic *traffic,
                const char *address,
                const char *name,
                mt_mesh_handler handler,
                void *ctx,
                GError **error)
{
  struct mt_mesh *mesh = g_new0 (struct mt_mesh, 1);
  struct sockaddr_in listen_address;

  mesh->base = base;
  mesh->traffic = traffic;
  mesh->name = g_strndup (name, MT_FRAME_MAX_SENDER_BYTES);
  mesh->handler = handler;
  mesh->ctx = ctx;
  mesh->links = g_hash_table_new (g_str_hash, g_str_equal);
  mesh->pending_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_pending_call);
  if (mt_address_parse (address, &listen_address, NULL))
    mesh->listener
        = evconnlistener_new_bind (base, on_accept, mesh, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                   128, (struct sockaddr *) &listen_address, sizeof listen_address);
  if (mesh->listener != NULL)
    return mesh;
  g_set_error (error, MT_ERROR, MT_ERROR_SETTINGS,
               "can't listen for daemons on \"%s\"; write a free IP:PORT of this machine", address);
  mt_mesh_destroy (mesh);
  return NULL;
}

unsigned
mt_mesh_port (const struct mt_mesh *mesh)
{
  return mt_address_bound_port (evconnlistener_get_fd (mesh->listener));
}

void
mt_mesh_cancel_calls (struct mt_mesh *mesh)
{
  while (g_hash_table_size (mesh->pending_calls) > 0)
    {
      GHashTableIter it;
      struct pending_call *pending;

      g_hash_table_iter_init (&it, mesh->pending_calls);
      if (g_hash_table_iter_next (&it, NULL, (void **) &pending))
        complete_call (pending, NULL);
    }
}

void
mt_mesh_destroy (struct mt_mesh *mesh)
{
  if (mesh == NULL)
    return;
  mt_mesh_cancel_calls (mesh);
  while (!g_queue_is_empty (&mesh->all_links))
    close_link (g_queue_peek_head (&mesh->all_links));
  g_hash_table_unref (mesh->pending_calls);
  g_hash_table_unref (mesh->links);
  if (mesh->listener != NULL)
    evconnlistener_free (mesh->listener);
  g_free (mesh->name);
  g_free (mesh);
}
