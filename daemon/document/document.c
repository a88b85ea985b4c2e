#include "daemon/document/document.h"

#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/document/document_int.h"
#include "daemon/stop.h"

/* Installing a document and notifying its subscribers. */

static void release_doc(struct kn_msg *msg)
{
	struct svc_doc *changed = container_of(msg, struct svc_doc, msg);

	doc_view_unref(changed->view);
	g_free(changed);
}

static void send_view(struct document *d, struct kn_task *to)
{
	struct svc_doc *changed = g_new0(struct svc_doc, 1);

	changed->msg.type = SVC_DOC_CHANGED;
	changed->msg.release = release_doc;
	changed->view = doc_view_ref(d->view);
	kn_send(to, &d->task, &changed->msg);
}

/*
 * Makes a document, with all bodies present, the one in force. Takes ownership
 * of doc. After the first document, one whose revision is not higher is freed
 * instead. With announce set the document is pushed to the data centre. Only
 * the leader, on reading it from the store, and the host that made the change
 * set it; hosts that receive a push do not forward it.
 */
void document_install(struct document *d, struct doc *doc, bool announce)
{
	int64_t before = d->doc->revision;
	unsigned int i;

	if (d->view && !doc_supersedes(doc, d->doc)) {
		doc_free(doc);
		return;
	}
	doc_free(d->doc);
	d->doc = doc;
	doc_view_unref(d->view);
	d->view = doc_view_new(doc);
	ctr_gauge(&d->revision, (uint64_t)doc->revision);
	ev_emit("document.in_force",
		"revision=%" PRId64 " before=%" PRId64 " change=%s",
		doc->revision, before, doc->change);
	for (i = 0; i < d->subscribers->len; i++)
		send_view(d, d->subscribers->pdata[i]);
	if (!d->peers)
		return;
	pr_set_status(d->peers, doc->revision, d->task.kn->draining);
	if (announce && doc->revision > 0)
		document_push(d, NULL, before);
}

/*
 * True if a root from the store has a lower revision than the document in
 * force, or the same revision made by a different change. In the second case
 * the store lost revisions and was then changed again.
 */
bool document_is_behind(const struct document *d, const struct doc *root)
{
	return root->revision < d->doc->revision ||
	       (root->revision == d->doc->revision &&
		strcmp(root->change, d->doc->change) != 0);
}

/* Logs that the store is behind, once for each such root in succession. */
void document_report_behind(struct document *d, const struct doc *root)
{
	if (d->reported_behind == root->revision)
		return;
	d->reported_behind = root->revision;
	log_warn("document.store_behind",
		 "store_revision=%" PRId64 " in_force=%" PRId64, root->revision,
		 d->doc->revision);
	ev_emit("document.store_behind",
		"store_revision=%" PRId64 " in_force=%" PRId64, root->revision,
		d->doc->revision);
}

/* Reading the store. */

/* Returns the delay of a retry: exponential backoff with full jitter. */
int64_t document_backoff_us(struct document *d, unsigned int failures)
{
	int64_t ceiling = STORE_BACKOFF_BASE_MS;

	while (failures-- > 0 && ceiling < STORE_BACKOFF_CAP_MS)
		ceiling *= 2;
	ceiling = MIN(ceiling, STORE_BACKOFF_CAP_MS);
	return (int64_t)(g_rand_double(d->rand) *
			 (double)(ceiling * USEC_PER_MSEC));
}

static void on_retry(struct kn_timer *timer)
{
	document_refetch(container_of(timer, struct document, retry));
}

/*
 * Installs a document that was read from the store. A failed read is retried
 * while this host depends on the store: until it has a document, and as long
 * as it leads.
 */
static void on_fetched(struct doc_fetch *fetch, int result)
{
	struct document *d = fetch->d;
	bool again = d->fetch_again;

	d->fetch = NULL;
	d->fetch_again = false;
	if (result != CB_OK) {
		if (!d->view || d->watching)
			kn_timer_set(d->task.kn, &d->retry,
				     document_backoff_us(d, d->failures++),
				     on_retry);
		return;
	}
	d->failures = 0;
	if (!document_is_behind(d, fetch->doc))
		d->reported_behind = -1;
	else if (!document_overtaken(fetch))
		document_report_behind(d, fetch->doc);
	document_install(d, g_steal_pointer(&fetch->doc), d->watching);
	if (again)
		document_refetch(d);
}

/* Reads the document from the store; during a read, schedules one more. */
void document_refetch(struct document *d)
{
	kn_timer_cancel(&d->retry);
	if (d->fetch)
		d->fetch_again = true;
	else
		d->fetch = document_fetch(d, on_fetched, NULL);
}

/*
 * Called when the root in the store changes. The root in the event only
 * decides whether to read the document: the root is read again along with
 * the bodies, because a later change may have replaced it by then.
 */
static void on_root(struct kv_watch *watch, const struct kv_item *item)
{
	struct document *d = container_of(watch, struct document, watch);
	struct doc *root;
	GError *err = NULL;

	if (strcmp(item->key, DOC_ROOT_KEY) != 0)
		return;
	root = item->value ? doc_root_parse(item->value, item->len, &err) :
			     doc_new();
	if (!root) {
		log_err("document.bad_root", "reason=\"%s\"", err->message);
		g_error_free(err);
		return;
	}
	if (document_is_behind(d, root))
		document_report_behind(d, root);
	else if (!d->view || doc_supersedes(root, d->doc))
		document_refetch(d);
	doc_free(root);
}

