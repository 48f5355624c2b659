#include "json_events.h"

#include <glib.h>
#include <yajl/yajl_parse.h>

#define MAX_DEPTH 32

struct state
{
  const struct mt_json_reader *reader;
  yajl_handle handle;
  unsigned depth;
  GString *key; /* the last one */
  bool in_map[MAX_DEPTH + 1];
};

static int
report (struct state *s, struct mt_json_event *event)
{
  if (s->depth == 0 && event->kind != MT_JSON_MAP)
    return 0;
  event->depth = s->depth;
  event->offset = yajl_get_bytes_consumed (s->handle);
  if (s->depth > 0 && s->in_map[s->depth])
    event->key = (struct mt_str){ s->key->str, s->key->len };
  s->reader->value (s->reader->ctx, event);
  return 1;
}

static int
on_null (void *ctx)
{
  return report (ctx, &(struct mt_json_event){ .kind = MT_JSON_OTHER });
}

static int
on_boolean (void *ctx, int value)
{
  return report (ctx, &(struct mt_json_event){ .kind = value != 0 ? MT_JSON_TRUE : MT_JSON_OTHER });
}

static int
on_integer (void *ctx, long long value)
{
  return report (ctx, &(struct mt_json_event){
                          .kind = MT_JSON_INTEGER, .integer = value, .number = (double) value });
}

static int
on_double (void *ctx, double value)
{
  int64_t integer = value > -9e18 && value < 9e18 ? (int64_t) value : 0;

  return report (
      ctx, &(struct mt_json_event){ .kind = MT_JSON_DOUBLE, .integer = integer, .number = value });
}

static int
on_string (void *ctx, const unsigned char *text, size_t len)
{
  return report (
      ctx, &(struct mt_json_event){ .kind = MT_JSON_STRING, .text = { (const char *) text, len } });
}

static int
on_key (void *ctx, const unsigned char *text, size_t len)
{
  struct state *s = ctx;

  g_string_truncate (s->key, 0);
  g_string_append_len (s->key, (const char *) text, (gssize) len);
  return 1;
}

static int
begin (struct state *s, enum mt_json_kind kind)
{
  if (s->depth == MAX_DEPTH || !report (s, &(struct mt_json_event){ .kind = kind }))
    return 0;
  s->in_map[++s->depth] = kind == MT_JSON_MAP;
  return 1;
}

static int
on_map (void *ctx)
{
  return begin (ctx, MT_JSON_MAP);
}

static int
on_array (void *ctx)
{
  return begin (ctx, MT_JSON_ARRAY);
}

static int
on_end (void *ctx)
{
  struct state *s = ctx;

  s->depth--;
  if (s->reader->end != NULL)
    s->reader->end (s->reader->ctx, s->depth, yajl_get_bytes_consumed (s->handle));
  return 1;
}

bool
mt_json_read (struct mt_str text, const struct mt_json_reader *reader)
{
  static const yajl_callbacks callbacks = { .yajl_null = on_null,
                                            .yajl_boolean = on_boolean,
                                            .yajl_integer = on_integer,
                                            .yajl_double = on_double,
                                            .yajl_string = on_string,
                                            .yajl_start_map = on_map,
                                            .yajl_map_key = on_key,
                                            .yajl_end_map = on_end,
                                            .yajl_start_array = on_array,
                                            .yajl_end_array = on_end };
  struct state s = { .reader = reader, .key = g_string_new (NULL) };
  bool ok;

  s.handle = yajl_alloc (&callbacks, NULL, &s);
  yajl_config (s.handle, yajl_allow_trailing_garbage, 1);
  yajl_config (s.handle, yajl_dont_validate_strings, reader->any_bytes ? 1 : 0);
  ok = yajl_parse (s.handle, (const unsigned char *) text.data, text.len) == yajl_status_ok
       && yajl_complete_parse (s.handle) == yajl_status_ok;
  yajl_free (s.handle);
  g_string_free (s.key, TRUE);
  return ok;
}
