#include "medlartrack/error.h"

G_DEFINE_QUARK (mt - error - quark, mt_error)
