/* An arena: memory that lives as long as one request, freed in one call. Built on talloc, so that
 * anything allocated under it goes with it. An arena belongs to one thread at a time. */
#ifndef MEDLARTRACK_ARENA_H
#define MEDLARTRACK_ARENA_H

#include "medlartrack/str.h"

struct mt_arena;

/* limit: most bytes handed out over the arena's life; 0 means no limit. */
struct mt_arena *mt_arena_create (size_t limit);
void mt_arena_destroy (struct mt_arena *arena);
/* Zeroed memory, or NULL where the limit would be passed. */
void *mt_arena_alloc (struct mt_arena *arena, size_t size);
/* A NUL-terminated copy; its data is NULL where the limit would be passed. */
struct mt_str mt_arena_dup (struct mt_arena *arena, struct mt_str s);
/* Makes child a part of the arena: it counts against its limit and is freed with it. False where
 * the limit would be passed; child then stays the caller's. */
bool mt_arena_adopt (struct mt_arena *arena, struct mt_arena *child);
size_t mt_arena_used (const struct mt_arena *arena);

#endif
