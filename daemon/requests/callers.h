#ifndef DAEMON_REQUESTS_CALLERS_H
#define DAEMON_REQUESTS_CALLERS_H

#include "base/kn.h"
#include "base/set.h"

/*
 * The service "callers": the HTTP server for callers, with the paths
 * /r/<service>/<path> (GET, HEAD, PUT, POST, PATCH and DELETE), POST
 * /v1/tickets and GET /healthz. Add it after "requests".
 */
struct kn_task *callers_new(struct kn *kn, const struct set *set);
/* The bound port, also if the setting is 0; valid once started. */
int callers_bound_port(const struct kn_task *task);

#endif
