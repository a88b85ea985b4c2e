#ifndef CONTROL_KEYS_H
#define CONTROL_KEYS_H

/* Keys of the store that the product owns. */

#define KEY_LEADER "chivebank/leader"
/* The same without a lease: who led last. Under the prefix of the above. */
#define KEY_LAST_LEADER "chivebank/leader/last"
/* Written by entry hosts for callers, read by the leader. */
#define KEY_INTAKE_PREFIX "chivebank/intake/" /* then ID and one of: */
#define KEY_SPEC_SUFFIX "/spec"
#define KEY_CANCEL_SUFFIX "/cancel"
/* Written by the leader. */
#define KEY_STATE_PREFIX "chivebank/state/" /* then ID */
#define KEY_WAITING "chivebank/waiting"
/* Then data centre, "/" and host; one a host, under a lease. */
#define KEY_HOSTS_PREFIX "chivebank/hosts/"

#endif
