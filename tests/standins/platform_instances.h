/* The instances of the platform stand-in: their states (live, leaving, down or gone) and reboots,
 * which are fenced by an epoch. Not thread-safe: the caller holds the service's lock. */
#ifndef PLATFORM_INSTANCES_H
#define PLATFORM_INSTANCES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct platform_instances;

struct platform_instances *platform_instances_create (void);
/* Handles the body of PUT /instances: "name" and "state" set the state of an instance, "reboot_ms"
 * the duration of reboots. */
void
platform_instances_set (struct platform_instances *instances, const json_t *body, gint64 now_us);
/* Starts a reboot. Returns false if the epoch is not newer than that of the last reboot order. */
bool platform_instances_reboot (struct platform_instances *instances,
                                const char *name,
                                guint64 epoch,
                                gint64 now_us);
/* Returns the list of instances as the platform publishes it, to be freed with g_free, or NULL if
 * there are none. */
char *platform_instances_text (struct platform_instances *instances, gint64 now_us);

#endif
