/* Length-counted strings. A mt_str borrows its bytes; whoever made them owns them. */
#ifndef MEDLARTRACK_STR_H
#define MEDLARTRACK_STR_H

#include <stdbool.h>
#include <stddef.h>

struct mt_str
{
  const char *data; /* not NUL-terminated unless the maker says so */
  size_t len;       /* bytes */
};

#define MT_STR(literal) ((struct mt_str){ (literal), sizeof (literal) - 1 })
/* For printf's "%.*s". */
#define MT_STR_ARG(s) (int) (s).len, (s).data

struct mt_str mt_str_from (const char *cstr);
bool mt_str_equal (struct mt_str a, struct mt_str b);
bool mt_str_equal_nocase (struct mt_str a, struct mt_str b);
bool mt_str_has_prefix (struct mt_str s, struct mt_str prefix);
/* Reads a whole unsigned decimal; false for anything else, overflow included. */
bool mt_str_to_u64 (struct mt_str s, unsigned long long *out);

#endif
