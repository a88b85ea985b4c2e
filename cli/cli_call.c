#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "cli/cli.h"
#include "wire/hc.h"

#define PROGRESS_US USEC_PER_SEC /* a longer call says that it waits */

/* One attempt at one address. */
struct attempt {
	struct cli *cli;
	struct cli_call *call;
	struct kn kn;
	struct kn_timer progress;
	struct hc_pool pool;
	struct hc_call hc;
	const char *addr;
	int64_t started_us;
};

/* Prints an error with its number and returns the code. */
int cli_fail(struct cli *cli, int code, const char *fmt, ...)
{
	va_list args;

	fprintf(cli->err, "chivebank: error %d (%s): ", code,
		cb_result_text(code));
	va_start(args, fmt);
	vfprintf(cli->err, fmt, args);
	va_end(args);
	fputc('\n', cli->err);
	return code;
}

char *cli_target(const char *prefix, const char *name)
{
	char *escaped = g_uri_escape_string(name, "/", FALSE);
	char *target = g_strconcat(prefix, escaped, NULL);

	g_free(escaped);
	return target;
}

void cli_call_finish(struct cli_call *call)
{
	g_free(call->target);
	json_decref(call->body);
	json_decref(call->answer);
	g_free(call->text);
	memset(call, 0, sizeof(*call));
}

/* One attempt. */

static void on_progress(struct kn_timer *timer)
{
	struct attempt *a = container_of(timer, struct attempt, progress);

	fprintf(a->cli->err, "chivebank: waiting for %s, %d s\n", a->addr,
		(int)((kn_now_us() - a->started_us) / USEC_PER_SEC));
	kn_timer_set(&a->kn, timer, PROGRESS_US, on_progress);
}

static void on_done(struct hc_call *hc)
{
	kn_stop(&container_of(hc, struct attempt, hc)->kn, 0);
}

static void fill_headers(struct attempt *a, struct http_headers *headers)
{
	struct cli_call *call = a->call;
	char *text;

	http_headers_init(headers);
	http_headers_add(headers, "Content-Type", "application/json");
	if (a->cli->token) {
		text = g_strconcat("Bearer ", a->cli->token, NULL);
		http_headers_add(headers, "Authorization", text);
		g_free(text);
	}
	if (call->has_base) {
		text = g_strdup_printf("%" PRId64, call->base);
		http_headers_add(headers, "If-Match", text);
		g_free(text);
	}
	if (call->key)
		http_headers_add(headers, "Idempotency-Key", call->key);
}

static bool start(struct attempt *a)
{
	struct http_headers headers;
	char *body =
		a->call->body ? json_dumps(a->call->body, JSON_COMPACT) : NULL;
	bool started;

	fill_headers(a, &headers);
	started = hc_call_start(
		&a->hc, &a->pool, a->call->method, a->call->target, &headers,
		body, body ? strlen(body) : 0, a->cli->timeout_ms, on_done);
	http_headers_finish(&headers);
	free(body);
	return started;
}

static void take_answer(struct attempt *a)
{
	struct cli_call *call = a->call;

	call->status = a->hc.status;
	call->text = g_strndup((char *)a->hc.body, a->hc.body_len);
	call->answer = json_loads(call->text, JSON_DECODE_ANY, NULL);
}

/* Sets *sent if the call may have reached the host. */
static int try_address(struct cli *cli, struct cli_call *call, const char *addr,
		       const char *host, int port, bool *sent)
{
	struct attempt a = { .cli = cli, .call = call, .addr = addr };
	int result = CB_E_LIBRARY;

	a.started_us = kn_now_us();
	*sent = false;
	if (!kn_init(&a.kn, NULL))
		return result;
	hc_pool_init(&a.pool, &a.kn, host, port, 1);
	a.pool.body_max_bytes = STORE_REPLY_MAX_BYTES;
	kn_timer_set(&a.kn, &a.progress, PROGRESS_US, on_progress);
	if (start(&a)) {
		kn_run(&a.kn);
		result = a.hc.result;
		*sent = a.hc.sent;
		if (result == CB_OK)
			take_answer(&a);
		hc_call_finish(&a.hc);
	}
	kn_timer_cancel(&a.progress);
	hc_pool_finish(&a.pool);
	kn_finish(&a.kn);
	return result;
}

/* Addresses in turn. */

/* Splits host:port; the host may stand in brackets. */
static bool split_address(const char *addr, char **host, int *port)
{
	const char *colon = strrchr(addr, ':');
	size_t len = colon ? (size_t)(colon - addr) : 0;

	if (len == 0)
		return false;
	*port = atoi(colon + 1);
	if (addr[0] == '[' && addr[len - 1] == ']')
		*host = g_strndup(addr + 1, len - 2);
	else
		*host = g_strndup(addr, len);
	return *port > 0 && *port < 65536;
}

static int answer_code(const struct cli_call *call)
{
	json_t *error = json_object_get(call->answer, "error");
	int code = (int)json_integer_value(json_object_get(error, "code"));

	if (call->status >= 200 && call->status < 300)
		return CB_OK;
	return code > 0 ? code : CB_E_INTERNAL;
}

/* The host did nothing, and another one may be able to. */
static bool other_may_help(int code)
{
	return code == CB_E_DRAINING || code == CB_E_NO_LEADER;
}

static int fail_answer(struct cli *cli, const struct cli_call *call, int code)
{
	json_t *error = json_object_get(call->answer, "error");
	const char *detail =
		json_string_value(json_object_get(error, "detail"));

	if (cli->json && call->answer)
		cli_print_json(cli, call->answer);
	return cli_fail(cli, code, "%s",
			detail ? detail : "the answer gives no reason");
}

/* Prints why an attempt failed, and returns the code in the caller's terms. */
static int fail_attempt(struct cli *cli, const char *addr, int code, bool sent)
{
	if (code == CB_E_USAGE)
		return cli_fail(cli, code, "%s; allowed: HOST:PORT", addr);
	if (!sent)
		return cli_fail(cli, CB_E_IO, "no connection to %s", addr);
	code = code == CB_E_UPSTREAM_TIMEOUT ? CB_E_TIMEOUT : CB_E_PEER_LOST;
	return cli_fail(cli, code,
			"%s did not answer; the call may have taken effect",
			addr);
}

/*
 * Makes a call at the first address that answers. After a failure the next
 * one is tried if the call was not sent, or if it only reads.
 */
int cli_call(struct cli *cli, struct cli_call *call)
{
	char **addrs = g_strsplit(cli->addrs, ",", -1), *host;
	bool reads = strcmp(call->method, "GET") == 0, sent = false;
	int code = CB_E_USAGE, port;
	size_t i;

	for (i = 0; addrs[i]; i++) {
		host = NULL;
		if (!split_address(addrs[i], &host, &port)) {
			code = CB_E_USAGE;
		} else {
			code = try_address(cli, call, addrs[i], host, port,
					   &sent);
		}
		g_free(host);
		if (code == CB_OK) {
			code = answer_code(call);
			if (!other_may_help(code) || !addrs[i + 1])
				break;
			json_decref(call->answer);
			g_clear_pointer(&call->text, g_free);
			call->answer = NULL;
			continue;
		}
		code = fail_attempt(cli, addrs[i], code, sent);
		if (code == CB_E_USAGE || (sent && !reads))
			break;
	}
	g_strfreev(addrs);
	return code != CB_OK && call->text ? fail_answer(cli, call, code) :
					     code;
}
