#include "proxy.h"

#include "address.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>

#define LIMIT_TICK_MS 20

struct pair
{
  struct proxy *proxy;
  struct bufferevent *client;
  struct bufferevent *server;
  bool silent;
};

struct proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct sockaddr_in address; /* of the server */
  GPtrArray *pairs;           /* of struct pair */
  unsigned swallowed;
  size_t received;
  struct bufferevent_rate_limit_group *link; /* NULL: no limit */
};

static void
free_pair (void *data)
{
  struct pair *pair = data;

  if (pair->proxy->link != NULL)
    bufferevent_remove_from_rate_limit_group (pair->server);
  bufferevent_free (pair->client);
  bufferevent_free (pair->server);
  g_free (pair);
}

/* A client writes each request at once, and the next one only after an answer: what is read at a
 * time is one request. */
static void
on_readable (struct bufferevent *from, void *ctx)
{
  struct pair *pair = ctx;
  struct evbuffer *input = bufferevent_get_input (from);

  if (from == pair->server)
    pair->proxy->received += evbuffer_get_length (input);
  if (!pair->silent)
    {
      bufferevent_write_buffer (from == pair->client ? pair->server : pair->client, input);
      return;
    }
  pair->proxy->swallowed += from == pair->client;
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
on_event (struct bufferevent *bev, short what, void *ctx)
{
  struct pair *pair = ctx;

  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    g_ptr_array_remove_fast (pair->proxy->pairs, pair);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int len,
           void *ctx)
{
  struct proxy *proxy = ctx;
  struct pair *pair = g_new0 (struct pair, 1);

  pair->proxy = proxy;
  pair->client = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  pair->server = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (pair->client, on_readable, NULL, on_event, pair);
  bufferevent_setcb (pair->server, on_readable, NULL, on_event, pair);
  bufferevent_enable (pair->client, EV_READ | EV_WRITE);
  bufferevent_enable (pair->server, EV_READ | EV_WRITE);
  if (proxy->link != NULL)
    bufferevent_add_to_rate_limit_group (pair->server, proxy->link);
  g_ptr_array_add (proxy->pairs, pair);
  bufferevent_socket_connect (pair->server, (struct sockaddr *) &proxy->address,
                              sizeof proxy->address);
}

struct proxy *
proxy_create (struct event_base *base, const char *server)
{
  struct proxy *proxy = g_new0 (struct proxy, 1);
  struct sockaddr_in any;

  proxy->base = base;
  proxy->pairs = g_ptr_array_new_with_free_func (free_pair);
  mt_address_parse (server, &proxy->address, NULL);
  mt_address_parse ("127.0.0.1:0", &any, NULL);
  proxy->listener = evconnlistener_new_bind (base, on_accept, proxy, LEV_OPT_CLOSE_ON_FREE, 64,
                                             (struct sockaddr *) &any, sizeof any);
  return proxy;
}

void
proxy_destroy (struct proxy *proxy)
{
  g_ptr_array_unref (proxy->pairs);
  evconnlistener_free (proxy->listener);
  if (proxy->link != NULL)
    bufferevent_rate_limit_group_free (proxy->link);
  g_free (proxy);
}

void
proxy_limit (struct proxy *proxy, unsigned bytes_per_s)
{
  const struct timeval tick = { 0, LIMIT_TICK_MS * 1000 };
  size_t bytes = (size_t) bytes_per_s * LIMIT_TICK_MS / 1000;
  struct ev_token_bucket_cfg *limit
      = ev_token_bucket_cfg_new (bytes, bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);

  proxy->link = bufferevent_rate_limit_group_new (proxy->base, limit);
  ev_token_bucket_cfg_free (limit);
  for (guint i = 0; i < proxy->pairs->len; i++)
    bufferevent_add_to_rate_limit_group (((struct pair *) proxy->pairs->pdata[i])->server,
                                         proxy->link);
}

size_t
proxy_received (const struct proxy *proxy)
{
  return proxy->received;
}

unsigned
proxy_port (const struct proxy *proxy)
{
  return mt_address_bound_port (evconnlistener_get_fd (proxy->listener));
}

unsigned
proxy_connections (const struct proxy *proxy)
{
  return proxy->pairs->len;
}

void
proxy_silence (struct proxy *proxy)
{
  for (guint i = 0; i < proxy->pairs->len; i++)
    ((struct pair *) proxy->pairs->pdata[i])->silent = true;
}

unsigned
proxy_swallowed (const struct proxy *proxy)
{
  return proxy->swallowed;
}
