/* With several daemons, operators' edits, stale reads and restored backups in any order, no
 * daemon's version goes back, and once the store is no longer changed otherwise, the next edit is
 * put in force on all daemons. */
#include <glib.h>
#include <jansson.h>
#include <rapidcheck.h>

extern "C"
{
#include "fake_store.h"
#include "medlartrack/acceptance.h"
}

#include <map>
#include <string>
#include <vector>

#define DAEMONS 3

struct world
{
  struct fake_store *fake = fake_store_create (mt_clock_system ());
  const struct mt_store *store = fake_store_store (fake);
  std::vector<std::string> written; /* every document written to the store */
  struct mt_tables *held[DAEMONS] = {};
  unsigned edits = 0;

  ~world ()
  {
    for (struct mt_tables *tables : held)
      mt_tables_destroy (tables);
    fake_store_destroy (fake);
  }
};

static struct mt_store_value
read (const world &w)
{
  struct mt_store_value value;

  w.store->ops->get (w.store->ctx, MT_TABLES_KEY, &value, nullptr);
  return value;
}

static struct mt_tables *
parse (const std::string &text)
{
  return mt_tables_parse ({ text.data (), text.size () }, nullptr);
}

/* A complete edit by an operator: reads the document and writes its successor by
 * compare-and-swap. */
static void
edit (world &w)
{
  struct mt_store_value value = read (w);
  struct mt_tables *now = value.found ? parse (value.data) : nullptr;
  struct mt_tables *wanted = parse ("{\"routes\":[],\"pools\":[]}");
  std::string id = "edit-" + std::to_string (w.edits++);
  char *text = mt_tables_format_next (now, wanted, (now ? now->version : 0) + 1, id.c_str ());

  if (w.store->ops->put (w.store->ctx, MT_TABLES_KEY, mt_str_from (text), value.index, nullptr)
      == MT_STORE_DONE)
    w.written.emplace_back (text);
  g_free (text);
  mt_tables_destroy (now);
  mt_tables_destroy (wanted);
  mt_store_value_clear (&value);
}

/* A daemon gets this text from the store or from a peer. */
static void
offer (world &w, size_t daemon, const std::string &text, bool may_repair)
{
  struct mt_tables *&held = w.held[daemon];
  struct mt_tables *offered = parse (text);
  enum mt_acceptance verdict = mt_acceptance_compare (held, offered);

  if (verdict == MT_ACCEPTANCE_NEWER)
    {
      /* RC_ASSERT evaluates both sides of "||". */
      bool grows = held == nullptr || offered->version > held->version;

      RC_ASSERT (grows);
      std::swap (held, offered);
    }
  else if (verdict == MT_ACCEPTANCE_OLDER && may_repair)
    mt_acceptance_repair (w.store, held, nullptr);
  mt_tables_destroy (offered);
}

static void
watch (world &w, size_t daemon)
{
  struct mt_store_value value = read (w);

  if (value.found)
    offer (w, daemon, value.data, true);
  mt_store_value_clear (&value);
}

static void
step (world &w, int action, size_t pick)
{
  size_t daemon = pick % DAEMONS;

  if (action == 0)
    edit (w);
  else if (action == 1 && !w.written.empty ())
    fake_store_force (w.fake, MT_TABLES_KEY, w.written[pick % w.written.size ()].c_str ());
  else if (action == 2 && !w.written.empty ())
    offer (w, daemon, w.written[pick % w.written.size ()], true);
  else
    watch (w, daemon);
}

static void
watch_all (world &w)
{
  for (int round = 0; round < 3; round++)
    for (size_t d = 0; d < DAEMONS; d++)
      watch (w, d);
}

int
main ()
{
  bool ok = rc::check ("accepted tables never revert and the next edit wins everywhere", [] {
    auto actions = *rc::gen::container<std::vector<std::pair<int, size_t>>> (
        rc::gen::pair (rc::gen::inRange (0, 5), rc::gen::inRange<size_t> (0, 100)));
    world w;

    for (const auto &action : actions)
      step (w, action.first, action.second);
    watch_all (w);
    edit (w);
    watch_all (w);
    for (size_t d = 0; d < DAEMONS; d++)
      RC_ASSERT (mt_str_equal (w.held[d]->id, w.held[0]->id));
    RC_ASSERT (std::string (w.held[0]->id.data) == "edit-" + std::to_string (w.edits - 1));
  });

  return ok ? 0 : 1;
}
