/* Documents that daemons spread among themselves by version: the tables, the assignment. A
 * heartbeat shows who has a newer one; it is fetched from there. Not thread-safe: the peers hold a
 * lock around every call but the document's own callbacks. */
#ifndef MT_DOCUMENTS_H
#define MT_DOCUMENTS_H

#include "medlartrack/membership.h"
#include "peer.h"
#include "proxied.h"

/* Calls may come from any thread. */
struct mt_document
{
  const char *name;
  const char *description;
  enum mt_peer_type type; /* of the frames that ask for it */
  /* In force here; 0 for none. */
  uint64_t (*version) (void *ctx);
  /* Told who is about to get it, before format is called; false: it does not get it. NULL: anybody
   * does. */
  bool (*before_send) (void *ctx, struct mt_str name);
  /* Its text, g_malloced, or NULL where there is none. */
  char *(*format) (void *ctx);
  /* Checks a text from a peer and takes it where it is newer. False with an error where it is
   * refused; one that isn't newer is no error. */
  bool (*offer) (void *ctx, struct mt_str text, GError **error);
  /* The version that a member has. */
  uint64_t (*member_version) (const struct mt_member *member);
};

/* The operators' tables; its ctx is the mt_view_holder. */
const struct mt_document *mt_document_tables (void);
/* The data centre's assignment; its ctx is a mt_assign_source. */
const struct mt_document *mt_document_assign (void);

struct mt_assign_source
{
  struct mt_view_holder *views;
  struct mt_proxied *proxied;
};

struct mt_documents;

/* A document to fetch and from where. */
struct mt_document_fetch
{
  const struct mt_document *document;
  void *ctx;
  char *address; /* g_free */
  unsigned slot;
};

struct mt_documents *mt_documents_create (const struct mt_clock *clock);
void mt_documents_destroy (struct mt_documents *documents);
void
mt_documents_add (struct mt_documents *documents, const struct mt_document *document, void *ctx);
/* Versions in force here, for the heartbeat; 0 for a document that isn't carried. */
uint64_t mt_documents_version (const struct mt_documents *documents, enum mt_peer_type type);

/* True with something to fetch now. Otherwise *due_us is lowered to when to ask again. */
bool mt_documents_next_fetch (struct mt_documents *documents,
                              struct mt_membership *membership,
                              struct mt_document_fetch *out,
                              int64_t *due_us);
/* The fetch ended, well or not. */
void mt_documents_finish_fetch (struct mt_documents *documents,
                                const struct mt_document_fetch *fetch);

#endif
