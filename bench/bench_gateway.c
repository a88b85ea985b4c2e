#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "base/log.h"
#include "bench/forward.h"
#include "bench/load.h"

/* Targets of section 7 of docs/design.md. */
#define TARGET_PER_CORE 0.4
#define TARGET_P99 2.0

#define HELP                                                                   \
	"Measures requests direct to a backend server and through a gateway, " \
	"side by side: throughput in a closed loop, then latency in an open "  \
	"loop at half of the lower throughput (or --rate).\v"                  \
	"Start a stand-in backend server, the gateway, and then this "         \
	"program with both addresses. With --forward-to the program is "       \
	"itself a trivial forwarder, to measure the HTTP layer alone."

struct bench {
	char *direct;
	char *gateway;
	int direct_pid;
	int gateway_pid;
	int forward_port;
	char *forward_to;
	const char *label;
	const char *direct_target;
	struct http_headers headers;
	struct load_options load;
};

static const struct argp_option options[] = {
	{ "direct", 'd', "ADDR:PORT", 0, "the backend server", 0 },
	{ "direct-pid", 'D', "PID", 0, "its process", 0 },
	{ "gateway", 'g', "ADDR:PORT", 0, "the gateway", 0 },
	{ "gateway-pid", 'G', "PID", 0, "its process", 0 },
	{ "label", 'l', "NAME", 0, "name of the gateway in the table", 0 },
	{ "conns", 'c', "N", 0, "connections (8)", 0 },
	{ "seconds", 't', "S", 0, "length of each run (3)", 0 },
	{ "rate", 'r', "N", 0, "requests/s of the open loop (0: half)", 0 },
	{ "method", 'm', "NAME", 0, "method (GET)", 0 },
	{ "target", 'p', "PATH", 0, "target at the gateway (/r/echo/a)", 0 },
	{ "direct-target", 'P', "PATH", 0, "target at the server (/a)", 0 },
	{ "header", 'H', "NAME: VALUE", 0, "header, may be repeated", 0 },
	{ "body-bytes", 'b', "N", 0, "size of the request body (0)", 0 },
	{ "seed", 's', "N", 0, "seed of the arrivals (1)", 0 },
	{ "forward-to", 'F', "ADDR:PORT", 0, "be a trivial forwarder", 0 },
	{ "forward-port", 'f', "PORT", 0, "port of the forwarder (0)", 0 },
	{ 0 }
};

static void add_header(struct bench *bench, const char *text)
{
	char **parts = g_strsplit(text, ": ", 2);

	if (parts[0] && parts[1])
		http_headers_add(&bench->headers, parts[0], parts[1]);
	g_strfreev(parts);
}

