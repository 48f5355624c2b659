/* Decides how many instances each pool of a data centre should have. Keeps what it has learnt of
 * the pools' demand; a new planner starts without, and releases nothing until it has learnt anew.
 * Not thread-safe. */
#ifndef MEDLARTRACK_CAPACITY_H
#define MEDLARTRACK_CAPACITY_H

#include "medlartrack/tables.h"

struct mt_capacity;

/* One pool as its data centre's daemons report it, summed; reports lag and may be wrong. */
struct mt_capacity_demand
{
  const char *pool;
  double slots_wanted; /* requests in flight and waiting */
};

/* What was learnt of a pool's demand, in slots. */
struct mt_capacity_stats
{
  double mean;             /* long moving mean */
  double sustained;        /* lowest of the last stretch: demand that outlasts a surge */
  double peak;             /* highest, decaying */
  double mean_surge_s;     /* mean length of its surges */
  double surge_interval_s; /* mean time from one surge to the next */
  unsigned surges;         /* seen so far */
  bool surging;
};

/* A pool of the data centre now. */
struct mt_capacity_pool
{
  const struct mt_pool *row;
  unsigned serving;     /* live and serving, or on the way there */
  unsigned home;        /* instances that the tables give it here, without those leaving */
  unsigned min_serving; /* the row's minimum, and one more while a wave has to take one out */
  unsigned slots;       /* of one instance */
  double demand_slots;  /* slots, as reported now */
  bool can_release;     /* one of its instances may drain now: budget and minimum allow it */
  /* Set by mt_capacity_decide. */
  struct mt_capacity_stats stats;
  unsigned desired_instances; /* instances that the policy asks for */
};

struct mt_capacity_policy
{
  const char *name;
  const char *description;
  /* Sets want of every pool, the spare included. */
  void (*decide) (struct mt_capacity_pool *pools, size_t n);
  bool moves;          /* false: nothing ever moves for capacity */
  bool delays_release; /* an instance too many is kept until keeping it cost as much as two moves */
};

/* All policies, ended by one without a name; the first is the default. */
extern const struct mt_capacity_policy mt_capacity_policies[];
const struct mt_capacity_policy *mt_capacity_policy_find (const char *name);

struct mt_capacity *mt_capacity_create (const struct mt_capacity_policy *policy);
void mt_capacity_destroy (struct mt_capacity *capacity);

/* Learns the demand of one moment; call it once for each moment. */
void mt_capacity_observe (struct mt_capacity *capacity,
                          const struct mt_capacity_pool *pools,
                          size_t n,
                          int64_t now_s);
/* Picks one move. False: none is worth its cost now. */
bool mt_capacity_decide (struct mt_capacity *capacity,
                         struct mt_capacity_pool *pools,
                         size_t n,
                         int64_t now_s,
                         const struct mt_capacity_pool **from,
                         const struct mt_capacity_pool **to);
/* What the policy last asked for; UINT_MAX before its first decision on the pool. */
unsigned mt_capacity_desired_instances (const struct mt_capacity *capacity, const char *pool);

#endif
