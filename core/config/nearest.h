/* Finds the name that a mistyped one was probably meant to be. */
#ifndef MEDLARTRACK_NEAREST_H
#define MEDLARTRACK_NEAREST_H

#include "medlartrack/str.h"

struct mt_suggestion
{
  struct mt_str wanted;
  struct mt_str best; /* data is NULL while none is near enough */
  unsigned distance;
};

void mt_suggestion_init (struct mt_suggestion *nearest, struct mt_str wanted);
void mt_suggestion_try (struct mt_suggestion *nearest, struct mt_str candidate);

#endif
