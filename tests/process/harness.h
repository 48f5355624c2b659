/* Real processes for tests: starts programs, waits for the ports that they print, sends requests,
 * and ends what it started, by pid. One thread. */
#ifndef HARNESS_H
#define HARNESS_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

struct harness;

struct process
{
  pid_t pid; /* 0 once it has ended */
  unsigned port;
  char *log_path;
};

struct reply
{
  int status;    /* 0: no whole answer */
  char *body;    /* g_free through reply_clear */
  char *outcome; /* Medlartrack-Outcome, or NULL */
};

struct harness *harness_create (const char *build);
/* Kills every process that is left. */
void harness_destroy (struct harness *harness);

/* program is a path under the build folder; args end with NULL. Fails the test where the program
 * does not print a port. The harness owns the process. */
struct process *
harness_start (struct harness *harness, const char *program, const char *const *args);
/* Writes a file in the harness's folder; its path, g_free it. */
char *harness_write (struct harness *harness, const char *name, const char *text);
struct process *harness_start_platform (struct harness *harness);
struct process *harness_start_minion (struct harness *harness, const char *name, unsigned work_ms);
/* A daemon in data centre "west"; limits is JSON such as "{\"platform_ms\":200}", or NULL. */
struct process *harness_start_daemon (struct harness *harness,
                                      const char *name,
                                      const struct process *platform,
                                      const char *limits);
/* The same with further settings, JSON members such as "\"workers\":\"127.0.0.1:1\"". */
struct process *harness_start_daemon_with (struct harness *harness,
                                           const char *name,
                                           const struct process *platform,
                                           const char *settings);
/* Writes tables past medlartrackctl, whatever stands there. */
void harness_put_tables (struct harness *harness, const struct process *platform, const char *text);
/* Whether the process has logged the event. */
bool harness_has_logged (const struct process *process, int event);
/* Writes tables with one pool of the minion, GET /safe and POST /once (repeat never), and waits
 * until the daemons serve them. */
void harness_apply_tables (struct harness *harness,
                           const struct process *platform,
                           const struct process *minion,
                           struct process *const *daemons,
                           unsigned n_daemons);
/* SIGKILL and wait. */
void harness_kill (struct process *process);
/* SIGTERM and wait; the exit status. */
int harness_stop (struct process *process);
void harness_signal (const struct process *process, int number);

/* Sends one request on a connection of its own. key: its idempotency key, and the caller's API key;
 * NULL for none. */
struct reply harness_send (struct harness *harness,
                           const struct process *process,
                           const char *method,
                           const char *path,
                           const char *key,
                           const char *body);
void reply_clear (struct reply *reply);
/* Sends the request, clears the reply, returns the status. */
int harness_status (struct harness *harness,
                    const struct process *process,
                    const char *method,
                    const char *path,
                    const char *key,
                    const char *body);
/* A request in a thread of its own; harness_join returns its reply. */
struct sending;
struct sending *harness_send_async (struct harness *harness,
                                    const struct process *process,
                                    const char *method,
                                    const char *path,
                                    const char *key,
                                    const char *body);
struct reply harness_join (struct sending *sending);

/* Runs of a key at the minion stand-in. */
int harness_runs (struct harness *harness, const struct process *minion, const char *key);
/* Waits for a condition, with a generous limit; false when it never held. */
bool harness_wait (bool (*holds) (void *ctx), void *ctx);

#endif
