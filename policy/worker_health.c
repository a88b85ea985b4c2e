#include "policy/worker_health.h"

#include <string.h>

#include <glib.h>

/*
 * A failure is evidence against the worker and against the job. Failures of
 * several jobs on one worker quarantine the worker; failures of one job on
 * several workers end the job, and are then no longer held against these
 * workers. A success on a worker clears it.
 */
void worker_health_init(struct worker_health *wh, int workers)
{
	memset(wh, 0, sizeof(*wh));
	worker_health_add_workers(wh, workers);
}

void worker_health_finish(struct worker_health *wh)
{
	g_free(wh->workers);
	memset(wh, 0, sizeof(*wh));
}

/* Grows the table to that many workers. */
void worker_health_add_workers(struct worker_health *wh, int workers)
{
	int i;

	if (workers <= wh->worker_count)
		return;
	wh->workers =
		g_renew(struct worker_health_worker, wh->workers, workers);
	memset(&wh->workers[wh->worker_count], 0,
	       sizeof(*wh->workers) * (workers - wh->worker_count));
	for (i = wh->worker_count; i < workers; i++)
		wh->workers[i].delay_us =
			WORKER_PROBATION_MIN_MS * USEC_PER_MSEC;
	wh->worker_count = workers;
}

/* A fault that hits many workers at once is not theirs: a share is kept. */
static bool may_quarantine(const struct worker_health *wh)
{
	return (wh->quarantined + 1) * 100 <=
	       wh->worker_count * WORKER_QUARANTINE_PERCENT + 99;
}

static void quarantine(struct worker_health *wh, struct worker_health_worker *w,
		       int64_t now_us)
{
	if (w->state == WORKER_HEALTH_PROBATION)
		wh->on_probation--;
	wh->quarantined++;
	w->state = WORKER_HEALTH_QUARANTINED;
	w->until_us = now_us + w->delay_us;
	w->delay_us =
		MIN(w->delay_us * 2, WORKER_PROBATION_MAX_MS * USEC_PER_MSEC);
	w->trial = 0;
}

static void add_failed_job(struct worker_health_worker *w, uint64_t id)
{
	int i;

	for (i = 0; i < w->failed_job_count; i++)
		if (w->failed_jobs[i] == id)
			return;
	if (w->failed_job_count < WORKER_BAD_JOBS)
		w->failed_jobs[w->failed_job_count++] = id;
}

/* Returns true when that ended a quarantine. */
static bool remove_failed_job(struct worker_health *wh,
			      struct worker_health_worker *w, uint64_t id)
{
	bool found = false;
	int i;

	for (i = 0; i < w->failed_job_count; i++)
		if (w->failed_jobs[i] == id) {
			w->failed_jobs[i--] =
				w->failed_jobs[--w->failed_job_count];
			found = true;
		}
	if (!found || w->state != WORKER_HEALTH_QUARANTINED ||
	    w->failed_job_count > 0)
		return false;
	w->state = WORKER_HEALTH_GOOD;
	w->delay_us =
		MAX(w->delay_us / 2, WORKER_PROBATION_MIN_MS * USEC_PER_MSEC);
	wh->quarantined--;
	return true;
}

/*
 * Failures on workers that have since been found to be bad no longer count
 * against the job.
 */
static void record_failed_worker(const struct worker_health *wh,
				 struct worker_health_job *job, int worker)
{
	int i, n = 0;

	for (i = 0; i < job->failed_count; i++)
		if (job->failed_on[i] != worker &&
		    wh->workers[job->failed_on[i]].state == WORKER_HEALTH_GOOD)
			job->failed_on[n++] = job->failed_on[i];
	if (n < JOB_HOPELESS_WORKERS)
		job->failed_on[n++] = worker;
	job->failed_count = n;
}

