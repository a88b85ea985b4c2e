#include "tests/standins/be_server.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <xxhash.h>

#include "base/err.h"
#include "base/limits.h"
#include "wire/hs_conn.h"

struct be_job {
	struct list_head node;
	struct kn_timer timer;
	struct be_server *be;
	struct hs_request *req; /* NULL when its caller has left */
	size_t entry;
	bool begun;
	bool hanging;
};

static const char *const mode_names[] = { "normal",	  "truncate",
					  "close-before", "close-after",
					  "hang",	  "leaving",
					  "refuse",	  "late" };

int be_mode_parse(const char *name)
{
	int i;

	for (i = 0; i < BE_MODES; i++)
		if (strcmp(mode_names[i], name) == 0)
			return i;
	return -1;
}

/* Replies. */

static GString *reply_text(struct be_server *be, const struct hs_request *req)
{
	GString *text = g_string_new(NULL);

	g_string_printf(
		text, "%s %s %016llx\n", req->method, req->target,
		(unsigned long long)XXH64(req->body ? req->body : (void *)"",
					  req->body_len, 0));
	while (text->len < be->options.reply_bytes)
		g_string_append_c(text, '.');
	return text;
}

/* Sends bytes past the server's own reply, and closes the connection. */
static void break_reply(struct hs_request *req, const GString *bytes)
{
	struct hs_conn *conn = req->conn;

	if (bytes)
		(void)!send(lws_get_socket_fd(conn->wsi), bytes->str,
			    bytes->len, MSG_NOSIGNAL);
	hs_conn_close(conn);
}

static void reply_truncated(struct be_server *be, struct hs_request *req)
{
	GString *text = reply_text(be, req);
	GString *bytes = g_string_new(NULL);

	g_string_printf(bytes, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
			text->len);
	g_string_append_len(bytes, text->str, (gssize)(text->len / 2));
	break_reply(req, bytes);
	g_string_free(text, TRUE);
	g_string_free(bytes, TRUE);
}

static void reply_leaving(struct hs_request *req)
{
	struct http_headers headers;
	struct hs_conn *conn = req->conn;

	http_headers_init(&headers);
	http_headers_add(&headers, "Chivebank-Leaving", "1");
	conn->close_after = true;
	hs_reply(req, 503, &headers, NULL, 0);
	http_headers_finish(&headers);
}

static void reply_normal(struct be_server *be, struct hs_request *req)
{
	GString *text = reply_text(be, req);
	struct http_headers headers;

	http_headers_init(&headers);
	http_headers_add(&headers, "Content-Type", "text/plain");
	hs_reply(req, 200, &headers, text->str, text->len);
	http_headers_finish(&headers);
	g_string_free(text, TRUE);
}

/* Jobs. */

static void start_next(struct be_server *be);

static void job_free(struct be_job *job)
{
	kn_timer_cancel(&job->timer);
	list_del(&job->node);
	if (job->begun)
		job->be->running_count--;
	if (job->req)
		job->req->user = NULL;
	g_free(job);
}

static void job_end(struct be_job *job)
{
	struct be_server *be = job->be;
	struct hs_request *req = job->req;
	bool whole =
		req && be->mode != BE_TRUNCATE && be->mode != BE_CLOSE_AFTER;

	be_ledger_end(&be->ledger, job->entry, whole);
	job_free(job);
	if (req && be->mode == BE_TRUNCATE)
		reply_truncated(be, req);
	else if (req && be->mode == BE_CLOSE_AFTER)
		break_reply(req, NULL);
	else if (req)
		reply_normal(be, req);
	start_next(be);
}

static void job_timer(struct kn_timer *timer)
{
	job_end(container_of(timer, struct be_job, timer));
}

static int64_t service_us(struct be_server *be)
{
	int64_t us = be->options.service_us;

	if (be->options.straggler_share > 0 &&
	    g_rand_double(be->rand) < be->options.straggler_share)
		us = (int64_t)((double)us * be->options.straggler_times);
	if (be->mode == BE_LATE)
		us += be->delay_us;
	return us;
}

static void start_next(struct be_server *be)
{
	struct be_job *job;
	int64_t us;

	while (!list_empty(&be->waiting) &&
	       be->running_count < be->options.slots) {
		job = list_first_entry(&be->waiting, struct be_job, node);
		list_del(&job->node);
		list_add_tail(&job->node, &be->running);
		job->begun = true;
		be->running_count++;
		be_ledger_executed(&be->ledger, job->entry);
		us = service_us(be);
		job->hanging = be->mode == BE_HANG;
		if (job->hanging)
			continue;
		if (us == 0)
			job_end(job);
		else
			kn_timer_set(be->kn, &job->timer, us, job_timer);
	}
}

static void end_unworked(struct be_server *be, struct hs_request *req)
{
	size_t entry = be_ledger_begin(&be->ledger, req);

	be_ledger_end(&be->ledger, entry, be->mode == BE_LEAVING);
	if (be->mode == BE_LEAVING)
		reply_leaving(req);
	else
		break_reply(req, NULL);
}

static void serve(struct be_server *be, struct hs_request *req)
{
	struct be_job *job;

	if (be->mode == BE_LEAVING || be->mode == BE_CLOSE_BEFORE) {
		end_unworked(be, req);
		return;
	}
	job = g_new0(struct be_job, 1);
	job->be = be;
	job->req = req;
	req->user = job;
	job->entry = be_ledger_begin(&be->ledger, req);
	list_add_tail(&job->node, &be->waiting);
	start_next(be);
}

