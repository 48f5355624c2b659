#include "pool.h"

#include "journal.h"
#include "loop.h"
#include "pool_keys.h"
#include "watcher.h"

#include <stdio.h>
#include <string.h>

/* Shortest time between the starts of two write cycles; changes in between go into the next cycle.
 * In a surge of 440 tasks a second this makes some 30 writes a second instead of 880. */
#define CYCLE_MS 25
/* Most records in one transaction: each takes a precondition and a put, and the leadership takes
 * one precondition. */
#define RECORDS_PER_TXN 15
/* Most transactions without an answer. A transaction whose answer is lost holds back its own jobs
 * for up to TXN_TIMEOUT_MS; with four, the others go on until four in a row are lost. The limit
 * bounds the jobs that wait for one answer, and the writes in flight to a slow store. */
#define MAX_TXNS_IN_FLIGHT 4U
/* Time-out of a write, which is then sent again; the store answers in 10 ms when it is not
 * overloaded. */
#define TXN_TIMEOUT_MS 800
/* Most bytes of records in one transaction, unless one record alone has more. */
#define MAX_TXN_BYTES (64 * 1024)
/* The time-out is longer by the time that a record takes on a link of 4 Mbit/s. */
#define TXN_BYTES_PER_MS 500
/* Interval at which a record that the store does not accept is compared with what it was. */
#define REJECTED_CHECK_MS 1000
/* Most records in one transaction that removes them; the leadership takes one precondition. */
#define REMOVALS_PER_TXN 28U
/* Delay before the retry. If the first write was done after all, the second one conflicts with
 * it. */
#define TXN_RETRY_MS 60
/* Interval at which the pool runs its scheduler if nothing else triggers it, with open jobs and
 * without. */
#define TICK_MS      20
#define IDLE_TICK_MS 100
/* Longest wait of the queue's watch. The watch is only a fallback: the daemon that accepts a
 * submission also sends it to the leader. */
#define QUEUE_WATCH_WAIT_MS 2000
/* Pause between two watches: each costs a call, and usually returns only submissions that the
 * leader has already received. */
#define QUEUE_WATCH_PAUSE_MS 700
/* Delay before a failed load of the pool is retried; nothing is placed until it succeeds. */
#define RANGE_RETRY_MS 100
/* How long after the expiry of its own lease a leader goes on renewing its workers' leases in a
 * store outage. */
#define MAX_OUTAGE_RENEWAL_MS 10000

/* Reference-counted: one reference for the owner and one for each call in flight. */
struct mt_pool
{
  struct event_base *base;
  struct mt_pool_options options;
  char *name;
  char *leader_key;
  struct mt_scheduler *sched;
  struct mt_watcher *queue;
  struct mt_timer *tick;
  GHashTable *early_cancels; /* ids of jobs cancelled before they were known here */
  bool destroyed;
  bool queue_listed;
  bool loaded;
  char *load_after; /* key after which the next page begins; NULL: first page */
  struct mt_timer *load_timer;

  unsigned
      writes_in_flight;   /* transactions that are not stored yet, except those in queued_writes */
  GQueue queued_writes;   /* struct write, to be sent once fewer are in flight */
  GQueue failed_writes;   /* struct write, to be sent again by their timers; count as in flight */
  GQueue rejected_writes; /* struct write of one record each, which the store does not accept */
  int64_t cycle_began;    /* when the last cycle began */
  bool removal_in_flight;
  bool token_in_flight;
  int64_t token_written_at; /* when the last write for a higher token was sent */
  bool in_run;
};

struct write
{
  struct mt_pool *pool;
  GPtrArray *names; /* of records */
  struct mt_timer *retry_timer;
  char *rejected; /* the text that the store did not accept; NULL: none */
  char *sent;     /* the text of a single record as last sent; NULL: of several */
};

static void run_scheduler (struct mt_pool *pool);

static struct mt_pool *
ref (struct mt_pool *pool)
{
  return g_rc_box_acquire (pool);
}

