#include "documents.h"
#include "view.h"

static uint64_t
get_assign_version (void *ctx)
{
  const struct mt_assign_source *source = ctx;

  return mt_view_assign_in_force (source->views);
}

static bool
register_receiver (void *ctx, struct mt_str name)
{
  const struct mt_assign_source *source = ctx;

  return mt_proxied_add (source->proxied, name);
}

static char *
format_assign (void *ctx)
{
  const struct mt_assign_source *source = ctx;
  const struct mt_assign *assign;
  char *text;

  mt_view_begin (source->views);
  assign = mt_view_assign (source->views);
  text = assign != NULL ? mt_assign_format (assign) : NULL;
  mt_view_end ();
  return text;
}

static bool
offer_assign (void *ctx, struct mt_str text, GError **error)
{
  const struct mt_assign_source *source = ctx;
  struct mt_assign *assign = mt_assign_parse (text, error);

  if (assign == NULL)
    return false;
  mt_view_offer_assign (source->views, assign);
  return true;
}

/* Only members of this daemon's data centre report a version, so the document of another data
 * centre is never fetched. */
static uint64_t
get_member_assign_version (const struct mt_member *member)
{
  return member->assign_version;
}

static const struct mt_document document = {
  .name = "assignment",
  .description = "which pool each instance of the data centre serves",
  .type = MT_PEER_ASSIGN,
  .version = get_assign_version,
  .before_send = register_receiver,
  .format = format_assign,
  .offer = offer_assign,
  .member_version = get_member_assign_version,
};

const struct mt_document *
mt_document_assign (void)
{
  return &document;
}
