#include "peers.h"

#include "medlartrack/error.h"
#include "medlartrack/log.h"

#include <stdlib.h>
#include <string.h>

#define FAN_OUT                 2 /* members contacted in each heartbeat; see docs/membership.md */
#define HEARTBEAT_TIMEOUT_US    (800 * MT_MS)
#define FETCH_TIMEOUT_US        (5 * MT_SECOND)
#define MAX_LEAVE_SEEDS         8 /* addresses without a member that are notified of leaving */
#define LEAVE_TIMEOUT_US        (500 * MT_MS)
#define THREADS                 4
#define MIN_TRIGGER_INTERVAL_US (50 * MT_MS) /* triggers within this time share a heartbeat */
#define SEED_INTERVAL           8            /* every 8th heartbeat also contacts a seed address */
#define MAX_SEEDS               512

struct mt_peers
{
  const struct mt_clock *clock;
  struct mt_peer_server *server;
  const struct mt_peers_callbacks *callbacks;
  void *ctx;
  char *address;
  char *zone;
  struct mt_peer_client *client;
  GSList *served; /* of struct served; written before the start */
  GThread *thread;
  GThreadPool *workers; /* exchanges and fetches: a slow peer must not delay the others */
  GMutex lock;
  GCond wake;
  /* Guarded by lock. */
  struct mt_membership *membership;
  struct mt_documents *documents;
  GPtrArray *seeds; /* addresses from the settings and the platform's list, each once */
  unsigned next_seed;
  unsigned heartbeats;
  bool triggered;
  bool stopping;
};

enum task_kind
{
  TASK_EXCHANGE,
  TASK_LEAVE,
  TASK_FETCH,
};

struct task
{
  enum task_kind kind;
  char *address;
  struct mt_document_fetch fetch; /* for TASK_FETCH */
};

static void
log_change (void *ctx, enum mt_membership_event event, const struct mt_member *member)
{
  static const enum mt_event events[] = {
    [MT_MEMBER_JOINED] = MT_EVENT_MEMBER_JOINED,
    [MT_MEMBER_SUSPECTED] = MT_EVENT_MEMBER_SUSPECTED,
    [MT_MEMBER_RECOVERED] = MT_EVENT_MEMBER_BACK,
    [MT_MEMBER_REMOVED] = MT_EVENT_MEMBER_REMOVED,
    [MT_MEMBER_LEAVING] = MT_EVENT_MEMBER_LEAVES,
    [MT_MEMBER_DUPLICATE_NAME] = MT_EVENT_MEMBER_NAME_TWICE,
  };

  mt_log_event (events[event], "member=%s zone=%s address=%s", member->name, member->zone,
                member->address);
}

static const struct mt_membership_callbacks log_changes = {
  .name = "log",
  .description = "logs changes of the members' states",
  .changed = log_change,
};

static void
queue_task (struct mt_peers *peers, enum task_kind kind, char *address)
{
  struct task *task = g_new0 (struct task, 1);

  task->kind = kind;
  task->address = address;
  g_thread_pool_push (peers->workers, task, NULL);
}

static void
find_by_address (void *ctx, const struct mt_member *member)
{
  const char **pair = ctx; /* address sought, name found */

  if (strcmp (member->address, pair[0]) == 0)
    pair[1] = member->name;
}

/* The lock is held. */
static const char *
find_name_at (struct mt_peers *peers, const char *address)
{
  const char *pair[2] = { address, NULL };

  mt_membership_each (peers->membership, find_by_address, pair);
  return pair[1];
}

static void
exchange_heartbeat (struct mt_peers *peers,
                    const char *address,
                    enum mt_peer_type type,
                    int64_t timeout_us)
{
  g_autofree char *from = NULL;
  char *reply = NULL;
  size_t reply_len = 0;
  size_t request_len;
  char *request;
  bool ok;

  g_mutex_lock (&peers->lock);
  request = mt_membership_make_request (peers->membership, &request_len);
  g_mutex_unlock (&peers->lock);
  ok = mt_peer_client_call (peers->client, address, type, (struct mt_str){ request, request_len },
                            mt_clock_now (peers->clock) + timeout_us, &reply, &reply_len, NULL);
  g_mutex_lock (&peers->lock);
  if (ok)
    ok = mt_membership_handle_response (peers->membership, (struct mt_str){ reply, reply_len },
                                        &from, NULL);
  if (!ok)
    from = g_strdup (find_name_at (peers, address));
  if (from != NULL)
    mt_membership_record_call (peers->membership, from, ok);
  g_cond_signal (&peers->wake);
  g_mutex_unlock (&peers->lock);
  free (reply);
  free (request);
}

