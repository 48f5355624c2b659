#include "documents.h"
#include "view.h"

static uint64_t
get_tables_version (void *ctx)
{
  return mt_view_version (ctx);
}

static char *
format_tables (void *ctx)
{
  const struct mt_tables *tables = mt_view_begin (ctx);
  char *text = tables != NULL ? mt_tables_format (tables, tables->version, tables->id.data) : NULL;

  mt_view_end ();
  return text;
}

/* Tables from a peer get the same checks as those from an operator: a peer of another version, or a
 * hostile one, can't put tables in force that `apply` would refuse. */
static bool
offer_tables (void *ctx, struct mt_str text, GError **error)
{
  struct mt_tables *tables = mt_tables_parse (text, error);

  if (tables == NULL)
    return false;
  mt_view_offer (ctx, tables);
  return true;
}

static uint64_t
get_member_tables_version (const struct mt_member *member)
{
  return member->tables_version;
}

static const struct mt_document document = {
  .name = "tables",
  .description = "the operators' routes and pools",
  .type = MT_PEER_TABLES,
  .version = get_tables_version,
  .format = format_tables,
  .offer = offer_tables,
  .member_version = get_member_tables_version,
};

const struct mt_document *
mt_document_tables (void)
{
  return &document;
}
