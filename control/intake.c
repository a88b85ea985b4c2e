#include "control/intake.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "control/keys.h"
#include "control/record.h"

#define JOB_ID_LEN 16
/* Part of the caller's deadline that is reserved for sending the answer. */
#define ANSWER_MARGIN_MS 100
#define RETRY_MS 80
/* Cache time of the counts, which may be 2 s old; the leader writes them every
 * 500 ms. */
#define COUNT_CACHE_MS 500
/* Store outages last some seconds, and callers retry only a few times. */
#define STORE_RETRY_AFTER_S 2
#define CONFIG_RETRY_AFTER_S 1
#define DRAINING_RETRY_AFTER_S 1 /* the balancer chooses another host */
#define DEADLINE_RETRY_AFTER_S 1 /* a retry with more time can succeed */

enum intake_step {
	STEP_WRITE_SPEC,
	STEP_READ_STATE,
	STEP_READ_SPEC, /* if the job has no state record */
	STEP_CHECK_SPEC, /* before STEP_WRITE_CANCEL */
	STEP_WRITE_CANCEL,
	STEP_READ_COUNT,
};

struct intake_request {
	struct list_head node;
	struct intake *intake;
	struct caller_call *caller;
	enum intake_step step;
	char *id;
	char *queue;
	char *customer; /* "" without an API key */
	char *key_digest; /* of the API key, or NULL */
	bool open; /* the queue requires no API key */
	char *key;
	char *value; /* record to be written */
	size_t value_len;
	bool maybe_written; /* an unanswered write may still be applied */
	bool spec_found;
	int64_t spec_rev; /* as read by STEP_CHECK_SPEC, 0: there is none */
	int tries;
	struct kv_call call;
	bool calling;
	struct kn_timer timer;
	struct kn_timer deadline;
};

static void request_free(struct intake_request *req)
{
	if (req->calling)
		req->intake->adapter->kv->ops->cancel(req->intake->adapter->kv,
						      &req->call);
	kn_timer_cancel(&req->timer);
	kn_timer_cancel(&req->deadline);
	list_del(&req->node);
	g_free(req->id);
	g_free(req->queue);
	g_free(req->customer);
	g_free(req->key_digest);
	g_free(req->key);
	g_free(req->value);
	g_free(req);
}

/* Answers. */

static const char *const verb_names[] = { "submit", "status", "cancel",
					  "count" };

static void log_answer(const struct intake *intake,
		       const struct caller_call *call, const char *id,
		       const char *queue, int tries)
{
	const struct config *config = intake->configuration->current;

	/* Successful reads are not logged. */
	if (call->result == CB_OK &&
	    (call->verb == CALLER_STATUS || call->verb == CALLER_COUNT))
		return;
	log_info("caller.answer",
		 "verb=%s job=%s queue=%s result=%d config=%" G_GINT64_FORMAT
		 " tries=%d took_ms=%" G_GINT64_FORMAT " retry_after_s=%d",
		 verb_names[call->verb], id ? id : "-", queue ? queue : "-",
		 call->result, config ? config->version : 0, tries,
		 (kn_now_us() - call->received_us) / 1000, call->retry_after_s);
}

static void answer(struct intake *intake, struct caller_call *call, int result,
		   int retry_after_s)
{
	call->result = result;
	call->retry_after_s = retry_after_s;
	ctr_add(&intake->outcomes[call->verb], 1);
	if (cb_result_http(result) == 503 || cb_result_http(result) == 429)
		ctr_add(&intake->refused, 1);
	if (result == CB_E_TIMEOUT)
		ctr_add(&intake->unknown, 1);
	ctr_observe(&intake->call_ms,
		    (uint64_t)(kn_now_us() - call->received_us) / 1000);
	intake->service.answer(call);
}

static void finish(struct intake_request *req, int result, int retry_after_s)
{
	struct intake *intake = req->intake;
	struct caller_call *call = req->caller;

	call->result = result;
	call->retry_after_s = retry_after_s;
	log_answer(intake, call, req->id, req->queue, req->tries);
	request_free(req);
	answer(intake, call, result, retry_after_s);
}

/* Store calls of a request, one step after the other. */

static void run_step(struct intake_request *req);

static void on_retry(struct kn_timer *timer)
{
	run_step(container_of(timer, struct intake_request, timer));
}

static bool writes(const struct intake_request *req)
{
	return req->step == STEP_WRITE_SPEC || req->step == STEP_WRITE_CANCEL;
}

