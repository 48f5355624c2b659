/* What a job that is handed in now can expect.
 *
 * The load: a surge asks for more than all machines can do. Whatever is accepted then waits, and
 * most of it until its answer is of no use: the caller was told yes and gets nothing, and could
 * have gone elsewhere. What can still be done while it is of use is taken; the rest is told no at
 * once, and when to come back. */
#include "scheduler_internal.h"

/* The work that waits is reckoned anew after so long: under load hundreds of jobs ask in a second.
 */
#define FRESH_MS 40
/* Of the processors that there are, so much is at work in a surge: wide tasks leave gaps. */
#define FULL_SHARE 0.9
/* Late up to so many times its objective, an answer is still of use. */
#define USEFUL_FACTOR 3
/* Late work may get so many times the machines that the pool has now, once the surges are over:
 * only what is hopeless even then is refused. */
#define LATER_FACTOR 2

void
mt_scheduler_expect_capacity (struct mt_scheduler *sched, int64_t cpu, int64_t until)
{
  sched->promised_cpu = cpu;
  sched->promised_until = until;
}

/* Processors for jobs that end, in thousandths of a core; 0 where it isn't known. Through a link
 * that is full no more gets done than is at work now, whatever room there is. */
static double
capacity (const struct mt_scheduler *sched, int64_t now)
{
  struct mt_scheduler_load load;
  int64_t room;
  int64_t lasting;

  mt_scheduler_load (sched, now, &load);
  if (load.capacity_cpu == 0)
    return 0;
  room = load.capacity_cpu;
  lasting = load.long_running_cpu;
  if (now < sched->promised_until)
    room = MAX (room, sched->promised_cpu);
  if (mt_scheduler_is_link_bound (sched, now))
    room = MIN (room, load.used_cpu);
  return MAX (FULL_SHARE * (double) room - (double) lasting, 1);
}

static void
look (struct mt_scheduler *sched, int64_t now)
{
  sched->looked_at = now;
  sched->timely_work = sched->all_work = 0;
  for (GList *l = sched->open.head; l != NULL; l = l->next)
    {
      const struct mt_job *job = l->data;

      for (unsigned k = 0; k < job->n_occurrences; k++)
        {
          const struct mt_occurrence *occ = job->occurrences[k];
          double work = occ != NULL && !occ->ended ? mt_occurrence_remaining_work (occ) : 0;

          sched->all_work += work;
          if (work > 0 && mt_occurrence_can_meet_objective (occ, now))
            sched->timely_work += work;
        }
    }
  sched->capacity = capacity (sched, now);
}

/* The longest chain of the caller's guess, as guesses of this route turn out. */
static double
expected_chain (const struct mt_route *route, int64_t chain_ms)
{
  if (route->mean_ms <= 0 || route->estimate_ms <= 0)
    return (double) chain_ms;
  return (double) chain_ms * route->mean_ms / route->estimate_ms;
}

struct mt_wait_estimate
mt_scheduler_estimate_wait (struct mt_scheduler *sched,
                            const char *route_name,
                            int64_t chain_ms,
                            int64_t now)
{
  const struct mt_route *route = g_hash_table_lookup (sched->routes, route_name);
  struct mt_wait_estimate out = { 0 };
  double chain, allowed, over;

  if (route == NULL)
    return out;
  if (now - sched->looked_at >= FRESH_MS)
    look (sched, now);
  if (sched->capacity <= 0)
    return out;
  chain = expected_chain (route, chain_ms);
  allowed = route->terms.stretch * chain + (double) route->terms.objective_ms;
  out.wait_ms = (int64_t) (sched->timely_work / sched->capacity);
  if ((double) out.wait_ms + chain <= allowed)
    return out;
  out.wait_ms = (int64_t) (sched->all_work / sched->capacity);
  over = (double) out.wait_ms / LATER_FACTOR + chain - USEFUL_FACTOR * allowed;
  out.retry_after_ms = over > 0 ? (int64_t) over + 1 : 0;
  return out;
}
