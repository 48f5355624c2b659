/* A fuzz target is one function, called by libFuzzer (tools/fuzz) or, in every test run, by
 * replay.c with the committed corpus. It aborts where something that must hold doesn't. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#endif
