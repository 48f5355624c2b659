/* Forecast of the pools' surges, for pools that surge in turn to a multiple of their mean demand
 * for 4 to 9 s, with pauses of 10 to 30 s.
 *
 * A day has about two rounds of surges, so each method uses what a single round shows: the height
 * and length of the pool's last surge, the shortest pause, and the order and times at which the
 * surges began. The first forecast of a beginning has little confidence, since two surges alone
 * don't show that they repeat; later ones depend on how many came true. The controller uses the
 * forecast of a pool after the first surge that began when it was expected has ended: with the
 * height and reserve changed during that surge, the second round of surges was served worse than
 * with none. Everything is learned when a surge begins or ends; an observation takes constant time.
 */
#include "medlartrack/forecast.h"

#include "medlartrack/error.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

/* Time constant of the smoothed demand: a burst of a few jobs is not a surge. */
#define LEVEL_TAU_MS 200.0
/* Time constant of the level between surges. */
#define QUIET_TAU_MS 3000.0
/* A surge begins when the demand passes this multiple of the level between surges ... */
#define SURGE_RATIO 3.0
/* ... plus this, in thousandths of a core: an idle pool's level is 0. */
#define SURGE_MIN_CPU 1000.0
/* ... and, in a pool that has surged, this share of the known height. */
#define KNOWN_HEIGHT_SHARE 0.2
/* A surge has ended when the demand is below this share of its peak. Of surges of 25 jobs in
 * 600 ms, in 200 simulated days, 5% were missed with 0.4 and 1% with 0.2. */
#define END_SHARE 0.2
/* Demand above this share of the peak counts for the height. */
#define HEIGHT_SHARE 0.7
/* The level between surges has to be known for this long before a surge is recognised. */
#define SETTLE_MS 1000
/* A pool's first surge is recognised after this time: a shorter peak is a burst of jobs. */
#define MIN_SURGE_MS 2000
/* A surge this many times as high as those before shows that they were bursts of jobs. */
#define BURST_RATIO 3.0
/* Demand that stays high for longer is a change of the load. */
#define MAX_SURGE_MS 20000
/* A pool is expected to stay quiet for this share of the shortest known pause. */
#define PAUSE_SHARE 0.7
/* n equal observations give the confidence n / (n + PRIOR). */
#define PRIOR 0.5
/* A forecast has come true if the surge begins this close to it: a share of the forecast interval,
 * within limits that are well below a pause. */
#define TOLERANCE_SHARE  0.1
#define MIN_TOLERANCE_MS 1000
#define MAX_TOLERANCE_MS 3000
/* A beginning is expected this much early, since a machine that is missing costs more than one that
 * idles for as long. */
#define EARLY_MS 500
/* Weight of a forecast that came true and of one that did not. A load without a pattern, of which
 * about one forecast in six comes true by chance, stays below SCORE_FLOOR most of the time. */
#define HIT_WEIGHT  0.6
#define MISS_WEIGHT 0.5
#define SCORE_FLOOR 0.3
/* Score before the first forecast: above SCORE_FLOOR, so that a beginning is forecast and can come
 * true. If it does not, the next one that does has to come first. */
#define FIRST_SCORE 0.4
/* Half-life of what an earlier leader has learned, and the weight below which it is not used. */
#define SAVED_HALF_LIFE_MS 60000.0
#define MIN_WEIGHT         0.05
/* Longest interval that is saved or loaded. */
#define MAX_INTERVAL_MS 3600000

struct forecast_pool
{
  char *name;
  int64_t first_seen_at;
  int64_t seen_at;
  double level; /* smoothed demand */
  double quiet; /* level between surges */

  bool below;      /* the demand has been below the threshold of a surge since the last one */
  bool high;       /* the demand is above that threshold */
  bool recognised; /* ... and is taken for a surge */
  int64_t high_since;
  double peak;
  double sum; /* of the n observations that count for the height */
  unsigned n;

