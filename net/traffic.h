/* Counts the messages and bytes that this daemon sends and receives, by kind. Bytes are those of
 * bodies, paths and headers, as far as they are known here, without the overhead of TCP. Not
 * thread-safe. */
#ifndef MT_TRAFFIC_H
#define MT_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

struct mt_traffic;

struct mt_traffic_row
{
  const char *kind;
  uint64_t sent; /* messages */
  uint64_t received;
  uint64_t bytes_out;
  uint64_t bytes_in;
};

struct mt_traffic *mt_traffic_create (void);
void mt_traffic_destroy (struct mt_traffic *traffic);

/* kind: a constant string, which is not copied. If traffic or kind is NULL, nothing is counted. */
void mt_traffic_add_sent (struct mt_traffic *traffic, const char *kind, size_t bytes);
void mt_traffic_add_received (struct mt_traffic *traffic, const char *kind, size_t bytes);
/* Returns the sum of all kinds. */
struct mt_traffic_row mt_traffic_total (const struct mt_traffic *traffic);
/* Returns the number of rows and sets *rows to them, in the order in which their kinds first
 * occurred; valid until the next message is counted. */
size_t mt_traffic_rows (const struct mt_traffic *traffic, const struct mt_traffic_row **rows);

#endif
