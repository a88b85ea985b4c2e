#include "control/record.h"

#include <string.h>

#include "base/log.h"
#include "wire/fr.h"
#include "wire/mp.h"

enum step_flag {
	STEP_GANG = 1,
	STEP_SAME_RACK = 2,
	STEP_CHECKPOINT = 4,
	STEP_SPECULATIVE = 8,
	STEP_LONG_RUNNING = 16,
	STEP_FILLS = 32,
};

#define KEY_DIGEST_CHARS 32

#define STRETCH_SCALE 1000.0 /* stretch is stored in thousandths */
/* Of all tasks of a job: half of what the store takes in one value. */
#define RECORD_CHECKPOINTS_MAX_BYTES (512 * 1024)

/* Submissions. */

static uint64_t step_flags(const struct step_spec *step)
{
	return (step->gang ? STEP_GANG : 0) |
	       (step->same_rack ? STEP_SAME_RACK : 0) |
	       (step->checkpoint ? STEP_CHECKPOINT : 0) |
	       (step->speculative ? STEP_SPECULATIVE : 0) |
	       (step->long_running ? STEP_LONG_RUNNING : 0) |
	       (step->fills ? STEP_FILLS : 0);
}

static void step_write(const struct step_spec *step, struct mp_out *out)
{
	mp_array(out, 13);
	mp_int(out, step->count);
	mp_int(out, step->need.cpu_milli);
	mp_int(out, step->need.mem_mb);
	mp_int(out, step->need.gpus);
	mp_int(out, step->est_ms);
	mp_uint(out, step->after);
	mp_uint(out, step_flags(step));
	mp_int(out, step->max_per_worker);
	mp_int(out, step->may_miss);
	mp_int(out, step->target_ms);
	mp_str(out, step->label);
	mp_str(out, step->rack);
	mp_str(out, step->image);
}

/* Moves the packed bytes to out, which then owns them. */
static void move_buffer(struct mp_out *from, msgpack_sbuffer *out)
{
	*out = from->buf;
}

void record_submission_write(const struct submission *submission,
			     const struct job_spec *spec, msgpack_sbuffer *out)
{
	struct mp_out mp;
	int i;

	mp_begin(&mp, 15);
	mp_uint(&mp, RECORD_VERSION);
	mp_str(&mp, submission->queue);
	mp_str(&mp, submission->pool);
	mp_str(&mp, submission->customer);
	mp_int(&mp, submission->priority);
	mp_int(&mp, submission->attempts);
	mp_int(&mp, (int64_t)(submission->stretch * STRETCH_SCALE));
	mp_int(&mp, submission->slo_ms);
	mp_int(&mp, submission->accepted_ms);
	mp_str(&mp, spec->payload);
	mp_int(&mp, spec->times);
	mp_int(&mp, spec->first_ms);
	mp_int(&mp, spec->interval_ms);
	mp_array(&mp, spec->nsteps);
	for (i = 0; i < spec->nsteps; i++)
		step_write(&spec->steps[i], &mp);
	mp_str(&mp, submission->key_digest);
	move_buffer(&mp, out);
}

/* Numbers are added to, so that one beyond the range makes a record unreadable. */
#define RECORD_INT_MAX (1LL << 53)

static int64_t get_count(struct mp_in *in)
{
	int64_t number = mp_get_int(in);

	in->ok &= number >= 0 && number <= RECORD_INT_MAX;
	return number;
}

static int get_int(struct mp_in *in)
{
	int64_t number = mp_get_int(in);

	in->ok &= number >= G_MININT && number <= G_MAXINT;
	return (int)number;
}

/* Earlier versions accepted any amounts and times. */
static int64_t get_at_most(struct mp_in *in, int64_t max)
{
	int64_t number = mp_get_int(in);

	return MIN(number, max);
}

static void step_read(struct mp_in *in, struct step_spec *step)
{
	uint64_t flags;

	step->count = get_int(in);
	step->need.cpu_milli = get_at_most(in, SPEC_AMOUNT_MAX);
	step->need.mem_mb = get_at_most(in, SPEC_AMOUNT_MAX);
	step->need.gpus = get_at_most(in, SPEC_AMOUNT_MAX);
	step->est_ms = get_at_most(in, SPEC_SPAN_MAX_MS);
	step->after = mp_get_uint(in);
	flags = mp_get_uint(in);
	step->gang = flags & STEP_GANG;
	step->same_rack = flags & STEP_SAME_RACK;
	step->checkpoint = flags & STEP_CHECKPOINT;
	step->speculative = flags & STEP_SPECULATIVE;
	step->long_running = flags & STEP_LONG_RUNNING;
	step->fills = flags & STEP_FILLS;
	step->max_per_worker = get_int(in);
	step->may_miss = get_int(in);
	step->target_ms = get_at_most(in, SPEC_SPAN_MAX_MS);
	step->label = mp_get_str(in);
	step->rack = mp_get_str(in);
	step->image = mp_get_str(in);
}

