#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/limits.h"
#include "tests/soak/soak.h"
#include "tests/standins/site_fleet_int.h"

#define JOBS_MAX 400
#define TRIES_MAX 12
#define CALL_TIMEOUT_MS 4000
#define TASKS_MAX 6
#define TASK_MS 1200
#define SHORT_TASK_MS 40
#define LARGE_TASKS_MAX 40
#define LARGE_TASK_MS 5000
/* Jobs of up to so many tasks may be for the workers of one rack only. */
#define LABELLED_TASKS_MAX 8
/* A job of two occurrences, the first so long after it is handed in. */
#define TIMED_FIRST_MS 700
#define TIMED_EVERY_MS 900

enum soak_phase { SOAK_HANDING_IN, SOAK_ACCEPTED, SOAK_REJECTED, SOAK_UNKNOWN };

/* One job, as its caller sees it. */
struct soak_job {
	struct list_head node;
	struct soak *soak;
	char id[20];
	char *body;
	bool poison; /* fails until its attempts are used up */
	enum soak_phase phase;
	int tries;
	bool only_refusals; /* so far each try was answered 429 or 503 */
	bool cancelling;
	bool cancelled; /* and its caller was told so */
	char state[16]; /* as it was told last */
	int tasks; /* of its widest step */
	int64_t due_ms; /* Unix time of its first occurrence, 0: at once */
	int64_t still_us; /* since when nothing of it runs, 0: some does */
	bool stood_still; /* and that was reported */
	int64_t next_us;
	struct hc_call call;
	bool calling;
	enum { CALL_POST, CALL_GET, CALL_DELETE } kind;
};

static struct soak_host *any_host(struct soak *soak)
{
	return &soak->hosts[soak_below(soak, soak->options.hosts)];
}

static int task_ms(struct soak *soak)
{
	/* They end before the first report that could list them. */
	if (soak->options.lives && soak_chance(soak, 40))
		return 5 + soak_below(soak, SHORT_TASK_MS);
	return 100 + soak_below(soak, soak->options.takeovers ? LARGE_TASK_MS :
								TASK_MS);
}

static void make_body(struct soak *soak, struct soak_job *job)
{
	bool large = soak->options.takeovers;
	int count = 1 + soak_below(soak, large ? LARGE_TASKS_MAX : TASKS_MAX);
	bool gang = soak_chance(soak, 35);
	bool steps = !gang && soak_chance(soak, 30);
	bool timed = !gang && !steps && soak_chance(soak, 25);
	int ms = task_ms(soak);
	int est_ms = large ? ms * (30 + soak_below(soak, 170)) / 100 : ms;
	bool labelled =
		large && count <= LABELLED_TASKS_MAX && soak_chance(soak, 50);
	int64_t due_ms = kn_wall_us() / USEC_PER_MSEC + TIMED_FIRST_MS;
	char *times =
		timed ? g_strdup_printf(",\"times\":2,\"first_ms\":%lld,"
					"\"interval_ms\":%d",
					(long long)due_ms, TIMED_EVERY_MS) :
			g_strdup("");
	char *payload;

	/* A gang that the pool can't hold as a whole would wait for good. */
	if (gang)
		count = MIN(count, SOAK_WORKER_GPUS * (soak->options.workers -
						       soak->options.spares));
	job->tasks = count;
	job->due_ms = timed ? due_ms : 0;
	job->poison = soak_chance(soak, 6);
	payload = g_strdup_printf("ms=%d gpus=%d gang=%d before=%d fail=%d "
				  "attempts=3 beyond=%d due=%lld every=%d",
				  ms, 1, gang ? count : 0, count,
				  job->poison ? 99 :
				  gang	      ? 0 :
						soak_below(soak, 2),
				  steps ? 2 : 0, timed ? (long long)due_ms : 0,
				  TIMED_EVERY_MS);
	job->body = g_strdup_printf(
		"{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
		"\"mem_mb\":100,\"gpu\":1,\"est_ms\":%d%s%s%s}%s]%s}",
		payload, count, est_ms,
		labelled ? ",\"required_label\":\"rack-0\"" : "",
		gang ? ",\"gang\":true" : "",
		steps ? ",\"max_per_server\":2" : "",
		steps ? ",{\"count\":2,\"cpu\":500,\"gpu\":1,\"est_ms\":200,"
			"\"after\":[0],\"max_per_server\":2}" :
			"",
		times);
	g_free(times);
	g_free(payload);
}

static struct soak_job *add_job(struct soak *soak)
{
	struct soak_job *job = g_new0(struct soak_job, 1);

	job->soak = soak;
	snprintf(job->id, sizeof(job->id), "%08x%08x", g_rand_int(soak->rand),
		 g_rand_int(soak->rand));
	job->only_refusals = true;
	list_add_tail(&job->node, &soak->jobs);
	return job;
}

