#ifndef CONTROL_KEYS_H
#define CONTROL_KEYS_H

/* Keys in the store that belong to the scheduler. */

#define KEY_LEADER "chivebank/leader"
/* The last leader. Has no lease, so that it outlives KEY_LEADER, and is read
 * together with it, as it has KEY_LEADER for a prefix. */
#define KEY_LAST_LEADER "chivebank/leader/last"
/* Written by entry hosts for callers, read by the leader: prefix, job ID and
 * one of the suffixes. */
#define KEY_INTAKE_PREFIX "chivebank/intake/"
#define KEY_SPEC_SUFFIX "/spec"
#define KEY_CANCEL_SUFFIX "/cancel"
/* Written by the leader. */
#define KEY_STATE_PREFIX "chivebank/state/" /* followed by the job ID */
#define KEY_WAITING "chivebank/waiting"
#define KEY_SPEEDS "chivebank/speeds"
#define KEY_LOANS "chivebank/loans"
/* Followed by "<data centre>/<host>"; one key per host, under a lease. */
#define KEY_HOSTS_PREFIX "chivebank/hosts/"

#endif