  unsigned surges;  /* that have ended */
  unsigned hits;    /* of those, surges that began when they were expected */
  bool is_hit;      /* the present surge began when it was expected */
  int64_t onset_at; /* of the last surge; 0: none */
  int64_t ended_at; /* of the last surge; 0: none */
  double height;
  double length_ms;
  double spread;               /* relative change of the height from surge to surge */
  double period_ms;            /* between the beginnings of two surges; 0: unknown */
  struct forecast_pool *after; /* whose surge preceded this pool's last one */
  double delay_ms;             /* from the beginning of that one to the beginning of this one */
  double weight;               /* of what was loaded; 1 for what was observed */

  int64_t expected_at; /* when the next surge is expected to begin; 0: unknown */
  int64_t tolerance_ms;
  bool has_event;
  struct mt_forecast_event event;
};

struct mt_forecast_method
{
  const char *name;
  const char *description;
  /* Sets expected_at of the pools whose next beginning follows from the beginning of p's surge;
   * NULL if the method forecasts no beginnings. */
  void (*predict) (struct mt_forecast *f, struct forecast_pool *p, int64_t now);
  /* NULL if the method forecasts nothing. */
  void (*expect) (const struct mt_forecast *f,
                  const struct forecast_pool *p,
                  int64_t at,
                  int64_t now,
                  struct mt_forecast_value *out);
};

struct mt_forecast
{
  const struct mt_forecast_method *method;
  GHashTable *pools;
  struct forecast_pool *last;        /* whose surge began last */
  double score;                      /* decaying share of the forecasts that came true */
  double period_ms;                  /* of the pool that last began a second surge; 0: unknown */
  double shortest_pause_ms;          /* of all pools; 0: unknown */
  unsigned pauses;                   /* that have ended */
  unsigned surges;                   /* that have ended */
  struct forecast_pool *first_ended; /* pool whose surge was the first to end */
  int64_t first_ended_at;
  uint64_t revision;
};

/* ---- forecasts ---- */

static double
confidence_of (unsigned n)
{
  return n / (n + PRIOR);
}

/* Once the surge has lasted as long as the one before, its end is not forecast: a pool that loses
 * its machines in a surge costs more than machines that idle for some seconds. */
static void
expect_in_surge (const struct forecast_pool *p, int64_t at, struct mt_forecast_value *out)
{
  if (p->surges == 0 || (double) (at - p->onset_at) > p->length_ms)
    return;
  out->cpu = p->height;
  out->confidence = p->weight * confidence_of (p->surges) * (1 - p->spread);
  out->surge = true;
}

/* Until a pause has ended, the longest pause that has not is used: that of the pool whose surge
 * ended first. It says nothing about that pool itself. */
static void
expect_pause (const struct mt_forecast *f,
              const struct forecast_pool *p,
              int64_t at,
              int64_t now,
              struct mt_forecast_value *out)
{
  double shortest_ms = f->shortest_pause_ms;
  unsigned n = f->pauses;

  if (p->ended_at == 0)
    return;
  if (n == 0)
    {
      shortest_ms = p != f->first_ended ? (double) (now - f->first_ended_at) : 0;
      n = f->surges > 0 ? f->surges - 1 : 0;
    }
  if ((double) (at - p->ended_at) >= PAUSE_SHARE * shortest_ms)
    return;
  out->cpu = p->quiet;
  out->confidence = p->weight * confidence_of (n);
}

static void
expect_onset (const struct mt_forecast *f,
              const struct forecast_pool *p,
              int64_t at,
              int64_t now,
              struct mt_forecast_value *out)
{
  if (p->recognised)
    expect_in_surge (p, at, out);
  else
    expect_pause (f, p, at, now, out);
}

static double
score_confidence (const struct mt_forecast *f)
{
  return MAX ((f->score - SCORE_FLOOR) / (1 - SCORE_FLOOR), 0);
}

static void
expect_beginning (const struct mt_forecast *f,
                  const struct forecast_pool *p,
                  int64_t at,
                  int64_t now,
                  struct mt_forecast_value *out)
{
  double confidence = p->weight * score_confidence (f);

  expect_onset (f, p, at, now, out);
  if (p->recognised || p->expected_at == 0 || confidence <= 0)
    return;
  if (at >= p->expected_at - EARLY_MS && (double) (at - p->expected_at) <= p->length_ms)
    *out = (struct mt_forecast_value){ p->height, confidence, true };
  else if (at < p->expected_at - p->tolerance_ms && confidence > out->confidence)
    *out = (struct mt_forecast_value){ p->quiet, confidence, false };
}