static void
fetch_document (struct mt_peers *peers, struct mt_document_fetch *fetch)
{
  const struct mt_document *document = fetch->document;
  g_autoptr (GError) error = NULL;
  char *reply = NULL;
  size_t len;

  if (mt_peer_client_call (peers->client, fetch->address, document->type, MT_STR (""),
                           mt_clock_now (peers->clock) + FETCH_TIMEOUT_US, &reply, &len, &error)
      && len > 0 && document->offer (fetch->ctx, (struct mt_str){ reply, len }, &error))
    mt_log_event (MT_EVENT_DOCUMENT_FROM_PEER, "document=%s version=%" G_GUINT64_FORMAT " from=%s",
                  document->name, document->version (fetch->ctx), fetch->address);
  if (error != NULL)
    mt_log_event (MT_EVENT_DOCUMENT_REFUSED, "document=%s from=%s why=%s", document->name,
                  fetch->address, error->message);
  free (reply);
  g_mutex_lock (&peers->lock);
  mt_documents_finish_fetch (peers->documents, fetch);
  peers->triggered = true;
  g_cond_signal (&peers->wake);
  g_mutex_unlock (&peers->lock);
  g_free (fetch->address);
}

static void
run_task (gpointer data, gpointer ctx)
{
  struct task *task = data;

  switch (task->kind)
    {
    case TASK_EXCHANGE:
      exchange_heartbeat (ctx, task->address, MT_PEER_HEARTBEAT, HEARTBEAT_TIMEOUT_US);
      break;
    case TASK_LEAVE:
      exchange_heartbeat (ctx, task->address, MT_PEER_LEAVING, LEAVE_TIMEOUT_US);
      break;
    case TASK_FETCH:
      fetch_document (ctx, &task->fetch);
      break;
    }
  g_free (task->address);
  g_free (task);
}

/* Handles heartbeats and leave notices alike: both carry membership data, and the reply has what is
 * newer here. */
static char *
serve_heartbeat (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  struct mt_peers *peers = ctx;
  char *reply;

  g_mutex_lock (&peers->lock);
  reply = mt_membership_handle_request (peers->membership, body, reply_len, NULL);
  g_cond_signal (&peers->wake);
  g_mutex_unlock (&peers->lock);
  return reply;
}

struct served
{
  const struct mt_document *document;
  void *ctx;
};

static char *
serve_document (void *ctx, struct mt_str sender, struct mt_str body, size_t *reply_len)
{
  const struct served *served = ctx;
  g_autofree char *text = NULL;

  if (served->document->before_send == NULL || served->document->before_send (served->ctx, sender))
    text = served->document->format (served->ctx);
  *reply_len = text != NULL ? strlen (text) : 0;
  return strdup (text != NULL ? text : "");
}

static char *
format_own_address (const struct mt_peers_options *options)
{
  const char *configured = options->settings->peer_listen.data;
  int host_len = (int) (strrchr (configured, ':') - configured);

  return g_strdup_printf ("%.*s:%u", host_len, configured, mt_peer_server_port (options->server));
}

struct mt_peers *
mt_peers_create (const struct mt_peers_options *options)
{
  struct mt_peers *peers = g_new0 (struct mt_peers, 1);
  const struct mt_settings *settings = options->settings;
  struct mt_membership_options membership = { .clock = options->clock };

  peers->clock = options->clock;
  peers->server = options->server;
  peers->callbacks = options->callbacks;
  peers->ctx = options->ctx;
  peers->address = format_own_address (options);
  peers->zone = g_strdup (settings->zone.data);
  peers->client = mt_peer_client_create (options->clock, settings->name.data);
  peers->documents = mt_documents_create (options->clock);
  peers->seeds = g_ptr_array_new_with_free_func (g_free);
  g_mutex_init (&peers->lock);
  g_cond_init (&peers->wake);
  membership.name = settings->name.data;
  membership.zone = settings->zone.data;
  membership.address = peers->address;
  membership.incarnation = (uint64_t) mt_clock_wall (options->clock);
  membership.callbacks = &log_changes;
  peers->membership = mt_membership_create (&membership);
  for (size_t i = 0; i < settings->n_peers; i++)
    mt_peers_add_addresses (peers, &settings->peers[i].data, 1);
  mt_peer_server_set_handler (peers->server, MT_PEER_HEARTBEAT, serve_heartbeat, peers);
  mt_peer_server_set_handler (peers->server, MT_PEER_LEAVING, serve_heartbeat, peers);
  return peers;
}

