#ifndef BASE_KN_H
#define BASE_KN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <libwebsockets.h>

#include "base/ctr.h"
#include "base/list.h"

struct kn;
struct kn_task;
struct uv_loop_s;
struct uv_timer_s;

/*
 * Base of every message. The receiver owns a delivered message and calls
 * kn_msg_release() when done; release may be NULL for messages that are
 * part of longer-lived memory.
 */
struct kn_msg {
	struct list_head node;
	int type;
	struct kn_task *from;
	void (*release)(struct kn_msg *msg);
};

struct kn_task_ops {
	/* Opens sockets and timers. Returns false and sets err on failure. */
	bool (*start)(struct kn_task *task, GError **err);
	void (*receive)(struct kn_task *task, struct kn_msg *msg);
	/* Begins a graceful stop; kn_drained() must follow, now or later. */
	void (*drain)(struct kn_task *task);
	/* SIGHUP: the settings may have changed. May be NULL. */
	void (*reload)(struct kn_task *task);
	/* Frees what start made. Called in reverse order of starting. */
	void (*finish)(struct kn_task *task);
};

/* Base of every task; embedded as the first member. */
struct kn_task {
	const struct kn_task_ops *ops;
	struct kn *kn;
	const char *name;
	struct list_head node;
	struct list_head ready;
	struct list_head mailbox;
	bool started;
	bool drained;
};

/* Zeroed memory is a timer that is not running. */
struct kn_timer {
	GSequenceIter *place; /* NULL while it is not running */
	int64_t at_us;
	void (*fn)(struct kn_timer *timer);
	struct kn *kn;
};

/* One per process. */
struct kn {
	struct lws_context *lws;
	struct uv_loop_s *loop; /* lws runs on it */
	struct uv_timer_s *clock; /* fires for the first of the timers */
	GSequence *timers; /* struct kn_timer, by time */
	struct list_head tasks;
	struct list_head ready;
	struct ctr_set counters;
	uint64_t arrivals; /* see kn_note_arrival() */
	bool late; /* timers are overdue and wait for the sockets */
	bool draining;
	int64_t drain_us; /* when the signal for it came, 0: not draining */
	int64_t drain_limit_ms; /* 0: none */
	struct kn_timer drain_timer;
	bool stopped;
	int exit_code;
};

bool kn_init(struct kn *kn, GError **err);
void kn_finish(struct kn *kn);
void kn_add(struct kn *kn, struct kn_task *task, const char *name,
	    const struct kn_task_ops *ops);
struct kn_task *kn_find(struct kn *kn, const char *name);
void kn_send(struct kn_task *to, struct kn_task *from, struct kn_msg *msg);
void kn_msg_release(struct kn_msg *msg);
void kn_timer_set(struct kn *kn, struct kn_timer *timer, int64_t delay_us,
		  void (*fn)(struct kn_timer *timer));
void kn_timer_cancel(struct kn_timer *timer);
bool kn_timer_pending(const struct kn_timer *timer);
int64_t kn_now_us(void);
int64_t kn_wall_us(void);
bool kn_start(struct kn *kn, GError **err);
int kn_run(struct kn *kn);
void kn_turn(struct kn *kn);
/* A drain ends after ms, whatever the tasks have in progress. */
void kn_limit_drain(struct kn *kn, int64_t ms);
void kn_drain(struct kn *kn);
void kn_drained(struct kn_task *task);
void kn_stop(struct kn *kn, int exit_code);
void kn_handle_signals(struct kn *kn);
void kn_note_arrival(struct lws *wsi);

#endif
