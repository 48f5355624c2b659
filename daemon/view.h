/* The configuration in force, shared by all threads. Readers take no lock: they read under urcu-bp,
 * which registers a thread (libmicrohttpd's included) at its first read. One writer at a time is
 * serialised inside. */
#ifndef MT_VIEW_H
#define MT_VIEW_H

#include "medlartrack/assign.h"
#include "medlartrack/clock.h"
#include "medlartrack/tables.h"

struct mt_view_holder;

/* Told after each change, in the thread that made it, one at a time: whoever is told last reads the
 * newest. It must not offer anything itself. */
typedef void (*mt_view_listener) (void *ctx);

struct mt_view_holder *mt_view_holder_create (const struct mt_clock *clock);
/* No reader may be left. */
void mt_view_holder_destroy (struct mt_view_holder *holder);
/* Before threads start. A listener takes the change: it is in force once all have. */
void mt_view_add_listener (struct mt_view_holder *holder, mt_view_listener listener, void *ctx);
/* Told once the change is in force. */
void
mt_view_add_after_listener (struct mt_view_holder *holder, mt_view_listener listener, void *ctx);

/* Takes the tables over. False, and frees them, where they are not newer than those in force: an
 * accepted version never reverts, whatever a stale read or a late peer says. */
bool mt_view_offer (struct mt_view_holder *holder, struct mt_tables *tables);
/* The same version was seen again at the source: it is current as of now. */
void mt_view_confirm (struct mt_view_holder *holder);

/* The same for the data centre's assignment document. */
bool mt_view_offer_assign (struct mt_view_holder *holder, struct mt_assign *assign);

/* Between begin and end the thread must not block. NULL before the first tables. */
const struct mt_tables *mt_view_begin (const struct mt_view_holder *holder);
void mt_view_end (void);
/* Between begin and end too. NULL before the first document: no instance has work then. */
const struct mt_assign *mt_view_assign (const struct mt_view_holder *holder);
/* The document whose records all listeners have taken: from then on no work starts by an older one.
 * A heartbeat reads it before it counts what is in flight, or a request that started in between
 * would be missing from a version that seems confirmed. 0: none. */
uint64_t mt_view_assign_in_force (const struct mt_view_holder *holder);

/* 0 before the first tables. */
uint64_t mt_view_version (const struct mt_view_holder *holder);
/* Since the version was last known to be the newest; -1 before the first tables. */
int64_t mt_view_age_us (const struct mt_view_holder *holder);

#endif