/* Work that has begun goes on when its caller has left, as in a real server. */
static void on_gone(struct hs_server *hs, struct hs_request *req)
{
	struct be_job *job = req->user;

	if (!job)
		return;
	job->req = NULL;
	if (job->begun && !job->hanging)
		return;
	be_ledger_end(&job->be->ledger, job->entry, false);
	job_free(job);
}

/* Control. */

static void reply_json(struct hs_request *req, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	hs_reply(req, status, NULL, text, strlen(text));
	json_decref(value);
	free(text);
}

static size_t count_connections(struct be_server *be)
{
	if (be->listening &&
	    be->service.conn_count > be->ledger.connections_max)
		be->ledger.connections_max = be->service.conn_count;
	return be->ledger.connections +
	       (be->listening ? be->service.accepted : 0);
}

json_t *be_server_ledger(struct be_server *be, bool entries)
{
	size_t connections = count_connections(be);
	json_t *value = be_ledger_json(&be->ledger, entries);

	json_object_set_new(value, "connections",
			    json_integer((json_int_t)connections));
	json_object_set_new(value, "mode", json_string(mode_names[be->mode]));
	return value;
}

static void control(struct be_server *be, struct hs_request *req)
{
	json_t *root =
		json_loadb((const char *)req->body, req->body_len, 0, NULL);
	const char *name = "";
	int delay_ms = 0, mode;

	if (json_unpack(root, "{s:s, s?i}", "mode", &name, "delay_ms",
			&delay_ms) < 0)
		name = "";
	mode = be_mode_parse(name);
	/* The port that the order came over can't close before its answer. */
	if (mode == BE_REFUSE && req->server == &be->service)
		mode = -1;
	if (mode >= 0)
		be_server_mode(be, (enum be_mode)mode, delay_ms);
	json_decref(root);
	reply_json(req, mode < 0 ? 400 : 200,
		   json_pack("{s:b}", "ok", mode >= 0));
}

/* Returns false when the request is not for the stand-in itself. */
static bool own_request(struct be_server *be, struct hs_request *req)
{
	if (strcmp(req->target, "/ledger") == 0)
		reply_json(req, 200, be_server_ledger(be, true));
	else if (strcmp(req->target, "/ledger?summary") == 0)
		reply_json(req, 200, be_server_ledger(be, false));
	else if (strcmp(req->target, "/control") == 0 && req->body)
		control(be, req);
	else
		return false;
	return true;
}

static void on_service(struct hs_server *hs, struct hs_request *req)
{
	struct be_server *be = container_of(hs, struct be_server, service);

	count_connections(be);
	if (!own_request(be, req))
		serve(be, req);
}

static void on_control(struct hs_server *hs, struct hs_request *req)
{
	if (!own_request(container_of(hs, struct be_server, control), req))
		hs_reply_error(req, CB_E_UNKNOWN_PATH, NULL, 0);
}

static const struct hs_ops service_ops = { .request = on_service,
					   .gone = on_gone };
static const struct hs_ops control_ops = { .request = on_control };

/* Server. */

static bool listen_service(struct be_server *be, GError **err)
{
	if (be->listening)
		return true;
	be->listening = hs_init(&be->service, be->kn, &service_ops,
				be->options.addr, be->options.port, err);
	/* A later listener uses the same port. */
	if (be->listening)
		be->options.port = be->service.port;
	return be->listening;
}

static void unlisten_service(struct be_server *be)
{
	if (!be->listening)
		return;
	be->ledger.connections = count_connections(be);
	be->listening = false;
	hs_finish(&be->service);
}

static void free_jobs(struct list_head *list)
{
	while (!list_empty(list))
		job_free(list_first_entry(list, struct be_job, node));
}

static void end_hanging(struct be_server *be)
{
	struct be_job *job, *tmp;

	list_for_each_entry_safe(job, tmp, &be->running, node)
		if (job->hanging)
			kn_timer_set(be->kn, &job->timer, 0, job_timer);
}

/* Another process may have the port for a moment. */
static void reopen_service(struct kn_timer *timer)
{
	struct be_server *be = container_of(timer, struct be_server, reopen);

	if (!listen_service(be, NULL))
		kn_timer_set(be->kn, timer, 10 * USEC_PER_MSEC, reopen_service);
}

void be_server_mode(struct be_server *be, enum be_mode mode, int delay_ms)
{
	be->mode = mode;
	be->delay_us = delay_ms * USEC_PER_MSEC;
	kn_timer_cancel(&be->reopen);
	if (mode == BE_REFUSE)
		unlisten_service(be);
	else
		reopen_service(&be->reopen);
	if (mode != BE_HANG)
		end_hanging(be);
}

bool be_server_init(struct be_server *be, struct kn *kn,
		    const struct be_options *options, GError **err)
{
	memset(be, 0, sizeof(*be));
	be->kn = kn;
	be->options = *options;
	be->rand = g_rand_new_with_seed(options->seed);
	list_init(&be->waiting);
	list_init(&be->running);
	be_ledger_init(&be->ledger);
	if (!listen_service(be, err))
		return false;
	return options->control_port < 0 ||
	       hs_init(&be->control, kn, &control_ops, options->addr,
		       options->control_port, err);
}

void be_server_finish(struct be_server *be)
{
	kn_timer_cancel(&be->reopen);
	unlisten_service(be);
	hs_finish(&be->control);
	free_jobs(&be->waiting);
	free_jobs(&be->running);
	g_rand_free(be->rand);
	be_ledger_finish(&be->ledger);
}
