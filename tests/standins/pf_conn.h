#ifndef TESTS_STANDINS_PF_CONN_H
#define TESTS_STANDINS_PF_CONN_H

#include <http_parser.h>

#include "tests/standins/pf_server.h"

/* A request's answer. body NULL and status 0: close without answering. */
struct pf_answer {
	int status;
	json_t *body;
	bool watch; /* the reply is a stream */
};

struct pf_conn {
	struct list_head node;
	struct pf_server *server;
	bool control; /* arrived at the control port */
	int fd;
	struct http_parser parser;
	GString *url;
	GString *body;
	GString *out;
	int64_t send_at_us; /* out waits until then */
	bool complete;
	bool keep_alive;
	bool dead; /* closed once out is empty */
	/* watch */
	bool watching;
	char *key;
	char *end;
	int64_t next_revision;
};

struct pf_answer pf_route(struct pf_conn *conn, const char *method,
			  const char *path, const json_t *body);
void pf_route_finish(struct pf_server *server);
#endif
