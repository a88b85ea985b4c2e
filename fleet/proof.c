#include "fleet/fleet_int.h"

#include "fleet/limits.h"

static const char *const proof_names[PROOF_COUNT] = {
	"missing in its worker's reports",
	"its worker process has ended",
	"its start was not sent",
	"lease is over",
};

/* The task waits for its next run, or goes on with that of its copy. */
void fleet_run_lost(struct fleet *fleet, struct task *task,
		    enum run_proof proof, const struct hold_report *report,
		    int64_t sent_us)
{
	const struct run_release release = { .proof = proof_names[proof],
					     .report = report,
					     .report_sent_us = sent_us };

	if (fleet->ops && fleet->ops->released)
		fleet->ops->released(fleet->user, task, &release);
	if (proof == PROOF_NOT_REPORTED)
		task->missed_run = task->run;
	fleet_release(fleet, task);
	if (task->phase != TASK_DONE)
		fleet_break_gang(fleet, task, proof_names[proof]);
}

void fleet_worker_runs_lost(struct fleet *fleet, struct worker *worker,
			    enum run_proof proof)
{
	while (!list_empty(&worker->tasks))
		fleet_run_lost(fleet,
			       list_first_entry(&worker->tasks, struct task,
						on_worker),
			       proof, NULL, 0);
}

/*
 * A worker that answers reports its runs, so its lease says nothing about
 * them.
 */
bool proof_lease_expired(const struct fleet *fleet, const struct worker *worker,
			 int64_t now_us)
{
	int64_t end_us = fleet_lease_end_us(fleet, worker);

	return end_us > 0 && now_us > end_us + LEASE_SLACK_MS * 1000 &&
	       !worker_reachable(worker, now_us);
}

/*
 * Whether the report would name the run if it was there. The hold call must
 * have been sent after the latest order for the run was answered. An adopted
 * run can't come later in any case, because the call's fence token makes the
 * worker refuse all orders of earlier leaders.
 */
static bool leaves_out(const struct task *task,
		       const struct hold_report *report, int64_t sent_us)
{
	/* Its end may be among those that the report has no place for. */
	if (report->truncated)
		return false;
	if (task->phase == TASK_PLANNED || task->calling)
		return false;
	if (task->phase == TASK_STARTING && task->unconfirmed &&
	    task->tries == 0)
		return true;
	if (task->phase == TASK_DONE && task->answered_us == 0)
		return true;
	return task->answered_us != 0 && task->answered_us < sent_us;
}

/*
 * Only the worker's own reports tell which incarnation has a run: an answer to a
 * start may come from the next one. A start without an answer may reach that
 * one late.
 */
bool proof_process_replaced(const struct task *task,
			    const struct hold_report *report)
{
	return task->life_ms != 0 && report->born_ms != 0 &&
	       !task->unconfirmed && !task->start_pending &&
	       report->born_ms != task->life_ms &&
	       report->born_ms == task->worker->reported.born_ms;
}

int64_t fleet_missing_again_us(const struct fleet *fleet,
			       const struct task *task)
{
	return task->missing_us +
	       (fleet->bounds.stop_ms + MISSING_SLACK_MS) * 1000;
}

/*
 * A report is not a snapshot: a run that has just been accepted, that is being
 * stopped or that ends while the lists are read may be in neither of them, for
 * stop_ms at most. Reports that are asked for further apart than that meet
 * different gaps, of which a run has two, one if it has been listed. After a
 * stop no run goes on for longer than stop_ms.
 */
static int reports_needed(const struct task *task)
{
	bool may_have_begun_unseen =
		task->phase != TASK_STOPPING && task->first_report_us == 0;

	return may_have_begun_unseen ? 3 : 2;
}

bool proof_not_reported(struct fleet *fleet, struct task *task,
			const struct hold_report *report, int64_t sent_us,
			int64_t now_us)
{
	if (!leaves_out(task, report, sent_us) ||
	    (task->missing > 0 &&
	     sent_us < fleet_missing_again_us(fleet, task)))
		return false;
	task->missing++;
	task->missing_us = now_us;
	if (task->missing == 1)
		fleet_note(fleet, "task.missing", task->stage->job, task,
			   "a report leaves it out");
	return task->missing >= reports_needed(task);
}

bool fleet_release_unsent(struct fleet *fleet, struct task *task)
{
	if (task->sent || task->start_pending)
		return false;
	fleet_run_lost(fleet, task, PROOF_NOT_SENT, NULL, 0);
	return true;
}
