#ifndef DAEMON_REQUESTS_MEMBERS_H
#define DAEMON_REQUESTS_MEMBERS_H

#include "base/set.h"
#include "wire/kv.h"

/*
 * The service "members": backend servers of this data centre, from the
 * platform's host list and the settings, for the service "requests". Add it
 * after that. kv may be NULL: only the settings count.
 */
struct kn_task *members_new(struct kn *kn, const struct set *set,
			    struct kv *kv);

#endif