static void
clear_pool (void *data)
{
  struct mt_pool *pool = data;

  mt_scheduler_destroy (pool->sched);
  g_hash_table_unref (pool->early_cancels);
  mt_timer_destroy (pool->tick);
  mt_timer_destroy (pool->load_timer);
  g_free (pool->load_after);
  g_free (pool->leader_key);
  g_free (pool->name);
}

static void
unref (struct mt_pool *pool)
{
  g_rc_box_release_full (pool, clear_pool);
}

static void
resign_leadership (struct mt_pool *pool, const char *why)
{
  if (!pool->destroyed)
    mt_cluster_drop_leadership (pool->options.cluster, pool->name, why);
}

/* ---- durability ---- */

static void send_write (struct write *w);

static void retry_write (void *ctx);

static struct write *
new_write (struct mt_pool *pool)
{
  struct write *w = g_new0 (struct write, 1);

  w->pool = ref (pool);
  w->names = g_ptr_array_new_with_free_func (g_free);
  w->retry_timer = mt_timer_create (pool->base, retry_write, w);
  return w;
}

static void
end_write (struct write *w)
{
  struct mt_pool *pool = w->pool;

  g_free (w->rejected);
  g_free (w->sent);
  g_ptr_array_unref (w->names);
  mt_timer_destroy (w->retry_timer);
  g_free (w);
  unref (pool);
}

static void
send_queued_writes (struct mt_pool *pool)
{
  while (!pool->destroyed && pool->writes_in_flight < MAX_TXNS_IN_FLIGHT
         && !g_queue_is_empty (&pool->queued_writes))
    {
      pool->writes_in_flight++;
      send_write (g_queue_pop_head (&pool->queued_writes));
    }
}

static void
complete_write (struct write *w, int64_t revision)
{
  struct mt_pool *pool = w->pool;

  for (guint i = 0; i < w->names->len; i++)
    mt_scheduler_set_job_revision (pool->sched, w->names->pdata[i], revision);
  mt_scheduler_raise_token (pool->sched, revision);
  mt_scheduler_jobs_stored (pool->sched, (const char *const *) w->names->pdata, w->names->len,
                            mt_loop_now ());
  pool->writes_in_flight--;
  send_queued_writes (pool);
  run_scheduler (pool);
  end_write (w);
}

/* Handles a write refused because keys have other revisions than expected. For a progress key, the
 * answer to an earlier write was lost: adopts the key's revision. Returns false if the leadership's
 * key was written by another daemon or is gone: this scheduler's state is then obsolete. */
static bool
resolve_conflict (struct write *w, const struct mt_kv_reply *reply)
{
  struct mt_pool *pool = w->pool;

  for (size_t i = 0; i < reply->n_items; i++)
    {
      const struct mt_kv_item *item = &reply->items[i];

      if (strcmp (item->key, pool->leader_key) == 0)
        {
          if (item->revision != pool->options.token)
            return false;
          continue;
        }
      mt_scheduler_set_job_revision (pool->sched, mt_pool_key_id (item->key), item->revision);
    }
  return true;
}

/* Sends the record once it differs from what the store did not accept: it may have become smaller.
 */
static void
check_rejected (void *ctx)
{
  struct write *w = ctx;
  struct mt_pool *pool = w->pool;
  g_autofree char *record = mt_scheduler_job_record (pool->sched, w->names->pdata[0]);

  if (g_strcmp0 (record, w->rejected) == 0)
    {
      mt_timer_set (w->retry_timer, REJECTED_CHECK_MS);
      return;
    }
  g_queue_remove (&pool->rejected_writes, w);
  mt_timer_destroy (w->retry_timer);
  w->retry_timer = mt_timer_create (pool->base, retry_write, w);
  g_queue_push_tail (&pool->queued_writes, w);
  send_queued_writes (pool);
}

/* Sets a record aside that the store does not accept, so that the other jobs go on; its job stays
 * as it is. Which one of several it is shows when each is sent alone. */
