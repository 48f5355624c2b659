/* Versioned documents that daemons replicate among themselves: the tables and the assignment.
 * Heartbeats show which member has a newer version, and it is fetched from that member. Not
 * thread-safe: the peers hold a lock around every call but the document's own callbacks. */
#ifndef MT_DOCUMENTS_H
#define MT_DOCUMENTS_H

#include "medlartrack/membership.h"
#include "peer.h"
#include "proxied.h"

/* The callbacks may be called from any thread. */
struct mt_document
{
  const char *name;
  const char *description;
  enum mt_peer_type type; /* of the frames that request it */
  /* Returns the version in force here; 0: none. */
  uint64_t (*version) (void *ctx);
  /* Called before format, with the name of the daemon that requests the document. Returns false if
   * that daemon must not get it. NULL: any daemon may. */
  bool (*before_send) (void *ctx, struct mt_str name);
  /* Returns the document's text, to be freed with g_free; NULL if there is none. */
  char *(*format) (void *ctx);
  /* Checks a text from a peer and puts it in force if it is newer. Returns false with an error if
   * the text is refused; one that isn't newer is no error. */
  bool (*offer) (void *ctx, struct mt_str text, GError **error);
  /* Returns the version that a member reported. */
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

/* A document to fetch, and the peer to fetch it from. */
struct mt_document_fetch
{
  const struct mt_document *document;
  void *ctx;
  char *address; /* g_free */
  unsigned slot;
};

struct mt_documents *mt_documents_create (const struct mt_clock *clock);
void mt_documents_destroy (struct mt_documents *documents);
/* Adds a document to replicate; ctx is passed to its callbacks. */
void
mt_documents_add (struct mt_documents *documents, const struct mt_document *document, void *ctx);
/* Returns the version in force here, for the heartbeat; 0 for a document that was not added. */
uint64_t mt_documents_version (const struct mt_documents *documents, enum mt_peer_type type);

/* Returns true with *out set if there is a document to fetch now. Otherwise lowers *due_us to the
 * time of the next scheduled fetch, if there is one. */
bool mt_documents_next_fetch (struct mt_documents *documents,
                              struct mt_membership *membership,
                              struct mt_document_fetch *out,
                              int64_t *due_us);
/* Call when a fetch has ended, successfully or not. */
void mt_documents_finish_fetch (struct mt_documents *documents,
                                const struct mt_document_fetch *fetch);

#endif
