/* The adapter and the stand-in store behind a proxy, in one process and on one loop. */
#ifndef STORE_FIXTURE_H
#define STORE_FIXTURE_H

#include "adapter.h"
#include "fleet_store.h"
#include "proxy.h"

#include <event2/event.h>

struct store_fixture
{
  struct event_base *base;
  struct fleet_store *store;
  struct mt_http_front *front;
  struct proxy *proxy;
  struct mt_calls *calls;
  struct mt_adapter *adapter;
  struct mt_kv kv;
};

void store_fixture_init (struct store_fixture *fixture, bool hedge);
/* Ends the calls, by their callbacks, and what carries them. */
void store_fixture_clear (struct store_fixture *fixture);

#endif
