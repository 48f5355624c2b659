#include "config_publisher.h"

#include "config_delta.h"
#include "config_wire.h"
#include "loop.h"

/* A part takes 50 ms on 10 Mbit/s: small enough for the time-out of one call, and for other
 * messages on the connection. */
#define PART_BYTES 65536U
/* A call waits for the store's next confirmation for at most this time. */
#define WAIT_MS 1000
/* Changes between versions are kept up to this number and these bytes; a daemon that is further
 * behind gets all of the newest version. */
#define MAX_STEPS      32U
#define MAX_STEP_BYTES (4U * 1024 * 1024)
/* Without a call for this time nobody follows this daemon, and changes are not encoded. */
#define FOLLOWED_MS 10000
/* A whole version that has been replaced is kept for daemons that are receiving it. */
#define WHOLE_KEPT_MS 3000

struct document
{
  int64_t from; /* 0: all of a version */
  int64_t to;
  GBytes *bytes;
  int64_t used_at;
};

struct waiting_call
{
  struct mt_config_publisher *publisher;
  struct mt_mesh_call *call;
  struct mt_config_query query;
  int64_t arrived_at;
};

struct mt_config_publisher
{
  struct mt_config_publisher_options options;
  const struct mt_fleet_config *config;
  GQueue steps;  /* of struct document, oldest first; each continues the one before it */
  GQueue wholes; /* of struct document, from 0 */
  size_t step_bytes;
  GQueue waiting; /* of struct waiting_call, by arrived_at */
  struct mt_timer *timer;
  int64_t asked_at;
};

/* ---- documents ---- */

static void
free_document (void *data)
{
  struct document *doc = data;

  g_bytes_unref (doc->bytes);
  g_free (doc);
}

static struct document *
create_document (const struct mt_fleet_config *from, const struct mt_fleet_config *to)
{
  struct document *doc = g_new0 (struct document, 1);

  *doc = (struct document){ from != NULL ? from->version : 0, to->version,
                            mt_config_delta_encode (from, to), mt_loop_now () };
  return doc;
}

static void
drop_first_step (struct mt_config_publisher *p)
{
  struct document *doc = g_queue_pop_head (&p->steps);

  p->step_bytes -= g_bytes_get_size (doc->bytes);
  free_document (doc);
}

static void
add_step (struct mt_config_publisher *p,
          const struct mt_fleet_config *before,
          const struct mt_fleet_config *config)
{
  struct document *doc = create_document (before, config);

  g_queue_push_tail (&p->steps, doc);
  p->step_bytes += g_bytes_get_size (doc->bytes);
  while (p->steps.length > MAX_STEPS || p->step_bytes > MAX_STEP_BYTES)
    drop_first_step (p);
}

static void
drop_unused_wholes (struct mt_config_publisher *p)
{
  struct document *doc;

  while ((doc = g_queue_peek_head (&p->wholes)) != NULL && doc->to != p->config->version
         && mt_loop_now () - doc->used_at > WHOLE_KEPT_MS)
    free_document (g_queue_pop_head (&p->wholes));
}

static struct document *
find_document (const GQueue *list, int64_t from, int64_t to)
{
  for (GList *l = list->head; l != NULL; l = l->next)
    {
      struct document *doc = l->data;

      if (doc->from == from && (to == 0 || doc->to == to))
        return doc;
    }
  return NULL;
}

/* Returns the document that the caller is receiving, else the next one that it needs. */
static struct document *
choose_document (struct mt_config_publisher *p, const struct mt_config_query *query)
{
  struct document *doc = NULL;

  drop_unused_wholes (p);
  if (query->offset > 0)
    doc = find_document (&p->steps, query->known, query->version);
  if (doc == NULL && query->offset > 0)
    doc = find_document (&p->wholes, 0, query->version);
  if (doc == NULL)
    doc = find_document (&p->steps, query->known, 0);
  if (doc == NULL)
    doc = find_document (&p->wholes, 0, p->config->version);
  if (doc == NULL)
    {
      doc = create_document (NULL, p->config);
      g_queue_push_tail (&p->wholes, doc);
    }
  doc->used_at = mt_loop_now ();
  return doc;
}

/* ---- replies ---- */

static void
set_part (struct mt_config_publisher *p,
          const struct mt_config_query *query,
          struct mt_config_part *part)
{
  const struct document *doc = choose_document (p, query);
  bool continues = doc->to == query->version && query->offset < g_bytes_get_size (doc->bytes);
  const char *bytes = g_bytes_get_data (doc->bytes, NULL);

  part->version = doc->to;
  part->size = g_bytes_get_size (doc->bytes);
  part->offset = continues ? query->offset : 0;
  part->bytes
      = (struct mt_str){ bytes + part->offset, MIN (part->size - part->offset, PART_BYTES) };
  if (doc->to != p->config->version)
    part->confirmed_ms = MT_CONFIG_NOT_NEWEST;
}

