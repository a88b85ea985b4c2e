#ifndef DAEMON_ADMIN_API_H
#define DAEMON_ADMIN_API_H

#include "base/kn.h"
#include "base/set.h"

/*
 * The administration API on the settings' admin address. It finds the other
 * services when it starts, so add it last.
 */
struct kn_task *api_new(struct kn *kn, const struct set *set);
/* The bound port, also when the settings ask for port 0. */
int api_port(struct kn_task *api);

#endif
