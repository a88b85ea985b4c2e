#include "control/maintenance.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"

/* Interval of polls of the list of hosts while a wave runs or a loan is
 * wanted; the upkeep of a host takes some seconds. */
#define LIST_INTERVAL_MS 700

void maintenance_init(struct maintenance *maintenance,
		      const struct platform_adapter *adapter,
		      struct machine_client *machines, struct ledger *ledger)
{
	memset(maintenance, 0, sizeof(*maintenance));
	maintenance->adapter = adapter;
	maintenance->machines = machines;
	list_init(&maintenance->waves);
	lending_init(&maintenance->lending);
	loans_init(&maintenance->loans, adapter->kv, ledger,
		   &maintenance->lending);
	ctr_init(&maintenance->moves, &adapter->kv->kn->counters, CTR_COUNTER,
		 "chivebank_host_moves_total", NULL,
		 "Orders to move a host of workers to another pool");
	ctr_init(&maintenance->orders, &adapter->kv->kn->counters, CTR_COUNTER,
		 "chivebank_upkeep_orders_total", NULL,
		 "Orders to take a host of workers down");
}

void maintenance_finish(struct maintenance *maintenance)
{
	struct wave *wave, *next;

	maintenance_close(maintenance);
	list_for_each_entry_safe(wave, next, &maintenance->waves, node)
		wave_free(wave);
	if (maintenance->machines)
		maintenance->machines->ops->finish(maintenance->machines);
	loans_finish(&maintenance->loans);
	ctr_finish(&maintenance->orders);
	ctr_finish(&maintenance->moves);
}

void maintenance_add(struct maintenance *maintenance, struct wave *wave)
{
	struct wave *known;

	list_for_each_entry(known, &maintenance->waves, node)
		if (known->number == wave->number) {
			wave_free(wave);
			return;
		}
	log_info("wave.known", "wave=%lld hosts=%u within_ms=%lld cap=%d",
		 (long long)wave->number, wave->hosts->len,
		 (long long)wave->within_ms, wave->cap);
	list_add_tail(&wave->node, &maintenance->waves);
}

void maintenance_open(struct maintenance *maintenance, struct fleet *fleet,
		      int64_t fence, int64_t settle_ms)
{
	struct wave *wave;

	maintenance->fleet = fleet;
	maintenance->fence = fence;
	maintenance->no_orders_until_us =
		kn_now_us() + settle_ms * USEC_PER_MSEC;
	maintenance->statuses_read = false;
	if (maintenance->machines)
		loans_open(&maintenance->loans,
			   maintenance->no_orders_until_us);
	/* All hosts of unfinished waves are ordered again. The platform
	 * completes the order at once for a host that was taken down for the
	 * wave under an earlier leader. */
	list_for_each_entry(wave, &maintenance->waves, node) {
		wave->running_reported = false;
		if (!wave->done_reported)
			wave_restart(wave);
	}
}

/* Statuses of waves that earlier leaders stored. */

/* item: NULL if there is none. */
static void read_status(const struct maintenance *maintenance,
			struct wave *wave, const struct kv_item *item)
{
	wave->status_revision = item ? item->mod_revision : 0;
	if (item &&
	    maintenance->adapter->read_wave_status(item->value, item->len))
		wave->done_reported = true;
}

static void on_stored_statuses(struct kv_call *call)
{
	struct maintenance *maintenance = call->user;
	size_t i;

	maintenance->status_pending = false;
	if (call->result != CB_OK) {
		/* The next pass reads them again. */
		log_warn("waves.not_read", "fence=%lld result=%d",
			 (long long)maintenance->fence, call->result);
		return;
	}
	maintenance->statuses_read = true;
	for (i = 0; i < call->count; i++) {
		const struct kv_item *item = &call->items[i];
		const char *number =
			item->key +
			strlen(maintenance->adapter->wave_status_prefix);
		struct wave *wave;

		list_for_each_entry(wave, &maintenance->waves, node)
			if (wave->number == g_ascii_strtoll(number, NULL, 10))
				read_status(maintenance, wave, item);
	}
}

static void read_stored_statuses(struct maintenance *maintenance)
{
	struct kv *kv = maintenance->adapter->kv;

	memset(&maintenance->status_call, 0, sizeof(maintenance->status_call));
	maintenance->status_call.done = on_stored_statuses;
	maintenance->status_call.user = maintenance;
	maintenance->status_pending = true;
	kv->ops->range(kv, &maintenance->status_call,
		       maintenance->adapter->wave_status_prefix, true);
}

static void drop_list(struct maintenance *maintenance)
{
	if (maintenance->list)
		g_ptr_array_unref(maintenance->list);
	maintenance->list = NULL;
}

