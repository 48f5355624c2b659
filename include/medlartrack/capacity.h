/* Decides how many instances each pool of a data centre should have, from statistics of the pools'
 * demand that it keeps. A new planner starts without them and releases no instance until it has
 * collected its own. Not thread-safe. */
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
  double sustained;        /* lowest within the recent window: demand that outlasts a surge */
  double peak;             /* highest, decaying */
  double mean_surge_s;     /* moving mean of the length of its surges */
  double surge_interval_s; /* moving mean of the time from one surge's start to the next */
  unsigned surges;         /* observed so far */
  bool surging;
};

/* Current state of a pool in the data centre. */
struct mt_capacity_pool
{
  const struct mt_pool *row;
  unsigned serving;     /* instances live and serving, or draining to move here */
  unsigned home;        /* instances that belong to it here by the tables, without those leaving */
  unsigned min_serving; /* the row's minimum, plus one while a wave waits to take an instance out */
  unsigned slots;       /* of one instance */
  double demand_slots;  /* slots that are in use or waited for, by the current reports */
  bool can_release;     /* one of its instances may drain now: budget and minimum allow it */
  /* Set by mt_capacity_decide. */
  struct mt_capacity_stats stats;
  unsigned desired_instances; /* instances that the policy asks for */
};

struct mt_capacity_policy
{
  const char *name;
  const char *description;
  /* Sets desired_instances of every pool, the spare pool included. */
  void (*decide) (struct mt_capacity_pool *pools, size_t n);
  bool moves;          /* false: no instance ever moves for capacity */
  bool delays_release; /* keeps a surplus instance until that has cost as much as two moves */
};

/* All policies, terminated by one whose name is NULL; the first is the default. */
extern const struct mt_capacity_policy mt_capacity_policies[];
const struct mt_capacity_policy *mt_capacity_policy_find (const char *name);

struct mt_capacity *mt_capacity_create (const struct mt_capacity_policy *policy);
void mt_capacity_destroy (struct mt_capacity *capacity);

/* Adds the current demand of the pools to their statistics; call it once for each point in time. */
void mt_capacity_observe (struct mt_capacity *capacity,
                          const struct mt_capacity_pool *pools,
                          size_t n,
                          int64_t now_s);
/* Picks one move of an instance between pools; false if none is worth its cost now. */
bool mt_capacity_decide (struct mt_capacity *capacity,
                         struct mt_capacity_pool *pools,
                         size_t n,
                         int64_t now_s,
                         const struct mt_capacity_pool **from,
                         const struct mt_capacity_pool **to);
/* Returns what the policy last asked for; UINT_MAX before its first decision on the pool. */
unsigned mt_capacity_desired_instances (const struct mt_capacity *capacity, const char *pool);

#endif
