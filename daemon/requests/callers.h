#ifndef DAEMON_REQUESTS_CALLERS_H
#define DAEMON_REQUESTS_CALLERS_H

#include "base/kn.h"
#include "base/set.h"

/*
 * The service "callers": ANY /r/<service>/<path>, POST /v1/tickets and
 * GET /healthz on the callers' address. Add it after "requests".
 */
struct kn_task *callers_new(struct kn *kn, const struct set *set);
/* The bound port, also when the settings say 0; valid once started. */
int callers_bound_port(const struct kn_task *task);

#endif