/* A field at the end that records of earlier versions lack. */
static char *read_added_str(struct mp_in *in)
{
	return in->ok && in->left > 0 ? mp_get_str(in) : NULL;
}

static struct job *submission_read(const char *id, struct mp_in *in)
{
	struct submission head = { 0 };
	struct mp_in steps, inner;
	struct job_spec spec;
	struct job *job;
	char *payload;
	int64_t times, first_ms, interval_ms;
	int i;

	head.queue = mp_get_str(in);
	head.pool = mp_get_str(in);
	head.customer = mp_get_str(in);
	head.priority = get_int(in);
	head.attempts = get_int(in);
	head.stretch = (double)mp_get_int(in) / STRETCH_SCALE;
	head.slo_ms = mp_get_int(in);
	head.accepted_ms = get_count(in);
	payload = mp_get_str(in);
	times = mp_get_int(in);
	first_ms = mp_get_int(in);
	interval_ms = mp_get_int(in);
	mp_get_array(in, &steps);
	if (!in->ok || steps.left < 1 || steps.left > SPEC_STEPS_MAX)
		memset(&steps, 0, sizeof(steps));
	job_spec_init(&spec, (int)steps.left);
	spec.payload = payload;
	spec.times = times;
	spec.first_ms = first_ms;
	spec.interval_ms = interval_ms;
	for (i = 0; i < spec.nsteps; i++) {
		mp_get_array(&steps, &inner);
		step_read(&inner, &spec.steps[i]);
		in->ok &= inner.ok;
	}
	head.key_digest = read_added_str(in);
	if (!in->ok || !head.queue || !head.pool || !head.customer ||
	    !job_spec_check(&spec, NULL)) {
		job_spec_finish(&spec);
		g_free(head.queue);
		g_free(head.pool);
		g_free(head.customer);
		g_free(head.key_digest);
		return NULL;
	}
	job = job_new(id, &spec);
	job->queue = head.queue;
	job->pool = head.pool;
	job->customer = head.customer;
	job->key_digest = head.key_digest;
	job->priority = head.priority;
	job->attempts = head.attempts;
	job->stretch = head.stretch;
	job->slo_ms = head.slo_ms;
	job->accepted_ms = head.accepted_ms;
	return job;
}

bool record_open(msgpack_unpacked *unpacked, const void *data, size_t len,
		 struct mp_in *in)
{
	if (!fr_unpack_record(unpacked, data, len, NULL))
		return false;
	mp_open(in, &unpacked->data);
	return in->ok && mp_get_uint(in) == RECORD_VERSION && in->ok;
}

struct job *record_submission_read(const char *id, const void *data, size_t len)
{
	msgpack_unpacked unpacked;
	struct job *job = NULL;
	struct mp_in in;

	if (record_open(&unpacked, data, len, &in))
		job = submission_read(id, &in);
	msgpack_unpacked_destroy(&unpacked);
	return job;
}

/* Records of the state of a job. */

static bool task_is_initial(const struct task *task)
{
	return task->phase != TASK_DONE && task->run == 0 && task->fails == 0 &&
	       !task->checkpoint;
}

/* A task that is done needs none. */
static const char *stored_checkpoint(const struct task *task)
{
	return task->phase == TASK_DONE ? NULL : task->checkpoint;
}

static size_t checkpoint_bytes(const struct stage *stage)
{
	size_t bytes = 0;
	int i;

	for (i = 0; i < stage->spec->count; i++) {
		const char *text = stored_checkpoint(&stage->tasks[i]);

		bytes += text ? strlen(text) : 0;
	}
	return bytes;
}

/*
 * Whether the record has room for the checkpoints. Without them the tasks of a
 * later leader begin anew; a part of them would give the members of a gang
 * different ones.
 */
static bool checkpoints_fit(const struct job *job)
{
	size_t bytes = 0;
	guint i;

	for (i = 0; i < job->stages->len; i++)
		bytes += checkpoint_bytes(g_ptr_array_index(job->stages, i));
	if (bytes <= RECORD_CHECKPOINTS_MAX_BYTES)
		return true;
	log_warn("record.no_checkpoints", "job=%s bytes=%zu limit=%d", job->id,
		 bytes, RECORD_CHECKPOINTS_MAX_BYTES);
	return false;
}

static void task_write(const struct task *task, bool checkpoints,
		       struct mp_out *out)
{
	bool holds = task->worker && task->phase != TASK_DONE;
	const struct task *copy = task_has_copy(task) ? task->copy : NULL;

