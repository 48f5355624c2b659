/* Decides how many instances each pool of a data centre should have, from statistics of the pools'
 * demand. A new planner starts without statistics and releases no instance before it has collected
 * some. Does no I/O. Not thread-safe. */
#ifndef MEDLARTRACK_CAPACITY_H
#define MEDLARTRACK_CAPACITY_H

#include "medlartrack/tables.h"

struct mt_capacity;

/* Demand of one pool, summed over the reports of its data centre's daemons. Reports lag and may be
 * wrong. */
struct mt_capacity_demand
{
  const char *pool;
  double slots_wanted; /* requests in flight and waiting */
};

/* Statistics of a pool's demand, in slots. */
struct mt_capacity_stats
{
  double mean;             /* moving mean over a long window */
  double sustained;        /* lowest within a recent window: demand that outlasts a surge */
  double peak;             /* highest, decaying over time */
  double mean_surge_s;     /* moving mean of the duration of a surge */
  double surge_interval_s; /* moving mean of the time from one surge's start to the next */
  unsigned surges;         /* observed so far */
  bool surging;
};

/* Current state of a pool in the data centre. */
struct mt_capacity_pool
{
  const struct mt_pool *row;
  unsigned serving; /* instances that are live and serve the pool, or that drain to move to it */
  unsigned home;    /* instances that belong to it by the tables, without those leaving */
  unsigned min_serving; /* minimum of the pool's row, plus one while a wave waits to take an
                           instance out */
  unsigned slots;       /* slots of one instance */
  double demand_slots;  /* slots in use or waited for according to the current reports */
  bool can_release;     /* one of its instances may drain now: budget and minimum allow it */
  /* Set by mt_capacity_decide. */
  struct mt_capacity_stats stats;
  unsigned desired_instances; /* number of instances that the policy asks for */
};

struct mt_capacity_policy
{
  const char *name;
  const char *description;
  /* Sets desired_instances of every pool, including the spare pool. */
  void (*decide) (struct mt_capacity_pool *pools, size_t n);
  bool moves;          /* false: no instance ever moves for capacity */
  bool delays_release; /* keeps a surplus instance until keeping it has cost as much as two moves */
};

/* All policies; the array ends with an entry whose name is NULL, the first entry is the default. */
extern const struct mt_capacity_policy mt_capacity_policies[];
/* Returns the policy of this name; NULL if there is none. */
const struct mt_capacity_policy *mt_capacity_policy_find (const char *name);

/* Free the result with mt_capacity_destroy. policy must outlive it. */
struct mt_capacity *mt_capacity_create (const struct mt_capacity_policy *policy);
void mt_capacity_destroy (struct mt_capacity *capacity);

/* Adds the current demand of the pools to their statistics; to be called once for each point in
 * time. */
void mt_capacity_observe (struct mt_capacity *capacity,
                          const struct mt_capacity_pool *pools,
                          size_t n,
                          int64_t now_s);
/* Chooses one move of an instance between two of the pools. Returns false if none is worth its cost
 * now. */
bool mt_capacity_decide (struct mt_capacity *capacity,
                         struct mt_capacity_pool *pools,
                         size_t n,
                         int64_t now_s,
                         const struct mt_capacity_pool **from,
                         const struct mt_capacity_pool **to);
/* Returns the number of instances that the policy last asked for; UINT_MAX before its first
 * decision on the pool. */
unsigned mt_capacity_desired_instances (const struct mt_capacity *capacity, const char *pool);

#endif