/* Time until the caller's deadline less ANSWER_MARGIN_MS. */
static int64_t time_left_us(const struct caller_call *call)
{
	return call->deadline_us - kn_now_us() -
	       ANSWER_MARGIN_MS * USEC_PER_MSEC;
}

static bool time_is_left(const struct intake_request *req)
{
	return time_left_us(req->caller) > 2 * RETRY_MS * USEC_PER_MSEC;
}

/* A write is in progress or was not answered; reads change nothing. */
static bool outcome_is_unknown(const struct intake_request *req)
{
	return req->maybe_written || (req->calling && writes(req));
}

/* The result of a request whose time is over. */
static int result_without_answer(const struct intake_request *req)
{
	return outcome_is_unknown(req) ? CB_E_TIMEOUT : CB_E_STORE_DOWN;
}

/*
 * Handles a store call that timed out or was refused. An unanswered write can
 * be repeated safely, as the record can be created only once. If the store is
 * unreachable, the call fails at once: as not accepted, or with an unknown
 * outcome if an earlier write may still be applied.
 */
static void store_failed(struct intake_request *req, int result)
{
	if (result == CB_E_TIMEOUT && writes(req))
		req->maybe_written = true;
	if (result == CB_E_STORE_DOWN) {
		finish(req, req->maybe_written ? CB_E_TIMEOUT : CB_E_STORE_DOWN,
		       STORE_RETRY_AFTER_S);
		return;
	}
	if (time_is_left(req)) {
		kn_timer_set(req->intake->adapter->kv->kn, &req->timer,
			     RETRY_MS * USEC_PER_MSEC, on_retry);
		return;
	}
	finish(req, result_without_answer(req), STORE_RETRY_AFTER_S);
}

/* The store has not answered within the caller's deadline. */
static void on_deadline(struct kn_timer *timer)
{
	struct intake_request *req =
		container_of(timer, struct intake_request, deadline);

	finish(req, result_without_answer(req), STORE_RETRY_AFTER_S);
}

/* Runs the next step, or fails the request if its deadline has passed. */
static void next_step(struct intake_request *req, enum intake_step step)
{
	req->step = step;
	if (time_left_us(req->caller) <= 0)
		finish(req, req->maybe_written ? CB_E_TIMEOUT : CB_E_DEADLINE,
		       DEADLINE_RETRY_AFTER_S);
	else
		run_step(req);
}

static void on_write(struct intake_request *req, const struct kv_call *call)
{
	const struct kv_item *item = kv_find(call, req->key);

	/* The submission has been written or removed since it was checked. */
	if (req->step == STEP_WRITE_CANCEL && !call->succeeded &&
	    (!item || item->mod_revision == 0)) {
		next_step(req, STEP_CHECK_SPEC);
		return;
	}
	/* After a failed compare too: the record exists already, from an
	 * earlier attempt of the same request. */
	if (req->step == STEP_WRITE_SPEC || req->spec_found)
		finish(req, CB_OK, 0);
	else
		finish(req, CB_E_NO_JOB, 0);
}

/*
 * A job that was handed in without a key is everyone's, also once its queue
 * requires one. Otherwise it is the customer's, and of whoever has the key that
 * it was handed in with: the customer may have another name by now, and hosts
 * may have different configurations. An open queue shows its own jobs.
 */
static bool may_see(const struct intake_request *req,
		    const struct job_owner *owner)
{
	bool open = req->open &&
		    (!owner->queue || strcmp(owner->queue, req->queue) == 0);

	return open || !owner->customer || !*owner->customer ||
	       strcmp(req->customer, owner->customer) == 0 ||
	       (req->key_digest &&
		g_strcmp0(req->key_digest, owner->key_digest) == 0);
}

static void on_state(struct intake_request *req, const struct kv_call *call)
{
	enum job_phase phase;
	struct job_owner owner;
	bool visible;

	if (call->count == 0) {
		next_step(req, STEP_READ_SPEC);
		return;
	}
	if (!record_phase_read(call->items[0].value, call->items[0].len, &phase,
			       &owner)) {
		job_owner_finish(&owner);
		log_err("state.unreadable", "job=%s result=%d", req->id,
			CB_E_INTERNAL);
		finish(req, CB_E_INTERNAL, 0);
		return;
	}
	visible = may_see(req, &owner);
	job_owner_finish(&owner);
	req->caller->phase = phase;
	finish(req, visible ? CB_OK : CB_E_NO_JOB, 0);
}

