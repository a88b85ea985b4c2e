#include <stdio.h>
#include <string.h>

#include "control/leader_list.h"
#include "control/record.h"
#include "fleet/limits.h"
#include "fleet/orphan.h"
#include "fleet/plan.h"
#include "tests/standins/fleet_fixture.h"
#include "tests/unit/run.h"

/*
 * A model of leaders and workers in virtual time, with random partitions of
 * data centres, pauses and changes of the leader, lost answers, starts that are
 * carried out late, restarts of workers, also with a lower start time and seen
 * only in the answer to a hold, lists of ends that are cut short, and runs that
 * are in neither list after their start, during a stop and after their end. Guards, over many seeds, against
 * two runs of a task at a time and a run after an acknowledged end "done", and
 * against tasks that never end once the faults are over. The decisions are the
 * product's; the model stands for the orders, the store and the workers.
 */

#define SEC 1000000LL
#define TICK_US (SEC / 20)
#define HOSTS 3
#define WORKERS 6 /* in the data centres of the hosts, in turn */
#define JOBS 8
#define TASKS 60
#define SEEDS 150
#define FAULTS_US (60 * SEC)
#define END_US (300 * SEC)
#define ENDS_PER_ANSWER 4
#define STOP_US (4 * SEC / 10) /* bounds.stop_ms of the fixture */
#define GAP_PER_1000 300 /* runs that are left out of the lists for a time */
#define SHORT_PER_1000 200 /* runs that end at once */
#define HOLD_PER_1000 500 /* else another hold is pending */
#define LATE_MAX_US (4 * SEC / 10)
#define LATES_MAX 64
#define LEADER_LEASE_US (2 * SEC)
#define HOLD_US (6 * SEC) /* bounds.max_hold_ms of the fixture */

struct model_run {
	int job, index;
	int64_t run;
	int64_t end_us;
	bool gaps; /* it is left out of the lists for STOP_US */
	int64_t listed_us;
	int64_t stop_us; /* when a stop takes effect, 0: none */
};

/* A start that is carried out late, by the life that is there then. */
struct model_late {
	struct model_run run;
	int worker;
	int64_t fence;
	int64_t at_us; /* 0: unused */
};

struct model_end {
	struct model_run run;
	int64_t number;
	bool done;
	int64_t lapses;
	int64_t listed_us;
};

struct model_worker {
	char id[16];
	int dc;
	bool up;
	int64_t up_at_us;
	int64_t born_ms;
	int64_t started_us;
	double rate; /* of its clock */
	int64_t fence;
	int64_t until_ms;
	int64_t lapses;
	bool lapsed;
	GArray *runs; /* struct model_run */
	GArray *ends; /* struct model_end */
	int64_t next_end;
	int64_t highest[JOBS][TASKS]; /* run that was stopped or has ended */
};

struct model_host {
	struct fleet fleet;
	struct config *config;
	bool active; /* it has a fleet */
	bool leading;
	int64_t fence;
	int64_t valid_until_us;
	int64_t holding_until_us;
	int64_t released_us;
	int64_t paused_until_us;
	struct leader_list earlier;
	bool confirmed[HOSTS];
};

static struct {
	GRand *rand;
	int64_t now_us;
	int cut_dc; /* cut off from the others and the store, -1: none */
	struct model_host hosts[HOSTS];
	struct model_worker workers[WORKERS];
	struct model_late lates[LATES_MAX];
	msgpack_sbuffer records[JOBS];
	bool stored[JOBS];
	struct leader_list recorded;
	int64_t fence; /* of the latest leader */
	int leader; /* by the store's key, -1: none */
	int64_t key_until_us;
	bool noted[JOBS][TASKS]; /* an end "done" was acknowledged */
	int64_t begun[JOBS][TASKS]; /* the latest run */
	bool faults;
} m;

static bool chance(int per_1000)
{
	return g_rand_int_range(m.rand, 0, 1000) < per_1000;
}

static int64_t up_to(int64_t us)
{
	return (int64_t)(g_rand_double(m.rand) * (double)us);
}

static bool has_store(int dc)
{
	return dc != m.cut_dc;
}

static bool connected(int dc, int other)
{
	return dc == other || (has_store(dc) && has_store(other));
}

