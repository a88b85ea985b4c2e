#include "control/loans.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"
#include "wire/mp.h"

#define LOANS_RETRY_MS 200 /* after a read without an answer */
#define LOANS_FIELDS 3 /* of one loan: host, home, pool */

void loans_record_write(const struct lending *lending, msgpack_sbuffer *out)
{
	const struct loan *loan;
	struct mp_out mp;

	mp_begin(&mp, 2);
	mp_uint(&mp, RECORD_VERSION);
	mp_array(&mp, (size_t)lending->count * LOANS_FIELDS);
	list_for_each_entry(loan, &lending->loans, node) {
		mp_str(&mp, loan->host);
		mp_str(&mp, loan->home);
		mp_str(&mp, loan->pool);
	}
	*out = mp.buf;
}

/* Strings of all loans, NULL if one of them is missing or not a string. */
static GPtrArray *read_fields(struct mp_in *rows)
{
	GPtrArray *fields = g_ptr_array_new_with_free_func(g_free);

	while (rows->ok && rows->left > 0) {
		char *field = mp_get_str(rows);

		rows->ok &= field != NULL;
		if (field)
			g_ptr_array_add(fields, field);
	}
	if (rows->ok && fields->len % LOANS_FIELDS == 0)
		return fields;
	g_ptr_array_unref(fields);
	return NULL;
}

bool loans_record_read(struct lending *lending, const void *data, size_t len,
		       int64_t settled_us, int64_t now_us)
{
	msgpack_unpacked unpacked;
	GPtrArray *fields = NULL;
	struct mp_in in, rows;
	guint i;

	if (record_open(&unpacked, data, len, &in)) {
		mp_get_array(&in, &rows);
		fields = in.ok ? read_fields(&rows) : NULL;
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!fields)
		return false;
	for (i = 0; i < fields->len; i += LOANS_FIELDS)
		lending_restore(lending, g_ptr_array_index(fields, i),
				g_ptr_array_index(fields, i + 1),
				g_ptr_array_index(fields, i + 2), settled_us,
				now_us);
	g_ptr_array_unref(fields);
	return true;
}

static void read_record(struct loans *loans);

static void on_retry(struct kn_timer *timer)
{
	read_record(container_of(timer, struct loans, timer));
}

static void restore(struct loans *loans, const struct kv_item *item)
{
	if (loans_record_read(loans->lending, item->value, item->len,
			      loans->settled_us, kn_now_us()))
		log_info("loans.read", "hosts=%d revision=%" G_GINT64_FORMAT,
			 loans->lending->count, item->mod_revision);
	else
		log_err("loans.unreadable",
			"revision=%" G_GINT64_FORMAT " bytes=%zu result=%d",
			item->mod_revision, item->len, CB_E_INTERNAL);
}

static void on_record(struct kv_call *call)
{
	struct loans *loans = call->user;

	loans->call_pending = false;
	if (call->result != CB_OK) {
		kn_timer_set(loans->kv->kn, &loans->timer,
			     LOANS_RETRY_MS * USEC_PER_MSEC, on_retry);
		return;
	}
	if (call->count > 0)
		restore(loans, &call->items[0]);
	ledger_found_loans(loans->ledger,
			   call->count > 0 ? call->items[0].mod_revision : 0);
	loans->read = true;
}

static void read_record(struct loans *loans)
{
	memset(&loans->call, 0, sizeof(loans->call));
	loans->call.done = on_record;
	loans->call.user = loans;
	loans->call_pending = true;
	loans->kv->ops->range(loans->kv, &loans->call, KEY_LOANS, false);
}

void loans_init(struct loans *loans, struct kv *kv, struct ledger *ledger,
		struct lending *lending)
{
	memset(loans, 0, sizeof(*loans));
	loans->kv = kv;
	loans->ledger = ledger;
	loans->lending = lending;
	ctr_init(&loans->lent, &kv->kn->counters, CTR_GAUGE,
		 "chivebank_host_loans", NULL,
		 "Hosts of spare pools that are lent or about to be");
}

void loans_finish(struct loans *loans)
{
	loans_close(loans);
	ctr_finish(&loans->lent);
}

void loans_open(struct loans *loans, int64_t settled_us)
{
	loans->read = false;
	loans->set_change = 0;
	loans->settled_us = settled_us;
	read_record(loans);
}

void loans_close(struct loans *loans)
{
	if (loans->call_pending)
		loans->kv->ops->cancel(loans->kv, &loans->call);
	loans->call_pending = false;
	loans->read = false;
	kn_timer_cancel(&loans->timer);
	ctr_gauge(&loans->lent, 0);
}

void loans_mark_stored(struct loans *loans)
{
	if (loans->read && ledger_loans_stored(loans->ledger))
		lending_stored(loans->lending, loans->set_change);
}

void loans_write(struct loans *loans)
{
	msgpack_sbuffer record;

	if (!loans->read)
		return;
	ctr_gauge(&loans->lent, (uint64_t)loans->lending->count);
	if (loans->set_change == loans->lending->change)
		return;
	loans_record_write(loans->lending, &record);
	ledger_set_loans(loans->ledger, record.data, record.size);
	msgpack_sbuffer_destroy(&record);
	loans->set_change = loans->lending->change;
}