	mp_array(out, copy ? 10 : 7);
	mp_int(out, task->index);
	mp_uint(out, task->phase == TASK_DONE);
	mp_int(out, task->run);
	mp_int(out, task->fails);
	mp_str(out, holds ? task->worker->reported.id : NULL);
	mp_int(out, holds ? task->worker->reported.born_ms : 0);
	mp_str(out, checkpoints ? stored_checkpoint(task) : NULL);
	if (!copy)
		return;
	mp_int(out, copy->run);
	mp_str(out, copy->worker->reported.id);
	mp_int(out, copy->worker->reported.born_ms);
}

static void stage_write(const struct stage *stage, bool checkpoints,
			struct mp_out *out)
{
	int changed = 0;
	int i;

	for (i = 0; i < stage->spec->count; i++)
		changed += !task_is_initial(&stage->tasks[i]);
	mp_array(out, 5);
	mp_int(out, stage->occurrence);
	mp_int(out, stage->step);
	mp_int(out, stage->fails);
	mp_int(out, stage->fail_run);
	mp_array(out, changed);
	for (i = 0; i < stage->spec->count; i++)
		if (!task_is_initial(&stage->tasks[i]))
			task_write(&stage->tasks[i], checkpoints, out);
}

void record_state_write(const struct job *job, msgpack_sbuffer *out)
{
	bool checkpoints = checkpoints_fit(job);
	/* An ended job needs no task state once it holds no worker. */
	guint live = job_ended(job) && !fleet_job_holds_room(job) ?
			     0 :
			     job->stages->len;
	struct mp_out mp;
	guint i;

	mp_begin(&mp, 9);
	mp_uint(&mp, RECORD_VERSION);
	mp_str(&mp, job_phase_name(job->phase));
	mp_str(&mp, job->customer);
	mp_uint(&mp, job->started);
	mp_int(&mp, job->ended_ms);
	mp_int(&mp, job->due);
	mp_array(&mp, live);
	for (i = 0; i < live; i++)
		stage_write(g_ptr_array_index(job->stages, i), checkpoints,
			    &mp);
	mp_str(&mp, job->queue);
	mp_str(&mp, job->key_digest);
	move_buffer(&mp, out);
}

static void adopt(struct fleet *fleet, struct task *task, const char *id,
		  int64_t born_ms, int64_t now_us)
{
	struct worker *worker = fleet_adopt_worker(fleet, id, born_ms, now_us);

	fleet_adopt_run(fleet, task, worker);
	if (job_ended(task->stage->job))
		task->phase = TASK_STOPPING;
}

static void copy_read(struct fleet *fleet, struct task *task, struct mp_in *in,
		      int64_t now_us)
{
	int64_t run = get_count(in);
	char *worker = mp_get_str(in);
	int64_t born_ms = get_count(in);
	struct task *copy;

	if (in->ok && worker) {
		copy = task_add_copy(task);
		copy->run = run;
		adopt(fleet, copy, worker, born_ms, now_us);
		if (task->phase == TASK_DONE)
			copy->phase = TASK_STOPPING;
	}
	g_free(worker);
}

static void task_read(struct fleet *fleet, struct stage *stage,
		      struct mp_in *in, int64_t now_us)
{
	int64_t index = mp_get_int(in);
	bool done = mp_get_uint(in);
	int64_t run = get_count(in);
	int fails = get_int(in);
	char *worker = mp_get_str(in);
	int64_t born_ms = get_count(in);
	char *checkpoint = mp_get_str(in);
	struct task *task;

	if (!in->ok || index < 0 || index >= stage->spec->count) {
		in->ok = false;
		g_free(worker);
		g_free(checkpoint);
		return;
	}
	task = &stage->tasks[index];
	task->run = run;
	task->fails = fails;
	g_free(task->checkpoint);
	task->checkpoint = checkpoint;
	if (done && task->phase != TASK_DONE) {
		task->phase = TASK_DONE;
		stage->left--;
	}
	if (worker && !done)
		adopt(fleet, task, worker, born_ms, now_us);
	g_free(worker);
	if (in->left > 0)
		copy_read(fleet, task, in, now_us);
}

static bool stage_read(struct fleet *fleet, struct job *job, struct mp_in *in,
		       int64_t now_us)
{
	int64_t occurrence = mp_get_int(in);
	int64_t step = mp_get_int(in);
	int fails = get_int(in);
	int64_t fail_run = get_count(in);
	struct stage *stage;
	struct mp_in tasks;

	mp_get_array(in, &tasks);
	if (!in->ok || step < 0 || step >= SPEC_STEPS_MAX)
		return false;
	stage = job_reopen_occurrence(job, occurrence) ?
			job_stage(job, occurrence, (int)step) :
			NULL;
	if (!stage)
		return false;
	stage->fails = fails;
	stage->fail_run = fail_run;
	while (tasks.ok && tasks.left > 0) {
		struct mp_in inner;

		mp_get_array(&tasks, &inner);
		task_read(fleet, stage, &inner, now_us);
		if (!inner.ok)
			return false;
	}
	return tasks.ok;
}