static void on_watch_state(struct kv_watch *watch, bool up)
{
	struct document *d = container_of(watch, struct document, watch);

	ev_emit("document.watch", "up=%d", up);
	if (up && !d->view)
		document_refetch(d);
}

/* Only the leading host of the data centre watches the root. */
static void set_leading(struct document *d, bool leading)
{
	if (leading == d->watching)
		return;
	d->watching = leading;
	if (leading)
		d->kv->ops->watch(d->kv, &d->watch);
	else
		d->kv->ops->unwatch(d->kv, &d->watch);
}

/* Task. */

static void subscribe(struct document *d, struct kn_task *from)
{
	g_ptr_array_add(d->subscribers, from);
	if (d->view)
		send_view(d, from);
}

static void on_peer_up(struct document *d, const struct pr_status *status)
{
	if (status->doc_revision > d->doc->revision)
		document_pull(d, status->host, status->doc_revision);
}

static void document_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct document *d = container_of(task, struct document, task);

	switch (msg->type) {
	case SVC_SUBSCRIBE:
		subscribe(d, msg->from);
		break;
	case SVC_LEAD_CHANGED:
		set_leading(d,
			    container_of(msg, struct svc_lead, msg)->leading);
		break;
	case SVC_API_CALL:
		document_api_call(d,
				  container_of(msg, struct svc_api_call, msg));
		return; /* the answer sends the message back to the API */
	case SVC_API_AUTH:
		document_api_auth(d,
				  container_of(msg, struct svc_api_call, msg));
		return; /* the answer sends the message back to the API */
	case PR_MSG_UP:
		on_peer_up(d, container_of(msg, struct pr_status, msg));
		break;
	case PR_MSG_IN:
		document_peer_message(d, container_of(msg, struct pr_in, msg));
		break;
	default:
		break;
	}
	kn_msg_release(msg);
}

static bool document_start(struct kn_task *task, GError **err)
{
	struct document *d = container_of(task, struct document, task);
	struct kn_task *lead = kn_find(task->kn, SVC_LEAD);

	d->peers = kn_find(task->kn, SVC_PEERS);
	if (d->peers) {
		pr_subscribe(d->peers, task, 0);
		pr_subscribe(d->peers, task, PR_HEARTBEAT);
		pr_subscribe(d->peers, task, PR_DOC_PULL);
		pr_subscribe(d->peers, task, PR_DOC_PUSH);
	}
	if (lead)
		svc_subscribe(lead, task);
	else
		set_leading(d, true);
	document_refetch(d);
	return true;
}

static void on_stop(struct kn_timer *timer)
{
	struct document *d = container_of(timer, struct document, stop_timer);

	d->stopping = true;
	document_changes_stop(d);
	if (!d->task.drained)
		kn_drained(&d->task);
}

/* A change ends by its own deadline, or when the grace is nearly over. */
static void document_drain(struct kn_task *task)
{
	struct document *d = container_of(task, struct document, task);

	kn_timer_set(task->kn, &d->stop_timer, stop_services_us(d->set),
		     on_stop);
	if (list_empty(&d->changes))
		kn_drained(task);
}

static void document_finish(struct kn_task *task)
{
	struct document *d = container_of(task, struct document, task);

	set_leading(d, false);
	kn_timer_cancel(&d->retry);
	kn_timer_cancel(&d->stop_timer);
	document_changes_finish(d);
	document_queries_finish(d);
	document_fetches_finish(d);
	document_prunes_finish(d);
	ctr_finish(&d->changes_done);
	ctr_finish(&d->revision);
	doc_view_unref(d->view);
	doc_free(d->doc);
	doc_free(d->incoming);
	g_ptr_array_free(d->subscribers, TRUE);
	g_rand_free(d->rand);
	g_free(d);
}

static const struct kn_task_ops document_ops = {
	.start = document_start,
	.receive = document_receive,
	.drain = document_drain,
	.finish = document_finish,
};

struct kn_task *document_new(struct kn *kn, const struct set *set,
			     struct kv *kv, uint64_t incarnation)
{
	struct document *d = g_new0(struct document, 1);

	d->set = set;
	d->kv = kv;
	d->incarnation = incarnation;
	d->doc = doc_new();
	d->reported_behind = -1;
	d->subscribers = g_ptr_array_new();
	d->rand = g_rand_new();
	d->watch.event = on_root;
	d->watch.state = on_watch_state;
	g_strlcpy(d->watch.prefix, DOC_ROOT_KEY, sizeof(d->watch.prefix));
	list_init(&d->changes);
	list_init(&d->fetches);
	list_init(&d->queries);
	list_init(&d->prunes);
	d->history_keep = DOC_HISTORY_KEEP;
	ctr_init(&d->changes_done, &kn->counters, CTR_COUNTER,
		 "chivebank_document_changes_total", NULL,
		 "Document changes that this host carried out");
	ctr_init(&d->revision, &kn->counters, CTR_GAUGE,
		 "chivebank_document_revision", NULL,
		 "Revision of the document in force");
	kn_add(kn, &d->task, SVC_DOCUMENT, &document_ops);
	return &d->task;
}