static bool is_running(const struct model_host *host)
{
	return m.now_us >= host->paused_until_us;
}

/* Workers. */

static int64_t clock_ms(const struct model_worker *worker)
{
	return 1000 + (int64_t)((double)(m.now_us - worker->started_us) *
				worker->rate / 1000.0);
}

static void check_single(int job, int index)
{
	int count = 0, w;
	guint i;

	for (w = 0; w < WORKERS; w++)
		for (i = 0; i < m.workers[w].runs->len; i++) {
			const struct model_run *run = &g_array_index(
				m.workers[w].runs, struct model_run, i);

			count += run->job == job && run->index == index;
		}
	ck_assert_msg(count <= 1, "job %d task %d has %d runs at %.2f s", job,
		      index, count, (double)m.now_us / 1e6);
}

static void end_run(struct model_worker *worker, guint i, bool done)
{
	struct model_run run = g_array_index(worker->runs, struct model_run, i);
	struct model_end end = { .run = run,
				 .number = ++worker->next_end,
				 .done = done,
				 .lapses = worker->lapses,
				 .listed_us =
					 m.now_us + (run.gaps ? STOP_US : 0) };

	g_array_remove_index(worker->runs, i);
	g_array_append_val(worker->ends, end);
	worker->highest[run.job][run.index] =
		MAX(worker->highest[run.job][run.index], run.run);
}

static int find_run(const struct model_worker *worker, int job, int index,
		    int64_t number)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct model_run *run =
			&g_array_index(worker->runs, struct model_run, i);

		if (run->job == job && run->index == index &&
		    run->run == number)
			return (int)i;
	}
	return -1;
}

static void worker_start(struct model_worker *worker)
{
	worker->up = true;
	/* Its time of day may have been set back. */
	worker->born_ms = worker->born_ms > 10000 && chance(300) ?
				  worker->born_ms - 1 - up_to(5000) :
				  m.now_us / 1000 + 1;
	worker->started_us = m.now_us;
	worker->fence = 0;
	worker->until_ms = 0;
	worker->next_end = 0;
	memset(worker->highest, 0, sizeof(worker->highest));
}

static void worker_tick(struct model_worker *worker)
{
	guint i;

	if (!worker->up) {
		if (m.now_us >= worker->up_at_us)
			worker_start(worker);
		return;
	}
	if (clock_ms(worker) <= worker->until_ms) {
		worker->lapsed = false;
	} else if (!worker->lapsed) {
		worker->lapsed = true;
		worker->lapses++;
	}
	for (i = worker->runs->len; i > 0; i--) {
		const struct model_run *run =
			&g_array_index(worker->runs, struct model_run, i - 1);

		if (worker->lapsed ||
		    (run->stop_us && m.now_us >= run->stop_us))
			end_run(worker, i - 1, false);
		else if (m.now_us >= run->end_us)
			end_run(worker, i - 1, true);
	}
	if (m.faults && chance(2)) {
		worker->up = false;
		worker->up_at_us =
			m.now_us + (chance(500) ? up_to(3 * SEC) : 0);
		g_array_set_size(worker->runs, 0);
		g_array_set_size(worker->ends, 0);
	}
}

static void extend(struct model_worker *worker, int64_t until_ms)
{
	worker->until_ms =
		MAX(worker->until_ms,
		    MIN(until_ms, clock_ms(worker) + HOLD_US / 1000));
	if (worker->until_ms >= clock_ms(worker))
		worker->lapsed = false;
}

/* Orders. */

static int job_number(const struct task *task)
{
	return task->stage->job->id[1] - '0';
}

static struct model_run ordered_run(const struct task *task)
{
	return (struct model_run){ .job = job_number(task),
				   .index = task->index,
				   .run = task->run };
}

static void begin(struct model_worker *worker, struct model_run run,
		  int64_t fence)
{
	if (fence < worker->fence ||
	    find_run(worker, run.job, run.index, run.run) >= 0 ||
	    run.run <= worker->highest[run.job][run.index])
		return;
	worker->fence = fence;
	run.end_us = m.now_us + 1 +
		     (chance(SHORT_PER_1000) ? 0 : SEC / 2 + up_to(8 * SEC));
	run.gaps = m.faults && chance(GAP_PER_1000);
	run.listed_us = m.now_us + (run.gaps ? STOP_US : 0);
	ck_assert_msg(!m.noted[run.job][run.index],
		      "job %d task %d begins after it was done, at %.2f s",
		      run.job, run.index, (double)m.now_us / 1e6);
	m.begun[run.job][run.index] = MAX(m.begun[run.job][run.index], run.run);
	g_array_append_val(worker->runs, run);
	check_single(run.job, run.index);
}

