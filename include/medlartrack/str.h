/* Strings with explicit length. A struct mt_str does not own its bytes; their creator does. Pure
 * functions; any thread. */
#ifndef MEDLARTRACK_STR_H
#define MEDLARTRACK_STR_H

#include <stdbool.h>
#include <stddef.h>

struct mt_str
{
  const char *data; /* NUL-terminated only where its creator documents it */
  size_t len;       /* bytes */
};

/* A string literal as a struct mt_str. */
#define MT_STR(literal) ((struct mt_str){ (literal), sizeof (literal) - 1 })
/* Arguments for printf's "%.*s". */
#define MT_STR_ARG(s) (int) (s).len, (s).data

/* Returns a view of a NUL-terminated string; NULL counts as empty. */
struct mt_str mt_str_from (const char *cstr);
bool mt_str_equal (struct mt_str a, struct mt_str b);
bool mt_str_equal_nocase (struct mt_str a, struct mt_str b);
bool mt_str_has_prefix (struct mt_str s, struct mt_str prefix);
/* Parses s as one unsigned decimal number; returns false for anything else, including overflow. */
bool mt_str_to_u64 (struct mt_str s, unsigned long long *out);

#endif
