#include "medlartrack/arena.h"

#include <string.h>
#include <talloc.h>

struct mt_arena
{
  size_t limit;
  size_t used;
};

struct mt_arena *
mt_arena_create (size_t limit)
{
  struct mt_arena *arena = talloc_zero (NULL, struct mt_arena);

  arena->limit = limit;
  return arena;
}

void
mt_arena_destroy (struct mt_arena *arena)
{
  talloc_free (arena);
}

void *
mt_arena_alloc (struct mt_arena *arena, size_t size)
{
  if (arena->limit != 0 && size > arena->limit - arena->used)
    return NULL;
  arena->used += size;
  return talloc_zero_size (arena, size);
}

struct mt_str
mt_arena_dup (struct mt_arena *arena, struct mt_str s)
{
  struct mt_str copy = { NULL, 0 };
  char *data = mt_arena_alloc (arena, s.len + 1);

  if (data == NULL)
    return copy;
  if (s.len > 0)
    memcpy (data, s.data, s.len);
  copy.data = data;
  copy.len = s.len;
  return copy;
}

bool
mt_arena_adopt (struct mt_arena *arena, struct mt_arena *child)
{
  if (arena->limit != 0 && child->used > arena->limit - arena->used)
    return false;
  arena->used += child->used;
  talloc_steal (arena, child);
  return true;
}

size_t
mt_arena_used (const struct mt_arena *arena)
{
  return arena->used;
}
