/* Reads JSON by events, without a tree: for texts of megabytes, of which a tree takes ten times the
 * time and the memory. */
#ifndef MT_FLEET_JSON_EVENTS_H
#define MT_FLEET_JSON_EVENTS_H

#include "medlartrack/str.h"

#include <stdint.h>

enum mt_json_kind
{
  MT_JSON_MAP,
  MT_JSON_ARRAY,
  MT_JSON_STRING,
  MT_JSON_INTEGER,
  MT_JSON_DOUBLE,
  MT_JSON_TRUE,
  MT_JSON_OTHER, /* false or null */
};

struct mt_json_event
{
  enum mt_json_kind kind;
  unsigned depth;    /* maps and arrays around the value: 0 for the text's own */
  struct mt_str key; /* in the map around it; empty in an array */
  struct mt_str text;
  int64_t integer; /* of a number */
  double number;
  size_t offset; /* in the text, after the value, or after the bracket that opens it */
};

struct mt_json_reader
{
  /* Called for each value; maps and arrays when they begin. */
  void (*value) (void *ctx, const struct mt_json_event *event);
  /* Called when a map or an array ends, with its depth; may be NULL. */
  void (*end) (void *ctx, unsigned depth, size_t offset);
  void *ctx;
  bool any_bytes; /* texts need not be valid UTF-8 */
};

/* Returns false if the text is not one JSON map, maybe followed by other bytes, or is nested too
 * deeply; events before the fault have been reported then. */
bool mt_json_read (struct mt_str text, const struct mt_json_reader *reader);

#endif
