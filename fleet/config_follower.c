#include "config_follower.h"

#include "avoid_list.h"
#include "config_wire.h"
#include "journal.h"
#include "loop.h"

#include <string.h>
#include <xxhash.h>

/* A call that waits is answered after a second. */
#define WAIT_TIMEOUT_MS 1400
/* For a part, whose size is limited, and for an answer that does not wait. */
#define PART_TIMEOUT_MS  1000
#define CHECK_TIMEOUT_MS 500
/* Pause while there is no daemon to follow, or none is to be followed. */
#define RETRY_MS 200
/* A daemon is avoided for these times after no answer and after a refusal. */
#define AVOID_SILENT_MS  2000
#define AVOID_REFUSED_MS 200
/* A daemon that has not been confirmed for longer may be cut off from the store. */
#define STALE_MS 1300

struct pending_check
{
  struct mt_config_follower *follower;
  mt_config_checked done;
  void *data;
  char *source;
  int64_t sent_at;
  int64_t version; /* found by the source, awaited here */
  int64_t due_at;
};

struct mt_config_follower
{
  struct mt_config_follower_options options;
  char *name;
  struct mt_timer *timer;
  char *source;    /* address of the last call; NULL before the first */
  int64_t sent_at; /* when it was sent */
  struct mt_avoid_list *avoided;
  bool stopped;
  GByteArray *document; /* parts that have arrived */
  int64_t document_version;
  int64_t confirmed_at;
  int64_t revision;
  GQueue checks; /* of struct pending_check, whose version is awaited, by due_at */
  struct mt_timer *checks_timer;
};

static void start_poll (void *ctx);

/* ---- choice of a source ---- */

struct choice
{
  struct mt_config_follower *follower;
  char *address;
  bool same_zone;
  uint64_t rank;
};

/* Ranks differ between daemons, so that the followers spread. */
static uint64_t
rank_of (const struct mt_config_follower *f, const char *address)
{
  return XXH64 (address, strlen (address), XXH64 (f->name, strlen (f->name), 0));
}

static void
consider (void *ctx, const struct mt_cluster_peer *peer)
{
  struct choice *best = ctx;
  uint64_t rank;

  if (peer->link_mbps < MT_WIDE_LINK_MBPS
      || mt_avoid_list_has (best->follower->avoided, peer->address))
    return;
  rank = rank_of (best->follower, peer->address);
  if (best->address != NULL
      && (best->same_zone != peer->same_zone ? best->same_zone : best->rank <= rank))
    return;
  g_free (best->address);
  best->address = g_strdup (peer->address);
  best->same_zone = peer->same_zone;
  best->rank = rank;
}

/* Free the result with g_free; NULL if there is none. */
static char *
choose_source (struct mt_config_follower *f)
{
  struct choice best = { .follower = f };

  mt_cluster_for_each_peer (f->options.cluster, consider, &best);
  return best.address;
}

static void
clear_document (struct mt_config_follower *f)
{
  g_byte_array_set_size (f->document, 0);
  f->document_version = 0;
}

static void
set_source (struct mt_config_follower *f, char *address)
{
  if (g_strcmp0 (f->source, address) == 0)
    {
      g_free (address);
      return;
    }
  clear_document (f);
  g_free (f->source);
  f->source = address;
  mt_journal_log (f->options.journal, "CONFIG_SOURCE", "source=%s version=%" G_GINT64_FORMAT,
                  address, f->options.version (f->options.ctx));
}

/* ---- checks ---- */

static void
end_check (struct pending_check *check, bool confirmed)
{
  check->done (check->data, confirmed);
  g_free (check->source);
  g_free (check);
}

static void
set_checks_timer (struct mt_config_follower *f)
{
  const struct pending_check *first = g_queue_peek_head (&f->checks);

  if (first != NULL)
    mt_timer_set (f->checks_timer, MAX (first->due_at - mt_loop_now (), 0));
  else
    mt_timer_clear (f->checks_timer);
}

/* Ends the checks whose version is in force, and those that are overdue. */
static void
end_checks (void *ctx)
{
  struct mt_config_follower *f = ctx;
  int64_t version = f->options.version (f->options.ctx);
  GQueue ended = G_QUEUE_INIT;
  GList *next;
  struct pending_check *check;

  for (GList *l = f->checks.head; l != NULL; l = next)
    {
      check = l->data;
      next = l->next;
      if (check->version > version && check->due_at > mt_loop_now ())
        continue;
      g_queue_unlink (&f->checks, l);
      g_queue_push_tail_link (&ended, l);
    }
  set_checks_timer (f);
  while ((check = g_queue_pop_head (&ended)) != NULL)
    end_check (check, check->version <= version);
}

static void
note_confirmation (struct mt_config_follower *f, const struct mt_config_part *part, int64_t sent_at)
{
  /* The revision may be of a newer version then. */
  if (part->confirmed_ms == MT_CONFIG_NOT_NEWEST)
    return;
  f->confirmed_at = MAX (f->confirmed_at, sent_at + part->confirmed_ms);
  f->revision = MAX (f->revision, part->revision);
}

static void
on_check_answer (void *ctx, const struct mt_mesh_args *args)
{
  struct pending_check *check = ctx;
  struct mt_config_follower *f = check->follower;
  int64_t version = f->options.version (f->options.ctx);
  struct mt_config_part part;

  if (args == NULL || !mt_config_part_unpack (args, &part))
    {
      if (args == NULL)
        mt_avoid_list_add (f->avoided, check->source, AVOID_SILENT_MS);
      end_check (check, false);
      return;
    }
  if (part.version <= version)
    {
      if (part.version == version && part.size == 0)
        note_confirmation (f, &part, check->sent_at);
      end_check (check, part.version == version);
      return;
    }
  /* The call that waits brings the newer version. */
  check->version = part.version;
  check->due_at = mt_loop_now () + CHECK_TIMEOUT_MS;
  g_queue_push_tail (&f->checks, check);
  set_checks_timer (f);
}

