#ifndef DAEMON_SCHED_H
#define DAEMON_SCHED_H

#include "base/set.h"
#include "daemon/wk.h"
#include "wire/kv.h"

/*
 * Makes the scheduler service, "scheduler". Add it after "lead" and
 * "document". It owns the edge to the workers that make_edge makes.
 */
struct kn_task *sched_new(struct kn *kn, const struct set *set, struct kv *kv,
			  struct wk_edge *(*make_edge)(struct kn *kn));

#endif
