/* Finds the known name that is closest to a mistyped one. */
#ifndef MEDLARTRACK_NEAREST_H
#define MEDLARTRACK_NEAREST_H

#include "medlartrack/str.h"

struct mt_suggestion
{
  struct mt_str wanted;
  struct mt_str best; /* data is NULL if no candidate is close enough */
  unsigned distance;
};

void mt_suggestion_init (struct mt_suggestion *nearest, struct mt_str wanted);
void mt_suggestion_try (struct mt_suggestion *nearest, struct mt_str candidate);

#endif
