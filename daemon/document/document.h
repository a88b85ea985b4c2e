#ifndef DAEMON_DOCUMENT_DOCUMENT_H
#define DAEMON_DOCUMENT_DOCUMENT_H

#include "base/set.h"
#include "wire/kv.h"

/*
 * The service that holds the document in force. Its peers and leadership
 * services are optional: without leadership the host leads.
 */
struct kn_task *document_new(struct kn *kn, const struct set *set,
			     struct kv *kv, uint64_t incarnation);

#endif