/* ---- beginnings ---- */

static int64_t
tolerance_of (double interval_ms)
{
  return (int64_t) CLAMP (TOLERANCE_SHARE * interval_ms, MIN_TOLERANCE_MS, MAX_TOLERANCE_MS);
}

static void
set_expected (struct forecast_pool *p, int64_t from, double interval_ms, int64_t now)
{
  int64_t at = from + (int64_t) interval_ms;

  if (p->surges == 0 || at <= now)
    return;
  p->expected_at = at;
  p->tolerance_ms = tolerance_of (interval_ms);
}

/* The period of another pool stands for a pool that has surged once: the pools surge in turn, so
 * they share it. */
static void
predict_cycle (struct mt_forecast *f, struct forecast_pool *p, int64_t now)
{
  GHashTableIter it;
  struct forecast_pool *other;

  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &other))
    {
      double period = other->period_ms > 0 ? other->period_ms : f->period_ms;

      if (period > 0 && other->onset_at != 0 && other->expected_at == 0)
        set_expected (other, other->onset_at, period, now);
    }
}

static void
predict_successor (struct mt_forecast *f, struct forecast_pool *p, int64_t now)
{
  GHashTableIter it;
  struct forecast_pool *other;

  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &other))
    if (other->after == p && !other->recognised)
      set_expected (other, p->onset_at, other->delay_ms, now);
}

static const struct mt_forecast_method methods[] = {
  { "none", "forecasts nothing" },
  { "onset", "height and rest of a surge that has begun, and the pause after it",
    .expect = expect_onset },
  { "cycle", "as onset, and the next beginning by the period and phase of each pool", predict_cycle,
    expect_beginning },
  { "successor", "as onset, and the next beginning by the pool whose surge precedes it",
    predict_successor, expect_beginning },
};

const struct mt_forecast_method *
mt_forecast_method (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i].name, name) == 0)
      return &methods[i];
  return NULL;
}

const struct mt_forecast_method *
mt_forecast_method_at (size_t index)
{
  return index < G_N_ELEMENTS (methods) ? &methods[index] : NULL;
}

const char *
mt_forecast_method_name (const struct mt_forecast_method *method)
{
  return method->name;
}

bool
mt_forecast_method_is_none (const struct mt_forecast_method *method)
{
  return method->expect == NULL;
}

/* ---- creation and destruction ---- */

static void
free_pool (void *data)
{
  struct forecast_pool *p = data;

  g_free (p->name);
  g_free (p);
}

struct mt_forecast *
mt_forecast_create (const struct mt_forecast_method *method)
{
  struct mt_forecast *f = g_new0 (struct mt_forecast, 1);

  f->method = method;
  f->score = FIRST_SCORE;
  f->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
  return f;
}

void
mt_forecast_destroy (struct mt_forecast *f)
{
  if (f == NULL)
    return;
  g_hash_table_unref (f->pools);
  g_free (f);
}

static struct forecast_pool *
get_pool (struct mt_forecast *f, const char *name)
{
  struct forecast_pool *p = g_hash_table_lookup (f->pools, name);

  if (p != NULL)
    return p;
  p = g_new0 (struct forecast_pool, 1);
  p->name = g_strdup (name);
  p->weight = 1;
  g_hash_table_insert (f->pools, p->name, p);
  return p;
}

/* ---- observations ---- */

static void
add_event (const struct mt_forecast *f, struct forecast_pool *p, bool began)
{
  p->has_event = true;
  p->event
      = (struct mt_forecast_event){ .pool = p->name,
                                    .began = began,
                                    .expected_at = p->expected_at,
                                    .began_at = began ? p->onset_at : 0,
                                    .cpu = p->height,
                                    .confidence
                                    = p->expected_at != 0 ? p->weight * score_confidence (f) : 0 };
}

static void
rate_forecast (struct mt_forecast *f, struct forecast_pool *p, bool came_true)
{
  f->score = came_true ? f->score + HIT_WEIGHT * (1 - f->score) : f->score * MISS_WEIGHT;
  p->is_hit = came_true;
  p->expected_at = 0;
}

