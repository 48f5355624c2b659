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

/* One connection, opened by either side; a link to a peer is one that this side opened. Counted:
 * the mesh's reference, and one for each call received and not replied to. */
struct link
{
  struct mt_mesh *mesh;
  struct bufferevent *bev;
  char *address; /* NULL for an accepted one */
  GList all;
  bool closed;
};

struct waiting
{
  struct mt_mesh *mesh;
  enum mt_mesh_method method;
  uint64_t id;
  char *address;
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
  GHashTable *links; /* address to struct link, those opened here */
  GQueue all;
  GHashTable *waiting; /* id to struct waiting */
  uint64_t next_id;
};

const char *
mt_mesh_method_name (enum mt_mesh_method method)
{
  static const char *const names[] = {
    [MT_MESH_SUBMITTED] = "submitted",   [MT_MESH_CANCELLED] = "cancelled",
    [MT_MESH_STATE] = "state",           [MT_MESH_PENDING] = "pending",
    [MT_MESH_STORE] = "passed on",       [MT_MESH_CORDON] = "report",
    [MT_MESH_WAIT_ESTIMATE] = "outlook",
  };

  return method > 0 && method < G_N_ELEMENTS (names) ? names[method] : "other";
}

/* ---- bytes ---- */

static char *
encode (const struct mt_mesh *mesh,
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
decode (const msgpack_object *root, uint64_t *id, uint64_t *method, struct mt_mesh_args *args)
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

static void
close_link (struct link *link)
{
  struct mt_mesh *mesh = link->mesh;

  if (link->closed)
    return;
  link->closed = true;
  bufferevent_free (link->bev);
  link->bev = NULL;
  g_queue_unlink (&mesh->all, &link->all);
  if (link->address != NULL && g_hash_table_lookup (mesh->links, link->address) == link)
    g_hash_table_remove (mesh->links, link->address);
  unref_link (link);
}

static void
answer_waiting (struct waiting *w, const struct mt_mesh_args *args)
{
  mt_mesh_done done = w->done;
  void *ctx = w->ctx;

  g_hash_table_remove (w->mesh->waiting, &w->id);
  if (done != NULL)
    done (ctx, args);
}

/* A call without an answer says that the connection may be dead without a reset: it is closed, so
 * that the next call opens one that works. */
static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  struct waiting *w = ctx;
  struct link *link = g_hash_table_lookup (w->mesh->links, w->address);

  if (link != NULL)
    close_link (link);
  answer_waiting (w, NULL);
}

static void
take_call (struct link *link, uint64_t id, uint64_t method, const struct mt_mesh_args *args)
{
  struct mt_mesh_call *call = g_new0 (struct mt_mesh_call, 1);

  call->link = link;
  call->method = (enum mt_mesh_method) method;
  call->id = id;
  g_rc_box_acquire (link);
  link->mesh->handler (link->mesh->ctx, call, (enum mt_mesh_method) method, args);
}

static void
take_reply (struct mt_mesh *mesh, uint64_t id, const struct mt_mesh_args *args, size_t bytes)
{
  struct waiting *w = g_hash_table_lookup (mesh->waiting, &id);

  if (w == NULL)
    return;
  mt_traffic_add_received (mesh->traffic, mt_mesh_method_name (w->method), bytes);
  answer_waiting (w, args);
}

