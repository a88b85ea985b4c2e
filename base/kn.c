#include "base/kn.h"

#include <signal.h>
#include <string.h>
#include <time.h>

#include <uv.h>

#include "base/err.h"
#include "base/limits.h"
#include "base/log.h"

/* Signals address the process; the handler only counts and wakes the loop. */
static volatile sig_atomic_t stop_signals;
static volatile int64_t first_stop_us; /* when the first of them came */
static volatile sig_atomic_t reload_signals;
static struct lws_context *signal_context;

/* Setup. */

static void forward_lws_log(int level, const char *line)
{
	char text[256];
	size_t len;

	snprintf(text, sizeof(text), "%s", line);
	len = strlen(text);
	while (len > 0 && (text[len - 1] == '\n' || text[len - 1] == '\r'))
		text[--len] = '\0';
	if (level == LLL_ERR)
		log_err("lws", "text=\"%s\"", text);
	else
		log_dbg("lws", "text=\"%s\"", text);
}

/*
 * Creates the event loop on libuv, for its epoll: the poll() that is built
 * into libwebsockets walks all descriptors in each round, and its timers are
 * a sorted list. The listening and client vhosts are made by the
 * modules that own the sockets.
 */
bool kn_init(struct kn *kn, GError **err)
{
	struct lws_context_creation_info info;
	void *loops[1];

	memset(kn, 0, sizeof(*kn));
	list_init(&kn->tasks);
	list_init(&kn->ready);
	ctr_set_init(&kn->counters);
	lws_set_log_level(LLL_ERR | LLL_WARN, forward_lws_log);
	memset(&info, 0, sizeof(info));
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.options =
		LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_LIBUV;
	kn->loop = g_new0(uv_loop_t, 1);
	uv_loop_init(kn->loop);
	kn->clock = g_new0(uv_timer_t, 1);
	uv_timer_init(kn->loop, kn->clock);
	kn->clock->data = kn;
	kn->timers = g_sequence_new(NULL);
	loops[0] = kn->loop;
	info.foreign_loops = loops;
	info.user = kn;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	info.pt_serv_buf_size = HTTP_HEADERS_MAX_BYTES;
	info.max_http_header_data = HTTP_HEADERS_MAX_BYTES;
	kn->lws = lws_create_context(&info);
	if (!kn->lws) {
		g_set_error(err, CB_ERROR, CB_E_LIBRARY,
			    "cannot create the libwebsockets context");
		return false;
	}
	return true;
}

/*
 * libwebsockets closes its handles in further rounds of the loop; its second
 * call then frees the context.
 */
static void free_loop(struct kn *kn)
{
	int i;

	uv_close((uv_handle_t *)kn->clock, NULL);
	if (kn->lws) {
		lws_context_destroy(kn->lws);
		for (i = 0; i < KN_CLOSE_ROUNDS; i++)
			uv_run(kn->loop, UV_RUN_NOWAIT);
		lws_context_destroy(kn->lws);
		kn->lws = NULL;
	}
	for (i = 0; i < KN_CLOSE_ROUNDS && uv_loop_close(kn->loop) != 0; i++)
		uv_run(kn->loop, UV_RUN_NOWAIT);
	g_sequence_free(kn->timers);
	g_free(kn->clock);
	g_free(kn->loop);
}

/* Finishes all tasks, last started first, and frees the event loop. */
void kn_finish(struct kn *kn)
{
	struct kn_msg *msg, *tmp;
	struct kn_task *task;

	while (!list_empty(&kn->tasks)) {
		task = list_entry(kn->tasks.prev, struct kn_task, node);
		list_del(&task->node);
		list_del(&task->ready);
		/* finish() may free the task, so the mailbox comes first. */
		list_for_each_entry_safe(msg, tmp, &task->mailbox, node) {
			list_del(&msg->node);
			kn_msg_release(msg);
		}
		if (task->started && task->ops->finish)
			task->ops->finish(task);
	}
	signal_context = NULL;
	kn_timer_cancel(&kn->drain_timer);
	free_loop(kn);
}

/* Registers a task as a service under a name, which must outlive it. */
void kn_add(struct kn *kn, struct kn_task *task, const char *name,
	    const struct kn_task_ops *ops)
{
	task->ops = ops;
	task->kn = kn;
	task->name = name;
	task->started = false;
	task->drained = false;
	list_init(&task->mailbox);
	list_init(&task->ready);
	list_add_tail(&task->node, &kn->tasks);
}

/* Returns the service of that name, NULL when there is none. */
struct kn_task *kn_find(struct kn *kn, const char *name)
{
	struct kn_task *task;

	list_for_each_entry(task, &kn->tasks, node)
		if (strcmp(task->name, name) == 0)
			return task;
	return NULL;
}

/* Messages. */

/* Puts a message into a task's mailbox; order per sender is kept. */
void kn_send(struct kn_task *to, struct kn_task *from, struct kn_msg *msg)
{
	msg->from = from;
	list_add_tail(&msg->node, &to->mailbox);
	if (list_empty(&to->ready))
		list_add_tail(&to->ready, &to->kn->ready);
}

