#ifndef STANDINS_SR_HTTP_H
#define STANDINS_SR_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>
#include <jansson.h>

#include "base/list.h"

/* One request on a connection of its own, and its reply. */
struct sr_call {
	struct list_head node; /* of the calls in progress */
	int fd;
	GString *out;
	size_t out_sent;
	struct http_parser parser;
	bool in_value;
	GString *field;
	GString *value;
	json_t *headers; /* lower-case name -> last value */
	GString *body;
	int status;
	bool done;
	const char *error; /* NULL after a whole reply */
	int64_t started_ms;
	int64_t ended_ms;
	int64_t deadline_ms;
};

int64_t sr_now_ms(void);
/* headers is an object of strings or NULL. */
struct sr_call *sr_http_start(int port, const char *method, const char *path,
			      json_t *headers, const char *body, size_t len,
			      int64_t timeout_ms);
/* Serves all calls in progress, waiting at most so long. */
void sr_http_step(int64_t wait_ms);
void sr_http_free(struct sr_call *call);

#endif
