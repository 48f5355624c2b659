/* Interfaces of the fleet's daemon to its environment, as tables of functions: store, workers,
 * machines, and the codec for what callers, operators and workers write. platform/ implements them
 * for the users' platform, tests implement fakes. All calls are asynchronous on the loop's thread;
 * each callback runs later and exactly once, and its arguments are valid only during the
 * callback. */
#ifndef MT_FLEET_PORTS_H
#define MT_FLEET_PORTS_H

#include "medlartrack/scheduler.h"
#include "medlartrack/str.h"
#include "medlartrack/workspaces.h"
#include "route_table.h"

/* ---- store ---- */

struct mt_kv_item
{
  const char *key;
  struct mt_str value;
  int64_t revision; /* of its last change; 0 if the key does not exist */
  int64_t lease;    /* under which it was written; 0 for none */
  bool deleted;
};

enum mt_kv_status
{
  MT_KV_OK,
  MT_KV_MISSING, /* no such key or lease */
  /* A precondition did not hold. The items show what the keys hold now: it may be what this write
   * put, if a copy of it was carried out before. */
  MT_KV_CONFLICT,
  MT_KV_COMPACTED, /* the history since that revision was compacted: list again */
  MT_KV_REFUSED,   /* the store refused the call or was not reached; nothing was done */
  /* The store does not accept the call as it is, and will not: nothing was done. */
  MT_KV_REJECTED,
  MT_KV_UNKNOWN, /* no answer; it may have been done, or may still be done later */
};

/* Returns whether it is certain that nothing was done and never will be. */
static inline bool
mt_kv_is_refusal (enum mt_kv_status status)
{
  return status == MT_KV_REFUSED || status == MT_KV_REJECTED;
}

struct mt_kv_reply
{
  enum mt_kv_status status;
  const struct mt_kv_item *items; /* found, changed or in conflict */
  size_t n_items;
  bool more;           /* the list continues after its last key */
  int64_t revision;    /* of the store; of a write: its own */
  size_t received;     /* bytes of the answer that arrived, also of an incomplete one */
  int64_t transfer_ms; /* how long they took */
  int64_t lease;
  int64_t ttl_ms;
};

/* Returns whether a page of a list has no items though the list continues: which ones follow can't
 * be asked, and the list is not whole. */
bool mt_kv_page_is_empty_part (const struct mt_kv_reply *reply);

typedef void (*mt_kv_done) (void *data, const struct mt_kv_reply *reply);

/* Precondition of a write: the key was last changed at this revision; 0: it does not exist. */
struct mt_kv_expect
{
  const char *key;
  int64_t revision;
};

struct mt_kv_put
{
  const char *key;
  struct mt_str value;
  int64_t lease; /* 0 for none */
};

struct mt_kv_txn
{
  const struct mt_kv_expect *expects;
  size_t n_expects;
  const struct mt_kv_put *puts;
  size_t n_puts;
  const char *const *removes;
  size_t n_removes;
};

/* Returns whether a second copy of the transaction conflicts once the first took effect: the first
 * changes the revision of one of its preconditions. A precondition on another key alone, such as a
 * leadership's, holds for both copies, and a late one would overwrite what was written since. */
bool mt_kv_txn_excludes_repeat (const struct mt_kv_txn *txn);

/* Largest number of entries in a transaction, of all kinds together. */
#define MT_KV_MAX_ENTRIES 32

struct mt_kv_ops
{
  const char *name;
  const char *description;
  void (*get) (void *ctx, const char *key, int64_t timeout_ms, mt_kv_done done, void *data);
  /* after: the last key of the previous page; NULL for the first page. */
  void (*range) (void *ctx, const char *prefix, const char *after, mt_kv_done done, void *data);
  void (*watch) (void *ctx,
                 const char *prefix,
                 int64_t after_revision,
                 int64_t wait_ms,
                 mt_kv_done done,
                 void *data);
  /* A watch that does not wait: returns at once what has changed. */
  void (*poll) (void *ctx,
                const char *prefix,
                int64_t after_revision,
                int64_t timeout_ms,
                mt_kv_done done,
                void *data);
  void (*txn) (
      void *ctx, const struct mt_kv_txn *txn, int64_t timeout_ms, mt_kv_done done, void *data);
  void (*grant) (void *ctx, int64_t ttl_ms, mt_kv_done done, void *data);
  void (*renew) (void *ctx, int64_t lease, int64_t timeout_ms, mt_kv_done done, void *data);
  void (*revoke) (void *ctx, int64_t lease, mt_kv_done done, void *data);
  /* Returns whether calls go to the store itself, not through another daemon. */
  bool (*is_direct) (void *ctx);
};

struct mt_kv
{
  const struct mt_kv_ops *ops;
  void *ctx;
};

static inline void
mt_kv_read (
    const struct mt_kv *kv, const char *key, int64_t timeout_ms, mt_kv_done done, void *data)
{
  kv->ops->get (kv->ctx, key, timeout_ms, done, data);
}

static inline void
mt_kv_poll (const struct mt_kv *kv,
            const char *prefix,
            int64_t after_revision,
            int64_t timeout_ms,
            mt_kv_done done,
            void *data)
{
  kv->ops->poll (kv->ctx, prefix, after_revision, timeout_ms, done, data);
}

