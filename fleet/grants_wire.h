/* Encodes shares of quotas as msgpack: the grants and the uses in other pools that the fleet's
 * leader sends to a pool's leader, and the accounts in the reply. Pure functions. */
#ifndef MT_FLEET_GRANTS_WIRE_H
#define MT_FLEET_GRANTS_WIRE_H

#include "medlartrack/scheduler.h"
#include "medlartrack/str.h"

#include <msgpack.h>

/* Free the bytes with g_free. */
char *mt_grants_pack (const struct mt_grant_message *message, size_t *len);
/* Returns false if the bytes are not a valid message. Free out with mt_grants_clear, also after
 * false. */
bool mt_grants_unpack (struct mt_str bytes, struct mt_grant_message *out);
void mt_grants_clear (struct mt_grant_message *message);

void mt_accounts_pack (msgpack_packer *packer, const struct mt_account_view *views, size_t n);
/* Free with mt_accounts_free and the n that was returned, also after false. */
bool mt_accounts_unpack (const msgpack_object *object, struct mt_account_view **out, size_t *n);
void mt_accounts_free (struct mt_account_view *views, size_t n);

#endif