void
mt_peers_add_document (struct mt_peers *peers, const struct mt_document *document, void *ctx)
{
  struct served *served = g_new0 (struct served, 1);

  served->document = document;
  served->ctx = ctx;
  mt_documents_add (peers->documents, document, ctx);
  mt_peer_server_set_handler (peers->server, document->type, serve_document, served);
  peers->served = g_slist_prepend (peers->served, served);
}

/* Returns the next seed address at which there is no known member, or NULL. The lock is held. Each
 * heartbeat contacts one while no other member is known; later every SEED_INTERVAL-th does, so that
 * the two sides of a healed partition find each other. */
static char *
pick_seed (struct mt_peers *peers)
{
  bool alone = mt_membership_count (peers->membership) == 1;

  if (!alone && peers->heartbeats % SEED_INTERVAL != 0)
    return NULL;
  for (guint tried = 0; tried < peers->seeds->len; tried++)
    {
      const char *address = peers->seeds->pdata[peers->next_seed++ % peers->seeds->len];

      if (find_name_at (peers, address) == NULL)
        return g_strdup (address);
    }
  return NULL;
}

static void
send_heartbeat (struct mt_peers *peers)
{
  char *picked[FAN_OUT];
  char *seed;
  uint64_t tables;
  uint64_t assign;
  size_t n;

  /* Reads the versions before the requests in flight are counted. Otherwise a request that starts
   * in between would be missing from the loads of a version that the planner considers confirmed,
   * and its minion would be rebooted while the request runs. */
  g_mutex_lock (&peers->lock);
  tables = mt_documents_version (peers->documents, MT_PEER_TABLES);
  assign = mt_documents_version (peers->documents, MT_PEER_ASSIGN);
  g_mutex_unlock (&peers->lock);
  if (peers->callbacks != NULL)
    peers->callbacks->report (peers->ctx, peers);
  g_mutex_lock (&peers->lock);
  peers->heartbeats++;
  mt_membership_set_versions (peers->membership, tables, assign);
  mt_membership_heartbeat (peers->membership);
  n = mt_membership_pick_peers (peers->membership, picked, FAN_OUT);
  seed = pick_seed (peers);
  g_mutex_unlock (&peers->lock);
  for (size_t i = 0; i < n; i++)
    queue_task (peers, TASK_EXCHANGE, picked[i]);
  if (seed != NULL)
    queue_task (peers, TASK_EXCHANGE, seed);
  if (peers->callbacks != NULL)
    peers->callbacks->after_heartbeat (peers->ctx, peers);
}

/* Starts the fetches that are due, and lowers *due_us to the time of the next one. The lock is
 * held. */
static void
start_fetches (struct mt_peers *peers, int64_t *due_us)
{
  struct mt_document_fetch next;

  while (mt_documents_next_fetch (peers->documents, peers->membership, &next, due_us))
    {
      struct task *task = g_new0 (struct task, 1);

      task->kind = TASK_FETCH;
      task->fetch = next;
      g_thread_pool_push (peers->workers, task, NULL);
    }
}

static gpointer
run_heartbeats (gpointer data)
{
  struct mt_peers *peers = data;
  int64_t next_heartbeat_us = mt_clock_now (peers->clock);
  int64_t last_heartbeat_us = 0;

  g_mutex_lock (&peers->lock);
  while (!peers->stopping)
    {
      int64_t due_us = next_heartbeat_us;
      int64_t now;

      start_fetches (peers, &due_us);
      if (peers->triggered)
        due_us = MIN (due_us, last_heartbeat_us + MIN_TRIGGER_INTERVAL_US);
      now = mt_clock_now (peers->clock);
      if (due_us > now)
        {
          g_cond_wait_until (&peers->wake, &peers->lock, g_get_monotonic_time () + due_us - now);
          continue;
        }
      if (now < next_heartbeat_us
          && !(peers->triggered && now >= last_heartbeat_us + MIN_TRIGGER_INTERVAL_US))
        continue;
      peers->triggered = false;
      last_heartbeat_us = now;
      if (now >= next_heartbeat_us)
        next_heartbeat_us = now + MT_MEMBERSHIP_HEARTBEAT_US;
      g_mutex_unlock (&peers->lock);
      send_heartbeat (peers);
      g_mutex_lock (&peers->lock);
    }
  g_mutex_unlock (&peers->lock);
  return NULL;
}

