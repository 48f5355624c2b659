/* Internals shared by the files of the claim log. once.c decides which call comes next, once_view.c
 * reads the log, once_flight.c writes to it, once_trim.c removes batches past their retention. */
#ifndef MT_ONCE_INTERNAL_H
#define MT_ONCE_INTERNAL_H

#include "held.h"
#include "medlartrack/once.h"

#define MT_ONCE_SEQ_DIGITS   12
#define MT_ONCE_BLOCK        100 /* batches trimmed by one call: two digits less of the key */
#define MT_ONCE_BLOCK_DIGITS (MT_ONCE_SEQ_DIGITS - 2)
#define MT_ONCE_FLOOR_NAME   "floor"

/* A batch being written, until it is known whether it is committed. */
struct in_flight
{
  bool active;
  bool unconfirmed; /* the result of a write is unknown */
  bool read_back;   /* read the stored batch before writing again */
  uint64_t seq;
  struct mt_batch batch; /* the ends, then the claims */
  guint n_ends;
  GPtrArray *requests; /* one per claim; NULL if the request was cancelled */
  int64_t seq_free_us; /* when seq was last known to be free */
  int64_t started_us;  /* time of the first write */
};

/* A committed batch, as trimming needs it. */
struct committed_batch
{
  uint64_t seq;
  int64_t wall_us; /* by its writer's clock */
  int64_t seen_us; /* when this process saw it, by its own clock */
};

struct mt_once
{
  struct mt_once_options options;
  char prefix[MT_ONCE_KEY_BYTES];
  unsigned free_capacity;     /* number of claims that may still be added in memory */
  uint64_t last_batch_number; /* last number used in the ids of this writer's batches */
  GQueue requests;            /* of struct mt_once_request, without those in flight */
  GArray *ends;               /* of struct mt_record, without those in flight */
  int64_t ends_since_us;      /* since when ends are queued */
  int64_t retry_us;           /* no call before this time */
  struct in_flight in_flight;
  /* The view of the log. */
  bool loaded;
  struct mt_claim_table *claims;
  GQueue committed;          /* of struct committed_batch, oldest first */
  uint64_t next_seq;         /* all batches below it are applied */
  int64_t view_confirmed_us; /* when next_seq was last known neither to exist nor to be trimmed */
  int64_t probed_us;         /* when next_seq was found absent, trimmed or not; 0: not probed */
  bool needs_refresh;        /* requests wait for a more recent view */
  uint64_t floor;            /* batches below it are trimmed or will be */
  uint64_t floor_index;
  char *read_error;
  /* Trimming. */
  int64_t next_trim_us;   /* no trimming before this time */
  bool floor_index_valid; /* floor_index is current */
  uint64_t trim_from;
};

/* once.c */
void
mt_once_settle (struct mt_once *once, struct mt_once_request *request, enum mt_once_result result);
void mt_once_retry_later (struct mt_once *once);
/* Always returns true, so that callers can return the result. */
bool
mt_once_start_call (struct mt_once *once, struct mt_once_call *call, enum mt_once_call_kind kind);
/* Returns false and lowers wake_us if the rate limit allows no write now. */
bool mt_once_take_token (struct mt_once *once, int64_t *wake_us);

/* once_view.c */
bool mt_once_is_recent (const struct mt_once *once, int64_t since_us, int64_t within_us);
/* Discards the view; the log is read again. */
void mt_once_discard_view (struct mt_once *once);
void mt_once_apply_batch (struct mt_once *once, const struct mt_batch *batch, uint64_t seq);
bool mt_once_apply_value (struct mt_once *once, const struct mt_store_value *value, uint64_t seq);
void mt_once_raise_floor (struct mt_once *once, uint64_t floor);
bool mt_once_parse_seq (const char *text, uint64_t *out);
void mt_once_handle_list (struct mt_once *once, const struct mt_once_call *call);
void mt_once_handle_probe (struct mt_once *once, const struct mt_once_call *call);
void mt_once_handle_floor (struct mt_once *once, const struct mt_once_call *call);

/* once_flight.c */
/* Settles the requests that the view can answer and plans a batch of the others. The caller starts
 * the write of the batch or clears it. */
void mt_once_plan_batch (struct mt_once *once, struct in_flight *in_flight);
void mt_once_start_write (struct mt_once *once, struct in_flight *in_flight);
void mt_once_clear_in_flight (struct mt_once *once);
void mt_once_handle_write (struct mt_once *once, const struct mt_once_call *call);
void mt_once_handle_read_batch (struct mt_once *once, const struct mt_once_call *call);

/* once_trim.c */
bool mt_once_next_trim (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us);
void mt_once_handle_raise_floor (struct mt_once *once, const struct mt_once_call *call);
void mt_once_handle_trim (struct mt_once *once, const struct mt_once_call *call);

#endif
