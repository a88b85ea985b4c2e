#ifndef TESTS_STANDINS_PF_SERVER_H
#define TESTS_STANDINS_PF_SERVER_H

#include <http_parser.h>

#include "base/list.h"
#include "tests/standins/pf_store.h"

/* A stand-in for the platform: store gateway, host list, fault controls. */
struct pf_server {
	struct pf_store store;
	struct list_head conns;
	int kv_fd; /* -1 while down */
	int kv_port;
	int control_fd;
	int control_port;
	GQueue hosts; /* struct pf_hosts, newest last */
	json_t *calls; /* kind -> number */
	bool down;
	bool freeze_watches; /* streams stay open and say nothing */
	int64_t delay_us;
	int drop_answers;
	int64_t hosts_lag_us;
};

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

bool pf_init(struct pf_server *server, int kv_port, int control_port);
void pf_finish(struct pf_server *server);
/* Serves what is ready, waiting at most so long. */
void pf_step(struct pf_server *server, int timeout_ms);

/* pf_route.c */
struct pf_answer pf_route(struct pf_conn *conn, const char *method,
			  const char *path, const json_t *body);
void pf_route_finish(struct pf_server *server);
/* pf_server.c */
void pf_set_down(struct pf_server *server, bool down);

#endif
