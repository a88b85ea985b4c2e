#ifndef CLI_CLI_H
#define CLI_CLI_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#define CLI_ARGS_MAX 64
#define CLI_GUARANTEES_MAX 64
#define CLI_ADDR_DEFAULT "127.0.0.1:7070"
#define CLI_TIMEOUT_DEFAULT_MS 30000

/* What holds for all commands. */
struct cli {
	FILE *out;
	FILE *err;
	const char *addrs; /* host:port, comma-separated, tried in turn */
	const char *token;
	bool json;
	int64_t timeout_ms;
};

/* Arguments and options of one command; -1 and NULL: not given. */
struct cli_opts {
	const char *args[CLI_ARGS_MAX];
	int nargs;
	int64_t base;
	const char *team;
	const char *key;
	int64_t limit;
	int64_t before;
	int64_t after;
	int64_t count;
	int64_t weight;
	int64_t quota;
	const char *on_removal;
	const char *guarantees[CLI_GUARANTEES_MAX];
	int nguarantees;
	bool no_guarantees;
	int64_t wait_s;
};

/* One call of the API. Zero-initialized, then filled by the command. */
struct cli_call {
	const char *method;
	char *target; /* freed by cli_call_finish() */
	json_t *body; /* or NULL; released by cli_call_finish() */
	int64_t base; /* If-Match, with has_base */
	bool has_base;
	const char *key; /* Idempotency-Key or NULL */
	/* Answer. */
	int status;
	json_t *answer; /* NULL when it isn't JSON */
	char *text;
};

/* Main of the program, also for tests. */

int cli_main(int argc, char **argv, FILE *out, FILE *err);

/* Cli_call.c. */

/* Returns a result code; a failure has been printed. */
int cli_call(struct cli *cli, struct cli_call *call);
void cli_call_finish(struct cli_call *call);
/* Target of a path whose last part is a name to be percent-encoded. */
char *cli_target(const char *prefix, const char *name);
int cli_fail(struct cli *cli, int code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Cli_print.c. */

struct cli_column {
	const char *title;
	const char *key; /* of the row; "" for the row's own name */
};

void cli_print_json(struct cli *cli, const json_t *value);
/* rows: an array of objects, or an object of objects by name. */
void cli_print_table(struct cli *cli, const struct cli_column *columns,
		     json_t *rows);
/* status: the object that a host on a platform answers. */
void cli_print_status(struct cli *cli, json_t *status);
json_t *cli_read_json(struct cli *cli, const char *path, int *code);

/* Commands. */

int cli_document_get(struct cli *cli, struct cli_opts *o);
int cli_document_check(struct cli *cli, struct cli_opts *o);
int cli_document_history(struct cli *cli, struct cli_opts *o);
int cli_document_diff(struct cli *cli, struct cli_opts *o);
int cli_document_revert(struct cli *cli, struct cli_opts *o);
int cli_section_get(struct cli *cli, struct cli_opts *o);
int cli_section_put(struct cli *cli, struct cli_opts *o);
int cli_section_delete(struct cli *cli, struct cli_opts *o);
int cli_customer_list(struct cli *cli, struct cli_opts *o);
int cli_customer_create(struct cli *cli, struct cli_opts *o);
int cli_customer_set(struct cli *cli, struct cli_opts *o);
int cli_customer_remove(struct cli *cli, struct cli_opts *o);
int cli_job_submit(struct cli *cli, struct cli_opts *o);
int cli_job_list(struct cli *cli, struct cli_opts *o);
int cli_job_show(struct cli *cli, struct cli_opts *o);
int cli_job_cancel(struct cli *cli, struct cli_opts *o);
int cli_job_wait(struct cli *cli, struct cli_opts *o);
int cli_server_list(struct cli *cli, struct cli_opts *o);
int cli_worker_list(struct cli *cli, struct cli_opts *o);
int cli_leaders(struct cli *cli, struct cli_opts *o);
/* Of a host on a platform, from its metrics address. */
int cli_status(struct cli *cli, struct cli_opts *o);
int cli_counters(struct cli *cli, struct cli_opts *o);
int cli_events(struct cli *cli, struct cli_opts *o);
int cli_ticket(struct cli *cli, struct cli_opts *o);
int cli_timeline(struct cli *cli, struct cli_opts *o);
int cli_explain(struct cli *cli, struct cli_opts *o);

#endif
