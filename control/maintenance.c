#include "control/maintenance.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"

/* While a wave runs; an upkeep takes some seconds. */
#define LIST_MS 700

void maintenance_init(struct maintenance *own,
		      const struct platform_adapter *adapter,
		      struct machine_client *machines)
{
	memset(own, 0, sizeof(*own));
	own->adapter = adapter;
	own->machines = machines;
	list_init(&own->waves);
	lending_init(&own->lending);
	ctr_init(&own->moves, &adapter->kv->kn->counters, CTR_COUNTER,
		 "chivebank_host_moves_total", NULL,
		 "Orders to move a host of workers to another pool");
	ctr_init(&own->orders, &adapter->kv->kn->counters, CTR_COUNTER,
		 "chivebank_upkeep_orders_total", NULL,
		 "Orders to take a host of workers down");
}

void maintenance_finish(struct maintenance *own)
{
	struct wave *wave, *next;

	maintenance_close(own);
	list_for_each_entry_safe(wave, next, &own->waves, node)
		wave_free(wave);
	if (own->list)
		g_ptr_array_unref(own->list);
	if (own->machines)
		own->machines->ops->finish(own->machines);
	ctr_finish(&own->orders);
	ctr_finish(&own->moves);
}

void maintenance_add(struct maintenance *own, struct wave *wave)
{
	struct wave *known;

	list_for_each_entry(known, &own->waves, node)
		if (known->number == wave->number) {
			wave_free(wave);
			return;
		}
	log_info("wave.known", "wave=%lld hosts=%u within_ms=%lld cap=%d",
		 (long long)wave->number, wave->hosts->len,
		 (long long)wave->within_ms, wave->cap);
	list_add_tail(&wave->node, &own->waves);
}

void maintenance_open(struct maintenance *own, struct fleet *fleet,
		      int64_t fence, int64_t settle_ms)
{
	struct wave *wave;
	guint i;

	own->fleet = fleet;
	own->fence = fence;
	own->orders_from_us = kn_now_us() + settle_ms * USEC_PER_MSEC;
	own->statuses_read = false;
	/* What an earlier leader has done is done at once, by the platform. */
	list_for_each_entry(wave, &own->waves, node) {
		wave->said_running = false;
		for (i = 0; !wave->said_done && i < wave->hosts->len; i++) {
			struct upkeep_host *host =
				g_ptr_array_index(wave->hosts, i);

			host->state = UPKEEP_WAITING;
		}
	}
}

/* What earlier leaders have said. */

static void on_stored_statuses(struct kv_call *call)
{
	struct maintenance *own = call->user;
	size_t i;

	own->writing = false;
	if (call->result != CB_OK) {
		/* Asked again with the next pass. */
		log_warn("waves.not_read", "fence=%lld result=%d",
			 (long long)own->fence, call->result);
		return;
	}
	own->statuses_read = true;
	for (i = 0; i < call->count; i++) {
		const struct kv_item *item = &call->items[i];
		const char *number =
			item->key + strlen(own->adapter->wave_status_prefix);
		struct wave *wave;

		list_for_each_entry(wave, &own->waves, node)
			if (wave->number == g_ascii_strtoll(number, NULL, 10) &&
			    own->adapter->read_wave_status(item->value,
							   item->len))
				wave->said_done = true;
	}
}

static void read_stored_statuses(struct maintenance *own)
{
	struct kv *kv = own->adapter->kv;

	memset(&own->status_call, 0, sizeof(own->status_call));
	own->status_call.done = on_stored_statuses;
	own->status_call.user = own;
	own->writing = true;
	kv->ops->range(kv, &own->status_call, own->adapter->wave_status_prefix,
		       true);
}

void maintenance_close(struct maintenance *own)
{
	struct kv *kv = own->adapter->kv;

	if (own->listing)
		own->machines->ops->cancel(own->machines, &own->list_call);
	if (own->ordering)
		own->machines->ops->cancel(own->machines, &own->order_call);
	if (own->writing)
		kv->ops->cancel(kv, &own->status_call);
	own->listing = false;
	own->ordering = false;
	own->writing = false;
	lending_finish(&own->lending);
	own->fleet = NULL;
}

/* The list. */

static void on_list(struct machine_call *call)
{
	struct maintenance *own = call->user;

	own->listing = false;
	if (call->result != CB_OK) {
		log_warn("machines.list_failed", "result=%d", call->result);
		return;
	}
	if (own->list)
		g_ptr_array_unref(own->list);
	own->list = call->machines;
}

static void read_list(struct maintenance *own, int64_t now_us)
{
	if (own->listing || (own->listed_us &&
			     now_us - own->listed_us < LIST_MS * USEC_PER_MSEC))
		return;
	own->listed_us = now_us;
	own->listing = true;
	own->list_call.done = on_list;
	own->list_call.user = own;
	own->machines->ops->list(own->machines, &own->list_call);
}

