#ifndef DAEMON_ADMIN_API_H
#define DAEMON_ADMIN_API_H

#include "base/kn.h"
#include "base/set.h"

/*
 * Creates the service "api", the HTTP administration API on the admin address
 * of the settings. It looks up the other services when it starts, so add it
 * last.
 */
struct kn_task *api_new(struct kn *kn, const struct set *set);
/* Returns the bound port, also when the settings have port 0. */
int api_port(struct kn_task *api);

#endif
