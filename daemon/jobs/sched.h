#ifndef DAEMON_JOBS_SCHED_H
#define DAEMON_JOBS_SCHED_H

#include "base/kn.h"
#include "base/set.h"
#include "wire/kv.h"

/*
 * The service that runs the jobs of the data centre while its host leads,
 * "scheduler". Add it after "lead" and "document".
 */
struct kn_task *sched_new(struct kn *kn, const struct set *set, struct kv *kv,
			  uint64_t incarnation);

#endif