static void begin_late(struct model_worker *worker, const struct model_run *run,
		       int64_t fence)
{
	int i;

	for (i = 0; i < LATES_MAX; i++) {
		struct model_late *late = &m.lates[i];

		if (late->at_us != 0)
			continue;
		late->run = *run;
		late->worker = (int)(worker - m.workers);
		late->fence = fence;
		late->at_us = m.now_us + 1 + up_to(LATE_MAX_US);
		return;
	}
}

static void lates_tick(void)
{
	int i;

	for (i = 0; i < LATES_MAX; i++) {
		struct model_late *late = &m.lates[i];
		struct model_worker *worker = &m.workers[late->worker];

		if (late->at_us == 0 || late->at_us > m.now_us)
			continue;
		late->at_us = 0;
		if (worker->up)
			begin(worker, late->run, late->fence);
	}
}

static void stop(struct model_worker *worker, const struct model_run *run)
{
	int i = find_run(worker, run->job, run->index, run->run);
	int64_t *highest = &worker->highest[run->job][run->index];
	struct model_run *there;

	if (i < 0) {
		*highest = MAX(*highest, run->run);
		return;
	}
	there = &g_array_index(worker->runs, struct model_run, i);
	if (there->stop_us == 0)
		there->stop_us = m.now_us + STOP_US;
}

static void note_done(const struct model_run *run)
{
	ck_assert_msg(m.begun[run->job][run->index] <= run->run,
		      "job %d task %d has begun after it was done, at %.2f s",
		      run->job, run->index, (double)m.now_us / 1e6);
	m.noted[run->job][run->index] = true;
}

static void acknowledge(struct model_worker *worker, int64_t number)
{
	while (worker->ends->len > 0) {
		const struct model_end *end =
			&g_array_index(worker->ends, struct model_end, 0);

		if (end->number > number)
			return;
		if (end->done && end->lapses == worker->lapses &&
		    !worker->lapsed)
			note_done(&end->run);
		g_array_remove_index(worker->ends, 0);
	}
}

static void unanswered(struct worker *worker)
{
	if (worker->unanswered_calls++ == 0)
		worker->unanswered_since_us = m.now_us;
}

static void answered(struct worker *worker, const struct model_worker *at)
{
	worker->unanswered_calls = 0;
	worker->heard_us = m.now_us;
	worker_set_clock(worker, clock_ms(at), m.now_us);
}

static void give_report(struct model_host *host, struct worker *worker,
			struct model_worker *at)
{
	struct run_report *running =
		g_new0(struct run_report, at->runs->len + 1);
	struct end_report *ended = g_new0(struct end_report, ENDS_PER_ANSWER);
	char(*names)[32] = g_malloc0((at->runs->len + ENDS_PER_ANSWER + 1) *
				     sizeof(*names));
	struct hold_report report = { .running = running, .ended = ended };
	size_t n = 0;
	guint i;

	for (i = 0; i < at->runs->len; i++) {
		const struct model_run *run =
			&g_array_index(at->runs, struct model_run, i);

		if (run->listed_us > m.now_us || (run->gaps && run->stop_us))
			continue;
		snprintf(names[n], sizeof(names[n]), "j%d.0.0.%d", run->job,
			 run->index);
		running[report.nrunning].task = names[n++];
		running[report.nrunning++].run = run->run;
	}
	for (i = 0; i < at->ends->len && i < ENDS_PER_ANSWER; i++) {
		const struct model_end *end =
			&g_array_index(at->ends, struct model_end, i);

		if (end->listed_us > m.now_us)
			break;
		snprintf(names[n], sizeof(names[n]), "j%d.0.0.%d", end->run.job,
			 end->run.index);
		ended[i].task = names[n++];
		ended[i].number = end->number;
		ended[i].run = end->run.run;
		ended[i].how = end->done ? RUN_DONE : RUN_LAPSED;
		report.nended++;
	}
	report.truncated = report.nended == ENDS_PER_ANSWER;
	report.born_ms = at->born_ms;
	fleet_handle_hold(&host->fleet, worker, &report, m.now_us, m.now_us,
			  m.now_us / 1000);
	g_free(running);
	g_free(ended);
	g_free(names);
}

