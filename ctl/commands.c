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
  { .name = NULL },
};

const struct mt_command *
mt_commands (void)
{
  return commands;
}