static bool end_job(struct worker_health *wh, struct worker_health_job *job,
		    uint64_t id)
{
	bool changed = false;
	int i;

	job->hopeless = true;
	for (i = 0; i < wh->worker_count; i++)
		if (remove_failed_job(wh, &wh->workers[i], id))
			changed = true;
	return changed;
}

/*
 * Records that the job failed on the worker. A failure on a worker that is
 * quarantined already, or becomes so by it, says nothing about the job.
 * Returns true when the state of any worker changed; job->hopeless tells
 * whether the job is to be ended.
 */
bool worker_health_failed(struct worker_health *wh,
			  struct worker_health_job *job, uint64_t id,
			  int worker, int64_t now_us)
{
	struct worker_health_worker *w = &wh->workers[worker];

	job->failures++;
	if (w->state != WORKER_HEALTH_QUARANTINED)
		add_failed_job(w, id);
	if (job->failures >= JOB_FAILURES_MAX)
		return end_job(wh, job, id);
	if (w->state == WORKER_HEALTH_QUARANTINED)
		return false;
	if ((w->state == WORKER_HEALTH_PROBATION ||
	     w->failed_job_count == WORKER_BAD_JOBS) &&
	    may_quarantine(wh)) {
		quarantine(wh, w, now_us);
		return true;
	}
	record_failed_worker(wh, job, worker);
	if (job->failed_count < JOB_HOPELESS_WORKERS)
		return false;
	return end_job(wh, job, id);
}

/*
 * Records that the job ran well on the worker. Returns true when that ended
 * the worker's probation. The next quarantine is then again half as long as
 * the last, so a worker that fails now and then is not trusted at once.
 */
bool worker_health_succeeded(struct worker_health *wh, uint64_t id, int worker)
{
	struct worker_health_worker *w = &wh->workers[worker];
	bool changed = w->state == WORKER_HEALTH_PROBATION;

	if (w->state == WORKER_HEALTH_QUARANTINED)
		return false;
	w->state = WORKER_HEALTH_GOOD;
	w->failed_job_count = 0;
	w->trial = 0;
	if (changed) {
		wh->on_probation--;
		w->delay_us = MAX(w->delay_us / 2,
				  WORKER_PROBATION_MIN_MS * USEC_PER_MSEC);
	}
	return changed;
}

/* Ends a quarantine that is over: one trial job. Returns true if it did. */
bool worker_health_tick(struct worker_health *wh, int worker, int64_t now_us)
{
	struct worker_health_worker *w = &wh->workers[worker];

	if (w->state != WORKER_HEALTH_QUARANTINED || now_us < w->until_us)
		return false;
	w->state = WORKER_HEALTH_PROBATION;
	wh->quarantined--;
	wh->on_probation++;
	w->trial = 0;
	w->failed_job_count = 0;
	return true;
}

/* A worker on probation takes one job at a time. */
bool worker_health_usable(const struct worker_health *wh, int worker)
{
	const struct worker_health_worker *w = &wh->workers[worker];

	return w->state == WORKER_HEALTH_GOOD ||
	       (w->state == WORKER_HEALTH_PROBATION && !w->trial);
}

/* Returns true when the worker is not usable for further jobs from now. */
bool worker_health_trial_started(struct worker_health *wh, uint64_t id,
				 int worker)
{
	struct worker_health_worker *w = &wh->workers[worker];

	if (w->state != WORKER_HEALTH_PROBATION || w->trial)
		return false;
	w->trial = id;
	return true;
}

/* The trial job left for another reason than success or failure. */
bool worker_health_trial_ended(struct worker_health *wh, uint64_t id,
			       int worker)
{
	struct worker_health_worker *w = &wh->workers[worker];

	if (w->state != WORKER_HEALTH_PROBATION || w->trial != id)
		return false;
	w->trial = 0;
	return true;
}

/* Whether the job failed on that worker before. */
bool worker_health_avoid(const struct worker_health_job *job, int worker)
{
	int i;

	for (i = 0; i < job->failed_count; i++)
		if (job->failed_on[i] == worker)
			return true;
	return false;
}
