/* Starts real processes for tests, waits for the ports that they print, sends requests, and ends
 * the processes that it started, by pid. One thread. */
#ifndef HARNESS_H
#define HARNESS_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

struct harness;

struct process
{
  pid_t pid; /* 0: has ended */
  unsigned port;
  char *log_path;
};

struct reply
{
  int status;             /* 0: no complete answer */
  char *body;             /* freed by reply_clear */
  char *outcome;          /* Medlartrack-Outcome, or NULL */
  unsigned retry_after_s; /* Retry-After; 0 for none */
};

struct harness *harness_create (const char *build);
/* Kills all remaining processes. */
void harness_destroy (struct harness *harness);

/* program: path relative to the build folder; args: NULL-terminated. Fails the test if the program
 * prints no port. The harness owns the process. */
struct process *
harness_start (struct harness *harness, const char *program, const char *const *args);
/* Writes a file to the harness's folder. Returns its path, freed by the caller with g_free. */
char *harness_write_file (struct harness *harness, const char *name, const char *text);
struct process *harness_start_platform (struct harness *harness);
struct process *harness_start_minion (struct harness *harness, const char *name, unsigned work_ms);
/* A daemon in data centre "west"; limits is JSON such as "{\"platform_ms\":200}", or NULL. */
struct process *harness_start_daemon (struct harness *harness,
                                      const char *name,
                                      const struct process *platform,
                                      const char *limits);
/* Starts a daemon with additional settings: JSON members such as "\"workers\":\"127.0.0.1:1\"". */
struct process *harness_start_daemon_with_settings (struct harness *harness,
                                                    const char *name,
                                                    const struct process *platform,
                                                    const char *settings);
/* Writes tables directly to the platform, without medlartrackctl, replacing stored ones. */
void harness_put_tables (struct harness *harness, const struct process *platform, const char *text);
/* True if the process has logged the event. */
bool harness_has_logged (const struct process *process, int event);
/* Writes tables with a pool of one minion and the routes GET /safe and POST /once (repeat never).
 * Waits until all daemons serve them. */
void harness_apply_tables (struct harness *harness,
                           const struct process *platform,
                           const struct process *minion,
                           struct process *const *daemons,
                           unsigned n_daemons);
/* Sends SIGKILL and waits for the end. */
void harness_kill (struct process *process);
/* Sends SIGTERM and waits for the end. Returns the wait status. */
int harness_stop (struct process *process);
void harness_signal (const struct process *process, int number);

/* Sends one request on a new connection. key: sent as idempotency key and as API key; NULL for
 * none. */
struct reply harness_send (struct harness *harness,
                           const struct process *process,
                           const char *method,
                           const char *path,
                           const char *key,
                           const char *body);
void reply_clear (struct reply *reply);
/* Sends the request and returns the status of its reply, 0 if there was no complete answer. */
int harness_status (struct harness *harness,
                    const struct process *process,
                    const char *method,
                    const char *path,
                    const char *key,
                    const char *body);
/* A request sent by a separate thread; harness_join waits for its reply and frees the request. */
struct async_request;
struct async_request *harness_send_async (struct harness *harness,
                                          const struct process *process,
                                          const char *method,
                                          const char *path,
                                          const char *key,
                                          const char *body);
struct reply harness_join (struct async_request *request);

/* Number of runs that the minion stand-in has counted for the key. */
int harness_count_runs (struct harness *harness, const struct process *minion, const char *key);
/* Polls until the condition holds. False if it does not hold within 60 s. */
bool harness_wait (bool (*condition) (void *ctx), void *ctx);

#endif
