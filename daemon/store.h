#ifndef DAEMON_STORE_H
#define DAEMON_STORE_H

#include "base/set.h"
#include "wire/kv.h"

/*
 * Connects to the store that the settings name and adds a task that frees
 * the connection when it finishes. Add it before all users of the store,
 * because tasks finish in reverse order.
 */
struct kv *store_new(struct kn *kn, const struct set *set);

#endif
