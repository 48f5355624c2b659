/* Confirms the configuration by asking the store for changes since the last known revision, for
 * decisions that are final for a caller: an unchanged configuration costs no transfer of it. A
 * watch may miss changes for a while without knowing it: its connection is silent, or the store
 * withholds events. Callers share the calls, so that many cost few. Not thread-safe: runs on the
 * loop's thread. */
#ifndef MT_FLEET_CONFIG_CHECK_H
#define MT_FLEET_CONFIG_CHECK_H

#include "ports.h"

struct mt_config_check;

/* confirmed: the configuration in force is as current as the store; false: the store did not
 * answer. */
typedef void (*mt_config_checked) (void *data, bool confirmed);

struct mt_config_check_options
{
  struct mt_kv kv;
  const char *key;
  /* Asks another daemon, whose link to the store is wider. Returns false, without a call of done,
   * if there is none; NULL: there never is. Without its confirmation the store is asked, but the
   * configuration is not read as a whole. */
  bool (*ask_peer) (void *ctx, mt_config_checked done, void *data);
  /* Returns the store's revision up to which all changes of the configuration are known; 0: none.
   */
  int64_t (*revision) (void *ctx);
  /* Called with the configuration read, before those who wait for it. */
  void (*on_item) (void *ctx, const struct mt_kv_item *item);
  /* Called after each check that the store has answered, before those who wait for it; may be
   * NULL. */
  void (*on_confirmed) (void *ctx);
  void *ctx;
};

struct mt_config_check *mt_config_check_create (const struct mt_config_check_options *options);
/* Call when the store's calls have been completed. */
void mt_config_check_destroy (struct mt_config_check *check);
/* Calls done exactly once: at once if a read has confirmed the configuration just before, otherwise
 * when the read ends. */
void mt_config_check_request (struct mt_config_check *check, mt_config_checked done, void *data);
/* Returns when the last answered read was sent, by mt_loop_now; 0: never. */
int64_t mt_config_check_confirmed_at (const struct mt_config_check *check);

#endif