/*
 * Derives the stage states of the occurrences that the record lists. The others
 * that were due are over: nothing is made for them, as there may be many.
 */
static void restore_stage_states(struct job *job, int64_t now_us)
{
	guint nsteps = (guint)job->spec.nsteps;
	const struct stage *first;
	guint i;

	job->closed = job->due;
	job->over = job->due;
	for (i = 0; i < job->stages->len; i++) {
		struct stage *stage = g_ptr_array_index(job->stages, i);

		if (stage->left == 0)
			stage->state = STAGE_DONE;
	}
	for (i = 0; i < job->stages->len; i += nsteps) {
		first = g_ptr_array_index(job->stages, i);
		job->closed = MIN(job->closed, first->occurrence);
		job->over -= !job_occurrence_done(job, first->occurrence);
		job_unblock(job, first->occurrence, now_us);
	}
}

static bool state_read(struct fleet *fleet, struct job *job, struct mp_in *in,
		       int64_t now_us)
{
	char phase[16];
	bool started;
	int64_t ended_ms, due;
	struct mp_in stages;
	bool ok = true;
	int number;

	mp_get_text(in, phase, sizeof(phase));
	g_free(mp_get_str(in)); /* customer; only entry hosts use it */
	started = mp_get_uint(in);
	ended_ms = get_count(in);
	due = get_count(in);
	mp_get_array(in, &stages);
	number = job_phase_parse(phase);
	if (!in->ok || number < 0 || due < 0 || due > job->occurrences)
		return false;
	job->phase = (enum job_phase)number;
	job->started = started;
	job->ended_ms = ended_ms;
	job->due = due;
	while (ok && stages.left > 0) {
		struct mp_in inner;

		mp_get_array(&stages, &inner);
		ok = stages.ok && stage_read(fleet, job, &inner, now_us);
	}
	restore_stage_states(job, now_us);
	return ok;
}

bool record_state_read(struct fleet *fleet, struct job *job, const void *data,
		       size_t len, int64_t now_us)
{
	msgpack_unpacked unpacked;
	struct mp_in in;
	bool ok = record_open(&unpacked, data, len, &in) &&
		  state_read(fleet, job, &in, now_us);

	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

void job_owner_finish(struct job_owner *owner)
{
	g_free(owner->queue);
	g_free(owner->customer);
	g_free(owner->key_digest);
}

char *record_key_digest(const char *key)
{
	char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	digest[KEY_DIGEST_CHARS] = '\0';
	return digest;
}

bool record_phase_read(const void *data, size_t len, enum job_phase *phase,
		       struct job_owner *owner)
{
	struct mp_in in, stages;
	msgpack_unpacked unpacked;
	char name[16];
	int number = -1;

	memset(owner, 0, sizeof(*owner));
	if (record_open(&unpacked, data, len, &in)) {
		mp_get_text(&in, name, sizeof(name));
		owner->customer = mp_get_str(&in);
		mp_get_uint(&in); /* started */
		mp_get_int(&in); /* ended_ms */
		mp_get_int(&in); /* due */
		mp_get_array(&in, &stages);
		owner->queue = read_added_str(&in);
		owner->key_digest = read_added_str(&in);
		number = in.ok ? job_phase_parse(name) : -1;
	}
	msgpack_unpacked_destroy(&unpacked);
	*phase = (enum job_phase)MAX(number, 0);
	return number >= 0;
}

/* Counts. */

void record_waiting_write(const struct fleet *fleet, msgpack_sbuffer *out)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	const struct job *job;
	GHashTableIter iter;
	gpointer name, count;
	struct mp_out mp;

	list_for_each_entry(job, &fleet->jobs, node) {
		if (job->started || job_ended(job))
			continue;
		count = g_hash_table_lookup(counts, job->queue);
		g_hash_table_insert(
			counts, job->queue,
			GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
	}
	mp_begin(&mp, 1 + 2 * g_hash_table_size(counts));
	mp_uint(&mp, RECORD_VERSION);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		mp_str(&mp, name);
		mp_int(&mp, GPOINTER_TO_INT(count));
	}
	g_hash_table_unref(counts);
	move_buffer(&mp, out);
}

int64_t record_waiting_read(const void *data, size_t len, const char *queue)
{
	msgpack_unpacked unpacked;
	int64_t found = -1;
	struct mp_in in;

	if (record_open(&unpacked, data, len, &in))
		while (in.ok && in.left > 0 && found < 0) {
			char *name = mp_get_str(&in);
			int64_t count = mp_get_int(&in);

			if (in.ok && g_strcmp0(name, queue) == 0)
				found = count;
			g_free(name);
		}
	msgpack_unpacked_destroy(&unpacked);
	return found;
}