void maintenance_close(struct maintenance *maintenance)
{
	struct kv *kv = maintenance->adapter->kv;

	if (maintenance->list_pending)
		maintenance->machines->ops->cancel(maintenance->machines,
						   &maintenance->list_call);
	if (maintenance->order_pending)
		maintenance->machines->ops->cancel(maintenance->machines,
						   &maintenance->order_call);
	if (maintenance->status_pending)
		kv->ops->cancel(kv, &maintenance->status_call);
	maintenance->list_pending = false;
	maintenance->order_pending = false;
	maintenance->status_pending = false;
	loans_close(&maintenance->loans);
	lending_finish(&maintenance->lending);
	drop_list(maintenance);
	maintenance->fleet = NULL;
}

/* The platform's list of hosts. */

static void on_list(struct machine_call *call)
{
	struct maintenance *maintenance = call->user;

	maintenance->list_pending = false;
	if (call->result != CB_OK) {
		log_warn("machines.list_failed", "result=%d", call->result);
		return;
	}
	drop_list(maintenance);
	maintenance->list = call->machines;
	maintenance->list_us = maintenance->listed_us;
}

static void read_list(struct maintenance *maintenance, int64_t now_us)
{
	if (maintenance->list_pending ||
	    (maintenance->listed_us &&
	     now_us - maintenance->listed_us <
		     LIST_INTERVAL_MS * USEC_PER_MSEC))
		return;
	maintenance->listed_us = now_us;
	maintenance->list_pending = true;
	maintenance->list_call.done = on_list;
	maintenance->list_call.user = maintenance;
	maintenance->machines->ops->list(maintenance->machines,
					 &maintenance->list_call);
}

/* Upkeep orders. */

static void on_order(struct machine_call *call)
{
	struct maintenance *maintenance = call->user;

	maintenance->order_pending = false;
	log_info("upkeep.ordered", "wave=%lld host=%s fence=%lld result=%d",
		 (long long)maintenance->order_wave->number,
		 maintenance->order_host->name, (long long)maintenance->fence,
		 call->result);
	if (call->result == CB_OK)
		maintenance->order_host->begun = true;
	/* An order without an answer may be carried out, so the host counts as
	 * down. */
	if (call->result == CB_E_CONFLICT)
		upkeep_refused(maintenance->order_host, kn_now_us());
}

static void order_upkeep(struct maintenance *maintenance, struct wave *wave,
			 int64_t now_us)
{
	struct upkeep_host *host = upkeep_next(maintenance->fleet, wave,
					       maintenance->list, now_us);
	struct worker *worker;

	if (!host)
		return;
	worker = upkeep_find_worker(maintenance->fleet, maintenance->list,
				    host->name);
	if (worker)
		worker->upkeep = WORKER_CLOSED;
	upkeep_ordered(host, worker ? worker->reported.born_ms : 0, now_us);
	maintenance->order_wave = wave;
	maintenance->order_host = host;
	maintenance->order_pending = true;
	maintenance->order_call.done = on_order;
	maintenance->order_call.user = maintenance;
	ctr_add(&maintenance->orders, 1);
	maintenance->machines->ops->upkeep(maintenance->machines,
					   &maintenance->order_call, host->name,
					   wave->number, maintenance->fence);
}

/* Loans of hosts to other pools. */

static void on_moved(struct machine_call *call)
{
	struct maintenance *maintenance = call->user;
	struct loan *loan = maintenance->loan_in_call;

	maintenance->order_pending = false;
	log_info("host.moved",
		 "host=%s home=%s pool=%s returning=%d fence=%lld result=%d",
		 loan->host, loan->home, loan->pool,
		 loan->state == LOAN_RETURNING, (long long)maintenance->fence,
		 call->result);
	lending_move_answered(loan, call->result, kn_now_us());
}

static void move_host(struct maintenance *maintenance, int64_t now_us)
{
	const char *pool;

	maintenance->loan_in_call = lending_next_move(
		&maintenance->lending, maintenance->fleet, maintenance->list,
		maintenance->list_us, now_us, &pool);
	if (!maintenance->loan_in_call)
		return;
	maintenance->order_pending = true;
	maintenance->order_call.done = on_moved;
	maintenance->order_call.user = maintenance;
	ctr_add(&maintenance->moves, 1);
	maintenance->machines->ops->move(
		maintenance->machines, &maintenance->order_call,
		maintenance->loan_in_call->host, pool, maintenance->fence);
}

