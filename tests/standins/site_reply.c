#include "tests/standins/site_reply.h"

#include <stdlib.h>
#include <string.h>

void site_reply(struct hs_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_headers headers;

	req->user = NULL;
	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "application/json");
	hs_reply(req, status, &headers, text, strlen(text));
	http_headers_finish(&headers);
	free(text);
	json_decref(body);
}