/* One hold call, if the worker can be reached. Returns false without answer. */
static bool hold(struct model_host *host, struct worker *worker,
		 struct model_worker *at)
{
	int64_t until_ms = 0;

	if (worker->task_count > 0 && worker_reachable(worker, m.now_us))
		until_ms =
			worker_extend_lease(worker, HOLD_US / 1000, m.now_us);
	if (!at || at->fence > host->fence) {
		unanswered(worker);
		return false;
	}
	at->fence = host->fence;
	if (until_ms > 0)
		extend(at, until_ms);
	acknowledge(at, fleet_ends_acknowledged(&host->fleet, worker));
	if (m.faults && chance(100)) {
		unanswered(worker);
		return false;
	}
	/* Another process at the address: the known life has ended. */
	if (at->born_ms != worker->reported.born_ms) {
		fleet_worker_restarted(&host->fleet, worker, at->born_ms,
				       clock_ms(at), m.now_us);
		return false;
	}
	answered(worker, at);
	give_report(host, worker, at);
	return true;
}

/* Returns false if the tasks of the worker may have changed. */
static bool order(struct model_host *host, struct worker *worker,
		  struct model_worker *at, struct task *task)
{
	bool lost = m.faults && chance(100);
	struct model_run run = ordered_run(task);

	if (task->phase == TASK_PLANNED &&
	    task->change <= fleet_stored_change(&host->fleet))
		task->phase = TASK_STARTING;
	if (task->phase == TASK_STARTING &&
	    !(task->unconfirmed && task->tries == 0)) {
		if (!at) {
			unanswered(worker);
			if (++task->tries < START_TRIES_MAX)
				return true;
			if (!fleet_release_unsent(&host->fleet, task))
				fleet_stop(&host->fleet, task, "model");
			return false;
		}
		task->tries++;
		extend(at,
		       worker_extend_lease(worker, HOLD_US / 1000, m.now_us));
		if (m.faults && chance(100)) {
			begin_late(at, &run, host->fence);
			lost = true;
		} else {
			begin(at, run, host->fence);
		}
		task->sent = true;
		task->unconfirmed |= lost;
		if (!lost)
			fleet_run_started(&host->fleet, task, m.now_us);
	} else if (task->phase == TASK_STOPPING) {
		if (fleet_release_unsent(&host->fleet, task))
			return false;
		if (!at || lost)
			return true;
		stop(at, &run);
		fleet_stop_answered(&host->fleet, task, m.now_us);
	}
	return true;
}

static void stop_orphans(struct worker *worker, struct model_worker *at)
{
	struct orphan *orphan;

	list_for_each_entry(orphan, &worker->orphans, node) {
		struct model_run run = { .run = orphan->run };

		if (sscanf(orphan->task, "j%d.0.0.%d", &run.job, &run.index) !=
		    2)
			continue;
		stop(at, &run);
		orphan->answered_us = m.now_us;
	}
}

static void call_worker(struct model_host *host, struct worker *worker)
{
	struct model_worker *at = NULL;
	struct task *task, *next;
	int dc = (int)(host - m.hosts), w;
	bool answers, holds;

	for (w = 0; w < WORKERS; w++)
		if (strcmp(m.workers[w].id, worker->reported.id) == 0)
			at = &m.workers[w];
	if (at && (!at->up || !connected(dc, at->dc)))
		at = NULL;
	if (worker->task_count == 0 && worker->unanswered_calls == 0 &&
	    list_empty(&worker->orphans) && worker->acked >= worker->end_seen)
		return;
	holds = !m.faults || !host->leading || chance(HOLD_PER_1000);
	answers = holds && hold(host, worker, at);
	if (!host->leading || (at && holds && !answers))
		return;
	if (at)
		stop_orphans(worker, at);
	list_for_each_entry_safe(task, next, &worker->tasks, on_worker)
		if (!order(host, worker, at, task))
			break;
}

