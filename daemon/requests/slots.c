#include "daemon/requests/slots.h"

#include <string.h>

#include "base/ev.h"
#include "base/log.h"
#include "wire/mp.h"

/* Setup. */

/* Initializes the slots of this host. Peers elsewhere are left out. */
void slots_init(struct slots *slots, const struct set *set,
		struct kn_task *peers, uint64_t incarnation)
{
	size_t i;

	memset(slots, 0, sizeof(*slots));
	slots->set = set;
	slots->peers = peers;
	slots->hosts = g_new0(const char *, set->peer_count + 1);
	slots->hosts[slots->host_count++] = set->host;
	for (i = 0; i < set->peer_count; i++)
		if (strcmp(set->peers[i].dc, set->dc) == 0)
			slots->hosts[slots->host_count++] = set->peers[i].host;
	slot_credits_holder_init(&slots->holder, incarnation);
	slot_credits_grantor_init(&slots->grantor, slots->hosts,
				  slots->host_count);
}

void slots_finish(struct slots *slots)
{
	slot_credits_grantor_finish(&slots->grantor);
	g_free(slots->hosts);
}

int slots_floor(const struct slots *slots, const char *server)
{
	return slot_credits_floor(slots->hosts, slots->host_count,
				  slots->set->host, server);
}

int slots_pool(const struct slots *slots)
{
	return slot_credits_pool(slots->host_count);
}

unsigned int slots_connections(const struct slots *slots)
{
	return (unsigned int)slot_credits_connections(slots->host_count);
}

/* Leadership. */

/* Handles a change or renewal of the leadership of the data centre. */
void slots_set_leadership(struct slots *slots, const struct svc_lead *lead)
{
	if (lead->epoch < slots->epoch)
		return;
	if (lead->leading && lead->epoch != slots->grantor.epoch) {
		slot_credits_begin_epoch(&slots->grantor, lead->epoch,
					 kn_now_us());
		slots->epoch_begun = true;
		ev_emit("slots.leading", "epoch=%" PRIu64, lead->epoch);
	}
	if (lead->epoch != slots->epoch)
		slots->must_report = true; /* the new leader has no report */
	slots->epoch = lead->epoch;
	slots->leading = lead->leading;
	slots->valid_until_us = lead->valid_until_us;
	memcpy(slots->leader, lead->leading ? slots->set->host : lead->leader,
	       sizeof(slots->leader));
}

static bool may_grant(const struct slots *slots, int64_t now_us)
{
	return slots->leading && slots->epoch_begun &&
	       now_us < slots->valid_until_us;
}

/* Reports and grants between hosts. */

/*
 * Reports and grants have the same form: [epoch, incarnation, sequence,
 * term in ms, [server, held, wanted or granted, ...]]. The term is 0 in a
 * report.
 */
static void send_entries(struct slots *slots, const char *host, int type,
			 const struct slot_credits_report_id *report_id,
			 int64_t term_ms, const GArray *entries)
{
	const struct slot_credits_entry *entry;
	struct mp_out out;
	guint i;

	mp_begin(&out, 5);
	mp_uint(&out, report_id->epoch);
	mp_uint(&out, report_id->incarnation);
	mp_uint(&out, report_id->seq);
	mp_int(&out, term_ms);
	mp_array(&out, entries->len * 3UL);
	for (i = 0; i < entries->len; i++) {
		entry = &g_array_index(entries, struct slot_credits_entry, i);
		mp_str(&out, entry->server);
		mp_int(&out, entry->held);
		mp_int(&out, entry->want);
	}
	pr_send(slots->peers, host, type, &out.buf);
	mp_end(&out);
}