static void
isolate_rejected (struct write *w)
{
  struct mt_pool *pool = w->pool;

  pool->writes_in_flight--;
  if (w->names->len > 1)
    {
      for (guint i = 0; i < w->names->len; i++)
        {
          struct write *single = new_write (pool);

          g_ptr_array_add (single->names, g_strdup (w->names->pdata[i]));
          g_queue_push_tail (&pool->queued_writes, single);
        }
      end_write (w);
    }
  else
    {
      mt_journal_log (pool->options.journal, "RECORD_REJECTED", "pool=%s key=%s bytes=%zu",
                      pool->name, (const char *) w->names->pdata[0],
                      w->sent != NULL ? strlen (w->sent) : 0);
      g_free (w->rejected);
      w->rejected = g_steal_pointer (&w->sent);
      mt_timer_destroy (w->retry_timer);
      w->retry_timer = mt_timer_create (pool->base, check_rejected, w);
      mt_timer_set (w->retry_timer, REJECTED_CHECK_MS);
      g_queue_push_tail (&pool->rejected_writes, w);
    }
  send_queued_writes (pool);
}

static void
on_written (void *data, const struct mt_kv_reply *reply)
{
  struct write *w = data;
  struct mt_pool *pool = w->pool;

  if (pool->destroyed)
    {
      end_write (w);
      return;
    }
  switch (reply->status)
    {
    case MT_KV_OK:
      complete_write (w, reply->revision);
      return;
    case MT_KV_CONFLICT:
      if (!resolve_conflict (w, reply))
        {
          resign_leadership (pool, "a write was refused: another daemon holds the leadership");
          end_write (w);
          return;
        }
      break;
    case MT_KV_REJECTED:
      isolate_rejected (w);
      return;
    default:
      break;
    }
  /* Retries the write; if the first one was done after all, the second conflicts with it. */
  g_queue_push_tail (&pool->failed_writes, w);
  mt_timer_set (w->retry_timer, TXN_RETRY_MS);
}

static void
retry_write (void *ctx)
{
  struct write *w = ctx;

  g_queue_remove (&w->pool->failed_writes, w);
  send_write (w);
}

/* Queues the records from the index on for a transaction of their own. */
static void
split_write (struct write *w, guint from)
{
  struct write *rest = new_write (w->pool);

  for (guint i = from; i < w->names->len; i++)
    g_ptr_array_add (rest->names, g_strdup (w->names->pdata[i]));
  g_ptr_array_set_size (w->names, (gint) from);
  g_queue_push_head (&w->pool->queued_writes, rest);
}

static void
send_write (struct write *w)
{
  struct mt_pool *pool = w->pool;
  struct mt_kv_expect expects[1 + RECORDS_PER_TXN];
  struct mt_kv_put puts[RECORDS_PER_TXN];
  size_t n = 0;
  size_t bytes = 0;
  struct mt_kv_txn txn = { .expects = expects, .puts = puts };

  expects[0] = (struct mt_kv_expect){ pool->leader_key, pool->options.token };
  for (guint i = 0; i < w->names->len; i++)
    {
      const char *name = w->names->pdata[i];
      char *record = mt_scheduler_job_record (pool->sched, name);

      if (record == NULL)
        continue;
      puts[n].key = mt_pool_progress_key (pool->name, name);
      puts[n].value = mt_str_from (record);
      puts[n].lease = 0;
      expects[1 + n].key = puts[n].key;
      expects[1 + n].revision = mt_scheduler_job_revision (pool->sched, name);
      bytes += puts[n++].value.len;
      if (bytes >= MAX_TXN_BYTES && i + 1 < w->names->len)
        split_write (w, i + 1);
    }
  txn.n_expects = 1 + n;
  txn.n_puts = n;
  g_free (w->sent);
  w->sent = n == 1 ? g_strndup (puts[0].value.data, puts[0].value.len) : NULL;
  mt_kv_write (&pool->options.kv, &txn, TXN_TIMEOUT_MS + (int64_t) (bytes / TXN_BYTES_PER_MS),
               on_written, w);
  for (size_t i = 0; i < n; i++)
    {
      g_free ((char *) puts[i].key);
      g_free ((char *) puts[i].value.data);
    }
}

