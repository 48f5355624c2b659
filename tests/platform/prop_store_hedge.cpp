/* Property of hedged writes, through the adapter and the stand-in store: whatever happens to the
 * copies of a write (lost, refused, carried out late, in any order), it is applied at most once and
 * its outcome is reported truly. */
#include <glib.h>
#include <jansson.h>

extern "C"
{
#include "fleet_store.h"
#include "internal.h"

#include <event2/event.h>
}

#include <csignal>
#include <memory>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kTimeoutMs = 60;
constexpr unsigned kKeys = 3;

struct World
{
  event_base *base = event_base_new ();
  fleet_store *store = fleet_store_create (base);
  mt_http_front *front = nullptr;
  mt_calls *calls = mt_calls_create (base, nullptr);
  mt_adapter *adapter = nullptr;
  mt_kv kv = {};
  unsigned next = 0; /* makes the values of all writes different */
};

struct Write
{
  World *world;
  std::string value;
  bool done = false;
  mt_kv_status status = MT_KV_UNKNOWN;
  bool shows_value = false; /* an item of the reply has the value of this write */
  unsigned applied_at_reply = 0;
};

void
handle (void *ctx, mt_exchange *exchange)
{
  fleet_store_handle (static_cast<World *> (ctx)->store, exchange);
}

/* Hedges soon and without a limit, so that most writes of a case get a second copy. */
mt_hedge *
eager_hedge ()
{
  mt_hedge_settings settings = {};

  settings.quantile_factor = 3;
  settings.min_delay_ms = 1;
  settings.max_delay_ms = 8;
  settings.budget_share = 1;
  settings.budget_burst = 100;
  return mt_hedge_create (&settings);
}

World *
create_world ()
{
  auto *w = new World;
  mt_http_front_options options = {};
  mt_adapter_settings settings = {};

  std::signal (SIGPIPE, SIG_IGN);
  options.address = "127.0.0.1:0";
  options.max_connections = 256;
  options.idle_timeout_s = 60;
  options.max_body_bytes = 65536;
  options.handle = handle;
  options.ctx = w;
  w->front = mt_http_front_create (w->base, &options, nullptr);
  std::string address = "127.0.0.1:" + std::to_string (mt_http_front_port (w->front));
  settings.daemon = "d";
  settings.store = address.c_str ();
  w->adapter = mt_adapter_create (w->calls, &settings);
  w->kv = mt_adapter_kv (w->adapter);
  return w;
}

void
on_written (void *data, const mt_kv_reply *reply)
{
  auto *write = static_cast<Write *> (data);

  write->done = true;
  write->status = reply->status;
  write->applied_at_reply = fleet_store_count_puts (write->world->store, write->value.c_str ());
  for (size_t i = 0; i < reply->n_items; i++)
    if (mt_str_equal (reply->items[i].value, mt_str_from (write->value.c_str ())))
      write->shows_value = true;
}

/* Sends a write of one key whose precondition is a random choice of: the leadership, the key at its
 * present revision, both, or none. */
void
send_write (Write *write)
{
  World *w = write->world;
  std::string key = "key/" + std::to_string (*rc::gen::inRange (0U, kKeys));
  mt_kv_expect expects[2] = {};
  mt_kv_put put = {};
  mt_kv_txn txn = {};

  if (*rc::gen::arbitrary<bool> ())
    expects[txn.n_expects++] = { "leader", fleet_store_revision (w->store, "leader") };
  if (*rc::gen::inRange (0, 4) > 0)
    expects[txn.n_expects++] = { key.c_str (), fleet_store_revision (w->store, key.c_str ()) };
  put.key = key.c_str ();
  put.value = mt_str_from (write->value.c_str ());
  txn.expects = expects;
  txn.puts = &put;
  txn.n_puts = 1;
  mt_kv_write (&w->kv, &txn, kTimeoutMs, on_written, write);
}

bool
all_done (const std::vector<std::unique_ptr<Write>> &writes)
{
  for (const auto &write : writes)
    if (!write->done)
      return false;
  return true;
}

void
check_write (const Write &write)
{
  unsigned applied = fleet_store_count_puts (write.world->store, write.value.c_str ());

  RC_ASSERT (applied <= 1);
  switch (write.status)
    {
    case MT_KV_OK:
      RC_ASSERT (applied == 1);
      break;
    case MT_KV_CONFLICT:
      /* The conflict excludes every copy that is still under way. */
      RC_ASSERT (applied == write.applied_at_reply);
      RC_ASSERT (!write.shows_value || applied == 1);
      break;
    case MT_KV_REFUSED:
      RC_ASSERT (applied == 0);
      break;
    default:
      RC_ASSERT (write.status == MT_KV_UNKNOWN);
    }
}

void
run_case (World *w)
{
  auto faults = *rc::gen::container<std::vector<fleet_fault>> (
      16, rc::gen::map (rc::gen::inRange (0, static_cast<int> (FLEET_FAULTS)),
                        [] (int fault) { return static_cast<fleet_fault> (fault); }));
  auto n = *rc::gen::inRange (1U, 5U);
  auto takeover_after = *rc::gen::inRange (0U, 12U); /* in calls; the leadership changes then */
  std::vector<std::unique_ptr<Write>> writes;
  unsigned calls = fleet_store_calls (w->store);
  auto release_after = *rc::gen::inRange (1U, 12U); /* likewise; late copies are carried out */
  bool taken_over = false;
  bool released = false;

  mt_hedge_destroy (w->adapter->hedge);
  w->adapter->hedge = eager_hedge ();
  fleet_store_put (w->store, "leader", "a");
  fleet_store_fault_next (w->store, faults.data (), faults.size ());
  for (unsigned i = 0; i < n; i++)
    {
      writes.push_back (std::make_unique<Write> ());
      writes.back ()->world = w;
      writes.back ()->value = "w" + std::to_string (w->next++);
      send_write (writes.back ().get ());
    }
  while (!all_done (writes))
    {
      event_base_loop (w->base, EVLOOP_ONCE);
      if (!taken_over && fleet_store_calls (w->store) - calls >= takeover_after)
        {
          taken_over = true;
          fleet_store_put (w->store, "leader", "b");
        }
      if (!released && fleet_store_calls (w->store) - calls >= release_after)
        {
          released = true;
          fleet_store_release_late (w->store);
        }
    }
  fleet_store_release_late (w->store);
  for (const auto &write : writes)
    check_write (*write);
}

/* Also ends the losing copies that are still in flight. */
void
destroy_world (World *w)
{
  mt_calls_destroy (w->calls);
  mt_adapter_destroy (w->adapter);
  mt_http_front_destroy (w->front);
  fleet_store_destroy (w->store);
  event_base_free (w->base);
  delete w;
}

}

int
main ()
{
  return rc::check ("a hedged write is applied at most once and reported truly",
                    [] {
                      World *w = create_world ();

                      run_case (w);
                      destroy_world (w);
                    })
             ? 0
             : 1;
}
