/* Shares of quotas on the wire, as msgpack bytes: what the fleet's leader grants a pool's, and the
 * accounts in its answer. Pure functions. */
#ifndef MT_FLEET_GRANTS_WIRE_H
#define MT_FLEET_GRANTS_WIRE_H

#include "medlartrack/scheduler.h"
#include "medlartrack/str.h"

#include <msgpack.h>

/* g_free the bytes. */
char *mt_grants_pack (const struct mt_grant_message *message, size_t *len);
/* False for what can't be read. Freed by mt_grants_clear, also after false. */
bool mt_grants_unpack (struct mt_str bytes, struct mt_grant_message *out);
void mt_grants_clear (struct mt_grant_message *message);

void mt_accounts_pack (msgpack_packer *packer, const struct mt_account_view *views, size_t n);
/* Freed by mt_accounts_free with as many as were read, also after false. */
bool mt_accounts_unpack (const msgpack_object *object, struct mt_account_view **out, size_t *n);
void mt_accounts_free (struct mt_account_view *views, size_t n);

#endif
