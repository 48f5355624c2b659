#include "commands.h"

static const struct mt_command commands[] = {
  { .name = "check",
    .description = "check both tables without contacting the platform",
    .argument = "FILE",
    .run = mt_command_check },
  { .name = "diff",
    .description = "compare the file with the accepted tables, row by row",
    .argument = "FILE",
    .run = mt_command_diff },
  { .name = "apply",
    .description = "submit both tables as one version",
    .argument = "FILE",
    .run = mt_command_apply },
  { .name = "show",
    .description = "print the accepted tables, ready to edit",
    .run = mt_command_show },
  { .name = "status",
    .description = "print the version in force on each daemon, and which daemons lag",
    .run = mt_command_status },
  { .name = "dump",
    .description = "print a daemon's state",
    .argument = "IP:PORT",
    .run = mt_command_dump },
  { .name = "explain",
    .description = "explain a job's outcome from collected logs on standard input",
    .argument = "ID",
    .run = mt_command_explain },
  { .name = "top",
    .description = "print the main counters of daemons at their metrics addresses",
    .argument = "IP:PORT[,IP:PORT...]",
    .run = mt_command_top },
  { .name = NULL },
};

const struct mt_command *
mt_commands (void)
{
  return commands;
}