static void
begin_cycle (struct mt_pool *pool, int64_t now)
{
  GPtrArray *names = mt_scheduler_cycle_begin (pool->sched, now, mt_loop_wall_ms ());

  if (names == NULL)
    return;
  pool->cycle_began = now;
  for (guint at = 0; at < names->len; at += RECORDS_PER_TXN)
    {
      struct write *w = new_write (pool);

      for (guint i = at; i < MIN (at + RECORDS_PER_TXN, names->len); i++)
        g_ptr_array_add (w->names, g_strdup (names->pdata[i]));
      g_queue_push_tail (&pool->queued_writes, w);
    }
  g_ptr_array_unref (names);
  send_queued_writes (pool);
}

/* ---- fencing tokens ---- */

static void
on_token_written (void *data, const struct mt_kv_reply *reply)
{
  struct mt_pool *pool = data;

  pool->token_in_flight = false;
  if (!pool->destroyed && reply->status == MT_KV_OK)
    {
      mt_scheduler_raise_token (pool->sched, reply->revision);
      run_scheduler (pool);
    }
  unref (pool);
}

/* Obtains a higher fencing token where no write of a job has brought one: the revision of a write
 * that only this leader can make. If it fails, the next run tries again. */
static void
write_token (struct mt_pool *pool, int64_t now)
{
  g_autofree char *key = NULL;
  struct mt_kv_expect expect = { pool->leader_key, pool->options.token };
  struct mt_kv_put put = { .value = MT_STR ("") };
  struct mt_kv_txn txn = { &expect, 1, &put, 1, NULL, 0 };

  if (pool->token_in_flight || now - pool->token_written_at < TXN_RETRY_MS)
    return;
  key = mt_pool_token_key (pool->name);
  put.key = key;
  pool->token_in_flight = true;
  pool->token_written_at = now;
  mt_kv_write (&pool->options.kv, &txn, TXN_TIMEOUT_MS, on_token_written, ref (pool));
}

/* ---- orders ---- */

struct sent_order
{
  struct mt_pool *pool;
  struct mt_sent_order order; /* owns its strings */
};

static struct sent_order *
new_sent_order (struct mt_pool *pool, const struct mt_order *order, int64_t now)
{
  struct sent_order *s = g_new0 (struct sent_order, 1);

  *s = (struct sent_order){ .pool = ref (pool),
                            .order = { .kind = order->kind,
                                       .worker = g_strdup (order->worker),
                                       .worker_started_at = order->worker_started_at,
                                       .token = order->token,
                                       .is_probe = order->is_probe,
                                       .task = g_strdup (order->task),
                                       .run = order->run,
                                       .sent_at = now } };
  return s;
}

static void
free_sent_order (struct sent_order *s)
{
  unref (s->pool);
  g_free ((char *) s->order.worker);
  g_free ((char *) s->order.task);
  g_free (s);
}

static void
on_hold_answer (void *data, const struct mt_hold_report *report)
{
  struct sent_order *s = data;

  if (!s->pool->destroyed)
    {
      mt_scheduler_hold_answered (s->pool->sched, &s->order, report, mt_loop_now ());
      run_scheduler (s->pool);
    }
  free_sent_order (s);
}

static void
on_order_answer (void *data, const struct mt_order_report *report)
{
  struct sent_order *s = data;

  if (!s->pool->destroyed)
    {
      mt_scheduler_order_answered (s->pool->sched, &s->order, report, mt_loop_now ());
      run_scheduler (s->pool);
    }
  free_sent_order (s);
}

static void
on_tickets (void *data, char **rows, int64_t validity_ms)
{
  struct sent_order *s = data;
  struct mt_scheduler *sched = s->pool->sched;

  for (char **row = rows; !s->pool->destroyed && row != NULL && row[0] != NULL; row += 2)
    mt_scheduler_add_ticket (sched, s->order.task, row[0], row[1], s->order.sent_at + validity_ms);
  if (!s->pool->destroyed)
    {
      mt_scheduler_tickets_answered (sched, s->order.task, mt_loop_now (), rows != NULL);
      run_scheduler (s->pool);
    }
  free_sent_order (s);
}

static void
send_order (struct mt_pool *pool, const struct mt_order *order, int64_t now)
{
  const struct mt_workers *workers = &pool->options.workers;
  struct sent_order *s = new_sent_order (pool, order, now);

  if (order->kind == MT_ORDER_HOLD)
    workers->ops->hold (workers->ctx, order, on_hold_answer, s);
  else if (order->kind == MT_ORDER_REQUEST_TICKETS)
    workers->ops->advise (workers->ctx, order, on_tickets, s);
  else
    workers->ops->order (workers->ctx, order, on_order_answer, s);
}

