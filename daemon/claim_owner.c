#include "claim_owner.h"

#include "medlartrack/error.h"
#include "medlartrack/pack.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define REPLY_FIELDS         2
#define SEND_ENDS_TIMEOUT_US (1 * MT_SECOND)

struct election
{
  unsigned shard;
  uint64_t best_weight;
  char *name;
};

static void
visit_candidate (void *ctx, const struct mt_member *member)
{
  struct election *election = ctx;
  uint64_t weight = XXH3_64bits_withSeed (member->name, strlen (member->name), election->shard + 1);

  if (member->leaving || (election->name != NULL && weight <= election->best_weight))
    return;
  g_free (election->name);
  election->name = g_strdup (member->name);
  election->best_weight = weight;
}

char *
mt_claim_owner_find (struct mt_peers *peers, const char *self, unsigned shard)
{
  struct election election = { .shard = shard };

  if (peers == NULL)
    return NULL;
  mt_peers_each_alive (peers, NULL, visit_candidate, &election);
  if (g_strcmp0 (election.name, self) == 0)
    g_clear_pointer (&election.name, g_free);
  return election.name;
}

static bool
read_reply (struct mt_str bytes, struct mt_once_request *request)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  uint64_t result;
  uint64_t status;
  bool ok;

  if (!mt_pack_read (bytes, &unpacked, NULL))
    return false;
  fields = mt_pack_get_array (&unpacked.data, REPLY_FIELDS);
  ok = fields != NULL && mt_pack_get_u64 (&fields[0], MT_ONCE_UNAVAILABLE, &result)
       && mt_pack_get_u64 (&fields[1], UINT16_MAX, &status) && result != MT_ONCE_PENDING;
  if (ok)
    {
      request->result = (enum mt_once_result) result;
      request->status = (int) status;
    }
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

char *
mt_claim_owner_encode_reply (enum mt_once_result result, int status, size_t *len)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, REPLY_FIELDS);
  msgpack_pack_uint8 (&packer, (uint8_t) result);
  msgpack_pack_uint16 (&packer, (uint16_t) status);
  *len = buffer.size;
  return msgpack_sbuffer_release (&buffer);
}

static enum mt_claim_send_result
send_batch (struct mt_peers *peers,
            const char *owner,
            const struct mt_batch *batch,
            int64_t deadline_us,
            struct mt_once_request *request)
{
  g_autoptr (GError) error = NULL;
  size_t len;
  g_autofree char *body = mt_batch_encode (batch, &len);
  char *reply = NULL;
  size_t reply_len = 0;
  bool ok;

  if (!mt_peers_call (peers, owner, MT_PEER_CLAIM, (struct mt_str){ body, len }, deadline_us,
                      &reply, &reply_len, &error))
    return g_error_matches (error, MT_ERROR, MT_ERROR_UNAVAILABLE) ? MT_CLAIM_SEND_FAILED
                                                                   : MT_CLAIM_SEND_UNKNOWN;
  ok = read_reply ((struct mt_str){ reply, reply_len }, request);
  free (reply);
  return ok ? MT_CLAIM_SEND_ANSWERED : MT_CLAIM_SEND_UNKNOWN;
}

enum mt_claim_send_result
mt_claim_owner_request (struct mt_peers *peers,
                        const char *owner,
                        const struct mt_clock *clock,
                        struct mt_once_request *request)
{
  struct mt_record record = { .kind = MT_RECORD_CLAIM,
                              .extra = request->holder_timeout_ms,
                              .key = { request->key[0], request->key[1] } };
  int64_t now = mt_clock_now (clock);
  int64_t timeout_us = MAX (0, request->claim_deadline_us - now) * 2 / 3;
  struct mt_batch batch;
  enum mt_claim_send_result sent;

  memcpy (record.attempt, request->attempt, sizeof record.attempt);
  mt_batch_init (&batch);
  batch.wall_ms = timeout_us / MT_MS * 3 / 4;
  g_array_append_val (batch.records, record);
  sent = send_batch (peers, owner, &batch, now + timeout_us, request);
  mt_batch_clear (&batch);
  return sent;
}

bool
mt_claim_owner_send_ends (struct mt_peers *peers,
                          const char *owner,
                          const struct mt_clock *clock,
                          const GArray *ends)
{
  struct mt_once_request request = { 0 };
  struct mt_batch batch;
  enum mt_claim_send_result sent;

  mt_batch_init (&batch);
  g_array_append_vals (batch.records, ends->data, ends->len);
  sent = send_batch (peers, owner, &batch, mt_clock_now (clock) + SEND_ENDS_TIMEOUT_US, &request);
  mt_batch_clear (&batch);
  return sent == MT_CLAIM_SEND_ANSWERED && request.result == MT_ONCE_GRANTED;
}
