#include "commands.h"

static const struct mt_command commands[] = {
  { .name = "check",
    .description = "check both tables, without the platform",
    .argument = "FILE",
    .run = mt_command_check },
  { .name = "diff",
    .description = "compare with the accepted tables, row by row",
    .argument = "FILE",
    .run = mt_command_diff },
  { .name = "apply",
    .description = "accept both tables as one version",
    .argument = "FILE",
    .run = mt_command_apply },
  { .name = "show",
    .description = "print the accepted tables, ready to edit",
    .run = mt_command_show },
  { .name = "status",
    .description = "print which version each daemon has in force, and which daemons lag",
    .run = mt_command_status },
  { .name = "dump",
    .description = "print a daemon's state",
    .argument = "IP:PORT",
    .run = mt_command_dump },
  { .name = "explain",
    .description = "say from collected logs on standard input what became of a job, and why",
    .argument = "ID",
    .run = mt_command_explain },
  { .name = "top",
    .description = "print the main counters of daemons by their metrics addresses",
    .argument = "IP:PORT[,IP:PORT...]",
    .run = mt_command_top },
  { .name = NULL },
};

const struct mt_command *
mt_commands (void)
{
  return commands;
}