/* Renews the workers' leases for a bounded time in a store outage: no successor can take over then,
 * and running tasks would lose their leases. Starts or stops nothing. A daemon that is only
 * partitioned itself sends nothing: its successor relies on these leases expiring. */
static void
renew_leases_in_outage (struct mt_pool *pool)
{
  struct mt_order order;

  while (!mt_cluster_lease_is_valid (pool->options.cluster)
         && mt_cluster_lease_invalid_ms (pool->options.cluster) < MAX_OUTAGE_RENEWAL_MS
         && pool->options.store_is_down (pool->options.ctx)
         && mt_scheduler_next_hold (pool->sched, mt_loop_now (), &order))
    {
      send_order (pool, &order, mt_loop_now ());
      mt_order_clear (&order);
    }
}

static bool
next_order (struct mt_pool *pool, struct mt_order *order)
{
  int64_t now = mt_loop_now ();

  mt_scheduler_set_link_delay (pool->sched, pool->options.link_wait_ms (pool->options.ctx), now);
  return mt_scheduler_next_order (pool->sched, now, order);
}

/* A daemon that was suspended or partitioned for longer than its lease may have a successor: it
 * sends nothing until the store has confirmed its lease. The clock is read before each order. */
static void
send_orders (struct mt_pool *pool)
{
  struct mt_order order;

  while (mt_cluster_lease_is_valid (pool->options.cluster) && next_order (pool, &order))
    {
      send_order (pool, &order, mt_loop_now ());
      mt_order_clear (&order);
    }
  renew_leases_in_outage (pool);
  if (mt_scheduler_is_fenced (pool->sched))
    resign_leadership (pool, "a worker has seen a higher fencing token");
}

/* ---- removal of ended jobs ---- */

struct removal
{
  struct mt_pool *pool;
  char *id;
  GPtrArray *parts; /* names of removed parts; none: the job's own keys were removed */
};

static void
on_removed (void *data, const struct mt_kv_reply *reply)
{
  struct removal *r = data;
  struct mt_pool *pool = r->pool;

  pool->removal_in_flight = false;
  if (!pool->destroyed && reply->status == MT_KV_OK)
    {
      for (guint i = 0; i < r->parts->len; i++)
        mt_scheduler_set_job_revision (pool->sched, r->parts->pdata[i], 0);
      if (r->parts->len == 0)
        mt_scheduler_remove_job (pool->sched, r->id);
    }
  g_ptr_array_unref (r->parts);
  g_free (r->id);
  g_free (r);
  unref (pool);
}

/* Removes keys of one job that ended long ago: first the parts of its record, and last the three
 * keys that make it known. */
static void
remove_expired_job (struct mt_pool *pool, int64_t now)
{
  const char *id = mt_scheduler_expired_job (pool->sched, now);
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  struct mt_kv_expect expect = { pool->leader_key, pool->options.token };
  struct mt_kv_txn txn = { .expects = &expect, .n_expects = 1 };
  struct removal *r;

  if (id == NULL || pool->removal_in_flight)
    return;
  r = g_new0 (struct removal, 1);
  *r = (struct removal){ ref (pool), g_strdup (id),
                         mt_scheduler_stored_parts (pool->sched, id, REMOVALS_PER_TXN) };
  for (guint i = 0; i < r->parts->len; i++)
    g_ptr_array_add (keys, mt_pool_progress_key (pool->name, r->parts->pdata[i]));
  if (r->parts->len == 0)
    {
      g_ptr_array_add (keys, mt_pool_job_key (pool->name, id));
      g_ptr_array_add (keys, mt_pool_progress_key (pool->name, id));
      g_ptr_array_add (keys, mt_pool_cancel_key (pool->name, id));
    }
  txn.removes = (const char *const *) keys->pdata;
  txn.n_removes = keys->len;
  pool->removal_in_flight = true;
  mt_kv_write (&pool->options.kv, &txn, TXN_TIMEOUT_MS, on_removed, r);
}

