/* Valid tables are equal after formatting and parsing, for any names, weights and columns. */
#include <glib.h>
#include <jansson.h>
#include <rapidcheck.h>

extern "C"
{
#include "medlartrack/tables.h"
}

#include <string>

static std::string
quote (const std::string &text)
{
  json_t *value = json_stringn (text.data (), text.size ());
  char *out = json_dumps (value, JSON_ENCODE_ANY);
  std::string copy = out != nullptr ? out : "\"x\"";

  free (out);
  json_decref (value);
  return copy;
}

static std::string
text_of (size_t number)
{
  static const char *const shapes[] = { "p", "kovács", "a \"b\"", "x\\y", "/", "日本" };

  return std::string (shapes[number % 6]) + std::to_string (number);
}

static std::string
instance (size_t number)
{
  const char *zones[] = { "west", "east", "a.b_c-d" };
  std::string more;

  if (*rc::gen::arbitrary<bool> ())
    more += ",\"slots\":" + std::to_string (*rc::gen::inRange (1, 9));
  if (*rc::gen::arbitrary<bool> ())
    more += ",\"connections\":" + std::to_string (*rc::gen::inRange (1, 65));
  return "{\"name\":" + quote (text_of (number)) + ",\"address\":\"10.0.0."
         + std::to_string (number % 256) + ":" + std::to_string (1 + number) + "\",\"zone\":\""
         + zones[number % 3] + "\",\"rack\":" + quote (text_of (number + 7)) + more + "}";
}

static std::string
weight ()
{
  char text[64];

  g_ascii_formatd (text, sizeof text, "%.17g", *rc::gen::inRange (0, 1000000) / 7.0);
  return text;
}

static std::string
jobs (size_t number)
{
  std::string n = std::to_string (number);
  const char *urgency[] = { "urgent", "normal", "background" };

  return ",\"teams\":[{\"team\":\"t" + n
         + "\",\"cpu_milli\":" + std::to_string (*rc::gen::inRange (0, 100000))
         + "}],\"jobs\":[{\"job\":\"j" + n + "\",\"team\":\"t" + n
         + "\",\"zone\":\"west\",\"urgency\":\"" + urgency[*rc::gen::inRange (0, 3)]
         + "\",\"cancelled\":" + (*rc::gen::arbitrary<bool> () ? "true" : "false") + "}]";
}

static std::string
pool (size_t number, size_t instances)
{
  std::string rows;
  std::string wave
      = *rc::gen::arbitrary<bool> () ? ",\"wave\":{\"id\":\"w1\",\"stopped\":true}" : "";

  for (size_t i = 0; i < instances; i++)
    rows += (i > 0 ? "," : "") + instance (number * 100 + i);
  return "{\"pool\":" + quote (text_of (number)) + ",\"service\":" + quote (text_of (number))
         + ",\"min_instances\":" + std::to_string (*rc::gen::inRange (0, 2))
         + ",\"move_weight\":" + weight () + ",\"buffer_weight\":" + weight () + wave
         + (*rc::gen::arbitrary<bool> () ? jobs (number) : "") + ",\"instances\":[" + rows + "]}";
}

static std::string
document ()
{
  size_t n = *rc::gen::inRange<size_t> (1, 6);
  std::string pools;
  std::string routes;

  for (size_t i = 0; i < n; i++)
    {
      pools += (i > 0 ? "," : "") + pool (i, *rc::gen::inRange<size_t> (1, 5));
      routes += (i > 0 ? "," : "") + std::string ("{\"route\":") + quote (text_of (i))
                + ",\"path\":\"/" + std::to_string (i) + "\",\"pool\":" + quote (text_of (i))
                + ",\"repeat\":\"" + (*rc::gen::arbitrary<bool> () ? "safe" : "never") + "\"}";
    }
  return "{\"routes\":[" + routes + "],\"pools\":[" + pools + "]}";
}

static struct mt_tables *
parse (const std::string &text)
{
  GError *error = nullptr;
  struct mt_tables *tables = mt_tables_parse ({ text.data (), text.size () }, &error);

  if (tables == nullptr)
    {
      std::string why = error->message;

      g_error_free (error);
      RC_FAIL (why);
    }
  return tables;
}

static std::string
take (char *text)
{
  std::string copy = text;

  g_free (text);
  return copy;
}

static bool
same_weights (const struct mt_tables *a, const struct mt_tables *b)
{
  for (size_t i = 0; i < a->n_pools; i++)
    if (a->pools[i].move_weight != b->pools[i].move_weight
        || a->pools[i].buffer_weight != b->pools[i].buffer_weight)
      return false;
  return a->n_pools == b->n_pools;
}

int
main ()
{
  bool ok = rc::check ("tables that parse format and parse back equal", [] {
    struct mt_tables *first = parse (document ());
    std::string text = take (mt_tables_format (first, 7, "id"));
    struct mt_tables *second = parse (text);
    struct mt_tables *printed = parse (take (mt_tables_format_pretty (second)));

    RC_ASSERT (mt_tables_same_rows (first, second));
    RC_ASSERT (mt_tables_same_rows (first, printed));
    RC_ASSERT (same_weights (first, second));
    RC_ASSERT (take (mt_tables_format (second, 7, "id")) == text);
    mt_tables_destroy (first);
    mt_tables_destroy (second);
    mt_tables_destroy (printed);
  });

  return ok ? 0 : 1;
}