static double
average (double old, double sample)
{
  return old > 0 ? (old + sample) / 2 : sample;
}

static void
learn_order (struct mt_forecast *f, struct forecast_pool *p)
{
  struct forecast_pool *before = f->last;

  f->last = p;
  if (before == NULL || before == p)
    return;
  p->delay_ms
      = average (p->after == before ? p->delay_ms : 0, (double) (p->onset_at - before->onset_at));
  p->after = before;
}

static void
recognise_surge (struct mt_forecast *f, struct forecast_pool *p, int64_t now)
{
  int64_t previous = p->onset_at;

  p->recognised = true;
  p->is_hit = false;
  p->onset_at = p->high_since;
  add_event (f, p, true);
  if (p->expected_at != 0)
    rate_forecast (f, p, llabs (p->onset_at - p->expected_at) <= p->tolerance_ms);
  if (previous != 0)
    {
      double pause = (double) (p->onset_at - p->ended_at);

      p->period_ms = average (p->period_ms, (double) (p->onset_at - previous));
      f->period_ms = p->period_ms;
      f->shortest_pause_ms = f->pauses++ == 0 ? pause : MIN (f->shortest_pause_ms, pause);
    }
  learn_order (f, p);
  f->revision++;
  if (f->method->predict != NULL)
    f->method->predict (f, p, now);
}

static void
begin_high (struct mt_forecast *f, struct forecast_pool *p, int64_t now)
{
  p->high = true;
  p->below = false;
  p->high_since = now;
  p->peak = p->sum = 0;
  p->n = 0;
}

/* A peak that was too short to be recognised, or an outlier in a pool that has surged, changes
 * nothing but the time at which the pause begins. */
static void
end_high (struct mt_forecast *f, struct forecast_pool *p, int64_t now)
{
  double height = p->n > 0 ? p->sum / p->n : 0;

  p->high = false;
  if (!p->recognised)
    return;
  p->recognised = false;
  p->ended_at = now;
  if (now - p->onset_at >= MIN_SURGE_MS && height > 0)
    {
      if (height > BURST_RATIO * p->height)
        {
          p->surges = p->hits = 0;
          p->is_hit = false;
          p->height = p->length_ms = 0;
        }
      p->spread = p->surges > 0 ? MIN (fabs (height - p->height) / MAX (height, p->height), 1) : 0;
      p->height = average (p->height, height);
      p->length_ms = average (p->length_ms, (double) (now - p->onset_at));
      p->surges++;
      p->hits += p->is_hit;
      p->weight = 1;
    }
  if (f->surges++ == 0)
    {
      f->first_ended = p;
      f->first_ended_at = now;
    }
  f->revision++;
}

/* The load has changed for good: what was learned of the pool does not apply to it. */
static void
end_lasting (struct mt_forecast *f, struct forecast_pool *p)
{
  p->high = p->recognised = false;
  p->quiet = p->level;
  p->surges = p->hits = 0;
  p->ended_at = p->onset_at = 0;
  p->height = p->length_ms = p->spread = p->period_ms = 0;
  p->expected_at = 0;
  f->revision++;
}

static void
observe_high (struct mt_forecast *f, struct forecast_pool *p, double cpu, int64_t now)
{
  p->peak = MAX (p->peak, p->level);
  if (p->level >= HEIGHT_SHARE * p->peak)
    {
      p->sum += p->level;
      p->n++;
    }
  if (p->level < END_SHARE * p->peak || p->level <= p->quiet)
    end_high (f, p, now);
  else if (now - p->high_since > MAX_SURGE_MS)
    end_lasting (f, p);
  else if (!p->recognised && (p->surges > 0 || now - p->high_since >= MIN_SURGE_MS))
    recognise_surge (f, p, now);
}

static double
surge_threshold (const struct forecast_pool *p)
{
  return MAX (SURGE_RATIO * p->quiet + SURGE_MIN_CPU, KNOWN_HEIGHT_SHARE * p->height);
}

