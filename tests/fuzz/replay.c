/* Runs a fuzz target on every file of a folder. Usage: replay_TARGET FOLDER */
#include "fuzz.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

static bool
replay_file (const char *path)
{
  g_autofree char *data = NULL;
  gsize len = 0;
  g_autofree uint8_t *copy = NULL;

  if (!g_file_get_contents (path, &data, &len, NULL))
    return false;
  /* A copy without the NUL that GLib adds, so that a sanitizer detects a read past the end. */
  copy = g_memdup2 (data, len);
  LLVMFuzzerTestOneInput (copy, len);
  return true;
}

int
main (int argc, char **argv)
{
  g_autoptr (GDir) dir = argc == 2 ? g_dir_open (argv[1], 0, NULL) : NULL;
  const char *name;
  unsigned files = 0;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (argv[1], name, NULL);

      if (!replay_file (path))
        return 1;
      files++;
    }
  printf ("%u inputs\n", files);
  return files > 0 ? 0 : 1;
}
