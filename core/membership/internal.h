/* What the files of core/membership share. */
#ifndef MT_MEMBERSHIP_INTERNAL_H
#define MT_MEMBERSHIP_INTERNAL_H

#include "medlartrack/membership.h"

/* The part of a member that changes with each heartbeat: small, and told to everyone. */
struct mt_beat
{
  uint64_t key; /* hash of name and incarnation: one life of one daemon */
  uint64_t heartbeat;
  uint64_t tables_version;
  uint64_t assign_version;
  uint64_t load_seq; /* grows with each published load report */
  bool leaving;
};

/* A load report, read. Owns its lists. */
struct mt_load_report
{
  uint64_t assign_version;
  struct mt_member_load *loads;
  size_t n_loads;
  struct mt_member_demand *demands;
  size_t n_demands;
};

/* What an answer, or the sender of an ask, tells of one member. */
struct mt_entry
{
  struct mt_beat beat;
  bool is_full; /* the next four are set: for those who may not know the key */
  struct mt_str name;
  struct mt_str zone;
  struct mt_str address;
  uint64_t incarnation;
  struct mt_str load; /* the report's bytes; empty: none is told */
  struct mt_load_report report;
};

struct mt_message
{
  struct mt_str name; /* of the sender */
  struct mt_str zone;
  GArray *beats;   /* of struct mt_beat */
  GArray *entries; /* of struct mt_entry */
};

uint64_t mt_wire_key (struct mt_str name, uint64_t incarnation);

void mt_load_report_clear (struct mt_load_report *report);
char *mt_wire_write_load (const struct mt_load_report *report, size_t *len);
bool mt_wire_read_load (struct mt_str bytes, struct mt_load_report *out);

/* Malloced; the caller frees it. */
char *mt_wire_write (const struct mt_message *message, size_t *len);
/* Strings borrow from bytes. A bad message is refused whole, with MT_ERROR_SYNTAX or
 * MT_ERROR_LIMIT. */
struct mt_message *mt_wire_read (struct mt_str bytes, GError **error);
struct mt_message *mt_message_create (struct mt_str name, struct mt_str zone);
void mt_message_destroy (struct mt_message *message);

#endif