/* So long after the faults, workers are used again. */
#define RACK_JOBS_MS 5000

/* One job for each rack, which shows whether its workers are used again. */
static void add_rack_jobs(struct soak *soak)
{
	int racks = (soak->options.workers - soak->options.spares) /
		    SOAK_RACK_WORKERS;
	int rack;

	if (soak->rack_jobs ||
	    kn_now_us() < soak->healed_us + RACK_JOBS_MS * USEC_PER_MSEC)
		return;
	soak->rack_jobs = true;
	for (rack = 0; rack < racks; rack++) {
		struct soak_job *job = add_job(soak);

		job->tasks = 2;
		job->body = g_strdup_printf(
			"{\"spec\":\"ms=300\",\"steps\":[{\"count\":2,\"cpu\":1000,"
			"\"mem_mb\":100,\"gpu\":1,\"est_ms\":300,"
			"\"required_label\":\"rack-%d\"}]}",
			rack);
	}
}

/* Answers. */

static void on_post(struct soak_job *job, int status)
{
	struct soak *soak = job->soak;

	if (status == 200) {
		job->phase = SOAK_ACCEPTED;
		soak->accepted++;
		if (soak_chance(soak, 10))
			job->cancelling = true;
		return;
	}
	if (status >= 400 && status < 429)
		soak_violated(soak, "REFUSED", job->id,
			      "a well-formed job is taken for malformed");
	job->only_refusals &= status == 429 || status == 503;
	if (job->tries < TRIES_MAX)
		return;
	job->phase = job->only_refusals ? SOAK_REJECTED : SOAK_UNKNOWN;
	if (job->only_refusals)
		soak->rejected++;
	else
		soak->unknown++;
}

static bool is_final(const char *state)
{
	return strcmp(state, "done") == 0 || strcmp(state, "failed") == 0 ||
	       strcmp(state, "cancelled") == 0;
}

static void on_state(struct soak_job *job, int status, const char *body)
{
	static const char *const states[] = { "queued", "running", "done",
					      "failed", "cancelled" };
	size_t i;

	if (status == 410)
		soak_violated(job->soak, "LOST", job->id,
			      "an accepted job is not known");
	if (status != 200 || !body)
		return;
	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		if (!strstr(body, states[i]))
			continue;
		if (is_final(job->state) && strcmp(job->state, states[i]) != 0)
			soak_violated(job->soak, "MIXED", job->id,
				      "an ended job has another state");
		g_strlcpy(job->state, states[i], sizeof(job->state));
	}
}

static void on_cancel(struct soak_job *job, int status)
{
	if (status == 410)
		soak_violated(job->soak, "LOST", job->id,
			      "an accepted job is not there to be cancelled");
	if (status != 200)
		return;
	job->cancelling = false;
	job->cancelled = true;
	site_fleet_cancelled(job->soak->fleet, job->id);
}

static void on_done(struct hc_call *call)
{
	struct soak_job *job = call->user;
	char *body = call->body ?
			     g_strndup((char *)call->body, call->body_len) :
			     NULL;
	int status = call->result == CB_OK ? call->status : 0;

	if ((call->result == CB_E_UPSTREAM_LOST ||
	     call->result == CB_E_UPSTREAM_TRUNCATED) &&
	    call->sent_us)
		soak_judge_cut(job->soak,
			       container_of(call->pool, struct soak_host, pool),
			       call->sent_us, call->ended_us, job->id);
	job->calling = false;
	job->next_us = kn_now_us() +
		       (100 + soak_below(job->soak, 500)) * USEC_PER_MSEC;
	if (job->kind == CALL_POST)
		on_post(job, status);
	else if (job->kind == CALL_GET)
		on_state(job, status, body);
	else
		on_cancel(job, status);
	g_free(body);
	hc_call_finish(call);
}

static void start_call(struct soak_job *job, const char *method)
{
	struct soak_host *host = any_host(job->soak);
	bool post = job->kind == CALL_POST;
	struct http_headers headers;
	char path[64];

	snprintf(path, sizeof(path), "/jobs/%s", job->id);
	http_headers_init(&headers);
	http_headers_add(&headers, "Chivebank-Key", SOAK_KEY);
	http_headers_add(&headers, "Chivebank-Deadline-Ms", "3000");
	job->calling = hc_call_start(&job->call, &host->pool, method, path,
				     &headers, post ? job->body : NULL,
				     post ? strlen(job->body) : 0,
				     CALL_TIMEOUT_MS, on_done);
	job->call.user = job;
	http_headers_finish(&headers);
}

