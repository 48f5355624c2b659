#include "traffic.h"

#include <glib.h>
#include <string.h>

struct mt_traffic
{
  GArray *rows; /* of struct mt_traffic_row; about twenty kinds */
};

struct mt_traffic *
mt_traffic_create (void)
{
  struct mt_traffic *traffic = g_new0 (struct mt_traffic, 1);

  traffic->rows = g_array_new (FALSE, TRUE, sizeof (struct mt_traffic_row));
  return traffic;
}

void
mt_traffic_destroy (struct mt_traffic *traffic)
{
  if (traffic == NULL)
    return;
  g_array_unref (traffic->rows);
  g_free (traffic);
}

static struct mt_traffic_row *
get_row (struct mt_traffic *traffic, const char *kind)
{
  struct mt_traffic_row new_row = { .kind = kind };

  for (guint i = 0; i < traffic->rows->len; i++)
    {
      struct mt_traffic_row *row = &g_array_index (traffic->rows, struct mt_traffic_row, i);

      if (row->kind == kind || strcmp (row->kind, kind) == 0)
        return row;
    }
  g_array_append_val (traffic->rows, new_row);
  return &g_array_index (traffic->rows, struct mt_traffic_row, traffic->rows->len - 1);
}

void
mt_traffic_add_sent (struct mt_traffic *traffic, const char *kind, size_t bytes)
{
  struct mt_traffic_row *row;

  if (traffic == NULL || kind == NULL)
    return;
  row = get_row (traffic, kind);
  row->sent++;
  row->bytes_out += bytes;
}

void
mt_traffic_add_received (struct mt_traffic *traffic, const char *kind, size_t bytes)
{
  struct mt_traffic_row *row;

  if (traffic == NULL || kind == NULL)
    return;
  row = get_row (traffic, kind);
  row->received++;
  row->bytes_in += bytes;
}

struct mt_traffic_row
mt_traffic_total (const struct mt_traffic *traffic)
{
  struct mt_traffic_row total = { .kind = "all" };

  for (guint i = 0; i < traffic->rows->len; i++)
    {
      const struct mt_traffic_row *row = &g_array_index (traffic->rows, struct mt_traffic_row, i);

      total.sent += row->sent;
      total.received += row->received;
      total.bytes_out += row->bytes_out;
      total.bytes_in += row->bytes_in;
    }
  return total;
}

size_t
mt_traffic_rows (const struct mt_traffic *traffic, const struct mt_traffic_row **rows)
{
  *rows = (const struct mt_traffic_row *) traffic->rows->data;
  return traffic->rows->len;
}
