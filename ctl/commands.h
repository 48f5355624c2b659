/* The commands of medlartrackctl. Each prints its result as JSON to the context's `out` and returns
 * an exit code. Errors go to `err` as text, and to `out` as {"error": {"kind", "message"}}. */
#ifndef MT_COMMANDS_H
#define MT_COMMANDS_H

#include "medlartrack/store.h"

#include <stdio.h>

/* Exit codes, as in docs/operators.md. */
enum mt_exit
{
  MT_EXIT_OK = 0,
  MT_EXIT_UNAVAILABLE = 1, /* the platform or the daemon does not answer; nothing was changed */
  MT_EXIT_USAGE = 2,       /* the command line is wrong, or the file can't be read */
  MT_EXIT_REFUSED = 3,     /* the tables were refused as a whole */
  MT_EXIT_CONFLICT = 4,    /* another operator's edit was accepted first */
  MT_EXIT_UNKNOWN = 5,     /* the write may have been accepted; run `show` */
};

struct mt_command_context
{
  const struct mt_store *store;
  const char *peer; /* --peer IP:PORT, or NULL */
  FILE *in;
  FILE *out;
  FILE *err;
  const char *onto;             /* --onto VERSION, or NULL */
  const char *const *may_empty; /* data centres named by --empty, NULL-terminated; NULL: none */
  /* Sleeps for the given number of microseconds; a test replaces it. */
  void (*pause) (void *ctx, int64_t us);
  void *pause_ctx;
};

struct mt_command
{
  const char *name;
  const char *description;
  const char *argument; /* name of the argument in the help; NULL: the command takes none */
  int (*run) (const struct mt_command_context *context, const char *argument);
};

/* The list ends with an entry whose name is NULL. */
const struct mt_command *mt_commands (void);

int mt_command_check (const struct mt_command_context *context, const char *path);
int mt_command_diff (const struct mt_command_context *context, const char *path);
int mt_command_apply (const struct mt_command_context *context, const char *path);
int mt_command_show (const struct mt_command_context *context, const char *argument);
int mt_command_dump (const struct mt_command_context *context, const char *address);
int mt_command_status (const struct mt_command_context *context, const char *argument);

/* Reads the logs from the context's `in`. */
int mt_command_explain (const struct mt_command_context *context, const char *id);
int mt_command_top (const struct mt_command_context *context, const char *addresses);

#endif
