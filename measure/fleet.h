/* Model of a deployment's fleet: its tables and its load. The network is not modelled: a request
 * only occupies a slot. Deterministic for a given seed. */
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

/* The last entry has no name. */
extern const struct fleet_deployment fleet_deployments[];
const struct fleet_deployment *fleet_deployment_find (const char *name);

/* The tables of a version. If wave is not NULL, every pool declares a wave with this id. */
struct mt_tables *
fleet_tables (const struct fleet_deployment *deployment, uint64_t version, const char *wave);

struct fleet_load;
/* service_instances: number of instances of each service in the data centre. */
struct fleet_load *
fleet_load_create (uint32_t seed, const unsigned *service_instances, double seconds);
void fleet_load_destroy (struct fleet_load *load);
/* Number of slots that the service's callers would keep busy at this time. */
double fleet_load_at (const struct fleet_load *load, unsigned service, double at_s);

#endif
