#ifndef DAEMON_REQUESTS_MEMBERS_H
#define DAEMON_REQUESTS_MEMBERS_H

#include "base/set.h"
#include "wire/kv.h"

/*
 * The service "members": sends the backend servers of this data centre, from
 * the platform's host list and the settings, to the service "requests". Add it
 * after "requests". If kv is NULL, only the settings are used.
 */
struct kn_task *members_new(struct kn *kn, const struct set *set,
			    struct kv *kv);

#endif