/* A caller that has a newer version than this daemon is not helped. Version 0 says that the store
 * has none yet. */
static void
reply (struct mt_config_publisher *p,
       struct mt_mesh_call *call,
       const struct mt_config_query *query,
       int64_t arrived_at)
{
  struct mt_config_message message;
  int64_t confirmed_at = mt_loop_now () - p->options.age_ms (p->options.ctx);
  struct mt_config_part part;
  int64_t version = p->config != NULL ? p->config->version : 0;

  if (query->known > version)
    {
      mt_mesh_reply (call, NULL);
      return;
    }
  part = (struct mt_config_part){ .version = version,
                                  .confirmed_ms = confirmed_at - arrived_at,
                                  .revision = p->options.revision (p->options.ctx),
                                  .bytes = { "", 0 } };
  if (query->known < version)
    set_part (p, query, &part);
  mt_config_part_pack (&part, &message);
  mt_mesh_reply (call, &message.args);
}

static void
reply_to_first (struct mt_config_publisher *p)
{
  struct waiting_call *w = g_queue_pop_head (&p->waiting);

  reply (p, w->call, &w->query, w->arrived_at);
  g_free (w);
}

static void
set_timer (struct mt_config_publisher *p)
{
  const struct waiting_call *first = g_queue_peek_head (&p->waiting);

  if (first != NULL)
    mt_timer_set (p->timer, MAX (first->arrived_at + WAIT_MS - mt_loop_now (), 0));
  else
    mt_timer_clear (p->timer);
}

static void
on_due (void *ctx)
{
  struct mt_config_publisher *p = ctx;
  const struct waiting_call *first;

  while ((first = g_queue_peek_head (&p->waiting)) != NULL
         && first->arrived_at + WAIT_MS <= mt_loop_now ())
    reply_to_first (p);
  set_timer (p);
}

static struct waiting_call *
create_waiting (struct mt_config_publisher *p,
                struct mt_mesh_call *call,
                const struct mt_config_query *query)
{
  struct waiting_call *w = g_new0 (struct waiting_call, 1);

  *w = (struct waiting_call){ p, call, *query, mt_loop_now () };
  return w;
}

static void
on_checked (void *data, bool confirmed)
{
  struct waiting_call *w = data;

  if (confirmed)
    reply (w->publisher, w->call, &w->query, w->arrived_at);
  else
    mt_mesh_reply (w->call, NULL);
  g_free (w);
}

void
mt_config_publisher_serve (struct mt_config_publisher *p,
                           struct mt_mesh_call *call,
                           const struct mt_mesh_args *args)
{
  struct mt_config_query query;
  int64_t version = p->config != NULL ? p->config->version : 0;

  if (!mt_config_query_unpack (args, &query))
    {
      mt_mesh_reply (call, NULL);
      return;
    }
  p->asked_at = mt_loop_now ();
  if (query.known == version && query.mode == MT_CONFIG_WAIT)
    {
      g_queue_push_tail (&p->waiting, create_waiting (p, call, &query));
      set_timer (p);
    }
  else if (query.known == version && query.mode == MT_CONFIG_CHECK)
    mt_config_check_request (p->options.check, on_checked, create_waiting (p, call, &query));
  else
    reply (p, call, &query, mt_loop_now ());
}

void
mt_config_publisher_confirmed (struct mt_config_publisher *p)
{
  while (!g_queue_is_empty (&p->waiting))
    reply_to_first (p);
  set_timer (p);
}

void
mt_config_publisher_set (struct mt_config_publisher *p,
                         const struct mt_fleet_config *before,
                         const struct mt_fleet_config *config)
{
  bool followed = p->asked_at > 0 && mt_loop_now () - p->asked_at < FOLLOWED_MS;

  p->config = config;
  if (before != NULL && followed)
    add_step (p, before, config);
  else
    while (!g_queue_is_empty (&p->steps))
      drop_first_step (p);
}

struct mt_config_publisher *
mt_config_publisher_create (struct event_base *base,
                            const struct mt_config_publisher_options *options)
{
  struct mt_config_publisher *p = g_new0 (struct mt_config_publisher, 1);

  p->options = *options;
  p->timer = mt_timer_create (base, on_due, p);
  return p;
}

void
mt_config_publisher_destroy (struct mt_config_publisher *p)
{
  struct waiting_call *w;

  if (p == NULL)
    return;
  while ((w = g_queue_pop_head (&p->waiting)) != NULL)
    {
      mt_mesh_reply (w->call, NULL);
      g_free (w);
    }
  mt_timer_destroy (p->timer);
  g_queue_clear_full (&p->steps, free_document);
  g_queue_clear_full (&p->wholes, free_document);
  g_free (p);
}
