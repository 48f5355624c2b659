#include "answer.h"

#include <string.h>

bool
mt_answer_is_own_header (struct mt_str name)
{
  static const struct mt_str prefix = MT_STR ("Medlartrack-");

  return name.len > prefix.len
         && mt_str_equal_nocase ((struct mt_str){ name.data, prefix.len }, prefix);
}

static const struct mt_http_header unknown_headers[] = {
  { MT_STR ("Content-Type"), MT_STR ("application/json") },
  { MT_STR ("Medlartrack-Outcome"), MT_STR ("unknown") },
};

void
mt_answer_out_of_memory (struct mt_http_request *request, bool not_run)
{
  static const struct mt_http_header not_run_headers[] = {
    { MT_STR ("Content-Type"), MT_STR ("application/json") },
    { MT_STR ("Medlartrack-Outcome"), MT_STR ("not-run") },
  };

  request->answer = (struct mt_http_answer){
    .status = not_run ? 503 : 504,
    .headers = (struct mt_http_header *) (not_run ? not_run_headers : unknown_headers),
    .n_headers = G_N_ELEMENTS (unknown_headers),
    .body = not_run ? MT_STR ("{\"outcome\":\"not-run\",\"reason\":\"request memory\"}\n")
                    : MT_STR ("{\"outcome\":\"unknown\",\"reason\":\"request memory\"}\n"),
  };
}

void
mt_answer_typed (struct mt_http_request *request,
                 struct mt_str id,
                 const struct mt_answer_typed *typed)
{
  g_autofree char *retry_after = g_strdup_printf ("%u", typed->retry_after_s);
  g_autofree char *body = g_strdup_printf (
      "{\"outcome\":\"%s\",\"reason\":\"%s\",\"request_id\":\"%.*s\"%s%s}\n", typed->outcome,
      typed->reason, MT_STR_ARG (id), typed->retry_after_s > 0 ? ",\"retry_after_s\":" : "",
      typed->retry_after_s > 0 ? retry_after : "");
  struct mt_http_header *headers = mt_arena_alloc (request->arena, 4 * sizeof *headers);
  struct mt_http_answer *answer = &request->answer;

  *answer = (struct mt_http_answer){ .status = typed->status, .headers = headers, .n_headers = 3 };
  answer->body = mt_arena_dup (request->arena, mt_str_from (body));
  if (headers == NULL || answer->body.data == NULL)
    {
      mt_answer_out_of_memory (request, strcmp (typed->outcome, "not-run") == 0);
      return;
    }
  headers[0] = unknown_headers[0];
  headers[1]
      = (struct mt_http_header){ MT_STR ("Medlartrack-Outcome"), mt_str_from (typed->outcome) };
  headers[2] = (struct mt_http_header){ MT_STR ("Medlartrack-Request-Id"), id };
  headers[3].name = MT_STR ("Retry-After");
  headers[3].value = mt_arena_dup (request->arena, mt_str_from (retry_after));
  if (typed->retry_after_s > 0 && headers[3].value.data != NULL)
    answer->n_headers = 4;
}

/* Removes the reserved headers from a minion's answer: a caller relies on the outcome that it reads
 * in them. */
void
mt_answer_remove_own_headers (struct mt_http_answer *answer)
{
  size_t kept = 0;

  for (size_t i = 0; i < answer->n_headers; i++)
    if (!mt_answer_is_own_header (answer->headers[i].name)
        || mt_str_equal_nocase (answer->headers[i].name, MT_STR ("Medlartrack-Request-Id")))
      answer->headers[kept++] = answer->headers[i];
  answer->n_headers = kept;
}
