/* What this daemon sends and receives: messages and bytes of each kind. Bytes are those of bodies,
 * paths and headers as far as they are known here; what TCP adds is not in them. One thread. */
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

/* kind: a constant, kept by address. NULL for traffic or kind counts nothing. */
void mt_traffic_add_sent (struct mt_traffic *traffic, const char *kind, size_t bytes);
void mt_traffic_add_received (struct mt_traffic *traffic, const char *kind, size_t bytes);
/* Sum of all kinds. */
struct mt_traffic_row mt_traffic_total (const struct mt_traffic *traffic);
/* Rows in the order in which their kinds came up; valid until the next message. */
size_t mt_traffic_rows (const struct mt_traffic *traffic, const struct mt_traffic_row **rows);

#endif
