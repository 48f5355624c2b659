/* Each fuzz target implements this function. libFuzzer calls it (tools/fuzz), and in every test run
 * replay.c calls it with the committed corpus. It aborts if an invariant does not hold. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#endif
