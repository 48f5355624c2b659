#include "documents.h"

#include <string.h>

#define MAX_DOCUMENTS 4

/* Delay before a newer version is fetched from a peer. While the platform is up, each daemon gets
 * the version from its own watch, and the delay saves the fetch. While it is down, each hop of the
 * replication takes this long. */
#define FETCH_DELAY_US (300 * MT_MS)
#define RETRY_DELAY_US (500 * MT_MS)

struct slot
{
  const struct mt_document *document;
  void *ctx;
  int64_t due_us; /* when to fetch; 0 while no member has a newer version */
  bool fetching;
};

struct mt_documents
{
  const struct mt_clock *clock;
  struct slot slots[MAX_DOCUMENTS];
  unsigned n;
  unsigned rotation; /* spreads the fetches over the members that have the document */
};

struct search
{
  const struct mt_document *document;
  uint64_t newer_than;
  unsigned skip;
  unsigned found;
  const char *address;
};

struct mt_documents *
mt_documents_create (const struct mt_clock *clock)
{
  struct mt_documents *documents = g_new0 (struct mt_documents, 1);

  documents->clock = clock;
  return documents;
}

void
mt_documents_destroy (struct mt_documents *documents)
{
  g_free (documents);
}

void
mt_documents_add (struct mt_documents *documents, const struct mt_document *document, void *ctx)
{
  g_assert (documents->n < MAX_DOCUMENTS);
  documents->slots[documents->n++] = (struct slot){ document, ctx, 0, false };
}

uint64_t
mt_documents_version (const struct mt_documents *documents, enum mt_peer_type type)
{
  for (unsigned i = 0; i < documents->n; i++)
    if (documents->slots[i].document->type == type)
      return documents->slots[i].document->version (documents->slots[i].ctx);
  return 0;
}

/* Picks among the live and reachable members. An unreachable member is picked only if no reachable
 * one has a newer version: the partition may be over. */
static void
visit_reachable (void *ctx, const struct mt_member *member)
{
  struct search *search = ctx;

  if (search->document->member_version (member) <= search->newer_than
      || !mt_membership_is_alive (member) || member->reach == MT_REACH_NO)
    return;
  if (search->found == 0 || search->found <= search->skip)
    search->address = member->address;
  search->found++;
}

static void
visit_unreachable (void *ctx, const struct mt_member *member)
{
  struct search *search = ctx;

  if (search->document->member_version (member) > search->newer_than
      && member->reach == MT_REACH_NO)
    search->address = member->address;
}

static const char *
find_holder (struct mt_documents *documents,
             const struct slot *slot,
             struct mt_membership *membership)
{
  struct search search = { slot->document, slot->document->version (slot->ctx) };

  search.skip = documents->rotation++ % 4;
  mt_membership_each (membership, visit_reachable, &search);
  if (search.address == NULL)
    mt_membership_each (membership, visit_unreachable, &search);
  return search.address;
}

static bool
next_fetch (struct mt_documents *documents,
            struct slot *slot,
            struct mt_membership *membership,
            struct mt_document_fetch *out,
            int64_t *due_us)
{
  int64_t now = mt_clock_now (documents->clock);
  const char *address = find_holder (documents, slot, membership);

  if (address == NULL)
    {
      slot->due_us = 0;
      return false;
    }
  if (slot->due_us == 0)
    slot->due_us = now + FETCH_DELAY_US;
  if (slot->fetching)
    return false;
  if (now < slot->due_us)
    {
      *due_us = MIN (*due_us, slot->due_us);
      return false;
    }
  slot->fetching = true;
  *out = (struct mt_document_fetch){ slot->document, slot->ctx, g_strdup (address),
                                     (unsigned) (slot - documents->slots) };
  return true;
}

bool
mt_documents_next_fetch (struct mt_documents *documents,
                         struct mt_membership *membership,
                         struct mt_document_fetch *out,
                         int64_t *due_us)
{
  for (unsigned i = 0; i < documents->n; i++)
    if (next_fetch (documents, &documents->slots[i], membership, out, due_us))
      return true;
  return false;
}

void
mt_documents_finish_fetch (struct mt_documents *documents, const struct mt_document_fetch *fetch)
{
  struct slot *slot = &documents->slots[fetch->slot];

  slot->fetching = false;
  slot->due_us = mt_clock_now (documents->clock) + RETRY_DELAY_US;
}
