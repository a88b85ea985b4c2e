#ifndef DAEMON_STORE_H
#define DAEMON_STORE_H

#include "base/set.h"
#include "wire/kv.h"

/*
 * Creates the client of the store in the settings, and a task that frees it
 * when the task finishes. Must be called before the services that use the
 * store are added, because tasks finish in reverse order.
 */
struct kv *store_new(struct kn *kn, const struct set *set);

#endif
