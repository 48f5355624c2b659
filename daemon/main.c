#include "daemon.h"
#include "fleet.h"

#include "medlartrack/error.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Exit codes, as in docs/operators.md. */
enum exit_code
{
  EXIT_OK = 0,
  EXIT_START_FAILED = 1,
  EXIT_USAGE = 2,
  EXIT_SETTINGS = 3,
};

struct arguments
{
  const char *settings;
  bool check_only;
};

const char *argp_program_version = "medlartrackd 0.1.0";

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "Read the settings from FILE (JSON)", 0 },
  { "check-settings", 'c', NULL, 0, "Check the settings and exit", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings = arg;
      return 0;
    case 'c':
      arguments->check_only = true;
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings == NULL)
        argp_error (state, "--settings FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* One of the two is set: `requests` for a daemon that forwards requests to minions, `fleet` for a
 * daemon that runs jobs on a fleet of workers. */
struct loaded_settings
{
  struct mt_settings *requests;
  struct mt_fleet_settings *fleet;
};

static bool
load_settings (const char *path, struct loaded_settings *out)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize len = 0;

  if (g_file_get_contents (path, &text, &len, &error))
    {
      struct mt_str json = { text, len };

      if (mt_fleet_settings_detect (json))
        out->fleet = mt_fleet_settings_parse (json, &error);
      else
        out->requests = mt_settings_parse (json, &error);
    }
  if (error == NULL)
    return true;
  fprintf (stderr, "medlartrackd: %s: %s\n", path, error->message);
  return false;
}

/* Blocks the signals that wait_for_stop handles. Call before any thread starts, so that all threads
 * inherit the mask and only sigwait receives the signals. */
static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGUSR1);
  pthread_sigmask (SIG_BLOCK, set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static void
wait_for_stop (struct mt_daemon *daemon, const sigset_t *set)
{
  int number = 0;

  while (sigwait (set, &number) == 0)
    {
      g_autofree char *dump = NULL;

      if (number != SIGUSR1)
        return;
      dump = mt_daemon_dump (daemon);
      fprintf (stderr, "%s\n", dump);
    }
}

static int
run_daemon (const struct mt_settings *settings)
{
  g_autoptr (GError) error = NULL;
  struct mt_daemon *daemon;
  sigset_t set;

  block_signals (&set);
  mt_log_setup ((enum mt_log_format) settings->log, (enum mt_log_level) settings->log_level,
                settings->name.data);
  daemon = mt_daemon_create (settings, &error);
  if (daemon == NULL)
    {
      mt_log_event (MT_EVENT_START_FAILED, "why=%s", error->message);
      return EXIT_START_FAILED;
    }
  mt_log_event (MT_EVENT_STARTED, "port=%u peer_port=%u", mt_daemon_port (daemon),
                mt_daemon_peer_port (daemon));
  wait_for_stop (daemon, &set);
  mt_log_event (MT_EVENT_STOPPING, NULL);
  mt_daemon_destroy (daemon);
  mt_log_event (MT_EVENT_STOPPED, NULL);
  return EXIT_OK;
}

static int
run_fleet (const struct mt_fleet_settings *settings, const char *path)
{
  g_autoptr (GError) error = NULL;
  struct mt_fleet *fleet = mt_fleet_create (settings, path, &error);

  if (fleet == NULL)
    {
      fprintf (stderr, "medlartrackd: %s\n", error->message);
      return EXIT_START_FAILED;
    }
  mt_fleet_run (fleet);
  mt_fleet_destroy (fleet);
  return EXIT_OK;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Serves callers' requests from the pools' minions.",
          NULL,    NULL,         NULL };
  struct arguments arguments = { 0 };
  struct loaded_settings settings = { 0 };
  int code = EXIT_OK;

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (!load_settings (arguments.settings, &settings))
    return EXIT_SETTINGS;
  if (arguments.check_only)
    printf ("%s: the settings are valid\n", arguments.settings);
  else if (settings.fleet != NULL)
    code = run_fleet (settings.fleet, arguments.settings);
  else if (settings.requests != NULL)
    code = run_daemon (settings.requests);
  mt_settings_destroy (settings.requests);
  mt_fleet_settings_destroy (settings.fleet);
  return code;
}
