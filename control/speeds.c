#include "control/speeds.h"

#include <math.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"
#include "wire/mp.h"

/* Least time between two records: a leader's successor loses no more. */
#define SPEEDS_INTERVAL_MS 2000
#define SPEEDS_CHECK_MS 200 /* whether one is due */
#define SPEEDS_RETRY_MS 200 /* after a read without an answer */
#define SPEEDS_LOG_SCALE 1000.0 /* logarithms are stored in thousandths */
/* No worker is 1,000 times as fast as another. */
#define SPEEDS_LOG_MAX 7000
#define SPEEDS_WEIGHT_MAX 1000
#define SPEEDS_FIELDS 4 /* of one worker */

void speeds_record_write(const GArray *estimates, bool uneven,
			 msgpack_sbuffer *out)
{
	struct mp_out mp;
	guint i;

	mp_begin(&mp, 3);
	mp_uint(&mp, RECORD_VERSION);
	mp_uint(&mp, uneven);
	mp_array(&mp, (size_t)estimates->len * SPEEDS_FIELDS);
	for (i = 0; i < estimates->len; i++) {
		const struct speed_estimate *estimate =
			&g_array_index(estimates, struct speed_estimate, i);

		mp_uint(&mp, estimate->worker);
		mp_int(&mp, estimate->born_ms);
		mp_int(&mp, lround(estimate->log * SPEEDS_LOG_SCALE));
		mp_uint(&mp, (uint64_t)ceil(estimate->weight));
	}
	*out = mp.buf;
}

static bool estimate_read(struct mp_in *in, struct speed_estimate *estimate)
{
	int64_t log_milli;
	uint64_t weight;

	estimate->worker = mp_get_uint(in);
	estimate->born_ms = mp_get_int(in);
	log_milli = mp_get_int(in);
	weight = mp_get_uint(in);
	estimate->log = (double)log_milli / SPEEDS_LOG_SCALE;
	estimate->weight = (double)weight;
	return in->ok && log_milli >= -SPEEDS_LOG_MAX &&
	       log_milli <= SPEEDS_LOG_MAX && weight >= 1 &&
	       weight <= SPEEDS_WEIGHT_MAX;
}

GArray *speeds_record_read(const void *data, size_t len, bool *uneven)
{
	GArray *estimates =
		g_array_new(FALSE, FALSE, sizeof(struct speed_estimate));
	msgpack_unpacked unpacked;
	struct mp_in in, rows;
	bool ok = record_open(&unpacked, data, len, &in);

	if (ok) {
		*uneven = mp_get_uint(&in);
		mp_get_array(&in, &rows);
		ok = in.ok;
	}
	while (ok && rows.left > 0) {
		struct speed_estimate estimate;

		ok = estimate_read(&rows, &estimate);
		if (ok)
			g_array_append_val(estimates, estimate);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (ok)
		return estimates;
	g_array_unref(estimates);
	return NULL;
}

static void apply_record(struct speeds *speeds, const struct kv_item *item)
{
	bool uneven = false;
	GArray *estimates = speeds_record_read(item->value, item->len, &uneven);

	if (!estimates) {
		log_warn("speeds.unreadable",
			 "revision=%" G_GINT64_FORMAT " bytes=%zu",
			 item->mod_revision, item->len);
		return;
	}
	speed_restore(speeds->fleet, estimates, uneven);
	log_info("speeds.read",
		 "workers=%u uneven=%d revision=%" G_GINT64_FORMAT,
		 estimates->len, uneven, item->mod_revision);
	g_array_unref(estimates);
}

static void read_record(struct speeds *speeds);

static void on_retry(struct kn_timer *timer)
{
	read_record(container_of(timer, struct speeds, timer));
}

static void on_record(struct kv_call *call)
{
	struct speeds *speeds = call->user;

	speeds->call_pending = false;
	if (call->result != CB_OK) {
		kn_timer_set(speeds->kv->kn, &speeds->timer,
			     SPEEDS_RETRY_MS * USEC_PER_MSEC, on_retry);
		return;
	}
	ledger_found_speeds(speeds->ledger,
			    call->count > 0 ? call->items[0].mod_revision : 0);
	if (call->count > 0)
		apply_record(speeds, &call->items[0]);
}

static void read_record(struct speeds *speeds)
{
	memset(&speeds->call, 0, sizeof(speeds->call));
	speeds->call.done = on_record;
	speeds->call.user = speeds;
	speeds->call_pending = true;
	speeds->kv->ops->range(speeds->kv, &speeds->call, KEY_SPEEDS, false);
}

void speeds_init(struct speeds *speeds, struct kv *kv, struct ledger *ledger)
{
	struct ctr_set *set = &kv->kn->counters;

	memset(speeds, 0, sizeof(*speeds));
	speeds->kv = kv;
	speeds->ledger = ledger;
	ctr_init(&speeds->known, set, CTR_GAUGE,
		 "chivebank_speed_known_workers", NULL,
		 "Workers whose speed is known well enough");
	ctr_init(&speeds->spread, set, CTR_GAUGE,
		 "chivebank_speed_spread_percent", NULL,
		 "Ratio of the speeds of fast and slow workers");
	ctr_init(&speeds->uneven, set, CTR_GAUGE, "chivebank_speed_uneven",
		 NULL, "Whether placement considers the workers' speeds");
}

void speeds_finish(struct speeds *speeds)
{
	speeds_close(speeds);
	ctr_finish(&speeds->known);
	ctr_finish(&speeds->spread);
	ctr_finish(&speeds->uneven);
}

void speeds_open(struct speeds *speeds, struct fleet *fleet)
{
	speeds->fleet = fleet;
	speeds->check_us = 0;
	speeds->next_us = 0;
	read_record(speeds);
}

void speeds_close(struct speeds *speeds)
{
	if (speeds->call_pending)
		speeds->kv->ops->cancel(speeds->kv, &speeds->call);
	speeds->call_pending = false;
	kn_timer_cancel(&speeds->timer);
	speeds->fleet = NULL;
}

void speeds_run(struct speeds *speeds, int64_t now_us)
{
	const struct speed_model *model = &speeds->fleet->speed;
	msgpack_sbuffer record;
	GArray *estimates;

	if (now_us < speeds->check_us)
		return;
	speeds->check_us = now_us + SPEEDS_CHECK_MS * USEC_PER_MSEC;
	ctr_gauge(&speeds->known, (uint64_t)model->known);
	ctr_gauge(&speeds->spread, (uint64_t)(model->spread * 100.0));
	ctr_gauge(&speeds->uneven, model->uneven);
	if (now_us < speeds->next_us || !speed_export_due(speeds->fleet))
		return;
	speeds->next_us = now_us + SPEEDS_INTERVAL_MS * USEC_PER_MSEC;
	estimates = speed_export(speeds->fleet);
	speeds_record_write(estimates, model->uneven, &record);
	ledger_set_speeds(speeds->ledger, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	g_array_unref(estimates);
}
