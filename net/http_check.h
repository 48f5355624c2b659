/* Validation of the parts of an HTTP message. A forwarded carriage return, line feed or NUL would
 * let one side inject headers, or a second message, in the other side's name. */
#ifndef MT_HTTP_CHECK_H
#define MT_HTTP_CHECK_H

#include "medlartrack/str.h"

/* Whether s is a valid method or header name. */
bool mt_http_is_token (struct mt_str s);
/* Whether s is a valid header value. */
bool mt_http_is_header_value (struct mt_str s);
/* Whether s is a valid path with query. */
bool mt_http_is_request_target (struct mt_str s);

#endif