/* Leaders. */

static void stop_extending(struct model_host *host)
{
	if (!host->active)
		return;
	free_fleet(&host->fleet, host->config);
	host->active = false;
	host->leading = false;
	host->released_us = m.now_us;
}

static void list_workers(struct model_host *host)
{
	int w;

	for (w = 0; w < WORKERS; w++) {
		const struct model_worker *at = &m.workers[w];
		struct worker_report report = {
			.id = g_strdup(at->id),
			.born_ms = at->born_ms,
			.pool = g_strdup(MAKE_POOL),
			.port = 1,
			.dc = g_strdup("d"),
			.room = { 128000, 262144, 8 },
			.clock_ms = clock_ms(at),
		};

		if (at->up && has_store(at->dc)) {
			fleet_update_worker(&host->fleet, &report, m.now_us);
		} else {
			fleet_unlist(&host->fleet, at->id, m.now_us);
			worker_report_finish(&report);
		}
	}
}

static struct leader_identity identity(int host)
{
	struct leader_identity leader = { 0 };

	snprintf(leader.host, sizeof(leader.host), "h%d", host);
	g_strlcpy(leader.peers.addr, "a", sizeof(leader.peers.addr));
	return leader;
}

static void elect(int index)
{
	struct model_host *host = &m.hosts[index];
	struct leader_identity self = identity(index);
	int j;

	stop_extending(host);
	host->fence = ++m.fence;
	m.leader = index;
	m.key_until_us = m.now_us + LEADER_LEASE_US;
	host->valid_until_us = m.now_us + LEADER_LEASE_US - SEC / 5;
	host->earlier = m.recorded;
	leader_list_remove(&host->earlier, &self);
	memset(host->confirmed, 0, sizeof(host->confirmed));
	m.recorded = host->earlier;
	leader_list_prepend(&m.recorded, &self);
	make_fleet(&host->fleet, &host->config);
	host->active = host->leading = true;
	host->fleet.extended_until_us =
		host->earlier.count ? m.now_us + HOLD_US : host->released_us;
	list_workers(host);
	for (j = 0; j < JOBS; j++) {
		char id[3] = { 'j', (char)('0' + j), '\0' };
		struct job *job =
			make_job(&host->fleet, id, 1, TASKS, 1, 2000, m.now_us);

		if (m.stored[j])
			ck_assert(record_state_read(
				&host->fleet, job, m.records[j].data,
				m.records[j].size, m.now_us));
	}
}

/* Asks the earlier leaders; forgets them once all have stopped. */
static void ask_earlier(struct model_host *host)
{
	int64_t released_us = host->released_us;
	bool all = true;
	int i, index;

	if (host->earlier.count == 0)
		return;
	for (i = 0; i < host->earlier.count; i++) {
		struct model_host *other;

		index = host->earlier.at[i].host[1] - '0';
		other = &m.hosts[index];
		if (!host->confirmed[index] && is_running(other) &&
		    connected((int)(host - m.hosts), index)) {
			if (other->fence < host->fence)
				stop_extending(other);
			host->confirmed[index] = true;
		}
		all &= host->confirmed[index];
		released_us = MAX(released_us, other->released_us);
	}
	if (!all && m.now_us < host->fleet.extended_until_us)
		return;
	if (all)
		fleet_earlier_leaders_stopped(&host->fleet, released_us);
	host->earlier.count = 0;
	m.recorded.count = 1;
}

static void store_records(struct model_host *host)
{
	int j;

	for (j = 0; j < JOBS; j++) {
		char id[3] = { 'j', (char)('0' + j), '\0' };

		if (m.stored[j])
			msgpack_sbuffer_destroy(&m.records[j]);
		record_state_write(fleet_job(&host->fleet, id), &m.records[j]);
		m.stored[j] = true;
	}
	mark_changes_stored(&host->fleet);
}

