#include "pool_report.h"

#include "grants_wire.h"

#include "medlartrack/pack.h"

#include <string.h>

/* Number of values in each packed row; any other number means another version and is refused. */
#define REPORT_PARTS  3
#define LOAD_FIELDS   14
#define WORKER_FIELDS 11

enum flag
{
  FLAG_CORDONED = 1,
  FLAG_LEAVING = 2,
  FLAG_SILENT = 4,
};

static void
pack_worker (msgpack_packer *packer, const struct mt_worker_view *w)
{
  unsigned flags = (w->cordoned ? FLAG_CORDONED : 0) | (w->leaving ? FLAG_LEAVING : 0)
                   | (w->silent ? FLAG_SILENT : 0);

  msgpack_pack_array (packer, WORKER_FIELDS);
  mt_pack_bin (packer, mt_str_from (w->id));
  msgpack_pack_unsigned_int (packer, w->tasks);
  msgpack_pack_unsigned_int (packer, w->long_running);
  msgpack_pack_unsigned_int (packer, flags);
  msgpack_pack_int64 (packer, MAX (w->resources.cpu, 0));
  msgpack_pack_int64 (packer, MAX (w->used.cpu, 0));
  msgpack_pack_int64 (packer, MAX (w->resources.mem, 0));
  msgpack_pack_int64 (packer, MAX (w->used.mem, 0));
  msgpack_pack_int64 (packer, MAX (w->batch_remaining_ms, 0));
  msgpack_pack_unsigned_int (packer, w->drain_rounds);
  msgpack_pack_int64 (packer, MAX (w->started_at_ms, 0));
}

static void
pack_load (msgpack_packer *packer, const struct mt_scheduler_load *load)
{
  msgpack_pack_array (packer, LOAD_FIELDS);
  msgpack_pack_unsigned_int (packer, load->jobs);
  msgpack_pack_unsigned_int (packer, load->waiting);
  msgpack_pack_unsigned_int (packer, load->urgent);
  msgpack_pack_unsigned_int (packer, load->running);
  msgpack_pack_int64 (packer, MAX (load->demand_cpu, 0));
  msgpack_pack_int64 (packer, MAX (load->capacity_cpu, 0));
  msgpack_pack_int64 (packer, MAX (load->arriving_cpu, 0));
  msgpack_pack_int64 (packer, MAX (load->used_cpu, 0));
  msgpack_pack_int64 (packer, MAX (load->urgent_used_cpu, 0));
  msgpack_pack_unsigned_int (packer, load->workers);
  msgpack_pack_unsigned_int (packer, load->silent);
  msgpack_pack_unsigned_int (packer, load->unplaceable);
  msgpack_pack_int64 (packer, MAX (load->upcoming_cpu, 0));
  msgpack_pack_int64 (packer, MAX (load->overdue_cpu, 0));
}

char *
mt_pool_report_pack (const struct mt_scheduler *sched, int64_t now, size_t *len)
{
  size_t max_workers = mt_scheduler_max_workers (sched);
  size_t max_accounts = mt_scheduler_max_accounts (sched);
  g_autofree struct mt_worker_view *views = g_new0 (struct mt_worker_view, max_workers);
  g_autofree struct mt_account_view *accounts = g_new0 (struct mt_account_view, max_accounts);
  size_t n = mt_scheduler_workers (sched, now, views, max_workers);
  struct mt_scheduler_load load;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  char *bytes;

  mt_scheduler_load (sched, now, &load);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, REPORT_PARTS);
  pack_load (&packer, &load);
  msgpack_pack_array (&packer, n);
  for (size_t i = 0; i < n; i++)
    pack_worker (&packer, &views[i]);
  mt_accounts_pack (&packer, accounts, mt_scheduler_accounts (sched, accounts, max_accounts));
  *len = buffer.size;
  bytes = g_memdup2 (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return bytes;
}