static void
observe_quiet (struct mt_forecast *f, struct forecast_pool *p, int64_t elapsed, int64_t now)
{
  if (p->expected_at != 0 && now > p->expected_at + p->tolerance_ms)
    {
      add_event (f, p, false);
      rate_forecast (f, p, false);
      f->revision++;
    }
  /* The demand that a new leader of the pool reports grows from 0. */
  if (now - p->first_seen_at < SETTLE_MS)
    p->quiet = MAX (p->quiet, p->level);
  p->below |= p->level <= surge_threshold (p);
  if (p->below && now - p->first_seen_at >= SETTLE_MS && p->level > surge_threshold (p))
    {
      begin_high (f, p, now);
      observe_high (f, p, p->level, now);
      return;
    }
  p->quiet += (1 - exp (-(double) elapsed / QUIET_TAU_MS)) * (p->level - p->quiet);
}

void
mt_forecast_observe (struct mt_forecast *f, const char *pool, int64_t cpu, int64_t now)
{
  struct forecast_pool *p;
  int64_t elapsed;

  if (mt_forecast_method_is_none (f->method))
    return;
  p = get_pool (f, pool);
  if (p->seen_at == 0)
    {
      p->first_seen_at = now;
      p->level = p->quiet = (double) cpu;
    }
  elapsed = p->seen_at != 0 ? now - p->seen_at : 0;
  p->seen_at = now;
  p->level += (1 - exp (-(double) elapsed / LEVEL_TAU_MS)) * ((double) cpu - p->level);
  if (p->high)
    observe_high (f, p, (double) cpu, now);
  else
    observe_quiet (f, p, elapsed, now);
}

void
mt_forecast_expect (const struct mt_forecast *f,
                    const char *pool,
                    int64_t at,
                    int64_t now,
                    struct mt_forecast_value *out)
{
  const struct forecast_pool *p = g_hash_table_lookup (f->pools, pool);

  *out = (struct mt_forecast_value){ .cpu = p != NULL ? p->level : 0 };
  if (p != NULL && f->method->expect != NULL)
    f->method->expect (f, p, at, now, out);
}

bool
mt_forecast_is_confirmed (const struct mt_forecast *f, const char *pool)
{
  const struct forecast_pool *p = g_hash_table_lookup (f->pools, pool);

  return p != NULL && p->hits > 0;
}

bool
mt_forecast_next_event (struct mt_forecast *f, struct mt_forecast_event *event)
{
  GHashTableIter it;
  struct forecast_pool *p;

  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (p->has_event)
      {
        p->has_event = false;
        *event = p->event;
        return true;
      }
  return false;
}

/* ---- saving and loading ----
 *
 * Each pool is an array: name, height in cores, then in tenths of a second length, age of the
 * beginning and of the end, period and delay; the number of surges, the relative spread in
 * hundredths, the index of the pool that precedes it in this list, -1 for none, and the number of
 * expected beginnings that came true. */

enum
{
  ROW_NAME,
  ROW_HEIGHT,
  ROW_LENGTH,
  ROW_ONSET_AGE,
  ROW_END_AGE,
  ROW_PERIOD,
  ROW_DELAY,
  ROW_SURGES,
  ROW_SPREAD,
  ROW_AFTER,
  ROW_HITS,
  ROW_SIZE,
};

#define TENTH_MS         100
#define MAX_CORES        1000000
#define MAX_SAVED_SURGES 1000

uint64_t
mt_forecast_revision (const struct mt_forecast *f)
{
  return f->revision;
}

static int
compare_recent (const void *left, const void *right)
{
  const struct forecast_pool *a = *(struct forecast_pool *const *) left;
  const struct forecast_pool *b = *(struct forecast_pool *const *) right;

  return a->onset_at == b->onset_at  ? strcmp (a->name, b->name)
         : a->onset_at < b->onset_at ? 1
                                     : -1;
}

static GPtrArray *
surged_pools (const struct mt_forecast *f)
{
  GPtrArray *out = g_ptr_array_new ();
  GHashTableIter it;
  struct forecast_pool *p;

  g_hash_table_iter_init (&it, f->pools);
  while (g_hash_table_iter_next (&it, NULL, (void **) &p))
    if (p->surges > 0 && p->ended_at != 0)
      g_ptr_array_add (out, p);
  g_ptr_array_sort (out, compare_recent);
  return out;
}

