#ifndef DAEMON_DOCUMENT_DOCUMENT_INT_H
#define DAEMON_DOCUMENT_DOCUMENT_INT_H

#include "base/set.h"
#include "daemon/svc.h"
#include "policy/doc.h"
#include "wire/kv.h"
#include "wire/pr.h"

/* Internals shared by the source files of the document service. */

#define DOC_ROOT_KEY "/chivebank/doc/root"

struct document {
	struct kn_task task;
	const struct set *set;
	struct kv *kv;
	uint64_t incarnation;
	struct kn_task *peers; /* or NULL */
	/* The document in force. */
	struct doc *doc;
	struct doc_view *view; /* NULL until a document is known */
	GPtrArray *subscribers; /* tasks that are sent each new view */
	/* Reading the document from the store. */
	struct kv_watch watch; /* of the root */
	bool watching; /* while this host leads */
	struct doc_fetch *fetch; /* in progress, NULL if none */
	bool fetch_again; /* read once more after the fetch */
	unsigned int failures; /* consecutive failed fetches */
	struct kn_timer retry; /* after a failed fetch */
	int64_t reported_behind; /* root revision last reported, or -1 */
	/* Receiving the document from peers. */
	struct doc *incoming; /* partly received */
	int64_t requested_revision; /* of the last pull */
	int64_t requested_us; /* time of the last pull */
	/* Operations of the store. */
	struct list_head changes; /* struct change; the first one is running */
	struct list_head fetches; /* struct doc_fetch in progress */
	struct kn_timer stop_timer;
	bool stopping; /* the grace is nearly over: no more changes */
	struct list_head queries; /* struct query in progress */
	struct list_head prunes; /* struct doc_prune in progress */
	int64_t history_keep; /* DOC_HISTORY_KEEP, less in tests */
	uint64_t next_change; /* counter for change ids */
	GRand *rand; /* for the jitter of retries */
	struct ctr changes_done;
	struct ctr revision;
};

/* document.c */

void document_install(struct document *d, struct doc *doc, bool announce);
bool document_is_behind(const struct document *d, const struct doc *root);
void document_report_behind(struct document *d, const struct doc *root);
int64_t document_backoff_us(struct document *d, unsigned int failures);
void document_refetch(struct document *d);

/* document_fetch.c */

/* A read of the root and of the bodies that this host does not have yet. */
struct doc_fetch {
	struct list_head node;
	struct document *d;
	struct kv_call call;
	int64_t in_force; /* revision in force when the read was sent */
	struct doc *doc; /* revision 0 when the store holds none */
	int64_t mod_revision; /* of the root, 0 when absent */
	GPtrArray *missing; /* sections whose bodies are to be read */
	unsigned int next; /* index in missing of the current batch */
	unsigned int batch; /* number of bodies in the current batch */
	/* result is CB_OK, or the error that the read failed with. */
	void (*done)(struct doc_fetch *fetch, int result);
	void *user;
};

struct doc_fetch *
document_fetch(struct document *d,
	       void (*done)(struct doc_fetch *fetch, int result), void *user);

bool document_overtaken(const struct doc_fetch *fetch);
void document_fetches_finish(struct document *d);

/* document_peer.c */

void document_push(struct document *d, const char *host, int64_t since);
void document_pull(struct document *d, const char *host, int64_t revision);
void document_peer_message(struct document *d, struct pr_in *in);

/* document_change.c */

/* Queues a change. Takes ownership of change->body and copies the strings. */
void document_change(struct document *d, struct svc_api_call *call,
		     const struct doc_change *change);
/* Answers all changes, as the process is about to end. */
void document_changes_stop(struct document *d);
void document_changes_finish(struct document *d);

/* document_prune.c */

/* Called after each change; starts pruning if one is due at this revision. */
void document_prune(struct document *d, int64_t revision);
void document_prunes_finish(struct document *d);

/* document_api.c, document_read.c */

/* Sets team and allowed_prefixes of a call and returns it, or fails it. */
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
