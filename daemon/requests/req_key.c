#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "wire/mp.h"
#include "daemon/requests/req_int.h"

#define KEY_STORE_PREFIX "/chivebank/keys/"
#define STORE_KEY_BYTES (IDEM_KEY_BYTES + sizeof(KEY_STORE_PREFIX))

/* Stored answers of finished keys. */

static void pack_answer(struct mp_out *out, const struct req_call *call)
{
	mp_begin(out, 2);
	mp_headers(out, &call->reply_headers);
	mp_bin(out, call->reply, call->reply_len);
}

/* Copies a stored answer into a call; false when it cannot be decoded. */
static bool unpack_answer(const struct idem_answer *answer,
			  struct req_call *call)
{
	msgpack_unpacked unpacked;
	struct mp_in in;
	const void *body;
	size_t len;

	msgpack_unpacked_init(&unpacked);
	in.ok = msgpack_unpack_next(&unpacked, answer->blob, answer->len,
				    NULL) == MSGPACK_UNPACK_SUCCESS;
	if (in.ok) {
		mp_open(&in, &unpacked.data);
		mp_get_headers(&in, &call->reply_headers);
		body = mp_get_bin(&in, &len);
		if (in.ok && len > 0) {
			call->reply = g_memdup2(body, len);
			call->reply_len = len;
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	return in.ok;
}

static void replay(struct req *req, const struct idem_answer *answer)
{
	ctr_add(&req->r->ctrs.replayed, 1);
	if (!unpack_answer(answer, req->call)) {
		req_answer_unknown(req, CB_E_ANSWER_FORGOTTEN);
		return;
	}
	req->call->outcome = IDEM_ANSWERED;
	req->call->result = CB_OK;
	req->call->status = answer->status;
	req_answer(req);
}

/* Start and end of a request with a key. */

/*
 * Makes the key under which a request is recorded: a ticket as it is, or
 * k/CUSTOMER/KEY, since each customer has its own space of keys that callers
 * choose. False when the key is not valid.
 */
static bool scoped_key(const struct req_call *call, char out[IDEM_KEY_BYTES])
{
	size_t len = strlen(call->key);
	const char *p;

	if (len == 0 || len > KEY_MAX_BYTES)
		return false;
	for (p = call->key; *p; p++)
		if (*p <= ' ' || *p > '~')
			return false;
	if (idem_is_ticket(call->key))
		snprintf(out, IDEM_KEY_BYTES, "%s", call->key);
	else
		snprintf(out, IDEM_KEY_BYTES, "k/%s/%s", call->customer,
			 call->key);
	return true;
}

/* Digest of a request, including its customer and its service. */
static struct idem_digest request_digest(const struct req_call *call)
{
	char *target = g_strdup_printf("%s %s %s", call->customer,
				       call->service, call->target);
	struct idem_digest digest =
		idem_digest(call->method, target, call->body, call->body_len);

	g_free(target);
	return digest;
}

/* Starts a request with a key, as the state of the key requires. */
void req_key_begin(struct req *req)
{
	struct req_task *r = req->r;
	struct idem_digest digest = request_digest(req->call);
	char key[IDEM_KEY_BYTES];
	struct idem_entry *entry;
	struct idem_owner owner;
	int result;

	if (!scoped_key(req->call, key)) {
		req_answer_not_run(req, CB_E_BAD_KEY);
		return;
	}
	if (!r->kv && !idem_is_ticket(key)) {
		req_answer_not_run(req, CB_E_STORE_DOWN);
		return;
	}
	switch (idem_begin(&r->keys, key, &digest, kn_now_us(), &entry, &owner,
			   &result)) {
	case IDEM_RUN:
		req->entry = entry;
		entry->user = req;
		req_enqueue(req);
		break;
	case IDEM_CLAIM:
		req->entry = entry;
		entry->user = req;
		req_set_state(req, REQ_ST_CLAIMING);
		ctr_add(&r->ctrs.claims, 1);
		req_ensure_tick(r);
		break;
	case IDEM_WAIT:
		req_set_state(req, REQ_ST_WAITING);
		idem_add_waiter(entry, &req->waiter);
		req_ensure_tick(r);
		break;
	case IDEM_REPLAY:
		replay(req, &entry->answer);
		break;
	case IDEM_UNAVAILABLE:
		req_answer_unknown(req, result);
		break;
	case IDEM_FORWARD:
		req_forward_owner(req, &owner);
		break;
	case IDEM_REFUSE:
		req_answer_not_run(req, result);
		break;
	}
}

static void answer_waiter(struct req *to, const struct req_call *from)
{
	struct req_call *call = to->call;
	size_t i;

	call->outcome = from->outcome;
	call->result = from->result;
	call->status = from->status;
	call->retry_after_s = from->retry_after_s;
	for (i = 0; i < from->reply_headers.count; i++)
		http_headers_add(&call->reply_headers,
				 from->reply_headers.items[i].name,
				 from->reply_headers.items[i].value);
	if (from->reply_len > 0)
		call->reply = g_memdup2(from->reply, from->reply_len);
	call->reply_len = from->reply_len;
	req_set_state(to, REQ_ST_NEW);
	req_answer(to);
}

static struct req *pop_waiter(struct idem_entry *entry)
{
	struct idem_waiter *waiter;

	if (list_empty(&entry->waiters))
		return NULL;
	waiter = list_first_entry(&entry->waiters, struct idem_waiter, node);
	idem_remove_waiter(waiter);
	return container_of(waiter, struct req, waiter);
}

/*
 * Records the outcome of a request, and answers the requests that wait for its
 * key. When the request ends before the store has answered the claim, the entry
 * stays until that answer arrives.
 */
void req_key_end(struct req *req)
{
	struct idem_entry *entry = req->entry;
	struct req_call *call = req->call;
	struct req_task *r = req->r;
	struct mp_out out;
	struct req *other;

	req->entry = NULL;
	entry->user = NULL;
	while ((other = pop_waiter(entry)))
		answer_waiter(other, call);
	if (entry->state == IDEM_STATE_CLAIMING)
		return;
	if (call->outcome != IDEM_ANSWERED) {
		idem_end(&r->keys, entry, call->outcome, call->result,
			 call->status, NULL, 0, kn_now_us());
		return;
	}
	pack_answer(&out, call);
	idem_end(&r->keys, entry, IDEM_ANSWERED, CB_OK, call->status,
		 out.buf.data, out.buf.size, kn_now_us());
	mp_end(&out);
}

/* Claims of keys in the store. */

/* A store transaction that claims up to KEY_BATCH_MAX keys, all or none. */
struct batch {
	struct list_head node;
	struct kv_call call;
	struct req_task *r;
	size_t n;
	struct idem_entry *entries[KEY_BATCH_MAX];
	char keys[KEY_BATCH_MAX][STORE_KEY_BYTES];
	char values[KEY_BATCH_MAX][IDEM_CLAIM_BYTES];
};

/*
 * Returns the request that made a claim, ready to go on. If it has ended, the
 * first request that waits for the key takes its place; NULL if there is none.
 */
static struct req *resume_attempt(struct idem_entry *entry)
{
	struct req *req = entry->user;

	if (!req && (req = pop_waiter(entry))) {
		req->entry = entry;
		entry->user = req;
	}
	if (req)
		req_set_state(req, REQ_ST_NEW);
	return req;
}

static void claim_won(struct req_task *r, struct idem_entry *entry)
{
	struct req *req = resume_attempt(entry);

	if (req)
		req_enqueue(req);
	else
		idem_end(&r->keys, entry, IDEM_NOT_RUN, CB_E_DEADLINE, 0, NULL,
			 0, kn_now_us());
}

/*
 * Drops a claim that this host did not get. Its requests are forwarded to the
 * owner, or, without an owner, answered as unknown with result.
 */
static void claim_lost(struct req_task *r, struct idem_entry *entry,
		       const struct idem_owner *owner, int result)
{
	struct req *req;

	while ((req = resume_attempt(entry))) {
		req->entry = NULL;
		entry->user = NULL;
		if (owner)
			req_forward_owner(req, owner);
		else
			req_answer_unknown(req, result);
	}
	idem_remove(&r->keys, entry);
}

static void resolve_claim(struct batch *batch, struct idem_entry *entry,
			  const char *value)
{
	struct req_task *r = batch->r;
	struct idem_owner owner;
	int result = CB_OK;

	switch (idem_claim_resolve(&r->keys, entry, value, &owner, &result)) {
	case IDEM_RUN:
		claim_won(r, entry);
		break;
	case IDEM_FORWARD:
		claim_lost(r, entry, &owner, result);
		break;
	case IDEM_CLAIM:
		idem_claim_queue(&r->keys, entry, kn_now_us());
		break;
	default:
		claim_lost(r, entry, NULL, result);
		break;
	}
}

static const char *find_value(const struct kv_call *call, const char *key)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (strcmp(call->items[i].key, key) == 0)
			return call->items[i].value;
	return NULL;
}

/*
 * Refuses the requests of a batch that the store did not accept. The entries
 * are dropped, because the store holds no claim for them.
 */
static void refuse_batch(struct batch *batch, int result)
{
	struct idem_entry *entry;
	struct req *req;
	size_t i;

	for (i = 0; i < batch->n; i++) {
		entry = batch->entries[i];
		while ((req = resume_attempt(entry))) {
			req->entry = NULL;
			entry->user = NULL;
			req_answer_not_run(req, result);
		}
		idem_remove(&batch->r->keys, entry);
	}
}

static void batch_done(struct kv_call *call)
{
	struct batch *batch = container_of(call, struct batch, call);
	struct req_task *r = batch->r;
	size_t i;

	list_del(&batch->node);
	if (call->result == CB_E_STORE_DOWN) {
		refuse_batch(batch, CB_E_STORE_DOWN);
	} else if (call->result != CB_OK) {
		/* Unknown result: claiming again shows who owns the keys. */
		for (i = 0; i < batch->n; i++)
			idem_claim_queue(&r->keys, batch->entries[i],
					 kn_now_us());
	} else {
		for (i = 0; i < batch->n; i++)
			resolve_claim(batch, batch->entries[i],
				      call->succeeded ?
					      batch->values[i] :
					      find_value(call, batch->keys[i]));
	}
	g_free(batch);
	req_ensure_tick(r);
	req_check_drained(r);
}

static void send_batch(struct req_task *r)
{
	struct kv_cmp cmps[KEY_BATCH_MAX];
	struct kv_op puts[KEY_BATCH_MAX], gets[KEY_BATCH_MAX];
	struct batch *batch = g_new0(struct batch, 1);
	size_t i;

	batch->r = r;
	batch->call.done = batch_done;
	batch->n = idem_claims_take(&r->keys, batch->entries, KEY_BATCH_MAX);
	memset(cmps, 0, sizeof(cmps));
	memset(puts, 0, sizeof(puts));
	memset(gets, 0, sizeof(gets));
	for (i = 0; i < batch->n; i++) {
		snprintf(batch->keys[i], STORE_KEY_BYTES, "%s%s",
			 KEY_STORE_PREFIX, batch->entries[i]->key);
		idem_claim_value(&r->keys, batch->entries[i], batch->values[i]);
		cmps[i].key = batch->keys[i];
		puts[i].kind = KV_PUT;
		puts[i].key = batch->keys[i];
		puts[i].value = batch->values[i];
		puts[i].len = strlen(batch->values[i]);
		puts[i].lease = r->lease;
		gets[i].kind = KV_RANGE;
		gets[i].key = batch->keys[i];
	}
	list_add_tail(&batch->node, &r->batches);
	ctr_add(&r->ctrs.claim_batches, 1);
	r->kv->ops->txn(r->kv, &batch->call, cmps, batch->n, puts, batch->n,
			gets, batch->n);
}

static bool lease_usable(const struct req_task *r, int64_t now_us)
{
	return r->lease != 0 &&
	       now_us - r->lease_requested_us < KEY_KEEP_SEC * USEC_PER_SEC;
}

static void on_lease_granted(struct kv_call *call)
{
	struct req_task *r = container_of(call, struct req_task, grant);
	struct batch batch;

	r->granting = false;
	if (call->result == CB_OK) {
		r->lease = call->lease;
		r->lease_requested_us = r->grant_requested_us;
		req_ensure_tick(r);
		return;
	}
	if (lease_usable(r, kn_now_us()))
		return;
	/* Without a usable lease, no queued claim can be sent. */
	while (r->keys.claim_count > 0) {
		batch.r = r;
		batch.n = idem_claims_take(&r->keys, batch.entries,
					   KEY_BATCH_MAX);
		refuse_batch(&batch, CB_E_STORE_DOWN);
	}
	req_check_drained(r);
}

/*
 * Requests a lease when there is none, and the next one when three quarters of
 * KEY_KEEP_SEC have passed. A claim must outlive the time during which its
 * owner would still run it. So a lease is used for KEY_KEEP_SEC after it was
 * requested, and its time to live is twice KEY_KEEP_SEC plus
 * KEY_LEASE_MARGIN_SEC.
 */
static void renew_lease(struct req_task *r, int64_t now_us)
{
	int64_t age_us = now_us - r->lease_requested_us;

	if (r->granting ||
	    (r->lease != 0 && age_us < KEY_KEEP_SEC * 3 / 4 * USEC_PER_SEC))
		return;
	if (lease_usable(r, now_us) &&
	    now_us - r->grant_requested_us <
		    STORE_BACKOFF_CAP_MS * USEC_PER_MSEC)
		return;
	r->granting = true;
	r->grant_requested_us = now_us;
	r->grant.done = on_lease_granted;
	r->kv->ops->grant(r->kv, &r->grant,
			  2 * KEY_KEEP_SEC + KEY_LEASE_MARGIN_SEC);
}

static unsigned int count_batches(const struct req_task *r)
{
	const struct list_head *node;
	unsigned int n = 0;

	for (node = r->batches.next; node != &r->batches; node = node->next)
		n++;
	return n;
}

/* Sends the queued claims to the store when they are due. */
void req_claims_tick(struct req_task *r, int64_t now_us)
{
	if (r->keys.claim_count == 0)
		return;
	renew_lease(r, now_us);
	while (lease_usable(r, now_us) && count_batches(r) < KEY_BATCHES_MAX &&
	       idem_claims_due(&r->keys, now_us))
		send_batch(r);
}

/*
 * Frees the batches in progress; the store drops their calls without calling
 * done().
 */
void req_claims_finish(struct req_task *r)
{
	struct batch *batch, *tmp;

	list_for_each_entry_safe(batch, tmp, &r->batches, node)
		g_free(batch);
}

/* Tickets: keys that this host creates for callers. */

void req_tickets(struct req_task *r, struct req_tickets *msg)
{
	char text[IDEM_KEY_BYTES];
	unsigned int i;

	for (i = 0; i < msg->count && !r->refusing; i++)
		if (idem_ticket_issue(&r->keys, text, sizeof(text),
				      kn_now_us()))
			g_ptr_array_add(msg->tickets, g_strdup(text));
	kn_send(msg->msg.from, &r->task, &msg->msg);
}
