#ifndef TESTS_STANDINS_PF_SERVER_H
#define TESTS_STANDINS_PF_SERVER_H

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

bool pf_init(struct pf_server *server, int kv_port, int control_port);
void pf_finish(struct pf_server *server);
/* Serves what is ready, waiting at most so long. */
void pf_step(struct pf_server *server, int timeout_ms);

void pf_control(struct pf_server *server, const json_t *body);
void pf_set_down(struct pf_server *server, bool down);

/* pf_thread.c: the stand-in on a thread, for unit tests. */
struct pf_thread {
	struct pf_server server;
	GMutex lock; /* held while the server is used */
	GThread *thread;
	int stop;
};

void pf_thread_start(struct pf_thread *t);
void pf_thread_stop(struct pf_thread *t);
void pf_thread_control(struct pf_thread *t, const char *json);
/* Number of calls of a kind so far. */
int64_t pf_thread_calls(struct pf_thread *t, const char *kind);

#endif
