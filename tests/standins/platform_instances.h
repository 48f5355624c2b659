/* The platform's instances, as its stand-in keeps them: who is live, leaving, down or gone, and the
 * reboots ordered, each fenced by an epoch. Guarded by the service's lock. */
#ifndef PLATFORM_INSTANCES_H
#define PLATFORM_INSTANCES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct platform_instances;

struct platform_instances *platform_instances_create (void);
/* {"name", "state"} sets one instance, {"reboot_ms"} how long a reboot takes. */
void platform_instances_set (struct platform_instances *all, const json_t *body, gint64 now_us);
/* False where the epoch isn't newer than the newest one that was ordered. */
bool platform_instances_reboot (struct platform_instances *all,
                                const char *name,
                                guint64 epoch,
                                gint64 now_us);
/* The list as the platform publishes it, to g_free; NULL while it has no instance. */
char *platform_instances_text (struct platform_instances *all, gint64 now_us);

#endif
