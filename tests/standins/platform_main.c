#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "tests/standins/pf_server.h"

static volatile sig_atomic_t stopped;

struct arguments {
	int port;
	int control_port;
};

static const struct argp_option options[] = {
	{ "port", 'p', "PORT", 0, "Port of the store, 0 for any", 0 },
	{ "control-port", 'c', "PORT", 0,
	  "Port of the host list, /control and /ledger, 0 for any", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	if (key == 'p')
		args->port = atoi(arg);
	else if (key == 'c')
		args->control_port = atoi(arg);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static void on_signal(int number)
{
	stopped = 1;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse,
		.doc = "Stand-in for the platform: key-value store and host "
		       "list on 127.0.0.1.",
	};
	struct arguments args = { 0 };
	struct pf_server server;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (!pf_init(&server, args.port, args.control_port)) {
		perror("platform: cannot listen");
		return EXIT_FAILURE;
	}
	printf("ready port=%d control_port=%d\n", server.kv_port,
	       server.control_port);
	fflush(stdout);
	while (!stopped)
		pf_step(&server, 100);
	pf_finish(&server);
	return EXIT_SUCCESS;
}
