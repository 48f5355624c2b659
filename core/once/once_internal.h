/* What the parts of a shard's log share. once.c decides which call comes next, once_view.c reads
 * the log, once_flight.c writes to it, once_trim.c removes what is past keeping. */
#ifndef MT_ONCE_INTERNAL_H
#define MT_ONCE_INTERNAL_H

#include "held.h"
#include "medlartrack/once.h"

#define MT_ONCE_SEQ_DIGITS   12
#define MT_ONCE_BLOCK        100 /* batches trimmed by one call: two digits fewer in the prefix */
#define MT_ONCE_BLOCK_DIGITS (MT_ONCE_SEQ_DIGITS - 2)
#define MT_ONCE_FLOOR_NAME   "floor"

/* A batch that was sent, until it is known whether it took effect. */
struct flight
{
  bool active;
  bool in_doubt; /* a write of it went unanswered */
  bool check;    /* read before writing again */
  uint64_t seq;
  struct mt_batch batch; /* the ends, then the claims */
  guint n_ends;
  GPtrArray *asks;  /* one for each claim; NULL where the asker gave up */
  int64_t fresh_us; /* when seq was known to be free */
  int64_t begun_us; /* of its first write */
};

/* A batch in the log, for trimming. */
struct landed
{
  uint64_t seq;
  int64_t wall_us; /* by its writer's clock */
  int64_t seen_us; /* by this process's clock */
};

struct mt_once
{
  struct mt_once_options options;
  char prefix[MT_ONCE_KEY_BYTES];
  unsigned room;       /* for claims in memory */
  uint64_t next_batch; /* of the writer's own ids */
  GQueue asks;         /* of struct mt_once_request, not in the flight */
  GArray *ends;        /* of struct mt_record, not in the flight */
  int64_t ends_us;     /* since when ends wait */
  int64_t retry_us;    /* no call before */
  struct flight flight;
  /* The view of the log. */
  bool loaded;
  struct mt_held *held;
  GQueue landed;     /* of struct landed, oldest first */
  uint64_t next_seq; /* all batches below are read */
  int64_t fresh_us;  /* next_seq did not exist then, and was not trimmed */
  int64_t probed_us; /* next_seq was absent then, trimmed or not; 0: not probed */
  bool look;         /* asks wait for a fresher view */
  uint64_t floor;    /* batches below are trimmed, or will be */
  uint64_t floor_index;
  char *fault;
  /* Trimming. */
  int64_t trim_us; /* not before */
  bool floor_read; /* floor_index is current */
  uint64_t trim_from;
};

/* once.c */
void mt_once_settle (struct mt_once *once, struct mt_once_request *ask, enum mt_once_result result);
void mt_once_retry_later (struct mt_once *once);
/* Always true, for callers that return it. */
bool
mt_once_start_call (struct mt_once *once, struct mt_once_call *call, enum mt_once_call_kind kind);
/* False, and wake_us brought forward, where the pace allows no write now. */
bool mt_once_take_token (struct mt_once *once, int64_t *wake_us);

/* once_view.c */
bool mt_once_is_fresh (const struct mt_once *once, int64_t since_us, int64_t within_us);
/* Forgets the view; it is read anew. */
void mt_once_unload (struct mt_once *once);
void mt_once_apply (struct mt_once *once, const struct mt_batch *batch, uint64_t seq);
bool mt_once_learn (struct mt_once *once, const struct mt_store_value *value, uint64_t seq);
void mt_once_raise_floor (struct mt_once *once, uint64_t floor);
bool mt_once_read_seq (const char *text, uint64_t *out);
void mt_once_absorb_list (struct mt_once *once, const struct mt_once_call *call);
void mt_once_absorb_probe (struct mt_once *once, const struct mt_once_call *call);
void mt_once_absorb_floor (struct mt_once *once, const struct mt_once_call *call);

/* once_flight.c */
/* Settles what the view can settle and plans a batch of the rest; it is launched or cleared. */
void mt_once_plan (struct mt_once *once, struct flight *flight);
void mt_once_launch (struct mt_once *once, struct flight *flight);
void mt_once_clear_flight (struct mt_once *once);
void mt_once_absorb_write (struct mt_once *once, const struct mt_once_call *call);
void mt_once_absorb_check (struct mt_once *once, const struct mt_once_call *call);

/* once_trim.c */
bool mt_once_next_trim (struct mt_once *once, struct mt_once_call *call, int64_t *wake_us);
void mt_once_absorb_raise (struct mt_once *once, const struct mt_once_call *call);
void mt_once_absorb_trim (struct mt_once *once, const struct mt_once_call *call);

#endif