void
mt_peers_start (struct mt_peers *peers)
{
  peers->workers = g_thread_pool_new (run_task, peers, THREADS, FALSE, NULL);
  peers->thread = g_thread_new ("peers", run_heartbeats, peers);
}

static void
collect_address (void *ctx, const struct mt_member *member)
{
  /* The daemon's stop must not wait for unreachable members; other members inform them. */
  if (member->reach != MT_REACH_NO)
    g_ptr_array_add (ctx, g_strdup (member->address));
}

void
mt_peers_leave (struct mt_peers *peers)
{
  g_autoptr (GPtrArray) addresses = g_ptr_array_new_with_free_func (g_free);

  g_mutex_lock (&peers->lock);
  mt_membership_set_leaving (peers->membership);
  mt_membership_heartbeat (peers->membership);
  mt_membership_each (peers->membership, collect_address, addresses);
  /* Seed addresses are notified too. A daemon that was contacted for the first time a moment ago
   * knows this daemon before its reply arrives here; without the notice it would consider this
   * daemon alive until its heartbeats are overdue. */
  for (guint i = 0; i < MIN (peers->seeds->len, MAX_LEAVE_SEEDS); i++)
    if (!g_ptr_array_find_with_equal_func (addresses, peers->seeds->pdata[i], g_str_equal, NULL))
      g_ptr_array_add (addresses, g_strdup (peers->seeds->pdata[i]));
  g_mutex_unlock (&peers->lock);
  for (guint i = 0; i < addresses->len; i++)
    if (strcmp (addresses->pdata[i], peers->address) != 0)
      queue_task (peers, TASK_LEAVE, g_strdup (addresses->pdata[i]));
}

void
mt_peers_destroy (struct mt_peers *peers)
{
  if (peers == NULL)
    return;
  g_mutex_lock (&peers->lock);
  peers->stopping = true;
  g_cond_signal (&peers->wake);
  g_mutex_unlock (&peers->lock);
  if (peers->thread != NULL)
    {
      g_thread_join (peers->thread);
      g_thread_pool_free (peers->workers, FALSE, TRUE);
    }
  mt_peer_client_destroy (peers->client);
  mt_documents_destroy (peers->documents);
  mt_membership_destroy (peers->membership);
  g_ptr_array_unref (peers->seeds);
  g_slist_free_full (peers->served, g_free);
  g_mutex_clear (&peers->lock);
  g_cond_clear (&peers->wake);
  g_free (peers->address);
  g_free (peers->zone);
  g_free (peers);
}

void
mt_peers_trigger_heartbeat (void *ctx)
{
  struct mt_peers *peers = ctx;

  g_mutex_lock (&peers->lock);
  peers->triggered = true;
  g_cond_signal (&peers->wake);
  g_mutex_unlock (&peers->lock);
}

void
mt_peers_set_loads (struct mt_peers *peers,
                    const struct mt_member_load *loads,
                    size_t n_loads,
                    const struct mt_member_demand *demands,
                    size_t n_demands)
{
  g_mutex_lock (&peers->lock);
  mt_membership_set_loads (peers->membership, loads, n_loads, demands, n_demands);
  g_mutex_unlock (&peers->lock);
}

void
mt_peers_add_addresses (struct mt_peers *peers, const char *const *addresses, size_t n)
{
  g_mutex_lock (&peers->lock);
  for (size_t i = 0; i < n; i++)
    if (peers->seeds->len < MAX_SEEDS && strcmp (addresses[i], peers->address) != 0
        && !g_ptr_array_find_with_equal_func (peers->seeds, addresses[i], g_str_equal, NULL))
      g_ptr_array_add (peers->seeds, g_strdup (addresses[i]));
  g_mutex_unlock (&peers->lock);
}

struct mt_peer_traffic
mt_peers_traffic (const struct mt_peers *peers)
{
  struct mt_peer_traffic server = mt_peer_server_traffic (peers->server);
  struct mt_peer_traffic client = mt_peer_client_traffic (peers->client);

  return (struct mt_peer_traffic){ server.received + client.received, server.sent + client.sent,
                                   server.frames + client.frames };
}