static int
tenths (double ms)
{
  return (int) (CLAMP (ms, 0, MAX_INTERVAL_MS) / TENTH_MS);
}

static json_t *
save_pool (const struct forecast_pool *p, const GPtrArray *list, int64_t now)
{
  guint after = 0;
  bool listed = p->after != NULL && g_ptr_array_find ((GPtrArray *) list, p->after, &after);

  return json_pack ("[s, i, i, i, i, i, i, i, i, i, i]", p->name,
                    (int) MIN (p->height / 1000, MAX_CORES), tenths (p->length_ms),
                    tenths ((double) (now - p->onset_at)), tenths ((double) (now - p->ended_at)),
                    tenths (p->period_ms), tenths (p->delay_ms),
                    (int) MIN (p->surges, MAX_SAVED_SURGES), (int) (100 * p->spread),
                    listed ? (int) after : -1, (int) MIN (p->hits, MAX_SAVED_SURGES));
}

static char *
save_pools (const struct mt_forecast *f, const GPtrArray *list, int64_t now)
{
  json_t *rows = json_array ();
  json_t *root;
  char *dumped;
  char *text;

  for (guint i = 0; i < list->len; i++)
    json_array_append_new (rows, save_pool (list->pdata[i], list, now));
  root
      = json_pack ("{s:s, s:i, s:i, s:i, s:i, s:i, s:o}", "method", f->method->name, "score",
                   (int) (1000 * f->score), "period", tenths (f->period_ms), "shortest",
                   tenths (f->shortest_pause_ms), "pauses", (int) MIN (f->pauses, MAX_SAVED_SURGES),
                   "surges", (int) MIN (f->surges, MAX_SAVED_SURGES), "pools", rows);
  dumped = json_dumps (root, JSON_COMPACT);
  text = g_strdup (dumped);
  free (dumped);
  json_decref (root);
  return text;
}

char *
mt_forecast_save (const struct mt_forecast *f, int64_t now)
{
  g_autoptr (GPtrArray) list = surged_pools (f);
  char *text = save_pools (f, list, now);

  while (strlen (text) > MT_FORECAST_MAX_TEXT && list->len > 0)
    {
      g_free (text);
      g_ptr_array_set_size (list, (gint) list->len - 1);
      text = save_pools (f, list, now);
    }
  return text;
}

static bool
is_number (const json_t *value, json_int_t min, json_int_t max)
{
  return json_is_integer (value) && json_integer_value (value) >= min
         && json_integer_value (value) <= max;
}

static bool
row_is_valid (const json_t *row, json_int_t rows)
{
  static const json_int_t max[ROW_SIZE] = { [ROW_HEIGHT] = MAX_CORES,
                                            [ROW_LENGTH] = MAX_INTERVAL_MS / TENTH_MS,
                                            [ROW_ONSET_AGE] = MAX_INTERVAL_MS / TENTH_MS,
                                            [ROW_END_AGE] = MAX_INTERVAL_MS / TENTH_MS,
                                            [ROW_PERIOD] = MAX_INTERVAL_MS / TENTH_MS,
                                            [ROW_DELAY] = MAX_INTERVAL_MS / TENTH_MS,
                                            [ROW_SURGES] = MAX_SAVED_SURGES,
                                            [ROW_SPREAD] = 100,
                                            [ROW_HITS] = MAX_SAVED_SURGES };

  if (json_array_size (row) != ROW_SIZE || !json_is_string (json_array_get (row, ROW_NAME))
      || !is_number (json_array_get (row, ROW_AFTER), -1, rows - 1)
      || !is_number (json_array_get (row, ROW_HITS), 0, max[ROW_HITS]))
    return false;
  for (size_t i = ROW_HEIGHT; i < ROW_AFTER; i++)
    if (!is_number (json_array_get (row, i), 0, max[i]))
      return false;
  return json_integer_value (json_array_get (row, ROW_SURGES)) > 0;
}