/* ---- scheduling ---- */

static void
run_scheduler (struct mt_pool *pool)
{
  int64_t now = mt_loop_now ();

  if (!pool->loaded || pool->destroyed || pool->in_run)
    return;
  pool->in_run = true;
  ref (pool);
  if (pool->writes_in_flight < MAX_TXNS_IN_FLIGHT && mt_scheduler_needs_cycle (pool->sched, now))
    {
      if (now - pool->cycle_began >= CYCLE_MS)
        begin_cycle (pool, now);
      else
        mt_timer_set_if_sooner (pool->tick, CYCLE_MS - (now - pool->cycle_began));
    }
  if (!pool->destroyed)
    send_orders (pool);
  if (!pool->destroyed && mt_scheduler_needs_token (pool->sched))
    write_token (pool, now);
  pool->in_run = false;
  unref (pool);
}

static void
on_tick (void *ctx)
{
  struct mt_pool *pool = ctx;

  mt_timer_set (pool->tick, mt_scheduler_is_idle (pool->sched) ? IDLE_TICK_MS : TICK_MS);
  remove_expired_job (pool, mt_loop_now ());
  run_scheduler (pool);
}

void
mt_pool_wake (struct mt_pool *pool)
{
  run_scheduler (pool);
}

/* ---- loading ---- */

static void load_page (void *ctx);

static void
finish_load (struct mt_pool *pool)
{
  mt_scheduler_end_restore (pool->sched, mt_loop_now ());
  pool->loaded = true;
  mt_journal_log (pool->options.journal, "POOL_LOADED", "pool=%s token=%" G_GINT64_FORMAT,
                  pool->name, pool->options.token);
  mt_timer_set (pool->tick, 0);
}

static void
on_page (void *data, const struct mt_kv_reply *reply)
{
  struct mt_pool *pool = data;

  if (pool->destroyed)
    {
      unref (pool);
      return;
    }
  if (reply->status != MT_KV_OK || mt_kv_page_is_empty_part (reply))
    {
      mt_timer_set (pool->load_timer, RANGE_RETRY_MS);
      unref (pool);
      return;
    }
  for (size_t i = 0; i < reply->n_items; i++)
    {
      const struct mt_kv_item *item = &reply->items[i];
      g_autofree char *record = g_strndup (item->value.data, item->value.len);

      if (!mt_scheduler_restore (pool->sched, mt_pool_key_id (item->key), record, item->revision,
                                 mt_loop_now ()))
        mt_journal_log (pool->options.journal, "RECORD_UNREADABLE", "pool=%s key=%s", pool->name,
                        item->key);
    }
  g_free (pool->load_after);
  pool->load_after = reply->more ? g_strdup (reply->items[reply->n_items - 1].key) : NULL;
  if (pool->load_after != NULL)
    load_page (pool);
  else
    finish_load (pool);
  unref (pool);
}

static void
load_page (void *ctx)
{
  struct mt_pool *pool = ctx;
  g_autofree char *prefix = mt_pool_progress_key (pool->name, "");

  pool->options.kv.ops->range (pool->options.kv.ctx, prefix, pool->load_after, on_page, ref (pool));
}

static void
on_queue_listed (void *ctx)
{
  struct mt_pool *pool = ctx;

  if (pool->queue_listed)
    return;
  pool->queue_listed = true;
  load_page (pool);
}

static void
on_queue_item (void *ctx, const struct mt_kv_item *item)
{
  struct mt_pool *pool = ctx;

  if (item->deleted)
    return;
  if (mt_pool_key_is_cancel (pool->name, item->key))
    mt_pool_handle_cancel (pool, mt_pool_key_id (item->key));
  else
    mt_pool_handle_submission (pool, item->key, item->value, false);
}

