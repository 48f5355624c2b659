#include "scripted.h"

#include "address.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ID_HEADER       "Medlartrack-Request-Id: "
#define MAX_CONNECTIONS 128 /* over the lifetime of one minion */
#define MAX_SCRIPTS     8

struct scripted
{
  int listener;
  char address[32];
  GThread *acceptor;
  GThread *threads[MAX_CONNECTIONS]; /* written by the acceptor, until it is joined */
  GMutex lock;                       /* guards the fields below */
  GCond changed;
  int fds[MAX_CONNECTIONS];
  unsigned n;
  unsigned n_open;
  enum script scripts[MAX_SCRIPTS];
  size_t n_scripts;
  size_t n_played;
  unsigned requests;
  bool released;
};

struct connection
{
  struct scripted *scripted;
  int fd;
};

static void
send_text (int fd, const char *text)
{
  size_t len = strlen (text);

  while (len > 0)
    {
      ssize_t n = send (fd, text, len, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      text += n;
      len -= (size_t) n;
    }
}

/* Reads a request with its body; the tests send bodies of at most a few bytes. */
static bool
read_request (int fd, GString *request)
{
  char chunk[4096];
  const char *end;
  const char *length;

  g_string_truncate (request, 0);
  for (;;)
    {
      ssize_t n = recv (fd, chunk, sizeof chunk, 0);

      if (n <= 0)
        return false;
      g_string_append_len (request, chunk, n);
      end = strstr (request->str, "\r\n\r\n");
      length = strstr (request->str, "Content-Length: ");
      if (end != NULL
          && (length == NULL
              || strlen (end + 4)
                     >= g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10)))
        return true;
    }
}

static enum script
next_script (struct scripted *scripted)
{
  enum script script;

  g_mutex_lock (&scripted->lock);
  scripted->requests++;
  script = scripted->scripts[MIN (scripted->n_played, scripted->n_scripts - 1)];
  scripted->n_played++;
  g_mutex_unlock (&scripted->lock);
  return script;
}

static void
wait_for_release (struct scripted *scripted)
{
  g_mutex_lock (&scripted->lock);
  while (!scripted->released)
    g_cond_wait (&scripted->changed, &scripted->lock);
  g_mutex_unlock (&scripted->lock);
}

static char *
make_answer (const GString *request, bool with_id, bool wrong_id)
{
  const char *id_header = strstr (request->str, ID_HEADER);
  g_autofree char *id = id_header != NULL ? g_strndup (id_header, strcspn (id_header, "\r"))
                                          : g_strdup ("X-None: 1");
  g_autofree char *body
      = g_strdup_printf ("ok %s", id_header != NULL ? id + strlen (ID_HEADER) : "without id");

  return g_strdup_printf ("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %zu\r\n\r\n%s",
                          wrong_id  ? "Medlartrack-Request-Id: somebody-elses"
                          : with_id ? id
                                    : "X-None: 1",
                          strlen (body), body);
}

static void
send_oversized (int fd)
{
  g_autofree char *chunk = g_strnfill (65536, 'x');

  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n");
  for (int i = 0; i < 1000; i++)
    if (send (fd, chunk, strlen (chunk), MSG_NOSIGNAL) <= 0)
      return;
}

