#ifndef DAEMON_DOCUMENT_DOCUMENT_H
#define DAEMON_DOCUMENT_DOCUMENT_H

#include "base/set.h"
#include "wire/kv.h"

/*
 * Creates the service that keeps the document in force up to date and serves
 * its API calls. The peers and leadership services are optional: without the
 * leadership service the host acts as leader.
 */
struct kn_task *document_new(struct kn *kn, const struct set *set,
			     struct kv *kv, uint64_t incarnation);

#endif
