/* Finds the name that a mistyped one was probably meant to be. */
#ifndef MEDLARTRACK_NEAREST_H
#define MEDLARTRACK_NEAREST_H

#include "medlartrack/str.h"

struct mt_nearest
{
  struct mt_str wanted;
  struct mt_str best; /* data is NULL while none is near enough */
  unsigned distance;
};

void mt_nearest_start (struct mt_nearest *nearest, struct mt_str wanted);
void mt_nearest_try (struct mt_nearest *nearest, struct mt_str candidate);

#endif