static const struct kv_item *find_suffix(const struct kv_call *call,
					 const char *suffix)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (g_str_has_suffix(call->items[i].key, suffix))
			return &call->items[i];
	return NULL;
}

static bool spec_visible(const struct intake_request *req,
			 const struct kv_item *item)
{
	struct job_owner owner;
	struct job *job;
	bool visible;

	if (!item)
		return false;
	job = record_submission_read(req->id, item->value, item->len);
	if (!job)
		return false;
	owner = (struct job_owner){ .queue = job->queue,
				    .customer = job->customer,
				    .key_digest = job->key_digest };
	visible = may_see(req, &owner);
	job_free(job);
	return visible;
}

static void on_spec(struct intake_request *req, const struct kv_call *call)
{
	const struct kv_item *spec = find_suffix(call, KEY_SPEC_SUFFIX);
	const struct kv_item *cancel = find_suffix(call, KEY_CANCEL_SUFFIX);

	if (req->step == STEP_CHECK_SPEC) {
		req->spec_found = spec_visible(req, spec);
		req->spec_rev = spec ? spec->mod_revision : 0;
		/* Reports another customer's job as unknown, and does not
		 * cancel it. */
		if (spec && !req->spec_found)
			finish(req, CB_E_NO_JOB, 0);
		else if (cancel)
			finish(req, req->spec_found ? CB_OK : CB_E_NO_JOB, 0);
		else
			next_step(req, STEP_WRITE_CANCEL);
		return;
	}
	if (!spec_visible(req, spec)) {
		finish(req, CB_E_NO_JOB, 0);
		return;
	}
	req->caller->phase = cancel ? JOB_CANCELLED : JOB_QUEUED;
	finish(req, CB_OK, 0);
}

static void answer_count(struct intake_request *req)
{
	struct intake *intake = req->intake;
	int64_t count = record_waiting_read(intake->waiting,
					    intake->waiting_len, req->queue);

	req->caller->waiting = MAX(count, 0);
	finish(req, CB_OK, 0);
}

static void on_count(struct intake_request *req, const struct kv_call *call)
{
	struct intake *intake = req->intake;

	g_free(intake->waiting);
	intake->waiting = NULL;
	intake->waiting_len = 0;
	intake->waiting_us = kn_now_us();
	if (call->count > 0) {
		intake->waiting =
			g_memdup2(call->items[0].value, call->items[0].len);
		intake->waiting_len = call->items[0].len;
	}
	answer_count(req);
}

static void on_call(struct kv_call *call)
{
	struct intake_request *req = call->user;

	req->calling = false;
	if (call->result != CB_OK) {
		store_failed(req, call->result);
		return;
	}
	switch (req->step) {
	case STEP_WRITE_SPEC:
	case STEP_WRITE_CANCEL:
		on_write(req, call);
		break;
	case STEP_READ_STATE:
		on_state(req, call);
		break;
	case STEP_READ_SPEC:
	case STEP_CHECK_SPEC:
		on_spec(req, call);
		break;
	case STEP_READ_COUNT:
		on_count(req, call);
		break;
	}
}

/* Creates the record, a cancellation only beside the submission that was
 * checked. */
static void create(struct intake_request *req, const char *suffix)
{
	struct kv *kv = req->intake->adapter->kv;
	struct kv_cmp cmps[2] = { { .mod_revision = 0 },
				  { .mod_revision = req->spec_rev } };
	struct kv_op op = { .kind = KV_PUT };
	char *spec_key =
		g_strconcat(KEY_INTAKE_PREFIX, req->id, KEY_SPEC_SUFFIX, NULL);

	g_free(req->key);
	req->key = g_strconcat(KEY_INTAKE_PREFIX, req->id, suffix, NULL);
	cmps[0].key = req->key;
	cmps[1].key = spec_key;
	op.key = req->key;
	op.value = req->value ? req->value : "";
	op.len = req->value_len;
	kv->ops->txn(kv, &req->call, cmps,
		     req->step == STEP_WRITE_CANCEL ? 2 : 1, &op, 1, NULL, 0);
	g_free(spec_key);
}

static void read_key(struct intake_request *req, const char *prefix,
		     const char *suffix, bool all)
{
	struct kv *kv = req->intake->adapter->kv;

	g_free(req->key);
	req->key = g_strconcat(prefix, req->id ? req->id : "", suffix, NULL);
	kv->ops->range(kv, &req->call, req->key, all);
}

