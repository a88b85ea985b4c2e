#include <string.h>

#include "wire/pr_int.h"

/* Labels of the counters of frames by type. */
static const char *const type_labels[PR_TYPES] = {
	"type=\"unknown\"",
	[PR_HELLO] = "type=\"hello\"",
	[PR_HEARTBEAT] = "type=\"heartbeat\"",
	[PR_FORWARD] = "type=\"forward\"",
	[PR_FORWARD_REPLY] = "type=\"forward_reply\"",
	[PR_FORWARD_CANCEL] = "type=\"forward_cancel\"",
	[PR_SLOT_REPORT] = "type=\"slot_report\"",
	[PR_SLOT_GRANT] = "type=\"slot_grant\"",
	[PR_LEAVING] = "type=\"leaving\"",
	[PR_PROMISE] = "type=\"promise\"",
	[PR_PROMISE_ASK] = "type=\"promise_ask\"",
	[PR_DOC_PULL] = "type=\"doc_pull\"",
	[PR_DOC_PUSH] = "type=\"doc_push\"",
	[PR_JOB_NOTICE] = "type=\"job_notice\"",
	[PR_KEY_ADOPT] = "type=\"key_adopt\"",
	[PR_API_FORWARD] = "type=\"api_forward\"",
	[PR_API_FORWARD_REPLY] = "type=\"api_forward_reply\"",
	[PR_MEMBERS] = "type=\"members\"",
};

static struct pr_dc *find_dc(struct pr_task *pr, const char *name)
{
	size_t i;

	for (i = 0; i < pr->dc_count; i++)
		if (strcmp(pr->dcs[i].name, name) == 0)
			return &pr->dcs[i];
	return NULL;
}

/* The metrics of one name must follow each other, so there are two passes. */
static void init_dcs(struct pr_task *pr, struct ctr_set *set)
{
	struct pr_dc *dc;
	size_t i;

	pr->dcs = g_new0(struct pr_dc, pr->set->peer_count);
	for (i = 0; i < pr->set->peer_count; i++) {
		if (find_dc(pr, pr->set->peers[i].dc))
			continue;
		dc = &pr->dcs[pr->dc_count++];
		dc->name = pr->set->peers[i].dc;
		dc->labels = g_strdup_printf("dc=\"%s\"", dc->name);
		ctr_init(&dc->sent, set, CTR_COUNTER,
			 "chivebank_peer_sent_bytes_total", dc->labels,
			 "Bytes sent on peer links, by the peer's data centre");
	}
	for (i = 0; i < pr->dc_count; i++)
		ctr_init(&pr->dcs[i].received, set, CTR_COUNTER,
			 "chivebank_peer_received_bytes_total",
			 pr->dcs[i].labels,
			 "Bytes received on peer links, by the peer's data "
			 "centre");
}

void pr_ctr_init(struct pr_task *pr)
{
	struct ctr_set *set = &pr->task.kn->counters;
	int i;

	init_dcs(pr, set);
	for (i = 0; i < PR_TYPES; i++)
		ctr_init(&pr->frames_sent[i], set, CTR_COUNTER,
			 "chivebank_peer_sent_frames_total", type_labels[i],
			 "Frames sent on peer links, by message type");
	for (i = 0; i < PR_TYPES; i++)
		ctr_init(&pr->frames_received[i], set, CTR_COUNTER,
			 "chivebank_peer_received_frames_total", type_labels[i],
			 "Frames received on peer links, by message type");
}

void pr_ctr_finish(struct pr_task *pr)
{
	size_t i;

	for (i = 0; i < PR_TYPES; i++) {
		ctr_finish(&pr->frames_sent[i]);
		ctr_finish(&pr->frames_received[i]);
	}
	for (i = 0; i < pr->dc_count; i++) {
		ctr_finish(&pr->dcs[i].sent);
		ctr_finish(&pr->dcs[i].received);
		g_free(pr->dcs[i].labels);
	}
	g_free(pr->dcs);
}

/* Bytes of a link whose host is unknown yet are not counted. */
void pr_ctr_sent(struct pr_link *link, size_t bytes)
{
	struct pr_dc *dc =
		link->peer ? find_dc(link->task, link->peer->set->dc) : NULL;

	if (dc)
		ctr_add(&dc->sent, bytes);
}

void pr_ctr_received(struct pr_link *link, size_t bytes)
{
	struct pr_dc *dc =
		link->peer ? find_dc(link->task, link->peer->set->dc) : NULL;

	if (dc)
		ctr_add(&dc->received, bytes);
}

void pr_ctr_frame(struct ctr counters[PR_TYPES], int type)
{
	ctr_add(&counters[type > 0 && type < PR_TYPES ? type : 0], 1);
}
