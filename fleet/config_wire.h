/* The call by which a daemon follows the configuration of another one, and its reply, as arguments
 * of the mesh. Pure functions. */
#ifndef MT_FLEET_CONFIG_WIRE_H
#define MT_FLEET_CONFIG_WIRE_H

#include "mesh.h"

/* For a version that is not the newest. */
#define MT_CONFIG_NOT_NEWEST (-(INT64_C (1) << 40))

enum mt_config_mode
{
  MT_CONFIG_NOW,   /* answered at once */
  MT_CONFIG_WAIT,  /* answered when the store next confirms the version, or with a newer one */
  MT_CONFIG_CHECK, /* answered after a check with the store */
};

struct mt_config_query
{
  enum mt_config_mode mode;
  int64_t known;   /* the caller's version; 0: none */
  int64_t version; /* of the document that it is receiving; 0: none */
  uint64_t offset; /* how much of it has arrived */
};

/* A part of a document with changes from the known version, or all of a version. */
struct mt_config_part
{
  int64_t version; /* after the document; with size 0: the newest; 0: there is none yet */
  /* When the store confirmed that it is the newest, counted from when the call arrived: what the
   * call and the reply took on the way makes it look older, never newer. */
  int64_t confirmed_ms;
  int64_t revision; /* of the store then */
  uint64_t size;    /* of the document; 0: nothing has changed */
  uint64_t offset;  /* of the part */
  struct mt_str bytes;
};

struct mt_config_message
{
  struct mt_mesh_args args;
  char texts[MT_MESH_MAX_ARGS][24];
};

/* The messages point into themselves and into the part's bytes. */
void mt_config_query_pack (const struct mt_config_query *query, struct mt_config_message *out);
bool mt_config_query_unpack (const struct mt_mesh_args *args, struct mt_config_query *out);
void mt_config_part_pack (const struct mt_config_part *part, struct mt_config_message *out);
bool mt_config_part_unpack (const struct mt_mesh_args *args, struct mt_config_part *out);

#endif
