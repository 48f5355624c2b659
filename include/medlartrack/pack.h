/* Safe parsing of msgpack from other processes. msgpack-c allocates an array by its declared length
 * before it has read the elements, so five hostile bytes can request gigabytes; the functions here
 * check all headers first. Pure functions; any thread. */
#ifndef MEDLARTRACK_PACK_H
#define MEDLARTRACK_PACK_H

#include "medlartrack/str.h"

#include <glib.h>
#include <msgpack.h>

#define MT_PACK_MAX_DEPTH   8
#define MT_PACK_MAX_OBJECTS 65536

/* Unpacks bytes that contain exactly one object. Returns false with MT_ERROR_SYNTAX for anything
 * else, including trailing bytes, or with MT_ERROR_LIMIT if it is nested too deeply or has too many
 * objects. On success, free the result with msgpack_unpacked_destroy; its strings point into
 * bytes. */
bool mt_pack_read (struct mt_str bytes, msgpack_unpacked *out, GError **error);

/* Append s as a msgpack string, and as binary data. */
void mt_pack_str (msgpack_packer *packer, struct mt_str s);
void mt_pack_bin (msgpack_packer *packer, struct mt_str s);

/* Get the value of an object. Return false if the object has another type or the value is out of
 * range. */
bool mt_pack_get_str (const msgpack_object *object, struct mt_str *out);
bool mt_pack_get_bin (const msgpack_object *object, struct mt_str *out);
bool mt_pack_get_u64 (const msgpack_object *object, uint64_t max, uint64_t *out);
bool mt_pack_get_unsigned (const msgpack_object *object, unsigned *out);
bool mt_pack_get_bool (const msgpack_object *object, bool *out);
/* Returns the elements if object is an array of exactly n, else NULL. */
const msgpack_object *mt_pack_get_array (const msgpack_object *object, size_t n);

#endif
