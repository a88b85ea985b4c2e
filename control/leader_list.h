#ifndef CONTROL_LEADER_LIST_H
#define CONTROL_LEADER_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/set.h"

/*
 * The leaders that may still extend leases of workers, as KEY_LAST_LEADER holds
 * them: the latest leader first, then the earlier ones of which no later leader
 * has heard that they have stopped.
 */

/* Identifies a process that leads or has led. */
struct leader_identity {
	char host[NAME_MAX_BYTES];
	uint64_t incarnation;
	struct set_addr peers; /* its address for other hosts */
};

/* Far more than elections within the time for which a lapsed leader extends
 * leases; what does not fit is kept as one entry that never answers. */
#define LEADER_LIST_MAX 16

struct leader_list {
	struct leader_identity at[LEADER_LIST_MAX];
	int count;
};

/*
 * Reads "HOST INCARNATION ADDRESS PORT" once for each leader, separated by
 * blanks. If the text has another form, returns false and a list of one leader
 * that never answers.
 */
bool leader_list_parse(struct leader_list *list, const char *text);
/* Returns the text of a list; allocated. */
char *leader_list_format(const struct leader_list *list);
/* A list of one leader that never answers: any host may have led. */
void leader_list_set_unknown(struct leader_list *list);
/*
 * Removes the entries of a host at its address. Only one process at a time can
 * have it, so that the earlier ones have ended. A process of the same name at
 * another address may go on.
 */
void leader_list_remove(struct leader_list *list,
			const struct leader_identity *leader);
/* Puts a leader first; replaces an entry of the same host and address. */
void leader_list_prepend(struct leader_list *list,
			 const struct leader_identity *leader);

#endif