static void lend_hosts(struct maintenance *maintenance, bool may_order,
		       int64_t now_us)
{
	if (!maintenance->loans.read ||
	    !lending_needs_hosts(&maintenance->lending, maintenance->fleet,
				 now_us))
		return;
	read_list(maintenance, now_us);
	if (!maintenance->list)
		return;
	if (may_order && !maintenance->order_pending)
		move_host(maintenance, now_us);
	lending_cordon(&maintenance->lending, maintenance->fleet,
		       maintenance->list);
}

/* Status of waves. */

static char *status_key(const struct maintenance *maintenance,
			const struct wave *wave)
{
	return g_strdup_printf("%s%lld",
			       maintenance->adapter->wave_status_prefix,
			       (long long)wave->number);
}

static void on_status(struct kv_call *call)
{
	struct maintenance *maintenance = call->user;

	struct wave *wave = maintenance->status_wave;
	char *key;

	maintenance->status_pending = false;
	if (call->result != CB_OK || !call->succeeded) {
		if (call->result == CB_OK) {
			key = status_key(maintenance, wave);
			read_status(maintenance, wave, kv_find(call, key));
			g_free(key);
		}
		/* Written again by the next pass, unless another host leads by
		 * now. */
		log_warn("wave.not_said",
			 "wave=%lld done=%d fence=%lld result=%d compared=%d",
			 (long long)wave->number, maintenance->status_done,
			 (long long)maintenance->fence, call->result,
			 call->succeeded);
		return;
	}
	wave->status_revision = call->revision;
	wave->running_reported = true;
	wave->done_reported = maintenance->status_done;
}

static void write_status(struct maintenance *maintenance, struct wave *wave)
{
	struct kv *kv = maintenance->adapter->kv;
	/* A write without an answer may be carried out after later ones. */
	struct kv_cmp cmps[2] = {
		{ .key = KEY_LEADER, .mod_revision = maintenance->fence },
		{ .mod_revision = wave->status_revision },
	};
	struct kv_op op = { .kind = KV_PUT };
	char *key, *value;

	if (maintenance->status_pending || wave->done_reported ||
	    (wave->running_reported && !wave->done))
		return;
	key = status_key(maintenance, wave);
	value = maintenance->adapter->write_wave_status(wave->done);
	cmps[1].key = key;
	op.key = key;
	op.value = value;
	op.len = strlen(value);
	maintenance->status_wave = wave;
	maintenance->status_done = wave->done;
	memset(&maintenance->status_call, 0, sizeof(maintenance->status_call));
	maintenance->status_call.done = on_status;
	maintenance->status_call.user = maintenance;
	maintenance->status_pending = true;
	kv->ops->txn(kv, &maintenance->status_call, cmps, 2, &op, 1, NULL, 0);
	g_free(key);
	g_free(value);
}

static void run_waves(struct maintenance *maintenance, bool may_order,
		      int64_t now_us)
{
	struct wave *wave;

	if (!maintenance->statuses_read) {
		if (!maintenance->status_pending)
			read_stored_statuses(maintenance);
		return;
	}
	upkeep_clear(maintenance->fleet);
	list_for_each_entry(wave, &maintenance->waves, node) {
		if (wave->done_reported)
			continue;
		read_list(maintenance, now_us);
		/* An older list may lack hosts that have joined since. */
		if (!maintenance->list ||
		    maintenance->list_us < wave->announced_us)
			continue;
		upkeep_update(maintenance->fleet, wave, maintenance->list,
			      now_us);
		write_status(maintenance, wave);
		if (may_order && !maintenance->order_pending)
			order_upkeep(maintenance, wave, now_us);
	}
}

/* Whether a wave is unfinished, or a loan is wanted or not over. */
static bool needs_list(const struct maintenance *maintenance, int64_t now_us)
{
	const struct wave *wave;

	list_for_each_entry(wave, &maintenance->waves, node)
		if (!wave->done_reported)
			return true;
	return lending_needs_hosts(&maintenance->lending, maintenance->fleet,
				   now_us);
}

void maintenance_run(struct maintenance *maintenance, bool may_order,
		     int64_t now_us)
{
	if (!maintenance->machines || !maintenance->fleet)
		return;
	/* It is not read again before it is needed, and is old by then. */
	if (!needs_list(maintenance, now_us))
		drop_list(maintenance);
	may_order &= now_us >= maintenance->no_orders_until_us;
	fleet_uncordon_all(maintenance->fleet);
	if (!list_empty(&maintenance->waves))
		run_waves(maintenance, may_order, now_us);
	loans_mark_stored(&maintenance->loans);
	lend_hosts(maintenance, may_order, now_us);
	loans_write(&maintenance->loans);
}