static void run_step(struct intake_request *req)
{
	memset(&req->call, 0, sizeof(req->call));
	req->call.done = on_call;
	req->call.user = req;
	req->calling = true;
	req->tries++;
	switch (req->step) {
	case STEP_WRITE_SPEC:
		create(req, KEY_SPEC_SUFFIX);
		break;
	case STEP_WRITE_CANCEL:
		create(req, KEY_CANCEL_SUFFIX);
		break;
	case STEP_READ_STATE:
		read_key(req, KEY_STATE_PREFIX, "", false);
		break;
	case STEP_READ_SPEC:
	case STEP_CHECK_SPEC:
		read_key(req, KEY_INTAKE_PREFIX, "/", true);
		break;
	case STEP_READ_COUNT:
		read_key(req, KEY_WAITING, "", false);
		break;
	}
}

/* Calls. */

static bool id_is_valid(const char *id)
{
	return strlen(id) == JOB_ID_LEN &&
	       strspn(id, "0123456789abcdefABCDEF") == JOB_ID_LEN;
}

/* Encodes the submission into req->value. Returns a result code. */
static int prepare_submission(struct intake_request *req,
			      const struct queue *queue)
{
	struct caller_call *call = req->caller;
	struct submission submission = {
		.queue = queue->name,
		.pool = queue->pool,
		.customer = req->customer,
		.key_digest = req->key_digest,
		.priority = queue->priority,
		.attempts = queue->attempts,
		.stretch = queue->stretch,
		.slo_ms = queue->slo_ms,
		.accepted_ms = kn_wall_us() / USEC_PER_MSEC,
	};
	msgpack_sbuffer record;
	struct job_spec spec;
	GError *err = NULL;

	if (!req->intake->adapter->read_spec(call->body, call->body_len, &spec,
					     &err)) {
		log_info("job.malformed", "job=%s text=\"%s\" result=%d",
			 req->id, err->message, err->code);
		g_error_free(err);
		return CB_E_BAD_JOB;
	}
	record_submission_write(&submission, &spec, &record);
	req->value = g_memdup2(record.data, record.size);
	req->value_len = record.size;
	msgpack_sbuffer_destroy(&record);
	job_spec_finish(&spec);
	return CB_OK;
}

/* Finds the customer of the call's API key. Returns a result code. */
static int authorize(const struct config *config, const struct queue *queue,
		     const struct caller_call *call, const char **customer)
{
	const struct customer *holder =
		call->key ? config_find_key_owner(config, call->key) : NULL;

	*customer = holder ? holder->name : "";
	return holder || queue->open ? CB_OK : CB_E_UNAUTHORIZED;
}

static int check(struct intake *intake, struct caller_call *call,
		 const struct queue **queue, const char **customer)
{
	const struct config *config = intake->configuration->current;
	size_t prefix;

	if (!configuration_confirmed(intake->configuration))
		return CB_E_STORE_DOWN;
	*queue = config_route(config, call->host, call->path);
	if (!*queue)
		return CB_E_UNKNOWN_PATH;
	prefix = strlen((*queue)->prefix);
	if (call->verb == CALLER_COUNT ? call->path[prefix] != '\0' :
					 !id_is_valid(call->path + prefix))
		return CB_E_UNKNOWN_PATH;
	if (config->body_max_bytes > 0 &&
	    (int64_t)call->body_len > config->body_max_bytes)
		return CB_E_BODY_TOO_LARGE;
	return authorize(config, *queue, call, customer);
}

static struct intake_request *request_new(struct intake *intake,
					  struct caller_call *call,
					  const struct queue *queue,
					  const char *customer)
{
	struct intake_request *req = g_new0(struct intake_request, 1);
	int64_t left_us = time_left_us(call);

	req->intake = intake;
	req->caller = call;
	req->queue = g_strdup(queue->name);
	req->customer = g_strdup(customer);
	/* A key that no customer has gives no right to a job. */
	if (*customer)
		req->key_digest = record_key_digest(call->key);
	req->open = queue->open;
	if (call->verb != CALLER_COUNT)
		req->id = g_strdup(call->path + strlen(queue->prefix));
	call->state = req;
	list_add_tail(&req->node, &intake->calls);
	kn_timer_set(intake->adapter->kv->kn, &req->deadline, MAX(left_us, 0),
		     on_deadline);
	return req;
}