const char *
mt_peers_address (const struct mt_peers *peers)
{
  return peers->address;
}

struct filter
{
  const char *zone;
  void (*visit) (void *ctx, const struct mt_member *member);
  void *ctx;
};

static void
visit_alive (void *ctx, const struct mt_member *member)
{
  const struct filter *filter = ctx;

  if (mt_membership_is_alive (member)
      && (filter->zone == NULL || strcmp (filter->zone, member->zone) == 0))
    filter->visit (filter->ctx, member);
}

void
mt_peers_each_alive (struct mt_peers *peers,
                     const char *zone,
                     void (*visit) (void *ctx, const struct mt_member *member),
                     void *ctx)
{
  struct filter filter = { zone, visit, ctx };

  g_mutex_lock (&peers->lock);
  mt_membership_each (peers->membership, visit_alive, &filter);
  g_mutex_unlock (&peers->lock);
}

void
mt_peers_each_known (struct mt_peers *peers,
                     void (*visit) (void *ctx, const struct mt_member *member),
                     void *ctx)
{
  g_mutex_lock (&peers->lock);
  mt_membership_each (peers->membership, visit, ctx);
  g_mutex_unlock (&peers->lock);
}

static void
count_member (void *ctx, const struct mt_member *member)
{
  ++*(unsigned *) ctx;
}

unsigned
mt_peers_count_in_zone (struct mt_peers *peers)
{
  unsigned n = 0;

  mt_peers_each_alive (peers, peers->zone, count_member, &n);
  return n;
}

bool
mt_peers_is_alive (struct mt_peers *peers, const char *name)
{
  const struct mt_member *member;
  bool alive;

  g_mutex_lock (&peers->lock);
  member = mt_membership_find (peers->membership, name);
  alive = member != NULL && mt_membership_is_alive (member);
  g_mutex_unlock (&peers->lock);
  return alive;
}

bool
mt_peers_call (struct mt_peers *peers,
               const char *name,
               enum mt_peer_type type,
               struct mt_str body,
               int64_t deadline_us,
               char **reply,
               size_t *reply_len,
               GError **error)
{
  g_autofree char *address = NULL;
  const struct mt_member *member;
  GError *cause = NULL;
  bool ok;

  g_mutex_lock (&peers->lock);
  member = mt_membership_find (peers->membership, name);
  address = member != NULL ? g_strdup (member->address) : NULL;
  g_mutex_unlock (&peers->lock);
  if (address == NULL)
    {
      g_set_error (error, MT_ERROR, MT_ERROR_UNAVAILABLE,
                   "no daemon \"%s\" is known; see the members in `medlartrackctl dump`", name);
      return false;
    }
  ok = mt_peer_client_call (peers->client, address, type, body, deadline_us, reply, reply_len,
                            &cause);
  if (ok || g_error_matches (cause, MT_ERROR, MT_ERROR_UNAVAILABLE))
    {
      g_mutex_lock (&peers->lock);
      mt_membership_record_call (peers->membership, name, ok);
      g_mutex_unlock (&peers->lock);
    }
  if (!ok)
    g_propagate_error (error, cause);
  return ok;
}

static void
dump_member (void *ctx, const struct mt_member *member)
{
  static const char *const reach[] = {
    [MT_REACH_UNTRIED] = "untried",
    [MT_REACH_YES] = "yes",
    [MT_REACH_NO] = "no",
  };

  json_object_set_new (
      ctx, member->name,
      json_pack ("{ss ss sb sb sI ss sI sI sI sI sI}", "zone", member->zone, "address",
                 member->address, "alive", mt_membership_is_alive (member), "leaving",
                 member->leaving, "age_ms", (json_int_t) (member->heartbeat_age_us / MT_MS),
                 "reachable", reach[member->reach], "tables_version",
                 (json_int_t) member->tables_version, "assign_version",
                 (json_int_t) member->assign_version, "incarnation",
                 (json_int_t) member->incarnation, "heartbeat", (json_int_t) member->heartbeat,
                 "minions_loaded", (json_int_t) member->n_loads));
}

void
mt_peers_dump (struct mt_peers *peers, json_t *out)
{
  mt_peers_each_known (peers, dump_member, out);
}