static void host_tick(int index)
{
	struct model_host *host = &m.hosts[index];
	bool store = has_store(index);
	struct worker *worker, *next;

	if (!is_running(host))
		return;
	if (host->leading && store && m.leader == index) {
		m.key_until_us = m.now_us + LEADER_LEASE_US;
		host->valid_until_us = m.now_us + LEADER_LEASE_US - SEC / 5;
	}
	if (host->leading && m.now_us >= host->valid_until_us) {
		host->leading = false;
		host->holding_until_us = host->valid_until_us + HOLD_US;
	}
	if (host->active && !host->leading &&
	    (m.now_us >= host->holding_until_us ||
	     (store && m.leader >= 0 && m.leader != index)))
		stop_extending(host);
	if (!host->active)
		return;
	if (host->leading) {
		ask_earlier(host);
		if (store && chance(300))
			list_workers(host);
		fleet_open_due(&host->fleet, m.now_us, m.now_us / 1000);
		fleet_expire(&host->fleet, m.now_us);
		plan_pass(&host->fleet, m.now_us);
		if (store && chance(500))
			store_records(host);
	}
	list_for_each_entry_safe(worker, next, &host->fleet.workers, node)
		if (!worker->replaced)
			call_worker(host, worker);
}

static void model_tick(void)
{
	int i;

	m.now_us += TICK_US;
	if (m.faults && chance(8))
		m.cut_dc = m.cut_dc < 0 || chance(500) ?
				   g_rand_int_range(m.rand, 0, HOSTS) :
				   -1;
	if (m.faults && chance(5))
		m.hosts[g_rand_int_range(m.rand, 0, HOSTS)].paused_until_us =
			m.now_us + up_to(9 * SEC);
	/* The leader is stopped and releases its key. */
	if (m.faults && chance(4) && m.leader >= 0 &&
	    is_running(&m.hosts[m.leader])) {
		stop_extending(&m.hosts[m.leader]);
		m.leader = -1;
	}
	if (m.leader >= 0 && m.now_us >= m.key_until_us)
		m.leader = -1;
	for (i = 0; i < HOSTS && m.leader < 0; i++) {
		int index = (i + (int)m.fence) % HOSTS;

		if (has_store(index) && is_running(&m.hosts[index]))
			elect(index);
	}
	lates_tick();
	for (i = 0; i < WORKERS; i++)
		worker_tick(&m.workers[i]);
	for (i = 0; i < HOSTS; i++)
		host_tick(i);
}

static void model_start(uint32_t seed)
{
	int i;

	memset(&m, 0, sizeof(m));
	m.rand = g_rand_new_with_seed(seed);
	m.now_us = 100 * SEC;
	m.cut_dc = m.leader = -1;
	m.faults = true;
	for (i = 0; i < HOSTS; i++)
		m.hosts[i].released_us = m.now_us;
	for (i = 0; i < WORKERS; i++) {
		struct model_worker *worker = &m.workers[i];

		snprintf(worker->id, sizeof(worker->id), "w%d", i);
		worker->dc = i % HOSTS;
		worker->rate = 1.0 - g_rand_double(m.rand) * 0.02;
		worker->runs =
			g_array_new(FALSE, FALSE, sizeof(struct model_run));
		worker->ends =
			g_array_new(FALSE, FALSE, sizeof(struct model_end));
		worker_start(worker);
	}
}

static bool all_done(void)
{
	const struct model_host *host;
	const struct job *job;

	if (m.leader < 0)
		return false;
	host = &m.hosts[m.leader];
	list_for_each_entry(job, &host->fleet.jobs, node)
		if (job->phase != JOB_DONE)
			return false;
	return true;
}

static void model_finish(void)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		stop_extending(&m.hosts[i]);
	for (i = 0; i < WORKERS; i++) {
		g_array_unref(m.workers[i].runs);
		g_array_unref(m.workers[i].ends);
	}
	for (i = 0; i < JOBS; i++)
		if (m.stored[i])
			msgpack_sbuffer_destroy(&m.records[i]);
	g_rand_free(m.rand);
}

START_TEST(no_task_runs_twice_or_stands_still)
{
	int64_t began_us;

	model_start((uint32_t)_i);
	began_us = m.now_us;
	while (m.now_us < began_us + FAULTS_US)
		model_tick();
	m.faults = false;
	m.cut_dc = -1;
	while (m.now_us < began_us + END_US && !all_done())
		model_tick();
	ck_assert_msg(all_done(), "seed %d: a job has not ended", _i);
	model_finish();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("release_model");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, no_task_runs_twice_or_stands_still, 1,
			    SEEDS + 1);
	return run_case("release_model", tc);
}
