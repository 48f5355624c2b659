/* Internals shared by the files of core/membership. */
#ifndef MT_MEMBERSHIP_INTERNAL_H
#define MT_MEMBERSHIP_INTERNAL_H

#include "medlartrack/membership.h"

/* The part of a member that changes with each heartbeat: small, and sent to every daemon. */
struct mt_member_heartbeat
{
  uint64_t key; /* hash of name and incarnation */
  uint64_t number;
  uint64_t tables_version;
  uint64_t assign_version;
  uint64_t load_seq; /* grows with each published load report */
  bool leaving;
};

/* A decoded load report. Owns its lists. */
struct mt_load_report
{
  uint64_t assign_version;
  struct mt_member_load *loads;
  size_t n_loads;
  struct mt_member_demand *demands;
  size_t n_demands;
};

/* One member, as described by a response or by the sender of a request. */
struct mt_gossip_entry
{
  struct mt_member_heartbeat heartbeat;
  bool has_identity; /* name to incarnation are set, for receivers that may not know the key */
  struct mt_str name;
  struct mt_str zone;
  struct mt_str address;
  uint64_t incarnation;
  struct mt_str encoded_report; /* empty: none is sent */
  struct mt_load_report report;
};

struct mt_gossip_message
{
  struct mt_str name; /* of the sender */
  struct mt_str zone;
  GArray *heartbeats; /* of struct mt_member_heartbeat */
  GArray *entries;    /* of struct mt_gossip_entry */
};

uint64_t mt_member_key (struct mt_str name, uint64_t incarnation);

void mt_load_report_clear (struct mt_load_report *report);
char *mt_load_report_encode (const struct mt_load_report *report, size_t *len);
bool mt_load_report_decode (struct mt_str bytes, struct mt_load_report *out);

/* Returns a malloced message; the caller frees it. */
char *mt_gossip_message_encode (const struct mt_gossip_message *message, size_t *len);
/* Strings point into bytes. An invalid message is rejected as a whole, with MT_ERROR_SYNTAX or
 * MT_ERROR_LIMIT. */
struct mt_gossip_message *mt_gossip_message_decode (struct mt_str bytes, GError **error);
struct mt_gossip_message *mt_gossip_message_create (struct mt_str name, struct mt_str zone);
void mt_gossip_message_destroy (struct mt_gossip_message *message);

#endif