bool
mt_config_follower_check (struct mt_config_follower *f, mt_config_checked done, void *data)
{
  char *source = f->stopped ? NULL : choose_source (f);
  struct mt_config_query query
      = { .mode = MT_CONFIG_CHECK, .known = f->options.version (f->options.ctx) };
  struct mt_config_message message;
  struct pending_check *check;

  if (source == NULL)
    return false;
  check = g_new0 (struct pending_check, 1);
  *check = (struct pending_check){ f, done, data, source, mt_loop_now (), 0, 0 };
  mt_config_query_pack (&query, &message);
  mt_mesh_send (f->options.mesh, source, MT_MESH_CONFIG, &message.args, CHECK_TIMEOUT_MS,
                on_check_answer, check);
  return true;
}

/* ---- polls ---- */

static void
fail_source (struct mt_config_follower *f, int64_t avoid_ms)
{
  mt_avoid_list_add (f->avoided, f->source, avoid_ms);
  clear_document (f);
  start_poll (f);
}

/* Returns false if the document can't be applied. */
static bool
add_part (struct mt_config_follower *f, const struct mt_config_part *part)
{
  bool ok = true;

  if (part->version != f->document_version || part->offset != f->document->len)
    clear_document (f);
  if (part->offset != f->document->len)
    return true; /* it begins anew with the next call */
  f->document_version = part->version;
  g_byte_array_append (f->document, (const guint8 *) part->bytes.data, (guint) part->bytes.len);
  if (f->document->len < part->size)
    return true;
  ok = f->options.apply (f->options.ctx,
                         (struct mt_str){ (const char *) f->document->data, f->document->len });
  clear_document (f);
  return ok;
}

static void
on_answer (void *ctx, const struct mt_mesh_args *args)
{
  struct mt_config_follower *f = ctx;
  struct mt_config_part part;

  if (f->stopped)
    return;
  if (args == NULL)
    {
      fail_source (f, AVOID_SILENT_MS);
      return;
    }
  if (!mt_config_part_unpack (args, &part) || (part.size > 0 && !add_part (f, &part)))
    {
      fail_source (f, AVOID_REFUSED_MS);
      return;
    }
  if (part.version == f->options.version (f->options.ctx))
    note_confirmation (f, &part, f->sent_at);
  end_checks (f);
  if (part.size == 0 && mt_loop_now () - f->sent_at - part.confirmed_ms > STALE_MS)
    fail_source (f, AVOID_REFUSED_MS);
  else
    start_poll (f);
}

/* Waits for a change once this daemon has the newest version of the source, or as long as there is
 * none. */
static bool
may_wait (const struct mt_config_follower *f, const char *source, int64_t version)
{
  return f->document->len == 0
         && (version == 0
             || (g_strcmp0 (f->source, source) == 0
                 && mt_loop_now () - f->confirmed_at < STALE_MS));
}

static void
start_poll (void *ctx)
{
  struct mt_config_follower *f = ctx;
  bool wanted = !f->stopped && f->options.wanted (f->options.ctx);
  char *source = wanted ? choose_source (f) : NULL;
  struct mt_config_query query = { .known = f->options.version (f->options.ctx) };
  struct mt_config_message message;

  if (f->stopped)
    return;
  if (source == NULL)
    {
      mt_timer_set (f->timer, RETRY_MS);
      return;
    }
  query.mode = may_wait (f, source, query.known) ? MT_CONFIG_WAIT : MT_CONFIG_NOW;
  set_source (f, source);
  query.version = f->document_version;
  query.offset = f->document->len;
  mt_config_query_pack (&query, &message);
  f->sent_at = mt_loop_now ();
  mt_mesh_send (f->options.mesh, f->source, MT_MESH_CONFIG, &message.args,
                query.mode == MT_CONFIG_WAIT ? WAIT_TIMEOUT_MS : PART_TIMEOUT_MS, on_answer, f);
}

bool
mt_config_follower_has_source (const struct mt_config_follower *f)
{
  return f->source != NULL;
}

int64_t
mt_config_follower_confirmed_at (const struct mt_config_follower *f)
{
  return f->confirmed_at;
}

int64_t
mt_config_follower_revision (const struct mt_config_follower *f)
{
  return f->revision;
}

struct mt_config_follower *
mt_config_follower_create (struct event_base *base,
                           const struct mt_config_follower_options *options)
{
  struct mt_config_follower *f = g_new0 (struct mt_config_follower, 1);

  f->options = *options;
  f->name = g_strdup (options->name);
  f->document = g_byte_array_new ();
  f->avoided = mt_avoid_list_create ();
  f->timer = mt_timer_create (base, start_poll, f);
  f->checks_timer = mt_timer_create (base, end_checks, f);
  mt_timer_set (f->timer, 0);
  return f;
}

void
mt_config_follower_destroy (struct mt_config_follower *f)
{
  struct pending_check *check;

  if (f == NULL)
    return;
  f->stopped = true;
  while ((check = g_queue_pop_head (&f->checks)) != NULL)
    end_check (check, false);
  mt_timer_destroy (f->timer);
  mt_timer_destroy (f->checks_timer);
  g_byte_array_unref (f->document);
  mt_avoid_list_destroy (f->avoided);
  g_free (f->source);
  g_free (f->name);
  g_free (f);
}
