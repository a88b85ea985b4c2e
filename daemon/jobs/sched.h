#ifndef DAEMON_JOBS_SCHED_H
#define DAEMON_JOBS_SCHED_H

#include "base/kn.h"
#include "base/set.h"
#include "wire/kv.h"

/*
 * Creates the service "scheduler", which schedules and runs the jobs of the
 * data centre while its host is the leader. It must be added after the
 * services "lead" and "document", to which it subscribes.
 */
struct kn_task *sched_new(struct kn *kn, const struct set *set, struct kv *kv,
			  uint64_t incarnation);

#endif