/* Orders. */

static void on_order(struct machine_call *call)
{
	struct maintenance *own = call->user;

	own->ordering = false;
	log_info("upkeep.ordered", "wave=%lld host=%s fence=%lld result=%d",
		 (long long)own->order_wave->number, own->order_host->name,
		 (long long)own->fence, call->result);
	if (call->result == CB_OK)
		own->order_host->accepted = true;
	/* One without answer may be carried out: it counts as down. */
	if (call->result == CB_E_CONFLICT)
		upkeep_again(own->order_host, kn_now_us());
}

static void order(struct maintenance *own, struct wave *wave, int64_t now_us)
{
	struct upkeep_host *host =
		upkeep_next(own->fleet, wave, own->list, now_us);
	const struct worker *worker;

	if (!host)
		return;
	worker = upkeep_worker(own->fleet, own->list, host->name);
	upkeep_ordered(host, worker ? worker->said.born_ms : 0, now_us);
	own->order_wave = wave;
	own->order_host = host;
	own->ordering = true;
	own->order_call.done = on_order;
	own->order_call.user = own;
	ctr_add(&own->orders, 1);
	own->machines->ops->upkeep(own->machines, &own->order_call, host->name,
				   wave->number, own->fence);
}

/* Loans. */

static void on_moved(struct machine_call *call)
{
	struct maintenance *own = call->user;
	struct loan *loan = own->loan_in_call;

	own->ordering = false;
	log_info("host.moved",
		 "host=%s home=%s pool=%s returning=%d fence=%lld result=%d",
		 loan->host, loan->home, loan->pool,
		 loan->state == LOAN_RETURNING, (long long)own->fence,
		 call->result);
	lending_answered(loan, call->result == CB_E_CONFLICT, kn_now_us());
}

static void lend(struct maintenance *own, int64_t now_us)
{
	const char *pool;

	own->loan_in_call = lending_next(&own->lending, own->fleet, own->list,
					 now_us, &pool);
	if (!own->loan_in_call)
		return;
	own->ordering = true;
	own->order_call.done = on_moved;
	own->order_call.user = own;
	ctr_add(&own->moves, 1);
	own->machines->ops->move(own->machines, &own->order_call,
				 own->loan_in_call->host, pool, own->fence);
}

/* Status. */

static void on_status(struct kv_call *call)
{
	struct maintenance *own = call->user;

	own->writing = false;
	if (call->result != CB_OK || !call->succeeded) {
		/* Written again, unless another host leads by now. */
		log_warn("wave.not_said",
			 "wave=%lld done=%d fence=%lld result=%d compared=%d",
			 (long long)own->status_wave->number, own->status_done,
			 (long long)own->fence, call->result, call->succeeded);
		return;
	}
	own->status_wave->said_running = true;
	own->status_wave->said_done = own->status_done;
}

static void write_status(struct maintenance *own, struct wave *wave)
{
	struct kv *kv = own->adapter->kv;
	struct kv_cmp cmp = { .key = KEY_LEADER, .mod_revision = own->fence };
	struct kv_op op = { .kind = KV_PUT };
	char *key, *value;

	if (own->writing || wave->said_done ||
	    (wave->said_running && !wave->done))
		return;
	key = g_strdup_printf("%s%lld", own->adapter->wave_status_prefix,
			      (long long)wave->number);
	value = own->adapter->write_wave_status(wave->done);
	op.key = key;
	op.value = value;
	op.len = strlen(value);
	own->status_wave = wave;
	own->status_done = wave->done;
	memset(&own->status_call, 0, sizeof(own->status_call));
	own->status_call.done = on_status;
	own->status_call.user = own;
	own->writing = true;
	kv->ops->txn(kv, &own->status_call, &cmp, 1, &op, 1, NULL, 0);
	g_free(key);
	g_free(value);
}

static void run_waves(struct maintenance *own, bool may_order, int64_t now_us)
{
	struct wave *wave;

	if (!own->statuses_read) {
		if (!own->writing)
			read_stored_statuses(own);
		return;
	}
	list_for_each_entry(wave, &own->waves, node) {
		if (wave->said_done)
			continue;
		read_list(own, now_us);
		if (!own->list)
			return;
		upkeep_update(own->fleet, wave, own->list, now_us);
		write_status(own, wave);
		if (may_order && !own->ordering)
			order(own, wave, now_us);
	}
}

void maintenance_run(struct maintenance *own, bool may_order, int64_t now_us)
{
	if (!own->machines || !own->fleet)
		return;
	may_order &= now_us >= own->orders_from_us;
	if (!list_empty(&own->waves))
		run_waves(own, may_order, now_us);
	if (!lending_wanted(&own->lending, own->fleet, now_us))
		return;
	read_list(own, now_us);
	if (own->list && may_order && !own->ordering)
		lend(own, now_us);
}