static void start(struct intake_request *req, const struct queue *queue)
{
	int result;

	switch (req->caller->verb) {
	case CALLER_SUBMIT:
		result = prepare_submission(req, queue);
		if (result != CB_OK)
			finish(req, result, 0);
		else
			next_step(req, STEP_WRITE_SPEC);
		break;
	case CALLER_STATUS:
		next_step(req, STEP_READ_STATE);
		break;
	case CALLER_CANCEL:
		next_step(req, STEP_CHECK_SPEC);
		break;
	case CALLER_COUNT:
		if (req->intake->waiting_us != 0 &&
		    kn_now_us() - req->intake->waiting_us <
			    COUNT_CACHE_MS * USEC_PER_MSEC)
			answer_count(req);
		else
			next_step(req, STEP_READ_COUNT);
		break;
	}
}

static void intake_call(struct caller_service *service,
			struct caller_call *call)
{
	struct intake *intake = container_of(service, struct intake, service);
	const struct queue *queue = NULL;
	const char *customer = "";
	int result = check(intake, call, &queue, &customer);

	if (result == CB_OK) {
		start(request_new(intake, call, queue, customer), queue);
		return;
	}
	call->result = result;
	log_answer(intake, call, NULL, queue ? queue->name : NULL, 0);
	answer(intake, call, result,
	       result == CB_E_STORE_DOWN ? CONFIG_RETRY_AFTER_S : 0);
}

/* A write that was already sent to the store may still be applied. */
static void intake_disconnected(struct caller_service *service,
				struct caller_call *call)
{
	struct intake_request *req = call->state;

	if (!req)
		return;
	log_info("caller.gone", "verb=%s job=%s took_ms=%" G_GINT64_FORMAT,
		 verb_names[call->verb], req->id ? req->id : "-",
		 (kn_now_us() - call->received_us) / 1000);
	request_free(req);
}

/* Another host can serve the calls that have changed nothing. */
static void intake_expire(struct caller_service *service)
{
	struct intake *intake = container_of(service, struct intake, service);
	struct intake_request *req, *next;

	list_for_each_entry_safe(req, next, &intake->calls, node)
		finish(req,
		       outcome_is_unknown(req) ? CB_E_TIMEOUT : CB_E_DRAINING,
		       DRAINING_RETRY_AFTER_S);
}

static const struct caller_service_ops intake_ops = {
	.call = intake_call,
	.disconnected = intake_disconnected,
	.expire = intake_expire,
};

void intake_init(struct intake *intake, const struct platform_adapter *adapter,
		 struct configuration *configuration)
{
	static const char *const labels[] = { "verb=\"submit\"",
					      "verb=\"status\"",
					      "verb=\"cancel\"",
					      "verb=\"count\"" };
	struct ctr_set *set = &adapter->kv->kn->counters;
	size_t i;

	memset(intake, 0, sizeof(*intake));
	intake->service.ops = &intake_ops;
	intake->adapter = adapter;
	intake->configuration = configuration;
	list_init(&intake->calls);
	for (i = 0; i < G_N_ELEMENTS(labels); i++)
		ctr_init(&intake->outcomes[i], set, CTR_COUNTER,
			 "chivebank_caller_calls_total", labels[i],
			 "Calls of callers that were answered");
	ctr_init(&intake->refused, set, CTR_COUNTER,
		 "chivebank_caller_refused_total", NULL,
		 "Calls that were refused as not carried out");
	ctr_init(&intake->unknown, set, CTR_COUNTER,
		 "chivebank_caller_unknown_total", NULL,
		 "Calls whose outcome could not be told");
	ctr_init(&intake->call_ms, set, CTR_HISTOGRAM, "chivebank_caller_ms",
		 NULL, "Time from the receipt of a call to its answer");
}

void intake_finish(struct intake *intake)
{
	struct intake_request *req, *next;
	size_t i;

	list_for_each_entry_safe(req, next, &intake->calls, node) {
		req->caller->state = NULL;
		request_free(req);
	}
	for (i = 0; i < G_N_ELEMENTS(intake->outcomes); i++)
		ctr_finish(&intake->outcomes[i]);
	ctr_finish(&intake->refused);
	ctr_finish(&intake->unknown);
	ctr_finish(&intake->call_ms);
	g_free(intake->waiting);
}