static bool
text_is_valid (const json_t *root)
{
  static const char *const numbers[] = { "score", "period", "shortest", "pauses", "surges" };
  const json_t *rows = json_object_get (root, "pools");

  if (!json_is_string (json_object_get (root, "method")) || !json_is_array (rows))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (!is_number (json_object_get (root, numbers[i]), 0, MAX_INTERVAL_MS / TENTH_MS))
      return false;
  for (size_t i = 0; i < json_array_size (rows); i++)
    if (!row_is_valid (json_array_get (rows, i), (json_int_t) json_array_size (rows)))
      return false;
  return true;
}

static double
number_at (const json_t *row, size_t index)
{
  return (double) json_integer_value (json_array_get (row, index));
}

/* at: when the text was saved, by the present clock. */
static void
load_pool (struct mt_forecast *f, const json_t *rows, const json_t *row, int64_t at, double weight)
{
  struct forecast_pool *p = get_pool (f, json_string_value (json_array_get (row, ROW_NAME)));
  json_int_t after = json_integer_value (json_array_get (row, ROW_AFTER));

  if (p->surges > 0 || p->recognised)
    return;
  p->height = 1000 * number_at (row, ROW_HEIGHT);
  p->length_ms = TENTH_MS * number_at (row, ROW_LENGTH);
  p->onset_at = at - TENTH_MS * (int64_t) number_at (row, ROW_ONSET_AGE);
  p->ended_at = at - TENTH_MS * (int64_t) number_at (row, ROW_END_AGE);
  p->period_ms = TENTH_MS * number_at (row, ROW_PERIOD);
  p->delay_ms = TENTH_MS * number_at (row, ROW_DELAY);
  p->surges = (unsigned) number_at (row, ROW_SURGES);
  p->spread = number_at (row, ROW_SPREAD) / 100;
  p->hits = (unsigned) number_at (row, ROW_HITS);
  p->weight = weight;
  if (after >= 0)
    p->after = get_pool (
        f, json_string_value (json_array_get (json_array_get (rows, (size_t) after), ROW_NAME)));
  if (f->last == NULL || p->onset_at > f->last->onset_at)
    f->last = p;
  if (f->first_ended == NULL || p->ended_at < f->first_ended_at)
    {
      f->first_ended = p;
      f->first_ended_at = p->ended_at;
    }
}

static void
load_valid (struct mt_forecast *f, const json_t *root, int64_t age_ms, int64_t now, double weight)
{
  const json_t *rows = json_object_get (root, "pools");
  const char *method = json_string_value (json_object_get (root, "method"));

  f->period_ms = TENTH_MS * (double) json_integer_value (json_object_get (root, "period"));
  f->shortest_pause_ms
      = TENTH_MS * (double) json_integer_value (json_object_get (root, "shortest"));
  f->pauses = (unsigned) json_integer_value (json_object_get (root, "pauses"));
  f->surges = (unsigned) json_integer_value (json_object_get (root, "surges"));
  if (strcmp (method, f->method->name) == 0)
    f->score = weight * (double) json_integer_value (json_object_get (root, "score")) / 1000;
  for (size_t i = 0; i < json_array_size (rows); i++)
    load_pool (f, rows, json_array_get (rows, i), now - age_ms, weight);
  if (f->last != NULL && f->method->predict != NULL)
    f->method->predict (f, f->last, now);
}

bool
mt_forecast_load (
    struct mt_forecast *f, struct mt_str text, int64_t age_ms, int64_t now, GError **error)
{
  json_error_t where;
  json_t *root = json_loadb (text.data, text.len, 0, &where);
  double weight = exp2 (-(double) MAX (age_ms, 0) / SAVED_HALF_LIFE_MS);
  bool ok = root != NULL && text_is_valid (root);

  if (!ok)
    g_set_error (error, MT_ERROR, MT_ERROR_SYNTAX,
                 "saved forecast: %s; it is learned again and written over",
                 root == NULL ? where.text : "not of the expected form");
  else if (weight >= MIN_WEIGHT && f->surges == 0 && !mt_forecast_method_is_none (f->method))
    load_valid (f, root, MAX (age_ms, 0), now, MIN (weight, 1));
  json_decref (root);
  return ok;
}