/* Frees a received message. */
void kn_msg_release(struct kn_msg *msg)
{
	if (msg->release)
		msg->release(msg);
}

static void deliver_all(struct kn_task *task)
{
	struct list_head batch;
	struct kn_msg *msg;

	/* Messages sent while this batch is handled wait for the next round. */
	list_init(&batch);
	if (!list_empty(&task->mailbox)) {
		list_add(&batch, &task->mailbox);
		list_del(&task->mailbox);
	}
	while (!list_empty(&batch)) {
		msg = list_first_entry(&batch, struct kn_msg, node);
		list_del(&msg->node);
		task->ops->receive(task, msg);
	}
}

static void drain_mailboxes(struct kn *kn)
{
	struct kn_task *task;
	int rounds;

	for (rounds = 0; rounds < KN_DRAIN_ROUNDS; rounds++) {
		struct list_head batch;

		if (list_empty(&kn->ready))
			return;
		list_init(&batch);
		list_add(&batch, &kn->ready);
		list_del(&kn->ready);
		while (!list_empty(&batch)) {
			task = list_first_entry(&batch, struct kn_task, ready);
			list_del(&task->ready);
			deliver_all(task);
		}
	}
}

/* Time. */

static struct kn_timer *first_timer(struct kn *kn)
{
	GSequenceIter *first = g_sequence_get_begin_iter(kn->timers);

