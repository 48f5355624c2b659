#include "report.h"

int
mt_command_check (const struct mt_command_context *context, const char *path)
{
  int code;
  struct mt_tables *tables = mt_report_load_tables (context, path, &code);

  if (tables == NULL)
    return code;
  mt_report_json (context,
                  json_pack ("{sb sI sI so}", "checked", 1, "routes", (json_int_t) tables->n_routes,
                             "pools", (json_int_t) tables->n_pools, "warnings",
                             mt_report_warnings (tables)));
  mt_tables_destroy (tables);
  return MT_EXIT_OK;
}
