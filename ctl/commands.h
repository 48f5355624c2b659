/* The operators' commands. Each prints its result on standard output as JSON and returns an exit
 * code; errors go to standard error. */
#ifndef MT_COMMANDS_H
#define MT_COMMANDS_H

#include "medlartrack/store.h"

/* Exit codes, as in docs/operators.md. */
enum mt_exit
{
  MT_EXIT_OK = 0,
  MT_EXIT_UNAVAILABLE = 1, /* the platform or the daemon does not answer */
  MT_EXIT_USAGE = 2,
  MT_EXIT_REFUSED = 3,  /* the tables were refused whole */
  MT_EXIT_CONFLICT = 4, /* another operator's edit came first */
  MT_EXIT_UNKNOWN = 5,  /* the write may have been accepted; run `show` */
};

struct mt_command_context
{
  const struct mt_store *store;
};

struct mt_command
{
  const char *name;
  const char *description;
  const char *argument; /* what it takes, or NULL */
  int (*run) (const struct mt_command_context *context, const char *argument);
};

/* Ended by an entry without a name. */
const struct mt_command *mt_commands (void);

#endif