	return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static void clock_fired(uv_timer_t *clock);

/* The clock counts milliseconds; it must not fire before the timer is due. */
static void set_clock(struct kn *kn)
{
	struct kn_timer *first = first_timer(kn);
	int64_t left_us, wait_us;

	if (!first) {
		uv_timer_stop(kn->clock);
		return;
	}
	/* MAX() would read the time twice, and the second may be past. */
	left_us = first->at_us - kn_now_us();
	wait_us = MAX(0, left_us);
	uv_update_time(kn->loop);
	uv_timer_start(
		kn->clock, clock_fired,
		(uint64_t)((wait_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC), 0);
}

static void run_timers(struct kn *kn)
{
	int64_t now_us = kn_now_us();
	struct kn_timer *timer;

	while ((timer = first_timer(kn)) && timer->at_us <= now_us) {
		g_sequence_remove(timer->place);
		timer->place = NULL;
		timer->fn(timer); /* may free the timer */
	}
	set_clock(kn);
}

/*
 * libuv runs timers before it waits for sockets, so the wait is skipped when
 * one has sent a message. After a time without processor, time-outs are due
 * whose answers wait in the kernel: the sockets are read first then.
 */
static void clock_fired(uv_timer_t *clock)
{
	struct kn *kn = clock->data;
	struct kn_timer *first = first_timer(kn);

	if (first && kn_now_us() - first->at_us > KN_LATE_MS * USEC_PER_MSEC) {
		kn->late = true;
		uv_stop(kn->loop);
		return;
	}
	run_timers(kn);
	if (!list_empty(&kn->ready) || kn->stopped)
		uv_stop(kn->loop);
}

static gint by_time(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct kn_timer *x = a, *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* Starts a timer, or moves a running one. delay_us counts from now. */
void kn_timer_set(struct kn *kn, struct kn_timer *timer, int64_t delay_us,
		  void (*fn)(struct kn_timer *timer))
{
	if (timer->place)
		g_sequence_remove(timer->place);
	timer->fn = fn;
	timer->kn = kn;
	/* At least 1, so that a timer without delay waits for the next round. */
	timer->at_us = kn_now_us() + MAX(delay_us, 1);
	timer->place =
		g_sequence_insert_sorted(kn->timers, timer, by_time, NULL);
	if (first_timer(kn) == timer)
		set_clock(kn);
}

/* Stops a timer; one that is not running is left alone. */
void kn_timer_cancel(struct kn_timer *timer)
{
	if (timer->place)
		g_sequence_remove(timer->place);
	timer->place = NULL;
}

/* True while the timer is running. */
bool kn_timer_pending(const struct kn_timer *timer)
{
	return timer->place != NULL;
}

static int64_t clock_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/*
 * Steady clock in microseconds. It counts the time for which the host was
 * suspended, as leases run on meanwhile.
 */
int64_t kn_now_us(void)
{
	return clock_us(CLOCK_BOOTTIME);
}

/* Wall clock in microseconds since the epoch, for event lines only. */
int64_t kn_wall_us(void)
{
	return clock_us(CLOCK_REALTIME);
}

/* Running. */

/* Starts all tasks in the order they were added. */
bool kn_start(struct kn *kn, GError **err)
{
	struct kn_task *task;

	list_for_each_entry(task, &kn->tasks, node) {
		if (task->ops->start && !task->ops->start(task, err))
			return false;
		task->started = true;
	}
	return true;
}

static void handle_reload(struct kn *kn)
{
	static int handled;
	struct kn_task *task;

	if (handled == reload_signals)
		return;
	handled = reload_signals;
	list_for_each_entry(task, &kn->tasks, node)
		if (task->ops->reload)
			task->ops->reload(task);
}

void kn_limit_drain(struct kn *kn, int64_t ms)
{
	kn->drain_limit_ms = ms;
}

static void cut_drain(struct kn_timer *timer)
{
	struct kn *kn = container_of(timer, struct kn, drain_timer);
	const struct kn_task *task;

	list_for_each_entry(task, &kn->tasks, node)
		if (!task->drained)
			log_warn("stop.cut",
				 "task=%s limit_ms=%" G_GINT64_FORMAT,
				 task->name, kn->drain_limit_ms);
	kn_stop(kn, 0);
}

static void begin_drain(struct kn *kn, int64_t since_us)
{
	struct kn_task *task;

	kn->draining = true;
	kn->drain_us = since_us;
	log_info("stop.draining",
		 "reason=signal handled_after_ms=%" G_GINT64_FORMAT,
		 (kn_now_us() - since_us) / 1000);
	if (kn->drain_limit_ms > 0)
		kn_timer_set(kn, &kn->drain_timer,
			     since_us + kn->drain_limit_ms * USEC_PER_MSEC -
				     kn_now_us(),
			     cut_drain);
	list_for_each_entry(task, &kn->tasks, node) {
		if (task->ops->drain)
			task->ops->drain(task);
		else
			kn_drained(task);
	}
}

static void handle_signals(struct kn *kn)
{
	static int handled;

	if (handled == stop_signals)
		return;
	handled = stop_signals;
	if (kn->draining)
		log_info("stop.repeated", "signals=%d", handled);
	else
		begin_drain(kn, first_stop_us);
}

/* Notes that bytes, or a connection, of a socket were taken. */
void kn_note_arrival(struct lws *wsi)
{
	struct kn *kn = lws_context_user(lws_get_context(wsi));

	kn->arrivals++;
}

/*
 * Serves what has arrived already, without waiting: a round reads only a part
 * of each socket and accepts only some connections.
 */
static void serve_arrived(struct kn *kn, int64_t limit_ms)
{
	int64_t until_us = kn_now_us() + limit_ms * USEC_PER_MSEC;
	int idle = 0;

	while (idle < KN_IDLE_ROUNDS && kn_now_us() < until_us) {
		uint64_t before = kn->arrivals;

		uv_run(kn->loop, UV_RUN_NOWAIT);
		drain_mailboxes(kn);
		log_flush();
		idle = kn->arrivals == before ? idle + 1 : 0;
	}
}

/* Runs one round of mailboxes, sockets and timers. */
void kn_turn(struct kn *kn)
{
	drain_mailboxes(kn);
	log_flush();
	if (kn->stopped)
		return;
	uv_run(kn->loop, list_empty(&kn->ready) ? UV_RUN_ONCE : UV_RUN_NOWAIT);
	if (kn->late) {
		serve_arrived(kn, KN_LATE_READ_MS);
		kn->late = false;
		run_timers(kn);
	}
	handle_reload(kn);
	handle_signals(kn);
}

/* Runs until kn_stop() or until all tasks have drained. */
int kn_run(struct kn *kn)
{
	while (!kn->stopped)
		kn_turn(kn);
	/* Closing a connection resets it while a request of it is unread. */
	if (kn->draining)
		serve_arrived(kn, KN_LAST_READ_MS);
	return kn->exit_code;
}

/* Begins the graceful stop of all tasks. */
void kn_drain(struct kn *kn)
{
	if (!kn->draining)
		begin_drain(kn, kn_now_us());
}

/* A task reports that nothing of it is in progress any more. */
void kn_drained(struct kn_task *task)
{
	struct kn *kn = task->kn;

	task->drained = true;
	list_for_each_entry(task, &kn->tasks, node)
		if (!task->drained)
			return;
	kn_stop(kn, 0);
}

/* Ends kn_run() after the current round. */
void kn_stop(struct kn *kn, int exit_code)
{
	kn->stopped = true;
	kn->exit_code = exit_code;
	lws_cancel_service(kn->lws);
}

static void on_signal(int number)
{
	if (number == SIGHUP) {
		reload_signals++;
	} else {
		if (first_stop_us == 0)
			first_stop_us = kn_now_us();
		stop_signals++;
	}
	if (signal_context)
		lws_cancel_service(signal_context);
}

/*
 * SIGTERM and SIGINT drain; further ones change nothing, as a supervisor may
 * repeat them. SIGHUP lets the tasks read their settings again.
 */
void kn_handle_signals(struct kn *kn)
{
	struct sigaction action;

	signal_context = kn->lws;
	memset(&action, 0, sizeof(action));
	action.sa_handler = on_signal;
	sigemptyset(&action.sa_mask);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	action.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &action, NULL);
}
