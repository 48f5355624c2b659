/* The configuration in force, shared by all threads. Readers take no lock: they read under urcu-bp,
 * which registers a thread (libmicrohttpd's included) at its first read. One writer at a time is
 * serialised inside. */
#ifndef MT_VIEW_H
#define MT_VIEW_H

#include "medlartrack/clock.h"
#include "medlartrack/tables.h"

struct mt_view_holder;

/* Told after each change, in the thread that made it, outside of any lock of the holder. */
typedef void (*mt_view_listener) (void *ctx);

struct mt_view_holder *mt_view_holder_create (const struct mt_clock *clock);
/* No reader may be left. */
void mt_view_holder_destroy (struct mt_view_holder *holder);
/* Before threads start. */
void mt_view_listen (struct mt_view_holder *holder, mt_view_listener listener, void *ctx);

/* Takes the tables over. False, and frees them, where they are not newer than those in force: an
 * accepted version never reverts, whatever a stale read or a late peer says. */
bool mt_view_offer (struct mt_view_holder *holder, struct mt_tables *tables);
/* The same version was seen again at the source: it is current as of now. */
void mt_view_confirm (struct mt_view_holder *holder);

/* Between begin and end the thread must not block. NULL before the first tables. */
const struct mt_tables *mt_view_begin (const struct mt_view_holder *holder);
void mt_view_end (void);

/* 0 before the first tables. */
uint64_t mt_view_version (const struct mt_view_holder *holder);
/* Since the version was last known to be the newest; -1 before the first tables. */
int64_t mt_view_age_us (const struct mt_view_holder *holder);

#endif