static bool read_entries(const struct pr_in *in,
			 struct slot_credits_report_id *report_id,
			 int64_t *term_ms, GArray *entries)
{
	struct slot_credits_entry entry;
	struct mp_in body, inner;
	int64_t held, want;

	mp_open(&body, &in->body.data);
	report_id->epoch = mp_get_uint(&body);
	report_id->incarnation = mp_get_uint(&body);
	report_id->seq = mp_get_uint(&body);
	*term_ms = mp_get_int(&body);
	mp_get_array(&body, &inner);
	while (body.ok && inner.ok && inner.left > 0) {
		memset(&entry, 0, sizeof(entry));
		mp_get_text(&inner, entry.server, sizeof(entry.server));
		held = mp_get_int(&inner);
		want = mp_get_int(&inner);
		if (held < 0 || held > BACKEND_SLOTS || want < 0 ||
		    want > BACKEND_SLOTS)
			inner.ok = false;
		entry.held = (int)held;
		entry.want = (int)want;
		g_array_append_val(entries, entry);
	}
	if (body.ok && inner.ok)
		return true;
	log_warn("slots.malformed", "peer=%s type=%d", in->host, in->type);
	return false;
}

static GArray *entries_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct slot_credits_entry));
}

static void send_report(struct slots *slots, int64_t now_us)
{
	GArray *entries = entries_new(), *grants = entries_new();
	const struct slot_credits_report_id *newest = &slots->holder.report_id;

	if (!slot_credits_build_report(&slots->holder, slots->epoch, entries,
				       now_us))
		goto out;
	slots->reported_us = now_us;
	slots->must_report = entries->len > 0;
	if (!slots->leading) {
		if (slots->peers)
			send_entries(slots, slots->leader, PR_SLOT_REPORT,
				     newest, 0, entries);
	} else if (may_grant(slots, now_us) &&
		   slot_credits_handle_report(
			   &slots->grantor, slots->set->host, newest,
			   (const struct slot_credits_entry *)(void *)
				   entries->data,
			   entries->len, grants, now_us)) {
		slot_credits_apply_grant(
			&slots->holder, newest, SLOT_TERM_MS * USEC_PER_MSEC,
			(const struct slot_credits_entry *)(void *)grants->data,
			grants->len, now_us);
	}
out:
	g_array_free(entries, TRUE);
	g_array_free(grants, TRUE);
}

/*
 * A new report invalidates an unanswered one. So a host whose requests wait
 * for credits sends no new report before the answer to the last one; after
 * SLOT_REPORT_MS it treats that answer as lost.
 */
void slots_report_if_due(struct slots *slots, bool requests_wait,
			 int64_t now_us)
{
	int64_t passed = now_us - slots->reported_us;
	const struct slot_credits_server *server;
	bool wanted = slots->must_report;

	if (slots->leader[0] == '\0' || slots->host_count < 2)
		return;
	list_for_each_entry(server, &slots->holder.servers, node)
		wanted = wanted || server->want > 0 ||
			 slot_credits_held(server, now_us) > 0;
	if ((wanted && passed >= SLOT_REPORT_MS * USEC_PER_MSEC) ||
	    (requests_wait && slots->holder.answered &&
	     passed >= SLOT_PRESS_MS * USEC_PER_MSEC))
		send_report(slots, now_us);
}

/* Answers the report of a peer if this host is the leader. */
void slots_handle_report(struct slots *slots, const struct pr_in *in)
{
	GArray *entries = entries_new(), *grants = entries_new();
	int64_t now_us = kn_now_us(), term_ms;
	struct slot_credits_report_id report_id;

	if (read_entries(in, &report_id, &term_ms, entries) &&
	    may_grant(slots, now_us) &&
	    slot_credits_handle_report(
		    &slots->grantor, in->host, &report_id,
		    (const struct slot_credits_entry *)(void *)entries->data,
		    entries->len, grants, now_us))
		send_entries(slots, in->host, PR_SLOT_GRANT, &report_id,
			     SLOT_TERM_MS, grants);
	g_array_free(entries, TRUE);
	g_array_free(grants, TRUE);
}

bool slots_handle_grant(struct slots *slots, const struct pr_in *in)
{
	GArray *entries = entries_new();
	struct slot_credits_report_id report_id;
	int64_t term_ms;
	bool taken;

	taken = read_entries(in, &report_id, &term_ms, entries) &&
		slot_credits_apply_grant(
			&slots->holder, &report_id, term_ms * USEC_PER_MSEC,
			(const struct slot_credits_entry *)(void *)
				entries->data,
			entries->len, kn_now_us());
	g_array_free(entries, TRUE);
	return taken;
}
