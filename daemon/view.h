/* The configuration in force, shared by all threads. Readers take no lock: they read under urcu-bp,
 * which registers a thread (libmicrohttpd's included) at its first read. Writers are serialised
 * internally. */
#ifndef MT_VIEW_H
#define MT_VIEW_H

#include "medlartrack/assign.h"
#include "medlartrack/clock.h"
#include "medlartrack/tables.h"

struct mt_view_holder;

/* Called after each change, in the thread that made it, one call at a time: the last call reads the
 * newest view. A listener must not offer anything itself. */
typedef void (*mt_view_listener) (void *ctx);

struct mt_view_holder *mt_view_holder_create (const struct mt_clock *clock);
/* Call when there are no readers any more. */
void mt_view_holder_destroy (struct mt_view_holder *holder);
/* Adds a listener that applies changes: a change is in force once all of them have returned. Call
 * before threads start. */
void mt_view_add_listener (struct mt_view_holder *holder, mt_view_listener listener, void *ctx);
/* Adds a listener that is called once a change is in force. Call before threads start. */
void
mt_view_add_after_listener (struct mt_view_holder *holder, mt_view_listener listener, void *ctx);

/* Takes ownership of the tables and puts them in force. Returns false and frees them if they are
 * not newer than those in force: an accepted version never reverts, whatever a stale read or a late
 * peer delivers. */
bool mt_view_offer (struct mt_view_holder *holder, struct mt_tables *tables);
/* Records that the version in force was seen at its source again: it is current as of now. */
void mt_view_confirm (struct mt_view_holder *holder);

/* Like mt_view_offer, for the data centre's assignment document. */
bool mt_view_offer_assign (struct mt_view_holder *holder, struct mt_assign *assign);

/* Starts a read and returns the tables in force, NULL before the first. The thread must not block
 * until mt_view_end. */
const struct mt_tables *mt_view_begin (const struct mt_view_holder *holder);
/* Ends the read; the returned pointers are no longer valid. */
void mt_view_end (void);
/* Returns the assignment document in force; call between mt_view_begin and mt_view_end. NULL before
 * the first document: no instance serves then. */
const struct mt_assign *mt_view_assign (const struct mt_view_holder *holder);
/* Returns the version of the newest document that all listeners have applied, 0 for none: no work
 * starts by an older one any more. A heartbeat reads it before it counts the requests in flight;
 * otherwise a request that starts in between would be missing from a version that seems
 * confirmed. */
uint64_t mt_view_assign_in_force (const struct mt_view_holder *holder);

/* Returns the version of the tables in force; 0 before the first. */
uint64_t mt_view_version (const struct mt_view_holder *holder);
/* Returns the time since the version was last known to be the newest, in us; -1 before the first
 * tables. */
int64_t mt_view_age_us (const struct mt_view_holder *holder);

#endif
