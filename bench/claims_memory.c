/* Measures the bytes written, the memory and the processor time for each claim: one shard, one
 * writer, an in-memory store. Prints one line. Usage: claims_memory [CLAIMS [CLAIMS_IN_A_BATCH]] */
#include "fake_store.h"
#include "medlartrack/once.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define DEFAULT_CLAIMS 100000
#define DEFAULT_BATCH  10
#define RETENTION_US   (3600 * MT_SECOND)

struct meter
{
  struct mt_once *once;
  const struct mt_store *store;
  struct mt_clock_manual *manual;
  size_t bytes;
  unsigned writes;
};

static void
run_calls (struct meter *meter)
{
  struct mt_once_call call;
  int64_t wake_us;

  while (mt_once_next_call (meter->once, &call, &wake_us))
    {
      if (call.kind == MT_ONCE_CALL_WRITE)
        {
          meter->bytes += call.len;
          meter->writes++;
          /* Counts the write as done without passing it to the store, whose memory would be
           * measured too. */
          call.put = MT_STORE_DONE;
        }
      else
        mt_once_perform_call (meter->store, &call);
      mt_once_handle_result (meter->once, &call);
    }
}

static void
claim_batch (struct meter *meter, uint64_t first, unsigned n)
{
  g_autofree struct mt_once_request *requests = g_new0 (struct mt_once_request, n);

  for (unsigned i = 0; i < n; i++)
    {
      requests[i].key[0] = (first + i) * 0x9e3779b97f4a7c15;
      requests[i].key[1] = first + i;
      requests[i].attempt[0] = first + i;
      requests[i].holder_timeout_ms = 5000;
      mt_once_request (meter->once, &requests[i]);
    }
  run_calls (meter);
  for (unsigned i = 0; i < n; i++)
    mt_once_end (meter->once, requests[i].key, requests[i].attempt, MT_ONCE_END_DONE, 200);
  mt_clock_manual_advance (meter->manual, 10 * MT_MS);
}

int
main (int argc, char **argv)
{
  unsigned claims = argc > 1 ? (unsigned) strtoul (argv[1], NULL, 10) : DEFAULT_CLAIMS;
  unsigned batch = argc > 2 ? (unsigned) strtoul (argv[2], NULL, 10) : DEFAULT_BATCH;
  struct mt_token_bucket write_limit = { .interval_us = 1, .burst = 1000 };
  struct meter meter = { .manual = mt_clock_manual_create (1000 * MT_SECOND) };
  const struct mt_clock *paused = mt_clock_manual_clock (meter.manual);
  struct fake_store *fake = fake_store_create (paused);
  struct mt_once_options options
      = { .clock = paused, .writer = 1, .retention_us = RETENTION_US, .write_limit = &write_limit };
  size_t before;
  clock_t start_clock;
  double seconds;

  meter.store = fake_store_store (fake);
  meter.once = mt_once_create (&options);
  before = mallinfo2 ().uordblks;
  start_clock = clock ();
  for (uint64_t i = 0; i < claims; i += batch)
    claim_batch (&meter, i, batch);
  seconds = (double) (clock () - start_clock) / CLOCKS_PER_SEC;
  printf ("claims %u, held %u, in a batch %u: %.1f bytes written and %.1f bytes of memory a claim, "
          "%.2f us of processor a claim, %u writes\n",
          claims, mt_once_claim_count (meter.once), batch, (double) meter.bytes / claims,
          (double) (mallinfo2 ().uordblks - before) / claims, seconds / claims * 1e6, meter.writes);
  mt_once_destroy (meter.once);
  fake_store_destroy (fake);
  mt_clock_manual_destroy (meter.manual);
  return 0;
}