void
mt_pool_handle_submission (struct mt_pool *pool, const char *key, struct mt_str value, bool fresh)
{
  const char *id = mt_pool_key_id (key);
  struct mt_pool_submission submission;
  g_autoptr (GError) error = NULL;
  struct mt_job_spec *spec = NULL;

  if (mt_scheduler_has_job (pool->sched, id))
    return;
  if (mt_pool_submission_unpack (value, &submission))
    spec = pool->options.codec->ops->parse_job (id, submission.route, submission.body, &error);
  if (spec == NULL)
    {
      mt_journal_log (pool->options.journal, "RECORD_UNREADABLE", "pool=%s key=%s why=%s",
                      pool->name, key, error != NULL ? error->message : "not a valid submission");
      mt_pool_submission_clear (&submission);
      return;
    }
  if (submission.policy.max_attempts > 0)
    mt_scheduler_set_route (pool->sched, submission.route, &submission.policy, mt_loop_now ());
  spec->accepted_ms = submission.accepted_ms;
  spec->workspace = g_strdup (submission.workspace);
  mt_scheduler_submit (pool->sched, spec, mt_loop_now (),
                       fresh ? submission.accepted_ms : mt_loop_wall_ms ());
  mt_pool_submission_clear (&submission);
  if (g_hash_table_contains (pool->early_cancels, id))
    mt_scheduler_cancel (pool->sched, id, mt_loop_now ());
  run_scheduler (pool);
}

void
mt_pool_handle_cancel (struct mt_pool *pool, const char *id)
{
  if (mt_scheduler_cancel (pool->sched, id, mt_loop_now ()))
    run_scheduler (pool);
  else
    g_hash_table_add (pool->early_cancels, g_strdup (id));
}

/* ---- creation and destruction ---- */

static void
on_scheduler_event (void *ctx, const char *name, const char *detail)
{
  struct mt_pool *pool = ctx;

  mt_journal_log (pool->options.journal, name, "pool=%s %s", pool->name, detail);
}

struct mt_pool *
mt_pool_create (struct event_base *base, const struct mt_pool_options *options)
{
  struct mt_pool *pool = g_rc_box_new0 (struct mt_pool);
  g_autofree char *prefix = mt_pool_queue_prefix (options->name);
  struct mt_watcher_options watch = { .prefix = prefix,
                                      .wait_ms = QUEUE_WATCH_WAIT_MS,
                                      .pause_ms = QUEUE_WATCH_PAUSE_MS,
                                      .journal = options->journal,
                                      .on_item = on_queue_item,
                                      .on_listed = on_queue_listed,
                                      .ctx = pool };

  pool->base = base;
  pool->options = *options;
  pool->name = g_strdup (options->name);
  pool->options.name = pool->options.sched.name = pool->name;
  pool->options.sched.token = options->token;
  pool->leader_key = mt_cluster_leader_key (options->name);
  pool->sched = mt_scheduler_create (&pool->options.sched);
  mt_scheduler_set_event_callback (pool->sched, on_scheduler_event, pool);
  pool->early_cancels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pool->tick = mt_timer_create (base, on_tick, pool);
  pool->load_timer = mt_timer_create (base, load_page, pool);
  pool->queue = mt_watcher_create (base, options->kv, &watch);
  return pool;
}

void
mt_pool_destroy (struct mt_pool *pool)
{
  if (pool == NULL)
    return;
  pool->destroyed = true;
  mt_timer_clear (pool->tick);
  mt_timer_clear (pool->load_timer);
  g_queue_clear_full (&pool->queued_writes, (GDestroyNotify) end_write);
  g_queue_clear_full (&pool->failed_writes, (GDestroyNotify) end_write);
  g_queue_clear_full (&pool->rejected_writes, (GDestroyNotify) end_write);
  mt_watcher_destroy (pool->queue);
  unref (pool);
}

bool
mt_pool_is_loaded (const struct mt_pool *pool)
{
  return pool->loaded;
}

struct mt_scheduler *
mt_pool_scheduler (struct mt_pool *pool)
{
  return pool->sched;
}

enum mt_job_state
mt_pool_state_for (const struct mt_pool *pool, const char *id, const char *workspace)
{
  const char *owner = mt_scheduler_job_workspace (pool->sched, id);

  if (owner == NULL || !mt_pool_job_is_visible (owner, workspace))
    return MT_JOB_UNKNOWN;
  return mt_scheduler_job_state (pool->sched, id);
}

int64_t
mt_pool_token (const struct mt_pool *pool)
{
  return pool->options.token;
}
