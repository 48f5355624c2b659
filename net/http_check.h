/* What may stand in the lines of an HTTP message. A carriage return, line feed or NUL that is
 * passed on would let one side write headers, or a whole second message, in the other's name. */
#ifndef MT_HTTP_CHECK_H
#define MT_HTTP_CHECK_H

#include "medlartrack/str.h"

/* A method or header name. */
bool mt_http_is_token (struct mt_str s);
/* A header's value. */
bool mt_http_is_header_value (struct mt_str s);
/* A path with its query. */
bool mt_http_is_request_target (struct mt_str s);

#endif
