#ifndef STANDINS_BE_SERVER_H
#define STANDINS_BE_SERVER_H

#include <glib.h>

#include "tests/standins/be_ledger.h"

/*
 * Stand-in for a backend server. The service port answers any request with
 * "<method> <target> <XXH64 of the body>\n", padded to reply_bytes. GET
 * /ledger, GET /ledger?summary and POST /control are answered on both ports;
 * the control port stays open in the mode refuse, which is ordered there only.
 */

enum be_mode {
	BE_NORMAL,
	BE_TRUNCATE, /* half of the reply, then close */
	BE_CLOSE_BEFORE, /* close without doing any work */
	BE_CLOSE_AFTER, /* do the work and close without a reply */
	BE_HANG, /* never answer */
	BE_LEAVING, /* 503, Connection: close, Chivebank-Leaving: 1 */
	BE_REFUSE, /* the service port is closed */
	BE_LATE, /* answer delay_ms later */
	BE_MODES
};

struct be_options {
	const char *addr;
	int port;
	int control_port; /* -1: none */
	unsigned int slots; /* requests worked on at once; more wait */
	int64_t service_us;
	double straggler_share;
	double straggler_times;
	size_t reply_bytes;
	uint32_t seed;
};

struct be_server {
	struct kn *kn;
	struct be_options options;
	struct hs_server service;
	struct hs_server control;
	bool listening;
	enum be_mode mode;
	int64_t delay_us;
	GRand *rand;
	struct list_head waiting;
	struct list_head running;
	unsigned int running_count;
	struct be_ledger ledger;
	struct kn_timer reopen; /* tries again to listen */
};

bool be_server_init(struct be_server *be, struct kn *kn,
		    const struct be_options *options, GError **err);
void be_server_finish(struct be_server *be);
/*
 * Changes the mode before it returns, so that a request sent after the answer
 * to an order meets it. Not to be called while a request is received.
 */
void be_server_mode(struct be_server *be, enum be_mode mode, int delay_ms);
int be_mode_parse(const char *name);
json_t *be_server_ledger(struct be_server *be, bool entries);

#endif
