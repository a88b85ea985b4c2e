#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/limits.h"
#include "base/log.h"
#include "tests/standins/be_server.h"

/* Stand-in for a backend server; see be_server.h. */

struct backend_task {
	struct kn_task task;
	struct be_server be;
	struct be_options options;
	const char *ledger_file;
};

static const struct argp_option options[] = {
	{ "addr", 'a', "ADDR", 0, "address to listen on (127.0.0.1)", 0 },
	{ "port", 'p', "PORT", 0, "service port (0: any free port)", 0 },
	{ "control-port", 'c', "PORT", 0, "port that stays open (none)", 0 },
	{ "slots", 's', "N", 0, "requests worked on at once (8)", 0 },
	{ "service-ms", 't', "MS", 0, "time that a request takes (0)", 0 },
	{ "straggler-share", 'q', "SHARE", 0, "0 to 1 of requests (0)", 0 },
	{ "straggler-times", 'x', "N", 0, "their service time (50)", 0 },
	{ "reply-bytes", 'b', "N", 0, "least size of a reply (0)", 0 },
	{ "seed", 'S', "N", 0, "seed of the random numbers (1)", 0 },
	{ "ledger", 'l', "FILE", 0, "write the ledger there at the end", 0 },
	{ 0 }
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct backend_task *backend = state->input;
	struct be_options *o = &backend->options;

	switch (key) {
	case 'a':
		o->addr = arg;
		break;
	case 'p':
		o->port = atoi(arg);
		break;
	case 'c':
		o->control_port = atoi(arg);
		break;
	case 's':
		o->slots = (unsigned int)atoi(arg);
		break;
	case 't':
		o->service_us = (int64_t)(atof(arg) * USEC_PER_MSEC);
		break;
	case 'q':
		o->straggler_share = atof(arg);
		break;
	case 'x':
		o->straggler_times = atof(arg);
		break;
	case 'b':
		o->reply_bytes = (size_t)atoi(arg);
		break;
	case 'S':
		o->seed = (uint32_t)atoi(arg);
		break;
	case 'l':
		backend->ledger_file = arg;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = {
	options, parse, NULL, "Stand-in for a backend server.", NULL, NULL, NULL
};

static bool start(struct kn_task *task, GError **err)
{
	struct backend_task *backend = (struct backend_task *)task;
	struct be_server *be = &backend->be;

	if (!be_server_init(be, task->kn, &backend->options, err))
		return false;
	printf("port=%d control_port=%d\n", be->service.port, be->control.port);
	fflush(stdout);
	return true;
}

static void finish(struct kn_task *task)
{
	struct backend_task *backend = (struct backend_task *)task;
	json_t *ledger = be_server_ledger(&backend->be, true);

	if (backend->ledger_file &&
	    json_dump_file(ledger, backend->ledger_file, JSON_INDENT(1)) < 0)
		log_err("ledger", "file=%s error=cannot_write",
			backend->ledger_file);
	json_decref(ledger);
	be_server_finish(&backend->be);
}

static const struct kn_task_ops ops = { .start = start, .finish = finish };

int main(int argc, char **argv)
{
	struct backend_task backend = {
		.options = { .addr = "127.0.0.1",
			     .control_port = -1,
			     .slots = BACKEND_SLOTS,
			     .straggler_times = 50,
			     .seed = 1 },
	};
	GError *err = NULL;
	struct kn kn;
	int code = 1;

	argp_parse(&argp, argc, argv, 0, NULL, &backend);
	log_init("backend", "-", LOG_WARN_LEVEL);
	if (!kn_init(&kn, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 1;
	}
	kn_handle_signals(&kn);
	kn_add(&kn, &backend.task, "backend", &ops);
	if (kn_start(&kn, &err))
		code = kn_run(&kn);
	else
		fprintf(stderr, "%s\n", err->message);
	kn_finish(&kn);
	return code;
}