static bool
take_frame (struct link *link, struct mt_str payload)
{
  struct mt_frame frame;
  msgpack_unpacked unpacked;
  struct mt_mesh_args args = { 0 };
  uint64_t id, method;
  bool ok;

  if (!mt_frame_decode (payload, &frame, NULL) || !mt_pack_read (frame.body, &unpacked, NULL))
    return false;
  ok = decode (&unpacked.data, &id, &method, &args);
  if (ok && frame.type == MT_PEER_MESH_CALL)
    {
      mt_traffic_add_received (link->mesh->traffic,
                               mt_mesh_method_name ((enum mt_mesh_method) method), payload.len);
      take_call (link, id, method, &args);
    }
  else if (ok && frame.type == MT_PEER_MESH_REPLY)
    take_reply (link->mesh, id, &args, payload.len);
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
  char head[MT_FRAME_HEADER_BYTES];

  g_rc_box_acquire (link);
  while (!link->closed && evbuffer_get_length (input) >= MT_FRAME_HEADER_BYTES)
    {
      size_t len = 0;
      g_autofree char *payload = NULL;

      evbuffer_copyout (input, head, sizeof head);
      if (!mt_frame_length (head, &len, NULL))
        {
          close_link (link);
          break;
        }
      if (evbuffer_get_length (input) < MT_FRAME_HEADER_BYTES + len)
        break;
      evbuffer_drain (input, MT_FRAME_HEADER_BYTES);
      payload = g_malloc (len);
      evbuffer_remove (input, payload, len);
      if (!take_frame (link, (struct mt_str){ payload, len }))
        close_link (link);
    }
  unref_link (link);
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    close_link (ctx);
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
  link->all.data = link;
  link->bev = bufferevent_socket_new (mesh->base, fd, BEV_OPT_CLOSE_ON_FREE);
  g_queue_push_tail_link (&mesh->all, &link->all);
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
link_to (struct mt_mesh *mesh, const char *address)
{
  struct link *link = g_hash_table_lookup (mesh->links, address);
  struct sockaddr_in to;

  if (link != NULL || !mt_address_parse (address, &to, NULL))
    return link;
  link = add_link (mesh, -1, address);
  g_hash_table_insert (mesh->links, link->address, link);
  if (bufferevent_socket_connect (link->bev, (struct sockaddr *) &to, sizeof to) != 0)
    {
      close_link (link);
      return NULL;
    }
  set_no_delay (bufferevent_getfd (link->bev));
  return link;
}

/* ---- calls ---- */

static void
free_waiting (void *data)
{
  struct waiting *w = data;

  event_free (w->timer);
  g_free (w->address);
  g_free (w);
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
  struct waiting *w = g_new0 (struct waiting, 1);
  struct link *link = link_to (mesh, address);
  struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  size_t len = 0;
  g_autofree char *frame = NULL;

  w->mesh = mesh;
  w->method = method;
  w->id = ++mesh->next_id;
  w->address = g_strdup (address);
  w->done = done;
  w->ctx = ctx;
  w->timer = event_new (mesh->base, -1, 0, on_timeout, w);
  g_hash_table_insert (mesh->waiting, &w->id, w);
  frame = encode (mesh, MT_PEER_MESH_CALL, w->id, method, args, &len);
  if (link == NULL || frame == NULL
      || evbuffer_get_length (bufferevent_get_output (link->bev)) + len > MAX_QUEUED_BYTES)
    limit = (struct timeval){ 0 };
  else
    {
      mt_traffic_add_sent (mesh->traffic, mt_mesh_method_name (method), len);
      bufferevent_write (link->bev, frame, len);
    }
  event_add (w->timer, &limit);
}

void
mt_mesh_reply (struct mt_mesh_call *call, const struct mt_mesh_args *args)
{
  struct link *link = call->link;
  size_t len = 0;

  if (!link->closed)
    {
      g_autofree char *frame = encode (link->mesh, MT_PEER_MESH_REPLY, call->id, 0, args, &len);

      if (frame != NULL)
        {
          mt_traffic_add_sent (link->mesh->traffic, mt_mesh_method_name (call->method), len);
          bufferevent_write (link->bev, frame, len);
        }
    }
  unref_link (link);
  g_free (call);
}

/* ---- life ---- */

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
  struct sockaddr_in at;

  mesh->base = base;
  mesh->traffic = traffic;
  mesh->name = g_strndup (name, MT_FRAME_MAX_SENDER_BYTES);
  mesh->handler = handler;
  mesh->ctx = ctx;
  mesh->links = g_hash_table_new (g_str_hash, g_str_equal);
  mesh->waiting = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_waiting);
  if (mt_address_parse (address, &at, NULL))
    mesh->listener
        = evconnlistener_new_bind (base, on_accept, mesh, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                   128, (struct sockaddr *) &at, sizeof at);
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
mt_mesh_destroy (struct mt_mesh *mesh)
{
  if (mesh == NULL)
    return;
  while (g_hash_table_size (mesh->waiting) > 0)
    {
      GHashTableIter it;
      struct waiting *w;

      g_hash_table_iter_init (&it, mesh->waiting);
      if (g_hash_table_iter_next (&it, NULL, (void **) &w))
        answer_waiting (w, NULL);
    }
  while (!g_queue_is_empty (&mesh->all))
    close_link (g_queue_peek_head (&mesh->all));
  g_hash_table_unref (mesh->waiting);
  g_hash_table_unref (mesh->links);
  if (mesh->listener != NULL)
    evconnlistener_free (mesh->listener);
  g_free (mesh->name);
  g_free (mesh);
}
