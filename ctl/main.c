#include "commands.h"

#include "address.h"
#include "platform.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_US (5 * MT_SECOND)

struct arguments
{
  const char *platform;
  const char *peer;
  const char *command;
  const char *argument;
  const char *onto;
  GPtrArray *may_empty; /* of char *, borrowed */
};

const char *argp_program_version = "medlartrackctl 0.1.0";

static const struct argp_option options[] = {
  { "platform", 'p', "IP:PORT", 0, "Address of the platform's key-value service", 0 },
  { "peer", 'd', "IP:PORT", 0, "status: the daemon to query; default: any that the platform lists",
    0 },
  { "onto", 'o', "VERSION", 0, "apply: the accepted version that the edit is based on", 0 },
  { "empty", 'e', "ZONE", 0, "apply, diff: a data centre where needed pools may lose all instances",
    0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'p':
      arguments->platform = arg;
      return 0;
    case 'd':
      arguments->peer = arg;
      return 0;
    case 'o':
      arguments->onto = arg;
      return 0;
    case 'e':
      g_ptr_array_add (arguments->may_empty, arg);
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->command == NULL)
        arguments->command = arg;
      else if (arguments->argument == NULL)
        arguments->argument = arg;
      else
        argp_error (state, "too many arguments: \"%s\"", arg);
      return 0;
    case ARGP_KEY_END:
      if (arguments->command == NULL)
        argp_error (state, "no command given; --help lists the commands");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct mt_command *
find_command (const char *name)
{
  for (const struct mt_command *c = mt_commands (); c->name != NULL; c++)
    if (strcmp (c->name, name) == 0)
      return c;
  return NULL;
}

static char *
describe_commands (void)
{
  GString *text = g_string_new ("Edits and shows the operators' two tables.\vCommands:\n");

  for (const struct mt_command *c = mt_commands (); c->name != NULL; c++)
    g_string_append_printf (text, "  %s %s - %s\n", c->name, c->argument != NULL ? c->argument : "",
                            c->description);
  return g_string_free (text, FALSE);
}

static bool
check_platform (const char *address)
{
  g_autoptr (GError) error = NULL;
  struct sockaddr_in parsed;

  if (mt_address_parse (address, &parsed, &error))
    return true;
  fprintf (stderr, "medlartrackctl: --platform: %s\n", error->message);
  return false;
}

static void
pause_us (void *ctx, int64_t us)
{
  g_usleep ((gulong) us);
}

static int
run_command (const struct mt_command *command, const struct arguments *arguments)
{
  struct mt_http_client *client = mt_http_client_create (mt_clock_system ());
  struct mt_platform *platform
      = mt_platform_create (client, mt_clock_system (), arguments->platform, CALL_TIMEOUT_US);
  struct mt_command_context context = {
    .store = mt_platform_store (platform),
    .peer = arguments->peer,
    .in = stdin,
    .out = stdout,
    .err = stderr,
    .onto = arguments->onto,
    .may_empty = (const char *const *) arguments->may_empty->pdata,
    .pause = pause_us,
  };
  int code = command->run (&context, arguments->argument);

  mt_platform_destroy (platform);
  mt_http_client_destroy (client);
  return code;
}

int
main (int argc, char **argv)
{
  g_autofree char *doc = describe_commands ();
  struct argp argp = { options, parse_option, "COMMAND [ARGUMENT]", doc, NULL, NULL, NULL };
  g_autoptr (GPtrArray) may_empty = g_ptr_array_new ();
  struct arguments arguments = { .platform = "127.0.0.1:8500", .may_empty = may_empty };
  const struct mt_command *command;

  signal (SIGPIPE, SIG_IGN);
  argp_err_exit_status = MT_EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  g_ptr_array_add (may_empty, NULL);
  command = find_command (arguments.command);
  if (command == NULL)
    {
      fprintf (stderr, "medlartrackctl: unknown command \"%s\"; --help lists the commands\n",
               arguments.command);
      return MT_EXIT_USAGE;
    }
  if ((command->argument != NULL) != (arguments.argument != NULL))
    {
      fprintf (stderr, "medlartrackctl: %s takes %s\n", command->name,
               command->argument != NULL ? command->argument : "no argument");
      return MT_EXIT_USAGE;
    }
  if (!check_platform (arguments.platform))
    return MT_EXIT_USAGE;
  return run_command (command, &arguments);
}