static error_t parse_load(int key, char *arg, struct load_options *load)
{
	switch (key) {
	case 'c':
		load->conns = (unsigned int)atoi(arg);
		break;
	case 't':
		load->seconds = atof(arg);
		break;
	case 'r':
		load->rate = atof(arg);
		break;
	case 'm':
		load->method = arg;
		break;
	case 'p':
		load->target = arg;
		break;
	case 'b':
		load->body_bytes = (size_t)atoi(arg);
		break;
	case 's':
		load->seed = (uint32_t)atoi(arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct bench *bench = state->input;

	switch (key) {
	case 'd':
		bench->direct = arg;
		break;
	case 'D':
		bench->direct_pid = atoi(arg);
		break;
	case 'g':
		bench->gateway = arg;
		break;
	case 'G':
		bench->gateway_pid = atoi(arg);
		break;
	case 'l':
		bench->label = arg;
		break;
	case 'P':
		bench->direct_target = arg;
		break;
	case 'H':
		add_header(bench, arg);
		break;
	case 'F':
		bench->forward_to = arg;
		break;
	case 'f':
		bench->forward_port = atoi(arg);
		break;
	default:
		return parse_load(key, arg, &bench->load);
	}
	return 0;
}

static const struct argp argp = {
	options, parse, NULL, HELP, NULL, NULL, NULL
};

/* Cuts "addr:port" in two in place; returns the port, 0 if malformed. */
static int split_address(char *text)
{
	char *colon = text ? strrchr(text, ':') : NULL;

	if (!colon)
		return 0;
	*colon = '\0';
	return atoi(colon + 1);
}

static double per_core(const struct load_result *r)
{
	return r->cpu_seconds > 0 ? (double)r->answered / r->cpu_seconds : 0;
}

static void print_row(const char *name, const struct load_options *o,
		      const struct load_result *r)
{
	printf("%-12s %-6s %5u %9.0f %9lu %7lu %6lu %9.0f %6.1f %9.0f %7ld "
	       "%7ld %8ld\n",
	       name, o->rate > 0 ? "open" : "closed", o->conns, o->rate,
	       (unsigned long)r->answered, (unsigned long)r->refused,
	       (unsigned long)r->failed, (double)r->answered / r->seconds,
	       r->cpu_seconds > 0 ? 100 * r->cpu_seconds / r->seconds : 0,
	       per_core(r), (long)r->p50_us, (long)r->p99_us, (long)r->max_us);
	fflush(stdout);
}

static void run(struct bench *bench, bool direct, double rate,
		struct load_result *result)
{
	struct load_options o = bench->load;
	GError *err = NULL;

	o.rate = rate;
	o.headers = &bench->headers;
	o.addr = direct ? bench->direct : bench->gateway;
	o.port = split_address(direct ? bench->direct : bench->gateway);
	o.pid = direct ? bench->direct_pid : bench->gateway_pid;
	if (direct)
		o.target = bench->direct_target;
	if (o.port == 0 || !load_run(&o, result, &err)) {
		fprintf(stderr, "bench_gateway: cannot run: %s\n",
			err ? err->message : "bad address or option");
		exit(1);
	}
	/* split_address() cut the text; the next run needs it whole. */
	(direct ? bench->direct : bench->gateway)[strlen(o.addr)] = ':';
	print_row(direct ? "direct" : bench->label, &o, result);
}

static void print_ratio(const char *name, double value, const char *bound,
			double target, bool met)
{
	printf("%-34s %6.2f  target %s %.1f  %s\n", name, value, bound, target,
	       met ? "met" : "missed");
}

static void compare(struct bench *bench)
{
	struct load_result closed[2], open[2];
	double rate = bench->load.rate, core, p99;

	printf("%-12s %-6s %5s %9s %9s %7s %6s %9s %6s %9s %7s %7s %8s\n",
	       "path", "loop", "conns", "rate/s", "answered", "refused",
	       "failed", "per_sec", "cpu_%", "per_core", "p50_us", "p99_us",
	       "max_us");
	run(bench, true, 0, &closed[0]);
	if (bench->gateway)
		run(bench, false, 0, &closed[1]);
	else
		closed[1] = closed[0];
	if (rate <= 0)
		rate = (double)MIN(closed[0].answered, closed[1].answered) /
		       bench->load.seconds / 2;
	run(bench, true, MAX(rate, 1), &open[0]);
	if (!bench->gateway)
		return;
	run(bench, false, MAX(rate, 1), &open[1]);
	core = per_core(&closed[0]) > 0 ?
		       per_core(&closed[1]) / per_core(&closed[0]) :
		       0;
	p99 = (double)open[1].p99_us / (double)MAX(open[0].p99_us, 1);
	print_ratio("throughput per core, to direct", core,
		    ">=", TARGET_PER_CORE, core >= TARGET_PER_CORE);
	print_ratio("p99 of the open loop, to direct", p99, "<=", TARGET_P99,
		    p99 <= TARGET_P99);
}

static int forward(struct bench *bench)
{
	int port = split_address(bench->forward_to);
	GError *err = NULL;
	int code = forward_main(bench->forward_port, bench->forward_to, port,
				bench->load.conns, &err);

	if (err)
		fprintf(stderr, "bench_gateway: %s\n", err->message);
	return code;
}

int main(int argc, char **argv)
{
	struct bench bench = {
		.label = "gateway",
		.direct_target = "/a",
		.load = { .conns = 8,
			  .seconds = 3,
			  .method = "GET",
			  .target = "/r/echo/a",
			  .seed = 1 },
	};

	argp_parse(&argp, argc, argv, 0, NULL, &bench);
	log_init("bench", "-", LOG_WARN_LEVEL);
	if (bench.forward_to)
		return forward(&bench);
	if (!bench.direct) {
		fprintf(stderr, "bench_gateway: --direct is required\n");
		return 2;
	}
	compare(&bench);
	http_headers_finish(&bench.headers);
	return 0;
}