static void step_job(struct soak_job *job)
{
	if (job->calling || kn_now_us() < job->next_us)
		return;
	if (job->phase == SOAK_HANDING_IN) {
		job->kind = CALL_POST;
		job->tries++;
		start_call(job, "POST");
	} else if (job->phase == SOAK_ACCEPTED && job->cancelling) {
		job->kind = CALL_DELETE;
		start_call(job, "DELETE");
	} else if (job->phase == SOAK_ACCEPTED && !is_final(job->state)) {
		job->kind = CALL_GET;
		start_call(job, "GET");
	}
}

void soak_jobs_step(struct soak *soak)
{
	struct soak_job *job;
	int open = 0;

	list_for_each_entry(job, &soak->jobs, node) {
		step_job(job);
		open += job->phase == SOAK_HANDING_IN;
	}
	if (!soak->healing && soak->accepted < JOBS_MAX && open < 20 &&
	    soak_chance(soak, soak->options.takeovers ? 2 : 8))
		make_body(soak, add_job(soak));
	if (soak->healing)
		add_rack_jobs(soak);
}

bool soak_jobs_settled(struct soak *soak)
{
	struct soak_job *job;

	if (!soak->rack_jobs)
		return false;
	list_for_each_entry(job, &soak->jobs, node)
		if (job->phase == SOAK_HANDING_IN ||
		    (job->phase == SOAK_ACCEPTED &&
		     (job->cancelling || !is_final(job->state))))
			return false;
	return true;
}

/* Free accelerators, of all of them; each task needs one. */
static void count_room(const struct soak *soak, int64_t *unused, int64_t *all)
{
	const struct site_worker *worker;
	const struct site_run *run;

	*unused = *all = 0;
	list_for_each_entry(worker, &soak->fleet->workers, node) {
		if (soak_machines_off(soak, worker))
			continue;
		*all += worker->gpus;
		*unused += worker->gpus;
		list_for_each_entry(run, &worker->runs, node)
			*unused -= run->gpus;
	}
}

static bool runs_somewhere(const struct soak *soak, const struct soak_job *job)
{
	const struct site_worker *worker;
	const struct site_run *run;

	list_for_each_entry(worker, &soak->fleet->workers, node)
		list_for_each_entry(run, &worker->runs, node)
			if (g_str_has_prefix(run->name, job->id))
				return true;
	return false;
}

/*
 * The platform's rule: so long after the faults, no job has nothing running for
 * STILL_MS while a task's turn has come, there is room for it twice over and
 * under half of all room is in use.
 */
#define FINISH_MS 14000
#define STILL_MS 3000

void soak_jobs_check_still(struct soak *soak)
{
	int64_t now_us = kn_now_us(), unused, all;
	struct soak_job *job;

	if (now_us < soak->healed_us + FINISH_MS * USEC_PER_MSEC)
		return;
	count_room(soak, &unused, &all);
	list_for_each_entry(job, &soak->jobs, node) {
		if (job->phase != SOAK_ACCEPTED || job->cancelling ||
		    is_final(job->state) || runs_somewhere(soak, job) ||
		    unused < 2 * job->tasks || unused * 2 < all ||
		    kn_wall_us() / USEC_PER_MSEC < job->due_ms) {
			job->still_us = 0;
			continue;
		}
		if (job->still_us == 0)
			job->still_us = now_us;
		if (job->stood_still ||
		    now_us - job->still_us < STILL_MS * USEC_PER_MSEC)
			continue;
		job->stood_still = true;
		soak_violated(soak, "LOST", job->id, "it stands still");
	}
}

static bool has_run(struct soak *soak, const char *id)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, soak->fleet->tasks);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (g_str_has_prefix(name, id))
			return true;
	return false;
}

void soak_jobs_check(struct soak *soak)
{
	struct soak_job *job;

	list_for_each_entry(job, &soak->jobs, node) {
		if (job->phase == SOAK_REJECTED && has_run(soak, job->id))
			soak_violated(soak, "REFUSED", job->id,
				      "it ran, and all tries were refused");
		if (job->phase != SOAK_ACCEPTED)
			continue;
		if (!is_final(job->state))
			soak_violated(soak, "LOST", job->id,
				      "it did not end after the faults");
		else if (strcmp(job->state, "failed") == 0 && !job->poison)
			soak_violated(soak, "LOST", job->id,
				      "it is shown as failed without cause");
		else if (strcmp(job->state, "cancelled") == 0 &&
			 !job->cancelled)
			soak_violated(soak, "LOST", job->id,
				      "nobody has cancelled it");
	}
}

void soak_jobs_finish(struct soak *soak)
{
	struct soak_job *job, *next;

	list_for_each_entry_safe(job, next, &soak->jobs, node) {
		if (job->calling)
			hc_call_cancel(&job->call);
		list_del(&job->node);
		g_free(job->body);
		g_free(job);
	}
}
