#include "store_fixture.h"

#include "loop.h"

#include <signal.h>

static void
on_call (void *ctx, struct mt_exchange *exchange)
{
  fleet_store_handle (((struct store_fixture *) ctx)->store, exchange);
}

void
store_fixture_init (struct store_fixture *f, bool hedge)
{
  struct mt_http_front_options options = { .address = "127.0.0.1:0",
                                           .max_connections = 64,
                                           .idle_timeout_s = 60,
                                           .max_body_bytes = 65536,
                                           .handle = on_call,
                                           .ctx = f };
  struct mt_adapter_settings settings = { .daemon = "d", .hedge = hedge };
  g_autofree char *server = NULL;
  g_autofree char *address = NULL;

  signal (SIGPIPE, SIG_IGN);
  f->base = mt_loop_create ();
  f->store = fleet_store_create (f->base);
  f->front = mt_http_front_create (f->base, &options, NULL);
  server = g_strdup_printf ("127.0.0.1:%u", mt_http_front_port (f->front));
  f->proxy = proxy_create (f->base, server);
  address = g_strdup_printf ("127.0.0.1:%u", proxy_port (f->proxy));
  settings.store = address;
  f->calls = mt_calls_create (f->base, NULL);
  f->adapter = mt_adapter_create (f->calls, &settings);
  f->kv = mt_adapter_kv (f->adapter);
}

void
store_fixture_clear (struct store_fixture *f)
{
  mt_calls_destroy (f->calls);
  mt_adapter_destroy (f->adapter);
  proxy_destroy (f->proxy);
  mt_http_front_destroy (f->front);
  fleet_store_destroy (f->store);
  event_base_free (f->base);
}
