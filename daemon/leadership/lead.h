#ifndef DAEMON_LEADERSHIP_LEAD_H
#define DAEMON_LEADERSHIP_LEAD_H

#include "base/kn.h"
#include "base/set.h"
#include "wire/kv.h"

/*
 * Creates the leadership service, "lead", and adds it to the kernel. The
 * service "peers" must have been added before.
 */
struct kn_task *lead_new(struct kn *kn, const struct set *set, struct kv *kv,
			 uint64_t incarnation);

#endif