static inline void
mt_kv_write (const struct mt_kv *kv,
             const struct mt_kv_txn *txn,
             int64_t timeout_ms,
             mt_kv_done done,
             void *data)
{
  kv->ops->txn (kv->ctx, txn, timeout_ms, done, data);
}

/* ---- workers ---- */

/* The report may be freed afterwards. */
typedef void (*mt_order_done) (void *data, const struct mt_order_report *report);
typedef void (*mt_hold_done) (void *data, const struct mt_hold_report *report);
/* rows: alternating worker and ticket, NULL-terminated; NULL if there was no answer. */
typedef void (*mt_advice_done) (void *data, char **rows, int64_t validity_ms);

struct mt_workers_ops
{
  const char *name;
  const char *description;
  void (*hold) (void *ctx, const struct mt_order *order, mt_hold_done done, void *data);
  /* Sends an MT_ORDER_START, MT_ORDER_STOP or MT_ORDER_PACE. */
  void (*order) (void *ctx, const struct mt_order *order, mt_order_done done, void *data);
  void (*advise) (void *ctx, const struct mt_order *order, mt_advice_done done, void *data);
};

struct mt_workers
{
  const struct mt_workers_ops *ops;
  void *ctx;
};

/* ---- machines ---- */

enum mt_machine_state
{
  MT_MACHINE_UP,
  MT_MACHINE_MOVING,
  MT_MACHINE_MAINTENANCE,
  MT_MACHINE_DOWN,
};

struct mt_machine
{
  char *id;
  char *pool;
  enum mt_machine_state state;
  char *zone;
  char *rack;
  char *worker; /* id of its current worker; NULL if there is none */
  struct mt_resources resources;
};

/* machines: NULL if there was no answer. is_whole: all machines are listed; otherwise some entries
 * could not be read. */
typedef void (*mt_machines_done) (void *data,
                                  const struct mt_machine *machines,
                                  size_t n,
                                  bool is_whole);

enum mt_machine_answer
{
  MT_MACHINE_DONE,
  MT_MACHINE_FENCED,  /* it has had an order with a higher token */
  MT_MACHINE_BUSY,    /* it is not up, or is leaving */
  MT_MACHINE_REFUSED, /* the machine cannot carry out the order, for now or for good */
  MT_MACHINE_LIMITED, /* not done: the platform takes no more orders at present */
  MT_MACHINE_UNKNOWN, /* no answer; the order may have been carried out */
};

typedef void (*mt_machine_done) (void *data, enum mt_machine_answer answer);

/* Most orders to machines in flight at once. An order that waited for others in this daemon would
 * use up the time in which it can be answered. */
#define MT_MAX_MACHINE_ORDERS 32

struct mt_machines_ops
{
  const char *name;
  const char *description;
  void (*list) (void *ctx, mt_machines_done done, void *data);
  void (*move) (void *ctx,
                const char *machine,
                const char *pool,
                int64_t token,
                mt_machine_done done,
                void *data);
  void (*maintain) (void *ctx,
                    const char *machine,
                    int64_t wave,
                    int64_t token,
                    mt_machine_done done,
                    void *data);
};

struct mt_machines
{
  const struct mt_machines_ops *ops;
  void *ctx;
};

/* ---- codec ---- */

struct mt_fleet_pool
{
  char *name;
  bool standby; /* its machines are off and cost nothing */
};

struct mt_fleet_config
{
  int64_t version;
  struct mt_route_table *routes;
  struct mt_fleet_pool *pools;
  size_t n_pools;
  struct mt_workspaces *workspaces; /* NULL: callers need no key */
};

struct mt_registry_entry
{
  struct mt_worker_entry worker;
  const char *pool;
  void *memory; /* owns the strings */
};

struct mt_wave
{
  int64_t number;
  char **machines;          /* NULL-terminated */
  int64_t deadline_ms;      /* relative to the operator's request */
  unsigned max_unavailable; /* machines down for the wave at a time */
};

struct mt_codec_ops
{
  const char *name;
  const char *description;
  /* Returns NULL with an error that names the faulty place. */
  struct mt_fleet_config *(*parse_config) (struct mt_str text, GError **error);
  struct mt_job_spec *(*parse_job) (const char *id,
                                    const char *route,
                                    struct mt_str text,
                                    GError **error);
  /* Returns false if the entry names no usable worker; invalid: what is missing or not valid in
   * it, a string that is not freed. */
  bool (*parse_worker) (const char *key,
                        struct mt_str text,
                        struct mt_registry_entry *out,
                        const char **invalid);
  struct mt_wave *(*parse_wave) (struct mt_str text);
  char *(*format_wave_status) (bool completed);
  char *(*format_job_state) (enum mt_job_state state);
  char *(*format_pending) (unsigned jobs);
};

struct mt_codec
{
  const struct mt_codec_ops *ops;
  const char *key_header; /* HTTP header that carries a caller's key */
  /* Keys and prefixes in the platform's store. */
  const char *config_key;
  const char *workers_prefix;
  const char *waves_prefix;
  const char *wave_status_prefix;
};

void mt_fleet_config_free (struct mt_fleet_config *config);
void mt_registry_entry_clear (struct mt_registry_entry *entry);
void mt_wave_free (struct mt_wave *wave);
void mt_machine_clear (struct mt_machine *machine);

#endif