static bool
get_i64 (const msgpack_object *object, int64_t *out)
{
  uint64_t value;

  if (!mt_pack_get_u64 (object, INT64_MAX, &value))
    return false;
  *out = (int64_t) value;
  return true;
}

static bool
unpack_load (const msgpack_object *object, struct mt_scheduler_load *out)
{
  const msgpack_object *f = mt_pack_get_array (object, LOAD_FIELDS);

  return f != NULL && mt_pack_get_unsigned (&f[0], &out->jobs)
         && mt_pack_get_unsigned (&f[1], &out->waiting)
         && mt_pack_get_unsigned (&f[2], &out->urgent)
         && mt_pack_get_unsigned (&f[3], &out->running) && get_i64 (&f[4], &out->demand_cpu)
         && get_i64 (&f[5], &out->capacity_cpu) && get_i64 (&f[6], &out->arriving_cpu)
         && get_i64 (&f[7], &out->used_cpu) && get_i64 (&f[8], &out->urgent_used_cpu)
         && mt_pack_get_unsigned (&f[9], &out->workers)
         && mt_pack_get_unsigned (&f[10], &out->silent)
         && mt_pack_get_unsigned (&f[11], &out->unplaceable) && get_i64 (&f[12], &out->upcoming_cpu)
         && get_i64 (&f[13], &out->overdue_cpu);
}

static bool
unpack_worker (const msgpack_object *object, struct mt_worker_view *out)
{
  const msgpack_object *f = mt_pack_get_array (object, WORKER_FIELDS);
  struct mt_str id;
  unsigned flags;

  if (f == NULL || !mt_pack_get_bin (&f[0], &id) || !mt_pack_get_unsigned (&f[1], &out->tasks)
      || !mt_pack_get_unsigned (&f[2], &out->long_running) || !mt_pack_get_unsigned (&f[3], &flags)
      || !get_i64 (&f[4], &out->resources.cpu) || !get_i64 (&f[5], &out->used.cpu)
      || !get_i64 (&f[6], &out->resources.mem) || !get_i64 (&f[7], &out->used.mem)
      || !get_i64 (&f[8], &out->batch_remaining_ms)
      || !mt_pack_get_unsigned (&f[9], &out->drain_rounds)
      || !get_i64 (&f[10], &out->started_at_ms))
    return false;
  out->id = g_strndup (id.data, id.len);
  out->cordoned = flags & FLAG_CORDONED;
  out->leaving = flags & FLAG_LEAVING;
  out->silent = flags & FLAG_SILENT;
  return true;
}

static bool
read_report (const msgpack_object *root, struct mt_pool_report *out)
{
  const msgpack_object *parts = mt_pack_get_array (root, REPORT_PARTS);

  if (parts == NULL || !unpack_load (&parts[0], &out->load)
      || parts[1].type != MSGPACK_OBJECT_ARRAY)
    return false;
  out->workers = g_new0 (struct mt_worker_view, parts[1].via.array.size + 1);
  for (uint32_t i = 0; i < parts[1].via.array.size; i++, out->n_workers++)
    if (!unpack_worker (&parts[1].via.array.ptr[i], &out->workers[i]))
      return false;
  return mt_accounts_unpack (&parts[2], &out->accounts, &out->n_accounts);
}

bool
mt_pool_report_unpack (struct mt_str bytes, struct mt_pool_report *out)
{
  msgpack_unpacked unpacked;
  bool ok;

  *out = (struct mt_pool_report){ 0 };
  if (!mt_pack_read (bytes, &unpacked, NULL))
    return false;
  ok = read_report (&unpacked.data, out);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    mt_pool_report_clear (out);
  return ok;
}

void
mt_pool_report_clear (struct mt_pool_report *report)
{
  for (size_t i = 0; i < report->n_workers; i++)
    g_free ((char *) report->workers[i].id);
  g_clear_pointer (&report->workers, g_free);
  report->n_workers = 0;
  mt_accounts_free (report->accounts, report->n_accounts);
  report->accounts = NULL;
  report->n_accounts = 0;
}