/* Returns false if the connection is to be closed. */
static bool
play (struct scripted *scripted, int fd, const GString *request)
{
  enum script script = next_script (scripted);
  g_autofree char *answer
      = make_answer (request, script != SCRIPT_DUPLICATE_WITHOUT_ID, script == SCRIPT_WRONG_ID);

  if (script == SCRIPT_HELD)
    wait_for_release (scripted);
  if (script == SCRIPT_SLOW && poll (&(struct pollfd){ .fd = fd, .events = POLLIN }, 1, 3000) > 0)
    return false;
  switch (script)
    {
    case SCRIPT_TRUNCATED:
      send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nstart");
      return false;
    case SCRIPT_CLOSE:
      return false;
    case SCRIPT_UNDELIMITED:
      send_text (fd, "HTTP/1.1 200 OK\r\n\r\nhalf an answ");
      return false;
    case SCRIPT_OVERSIZED:
      send_oversized (fd);
      return false;
    case SCRIPT_REFUSED:
      send_text (fd, "HTTP/1.1 503 Full\r\nMedlartrack-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      return false;
    case SCRIPT_LEAVING:
      send_text (fd, "HTTP/1.1 503 Leaving\r\nMedlartrack-Not-Run: 1\r\n"
                     "Medlartrack-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
      return false;
    case SCRIPT_HEAD:
      send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");
      return true;
    case SCRIPT_SPOOFED:
      send_text (fd, "HTTP/1.1 200 OK\r\nmedlartrack-outcome: not-run\r\nX-Good: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
      return true;
    case SCRIPT_DUPLICATE:
    case SCRIPT_DUPLICATE_WITHOUT_ID:
      send_text (fd, answer);
      break;
    case SCRIPT_COMPLETE:
    case SCRIPT_WRONG_ID:
    case SCRIPT_HELD:
    case SCRIPT_SLOW:
      break;
    }
  send_text (fd, answer);
  return true;
}

static gpointer
serve (gpointer data)
{
  struct connection *connection = data;
  GString *request = g_string_new (NULL);

  while (read_request (connection->fd, request)
         && play (connection->scripted, connection->fd, request))
    ;
  shutdown (connection->fd, SHUT_RDWR);
  g_mutex_lock (&connection->scripted->lock);
  connection->scripted->n_open--;
  g_cond_broadcast (&connection->scripted->changed);
  g_mutex_unlock (&connection->scripted->lock);
  g_string_free (request, TRUE);
  g_free (connection);
  return NULL;
}

static gpointer
accept_all (gpointer data)
{
  struct scripted *scripted = data;
  int fd;

  while ((fd = accept (scripted->listener, NULL, NULL)) >= 0)
    {
      struct connection *connection = g_new (struct connection, 1);

      *connection = (struct connection){ scripted, fd };
      g_mutex_lock (&scripted->lock);
      g_assert_cmpuint (scripted->n, <, MAX_CONNECTIONS);
      scripted->fds[scripted->n] = fd;
      scripted->threads[scripted->n] = g_thread_new ("scripted", serve, connection);
      scripted->n++;
      scripted->n_open++;
      g_cond_broadcast (&scripted->changed);
      g_mutex_unlock (&scripted->lock);
    }
  return NULL;
}

struct scripted *
scripted_create (void)
{
  struct scripted *scripted = g_new0 (struct scripted, 1);
  struct sockaddr_in addr = { .sin_family = AF_INET };

  g_mutex_init (&scripted->lock);
  g_cond_init (&scripted->changed);
  scripted->n_scripts = 1;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  scripted->listener = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (scripted->listener, (struct sockaddr *) &addr, sizeof addr), ==, 0);
  g_assert_cmpint (listen (scripted->listener, MAX_CONNECTIONS), ==, 0);
  g_snprintf (scripted->address, sizeof scripted->address, "127.0.0.1:%u",
              mt_address_bound_port (scripted->listener));
  scripted->acceptor = g_thread_new ("accept", accept_all, scripted);
  return scripted;
}

void
scripted_shut_down (struct scripted *scripted)
{
  if (scripted->acceptor == NULL)
    return;
  shutdown (scripted->listener, SHUT_RDWR);
  g_thread_join (g_steal_pointer (&scripted->acceptor));
  close (scripted->listener);
  scripted_release (scripted);
  for (unsigned i = 0; i < scripted->n; i++)
    {
      shutdown (scripted->fds[i], SHUT_RDWR);
      g_thread_join (scripted->threads[i]);
      close (scripted->fds[i]);
    }
}

void
scripted_destroy (struct scripted *scripted)
{
  scripted_shut_down (scripted);
  g_mutex_clear (&scripted->lock);
  g_cond_clear (&scripted->changed);
  g_free (scripted);
}

const char *
scripted_address (const struct scripted *scripted)
{
  return scripted->address;
}

void
scripted_set_scripts (struct scripted *scripted, const enum script *scripts, size_t n)
{
  g_mutex_lock (&scripted->lock);
  memcpy (scripted->scripts, scripts, n * sizeof *scripts);
  scripted->n_scripts = n;
  scripted->n_played = 0;
  g_mutex_unlock (&scripted->lock);
}

void
scripted_release (struct scripted *scripted)
{
  g_mutex_lock (&scripted->lock);
  scripted->released = true;
  g_cond_broadcast (&scripted->changed);
  g_mutex_unlock (&scripted->lock);
}

void
scripted_wait_for_connections (struct scripted *scripted, unsigned n)
{
  g_mutex_lock (&scripted->lock);
  while (scripted->n_open != n)
    g_cond_wait (&scripted->changed, &scripted->lock);
  g_mutex_unlock (&scripted->lock);
}

unsigned
scripted_requests (struct scripted *scripted)
{
  unsigned n;

  g_mutex_lock (&scripted->lock);
  n = scripted->requests;
  g_mutex_unlock (&scripted->lock);
  return n;
}
