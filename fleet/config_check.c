#include "config_check.h"

#include "loop.h"

/* A check confirms the configuration for this time, so that a flood of calls for unknown paths
 * costs the store at most two checks a second and daemon. */
#define CONFIRMED_FOR_MS 500
/* The store answers a poll at once or, while it withholds events, not at all; then the
 * configuration is read. Together they take 600 ms, unless the answer has begun. */
#define POLL_TIMEOUT_MS 250
#define READ_TIMEOUT_MS 350

struct waiting
{
  mt_config_checked done;
  void *data;
};

struct mt_config_check
{
  struct mt_config_check_options options;
  char *key;
  GQueue waiting; /* of struct waiting, for the read in flight */
  bool in_flight;
  int64_t sent_at; /* the last check's first call */
  int64_t confirmed_at;
  int64_t revision; /* of the store at the last answer */
  bool asked_peer;  /* in the check in flight */
};

static void
complete_waiting (struct mt_config_check *check, bool confirmed)
{
  GQueue waiting = check->waiting;
  struct waiting *w;

  g_queue_init (&check->waiting);
  while ((w = g_queue_pop_head (&waiting)) != NULL)
    {
      w->done (w->data, confirmed);
      g_free (w);
    }
}

static void
end_check (struct mt_config_check *check, const struct mt_kv_reply *reply)
{
  bool answered = reply->status == MT_KV_OK || reply->status == MT_KV_MISSING;

  check->in_flight = false;
  for (size_t i = 0; i < reply->n_items; i++)
    check->options.on_item (check->options.ctx, &reply->items[i]);
  if (answered)
    {
      check->confirmed_at = check->sent_at;
      check->revision = reply->revision;
      if (check->options.on_confirmed != NULL)
        check->options.on_confirmed (check->options.ctx);
    }
  complete_waiting (check, answered);
}

static void
on_read (void *data, const struct mt_kv_reply *reply)
{
  end_check (data, reply);
}

static void
read_config (struct mt_config_check *check)
{
  mt_kv_read (&check->options.kv, check->key, READ_TIMEOUT_MS, on_read, check);
}

/* A store that refuses the poll would refuse the read, too. */
static void
on_poll (void *data, const struct mt_kv_reply *reply)
{
  struct mt_config_check *check = data;

  if (!check->asked_peer && (reply->status == MT_KV_COMPACTED || reply->status == MT_KV_UNKNOWN))
    read_config (check);
  else
    end_check (check, reply);
}

static void
ask_store (struct mt_config_check *check)
{
  int64_t revision = MAX (check->options.revision (check->options.ctx), check->revision);

  check->sent_at = mt_loop_now ();
  if (revision > 0)
    mt_kv_poll (&check->options.kv, check->key, revision, POLL_TIMEOUT_MS, on_poll, check);
  else
    read_config (check);
}

/* How old the peer's confirmation is shows in the age of the configuration, not here. */
static void
on_peer_checked (void *data, bool confirmed)
{
  struct mt_config_check *check = data;

  if (!confirmed)
    {
      ask_store (check);
      return;
    }
  check->in_flight = false;
  complete_waiting (check, true);
}

void
mt_config_check_request (struct mt_config_check *check, mt_config_checked done, void *data)
{
  int64_t now = mt_loop_now ();
  struct waiting *w;

  if (check->confirmed_at > 0 && now - check->confirmed_at < CONFIRMED_FOR_MS)
    {
      done (data, true);
      return;
    }
  w = g_new0 (struct waiting, 1);
  *w = (struct waiting){ done, data };
  g_queue_push_tail (&check->waiting, w);
  if (check->in_flight)
    return;
  check->in_flight = true;
  check->asked_peer = check->options.ask_peer != NULL
                      && check->options.ask_peer (check->options.ctx, on_peer_checked, check);
  if (!check->asked_peer)
    ask_store (check);
}

int64_t
mt_config_check_confirmed_at (const struct mt_config_check *check)
{
  return check->confirmed_at;
}

struct mt_config_check *
mt_config_check_create (const struct mt_config_check_options *options)
{
  struct mt_config_check *check = g_new0 (struct mt_config_check, 1);

  check->options = *options;
  check->key = g_strdup (options->key);
  g_queue_init (&check->waiting);
  return check;
}

void
mt_config_check_destroy (struct mt_config_check *check)
{
  if (check == NULL)
    return;
  g_queue_clear_full (&check->waiting, g_free);
  g_free (check->key);
  g_free (check);
}
