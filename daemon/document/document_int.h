#ifndef DAEMON_DOCUMENT_DOCUMENT_INT_H
#define DAEMON_DOCUMENT_DOCUMENT_INT_H

#include "base/set.h"
#include "daemon/svc.h"
#include "policy/doc.h"
#include "wire/kv.h"
#include "wire/pr.h"

/* Private to the document service. */

#define DOC_ROOT_KEY "/chivebank/doc/root"

struct document {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	uint64_t incarnation;
	struct kn_task *peers; /* or NULL */
	/* In force. */
	struct doc *doc;
	struct doc_view *view; /* NULL until a document is known */
	GPtrArray *subscribers;
	/* From the store. */
	struct kv_watch watch;
	bool watching;
	struct doc_fetch *fetch; /* of a root that was seen, or at start */
	bool fetch_again;
	unsigned int failures;
	struct kn_timer retry;
	int64_t reported_behind; /* root revision last reported, or -1 */
	/* From peers. */
	struct doc *incoming; /* partly received */
	int64_t requested_revision;
	int64_t requested_us;
	/* Changes; the first one runs. */
	struct list_head changes;
	struct list_head fetches; /* struct doc_fetch in progress */
	struct list_head queries; /* reads of older revisions in progress */
	struct list_head prunes; /* struct doc_prune in progress */
	int64_t history_keep; /* DOC_HISTORY_KEEP, less in tests */
	uint64_t next_change;
	GRand *rand; /* jitter only */
	struct ctr changes_done;
	struct ctr revision;
};

/* Document.c. */

void document_install(struct document *d, struct doc *doc, bool announce);
bool document_is_behind(const struct document *d, const struct doc *root);
void document_report_behind(struct document *d, const struct doc *root);
int64_t document_backoff_us(struct document *d, unsigned int failures);
void document_refetch(struct document *d);

/* Document_fetch.c. */

/* A read of the root and of the bodies that this host lacks. */
struct doc_fetch {
	struct list_head node;
	struct document *d;
	struct kv_call call;
	struct doc *doc; /* revision 0 when the store holds none */
	int64_t mod_revision; /* of the root, 0 when absent */
	GPtrArray *missing;
	unsigned int next;
	unsigned int batch;
	/* result is CB_OK, or why the document could not be read. */
	void (*done)(struct doc_fetch *fetch, int result);
	void *user;
};

struct doc_fetch *
document_fetch(struct document *d,
	       void (*done)(struct doc_fetch *fetch, int result), void *user);

void document_fetches_finish(struct document *d);

/* Document_peer.c. */

void document_push(struct document *d, const char *host, int64_t since);
void document_pull(struct document *d, const char *host, int64_t revision);
void document_peer_message(struct document *d, struct pr_in *in);

/* Document_change.c. */

/* Starts a change; takes over change.body and copies the texts. */
void document_change(struct document *d, struct svc_api_call *call,
		     const struct doc_change *change);
void document_changes_finish(struct document *d);

/* Document_prune.c. */

/* Removes old revisions after a change that made this one. */
void document_prune(struct document *d, int64_t revision);
void document_prunes_finish(struct document *d);

/* Document_api.c, document_read.c. */

/* Fills team and may of a call and sends it back, or fails it. */
void document_api_auth(struct document *d, struct svc_api_call *call);
void document_api_call(struct document *d, struct svc_api_call *call);
bool document_query_int(struct document *d, struct svc_api_call *call,
			const char *name, int64_t missing, int64_t *out);
void document_history(struct document *d, struct svc_api_call *call);
void document_diff(struct document *d, struct svc_api_call *call, bool admin);
void document_revert(struct document *d, struct svc_api_call *call,
		     const char *team, int64_t base);
void document_queries_finish(struct document *d);

#endif
