#ifndef POLICY_JB_H
#define POLICY_JB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/limits.h"

#define JB_ID_BYTES 32
#define JB_BORROWED (-1) /* cover of a place outside of any guarantee */

enum jb_state {
	JB_SUBMITTED,
	JB_QUEUED,
	JB_RESERVED,
	JB_RUNNING,
	JB_CHECKPOINTING,
	JB_STOPPED,
	JB_DONE,
	JB_FAILED,
	JB_CANCELLED,
	JB_STATES
};

struct jb_place {
	char worker[NAME_MAX_BYTES];
	int count;
	int cover; /* enum cell_unit of the guarantee, or JB_BORROWED */
};

/* A job as callers see it and as it is kept in the store. */
struct jb {
	char id[JB_ID_BYTES];
	char customer[NAME_MAX_BYTES];
	char dc[NAME_MAX_BYTES];
	char digest[65]; /* of the submission */
	int accelerators;
	int64_t declared_s; /* shown only; decisions don't use it */
	int64_t grace_ms; /* that a checkpoint needs */
	bool urgent;
	bool stoppable;
	bool stop_on_removal; /* the customer's rule, if its section goes */
	json_t *task; /* opaque, passed on to the workers */
	enum jb_state state;
	char reason[NAME_MAX_BYTES];
	uint64_t epoch; /* of the leader that started it */
	int attempt;
	int64_t submitted_wall_us;
	int64_t started_wall_us;
	int64_t ended_wall_us;
	int64_t attained_us; /* accelerator-microseconds, saved ones only */
	struct jb_place *places;
	int place_count;
};

void jb_init(struct jb *jb);
void jb_finish(struct jb *jb);
const char *jb_state_name(enum jb_state state);
bool jb_may_change(enum jb_state from, enum jb_state to);
bool jb_ended(enum jb_state state);
bool jb_change(struct jb *jb, enum jb_state to, const char *reason);
bool jb_make_id(char id[JB_ID_BYTES], const char *customer, const char *key);
bool jb_submission(struct jb *jb, const json_t *body, const char *key,
		   GError **err);
void jb_clear_places(struct jb *jb);
void jb_add_place(struct jb *jb, const char *worker, int count, int cover);
json_t *jb_to_json(const struct jb *jb);
bool jb_from_json(struct jb *jb, const json_t *json, GError **err);

#endif
