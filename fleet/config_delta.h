/* Differences between configurations as compressed bytes, which daemons send to each other. Their
 * size follows from what has changed. Pure functions. */
#ifndef MT_FLEET_CONFIG_DELTA_H
#define MT_FLEET_CONFIG_DELTA_H

#include "ports.h"

/* Returns the changes from one configuration to another; from NULL: all of it. Free the result with
 * g_bytes_unref. */
GBytes *mt_config_delta_encode (const struct mt_fleet_config *from,
                                const struct mt_fleet_config *to);

/* Applies changes and returns the configuration: config itself, changed, or for all of one a new
 * one in the place of config, which is freed. Returns NULL and leaves config as it was, with
 * MT_ERROR_SYNTAX or MT_ERROR_LIMIT if the bytes are malformed, with MT_ERROR_CONFLICT if they are
 * the changes of another version. config: NULL for none. */
struct mt_fleet_config *
mt_config_delta_apply (struct mt_fleet_config *config, struct mt_str bytes, GError **error);

#endif
