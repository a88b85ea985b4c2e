#include "policy/worker_health.h"

#include <string.h>

#include <glib.h>

/*
 * A failure may be caused by the worker or by the job. A worker on which
 * WORKER_BAD_JOBS different jobs have failed is quarantined. A job that has
 * failed on JOB_HOPELESS_WORKERS workers is ended, and its failures no longer
 * count against these workers. A success on a worker clears its failures.
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

/*
 * Limits the quarantine to WORKER_QUARANTINE_PERCENT of the workers: a fault
 * that affects many workers at once has another cause.
 */
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

/*
 * Removes a job from those that failed on the worker. Returns true when this
 * ended a quarantine.
 */
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
 * Records the worker as one where the job failed. Failures on workers that
 * have been quarantined since no longer count against the job.
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

/*
 * Marks the job as hopeless and removes its failures from all workers. Returns
 * true when this ended a quarantine.
 */
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
 * in quarantine, or is put there because of it, only counts towards
 * JOB_FAILURES_MAX. Returns true when the state of any worker changed;
 * job->hopeless indicates whether the job is to be ended.
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
 * Records that the job succeeded on the worker. Returns true when this ended
 * the worker's probation. The length of the next quarantine is then halved
 * rather than reset, so that a worker that fails intermittently still gets
 * long quarantines.
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

/*
 * Puts a worker whose quarantine has expired on probation. Returns true when
 * it did so.
 */
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

/*
 * Records the trial job of a worker on probation. Returns true when the
 * worker takes no further jobs until that one ends.
 */
bool worker_health_trial_started(struct worker_health *wh, uint64_t id,
				 int worker)
{
	struct worker_health_worker *w = &wh->workers[worker];

	if (w->state != WORKER_HEALTH_PROBATION || w->trial)
		return false;
	w->trial = id;
	return true;
}

/*
 * Records that the trial job left the worker without a success or failure.
 * Returns true when the worker takes jobs again.
 */
bool worker_health_trial_ended(struct worker_health *wh, uint64_t id,
			       int worker)
{
	struct worker_health_worker *w = &wh->workers[worker];

	if (w->state != WORKER_HEALTH_PROBATION || w->trial != id)
		return false;
	w->trial = 0;
	return true;
}

/* Whether the job has failed on the worker. */
bool worker_health_avoid(const struct worker_health_job *job, int worker)
{
	int i;

	for (i = 0; i < job->failed_count; i++)
		if (job->failed_on[i] == worker)
			return true;
	return false;
}
