/* An arena: memory with the lifetime of one request, freed in one call. Built on talloc, so
 * anything allocated under it is freed with it. An arena belongs to one thread at a time. */
#ifndef MEDLARTRACK_ARENA_H
#define MEDLARTRACK_ARENA_H

#include "medlartrack/str.h"

struct mt_arena;

/* Free the result with mt_arena_destroy. limit: maximum number of bytes allocated in total; 0: no
 * limit. */
struct mt_arena *mt_arena_create (size_t limit);
void mt_arena_destroy (struct mt_arena *arena);
/* Returns zeroed memory, or NULL if the limit would be exceeded. */
void *mt_arena_alloc (struct mt_arena *arena, size_t size);
/* Returns a NUL-terminated copy; its data is NULL if the limit would be exceeded. */
struct mt_str mt_arena_dup (struct mt_arena *arena, struct mt_str s);
/* Makes child a part of the arena: it counts against the arena's limit and is freed with the arena.
 * Returns false if the limit would be exceeded; child then still belongs to the caller. */
bool mt_arena_adopt (struct mt_arena *arena, struct mt_arena *child);
/* Returns the number of bytes that count against the limit. */
size_t mt_arena_used (const struct mt_arena *arena);

#endif
