/* A deployment's fleet as the measure sees it: the tables, and the load that meets them. No network
 * model: requests take slots, and that is all. Deterministic from its seed. */
#ifndef MT_MEASURE_FLEET_H
#define MT_MEASURE_FLEET_H

#include "medlartrack/tables.h"

#define FLEET_SERVICES   5
#define FLEET_INSTANCES  10 /* of each service, over all data centres */
#define FLEET_SLOTS      8
#define FLEET_SERVICE_US (200 * 1000) /* mean time of one request on its slot */

struct fleet_deployment
{
  const char *name;
  const char *description;
  unsigned zones;
  double move_weight;
  double buffer_weight;
};

/* Ended by one without a name. */
extern const struct fleet_deployment fleet_deployments[];
const struct fleet_deployment *fleet_deployment_find (const char *name);

/* The tables at a version; with wave, every pool declares one. */
struct mt_tables *
fleet_tables (const struct fleet_deployment *deployment, uint64_t version, const char *wave);

struct fleet_load;
/* home: instances of each service in the data centre. */
struct fleet_load *fleet_load_create (uint32_t seed, const unsigned *home, double seconds);
void fleet_load_destroy (struct fleet_load *load);
/* Slots that the service's callers would keep busy at that time. */
double fleet_load_at (const struct fleet_load *load, unsigned service, double at_s);

#endif
