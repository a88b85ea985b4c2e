#include <check.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "base/ev.h"
#include "base/log.h"
#include "daemon/requests/callers.h"
#include "daemon/requests/members.h"
#include "daemon/requests/req.h"
#include "daemon/svc.h"
#include "tests/standins/be_server.h"
#include "tests/standins/be_sock.h"
#include "tests/standins/ports.h"
#include "tests/standins/pf_server.h"
#include "wire/pr.h"
#include "tests/unit/run.h"

#define HOSTS_MAX 2
#define SERVERS 2

/* Entry hosts and backend servers, all in this process. */

static struct kn kn;
static struct kv *kv;
static struct be_server servers[SERVERS];
static struct set sets[HOSTS_MAX];
/* For each host: peers, requests, members and callers. */
static struct kn_task *hosts[HOSTS_MAX][4];
static struct pf_thread platform;
static bool with_platform;
static struct be_sock socks[40];

/* Stubs of the document service and of the leadership service. */
static struct kn_task document, lead;

static struct doc_view *make_view(void)
{
	static const struct doc_customer customer = { .name = "acme",
						      .weight = 1 };
	static const struct doc_service service = { .name = "web",
						    .class_ = DOC_SHORT,
						    .deadline_ms = 2000 };
	struct doc_view *view = calloc(1, sizeof(*view));

	view->revision = 1;
	view->customers = calloc(1, sizeof(customer));
	view->customers[0] = customer;
	view->customer_count = 1;
	view->services = calloc(1, sizeof(service));
	view->services[0] = service;
	view->service_count = 1;
	return view;
}

static void release_doc(struct kn_msg *msg)
{
	doc_view_unref(((struct svc_doc *)msg)->view);
	free(msg);
}

static void document_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct svc_doc *doc = calloc(1, sizeof(*doc));

	doc->msg.type = SVC_DOC_CHANGED;
	doc->msg.release = release_doc;
	doc->view = make_view();
	kn_send(msg->from, task, &doc->msg);
	kn_msg_release(msg);
}

static void release_lead(struct kn_msg *msg)
{
	free(msg);
}

static void lead_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct svc_lead *state = calloc(1, sizeof(*state));

	state->msg.type = SVC_LEAD_CHANGED;
	state->msg.release = release_lead;
	state->epoch = 1;
	strcpy(state->leader, "host0");
	state->leading = msg->from == hosts[0][1] || msg->from == hosts[0][2];
	state->valid_until_us = INT64_MAX;
	kn_send(msg->from, task, &state->msg);
	kn_msg_release(msg);
}

static const struct kn_task_ops document_ops = { .receive = document_receive };
static const struct kn_task_ops lead_ops = { .receive = lead_receive };

/* Port of a host for its peers. A host that is started again keeps its port. */
static int peer_port(int i)
{
	static int first;

	if (first == 0)
		first = ports_reserve_row(HOSTS_MAX);
	return first + i;
}

static void fill_set(int i, int n, bool other_dc, bool has_servers)
{
	struct set *set = &sets[i];
	int j;

	memset(set, 0, sizeof(*set));
	snprintf(set->host, sizeof(set->host), "host%d", i);
	strcpy(set->dc, i > 0 && other_dc ? "dc2" : "dc1");
	strcpy(set->region, "r1");
	if (with_platform)
		set->host_list.port = platform.server.control_port;
	strcpy(set->callers.addr, "127.0.0.1");
	set->seed = 3;
	set->drain_delay_ms = 50;
	set->grace_ms = 20000;
	strcpy(set->peer_listen.addr, "127.0.0.1");
	if (n > 1)
		set->peer_listen.port = peer_port(i);
	for (j = 0; j < n; j++) {
		struct set_peer *peer = &set->peers[set->peer_count];

		if (j == i)
			continue;
		snprintf(peer->host, sizeof(peer->host), "host%d", j);
		strcpy(peer->dc, j > 0 && other_dc ? "dc2" : "dc1");
		strcpy(peer->region, "r1");
		strcpy(peer->at.addr, "127.0.0.1");
		peer->at.port = peer_port(j);
		set->peer_count++;
	}
	for (j = 0; has_servers && j < SERVERS; j++) {
		struct set_backend *backend = &set->backends[j];

		strcpy(backend->service, "web");
		strcpy(backend->at.addr, "127.0.0.1");
		backend->at.port = servers[j].options.port;
		set->backend_count++;
	}
}

static void start_host(int i, uint64_t incarnation)
{
	GError *err = NULL;
	int k;

	memset(hosts[i], 0, sizeof(hosts[i]));
	if (sets[i].peer_count > 0)
		hosts[i][0] = pr_new(&kn, &sets[i], incarnation);
	hosts[i][1] = req_new(&kn, &sets[i], kv, incarnation);
	hosts[i][2] = members_new(&kn, &sets[i], kv);
	hosts[i][3] = callers_new(&kn, &sets[i]);
	for (k = 0; k < 4; k++) {
		if (!hosts[i][k])
			continue;
		ck_assert_msg(hosts[i][k]->ops->start(hosts[i][k], &err),
			      "host %d, task %d did not start: %s", i, k,
			      err ? err->message : "no reason given");
		hosts[i][k]->started = true;
	}
	/* Hides these services by name, so that the next host finds its own. */
	for (k = 0; k < 4; k++)
		if (hosts[i][k])
			hosts[i][k]->name = "started";
}

/* Ends a host without draining it, as a crash does. */
static void kill_host(int i)
{
	struct kn_msg *msg, *tmp;
	int k;

	for (k = 3; k >= 0; k--) {
		if (!hosts[i][k])
			continue;
		list_del(&hosts[i][k]->node);
		list_del(&hosts[i][k]->ready);
		list_for_each_entry_safe(msg, tmp, &hosts[i][k]->mailbox,
					 node) {
			list_del(&msg->node);
			kn_msg_release(msg);
		}
		hosts[i][k]->ops->finish(hosts[i][k]);
		hosts[i][k] = NULL;
	}
}

static void begin(int n, bool other_dc, bool last_has_servers)
{
	int i;

	log_init("test", "dc1", LOG_ERR_LEVEL);
	ev_init(1);
	ck_assert(kn_init(&kn, NULL));
	if (with_platform)
		pf_thread_start(&platform);
	kv = with_platform ?
		     kv_etcd_new(&kn, "127.0.0.1", platform.server.kv_port,
				 "127.0.0.1", platform.server.control_port) :
		     kv_mem_new(&kn);
	for (i = 0; i < SERVERS; i++) {
		struct be_options options = { .addr = "127.0.0.1",
					      .control_port = -1,
					      .slots = 8,
					      .service_us = 30000,
					      .seed = 1 };

		ck_assert(be_server_init(&servers[i], &kn, &options, NULL));
	}
	kn_add(&kn, &document, SVC_DOCUMENT, &document_ops);
	if (n > 1)
		kn_add(&kn, &lead, SVC_LEAD, &lead_ops);
	for (i = 0; i < n; i++)
		fill_set(i, n, other_dc,
			 !with_platform && (i == 0 || last_has_servers));
	for (i = 0; i < n; i++)
		start_host(i, 100 + (uint64_t)i);
	be_turn(&kn, n > 1 ? 500 : 50);
}

static void end(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(socks); i++)
		if (socks[i].fd > 0)
			be_close(&socks[i]);
	memset(socks, 0, sizeof(socks));
	for (i = 0; i < HOSTS_MAX; i++)
		kill_host((int)i);
	kv_free(kv);
	for (i = 0; i < SERVERS; i++)
		be_server_finish(&servers[i]);
	kn_finish(&kn);
	if (with_platform)
		pf_thread_stop(&platform);
	with_platform = false;
}

static void set_mode_all(enum be_mode mode)
{
	int i;

	for (i = 0; i < SERVERS; i++)
		be_server_mode(&servers[i], mode, 0);
	be_turn(&kn, 20);
}

static uint64_t executed(void)
{
	return servers[0].ledger.executed + servers[1].ledger.executed;
}

static void send_request(int i, int host, const char *method,
			 const char *target, const char *headers,
			 const char *body)
{
	char text[2048];

	memset(&socks[i], 0, sizeof(socks[i]));
	be_connect(&socks[i], callers_bound_port(hosts[host][3]));
	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n%s\r\n%s",
		 method, target, strlen(body), headers, body);
	be_puts(&kn, &socks[i], text);
}

/* Sends one request and checks that the answer contains want. */
static void expect(int host, const char *method, const char *target,
		   const char *headers, const char *body, const char *want)
{
	send_request(0, host, method, target, headers, body);
	ck_assert_msg(be_wait_text(&kn, &socks[0], want, 4000),
		      "expected \"%s\" in the answer: %s", want, socks[0].in);
	be_close(&socks[0]);
	socks[0].fd = 0;
}

static void mint(int host, char *ticket, size_t size)
{
	char *from, *to;

	send_request(0, host, "POST", "/v1/tickets", "", "{\"count\":1}");
	ck_assert(be_wait_text(&kn, &socks[0], "]}", 2000));
	from = strstr(socks[0].in, "t1.");
	ck_assert_ptr_nonnull(from);
	to = strchr(from, '"');
	ck_assert_uint_lt((size_t)(to - from), size);
	memcpy(ticket, from, (size_t)(to - from));
	ticket[to - from] = '\0';
	be_close(&socks[0]);
	socks[0].fd = 0;
}

#define ACME "Chivebank-Customer: acme\r\n"

/* One host. */

/*
 * Guards against a wrong HTTP status, outcome or result code for requests
 * without a key and for requests that are not valid.
 */
START_TEST(statuses_and_outcomes)
{
	begin(1, false, false);
	expect(0, "GET", "/healthz", "", "", "200 OK");
	expect(0, "GET", "/r/web/a?b=c", ACME, "", "GET /a?b=c ");
	expect(0, "GET", "/r/web", ACME, "",
	       "Chivebank-Outcome: answered\r\nChivebank-Result: 0");
	expect(0, "GET", "/r/web/a", "", "", "400 Bad Request");
	expect(0, "GET", "/r/web/a", "Chivebank-Customer: x\r\n", "",
	       "404 Not Found");
	expect(0, "GET", "/r/none/a", ACME, "", "Chivebank-Result: 111");
	expect(0, "TRACE", "/r/web/a", ACME, "", "405 ");
	expect(0, "GET", "/r/web/a", ACME "Chivebank-Class: big\r\n", "",
	       "400 Bad");
	expect(0, "GET", "/r/web/a", ACME "Chivebank-Deadline-Ms: 0\r\n", "",
	       "400 Bad");
	expect(0, "GET", "/elsewhere", "", "", "Chivebank-Outcome: not-run");
	ck_assert_uint_eq(executed(), 2);
	end();
}
END_TEST

/*
 * Guards against a second run of a POST that may have run, and against the
 * outcome not-run for a request that may have run (invariants I5 and I4). The
 * servers run each request and close the connection without an answer.
 */
START_TEST(only_idempotent_work_is_retried)
{
	begin(1, false, false);
	set_mode_all(BE_CLOSE_AFTER);
	expect(0, "POST", "/r/web/pay", ACME, "1",
	       "Chivebank-Outcome: unknown");
	ck_assert_uint_eq(executed(), 1);
	/* Each attempt may have run, so the outcome must not be not-run. */
	expect(0, "GET", "/r/web/read", ACME, "", "Chivebank-Outcome: unknown");
	ck_assert_uint_eq(executed(), 1 + REQ_ATTEMPTS_MAX);
	be_server_mode(&servers[0], BE_NORMAL, 0);
	be_turn(&kn, 20);
	expect(0, "GET", "/r/web/read", ACME, "", "GET /read ");
	/* A leaving server runs nothing, so a POST may go to the other. */
	be_server_mode(&servers[1], BE_LEAVING, 0);
	be_turn(&kn, 20);
	expect(0, "POST", "/r/web/pay", ACME, "2", "POST /pay ");
	expect(0, "POST", "/r/web/pay", ACME, "3", "POST /pay ");
	end();
}
END_TEST

/*
 * Guards against a request with a key that runs twice, or whose stored answer
 * is lost when it is repeated.
 */
START_TEST(keys_run_once_and_replay)
{
	char ticket[128], headers[300], other[300];
	uint64_t calls;

	begin(1, false, false);
	mint(0, ticket, sizeof(ticket));
	snprintf(headers, sizeof(headers), ACME "Idempotency-Key: %s\r\n",
		 ticket);
	expect(0, "POST", "/r/web/pay", headers, "1", "POST /pay ");
	expect(0, "POST", "/r/web/pay", headers, "1", "POST /pay ");
	expect(0, "POST", "/r/web/pay", headers, "2", "422 ");
	ck_assert_uint_eq(executed(), 1);
	headers[strlen(headers) - 3] ^= 1;
	expect(0, "POST", "/r/web/pay", headers, "1", "400 Bad Request");
	/* A key that the caller chose is claimed in the store once. */
	calls = kv->calls;
	strcpy(other, ACME "Idempotency-Key: order-1\r\n");
	send_request(1, 0, "POST", "/r/web/pay", other, "3");
	send_request(2, 0, "POST", "/r/web/pay", other, "3");
	ck_assert(be_wait_text(&kn, &socks[1], "POST /pay ", 2000));
	ck_assert(be_wait_text(&kn, &socks[2], "POST /pay ", 2000));
	expect(0, "POST", "/r/web/pay", other, "3", "POST /pay ");
	ck_assert_uint_eq(executed(), 2);
	ck_assert_uint_eq(kv->calls - calls, 2); /* lease and claim */
	/* An unknown outcome stays unknown; the request is not run again. */
	set_mode_all(BE_CLOSE_AFTER);
	strcpy(other, ACME "Idempotency-Key: order-2\r\n");
	expect(0, "POST", "/r/web/pay", other, "4",
	       "Chivebank-Outcome: unknown");
	set_mode_all(BE_NORMAL);
	expect(0, "POST", "/r/web/pay", other, "4",
	       "Chivebank-Outcome: unknown");
	ck_assert_uint_eq(executed(), 3);
	end();
}
END_TEST

/*
 * Guards against more than 8 requests in progress at a server, and against lost
 * answers, when 40 requests arrive at once.
 */
START_TEST(slots_bound_the_load)
{
	char target[32], want[32];
	int i;

	begin(1, false, false);
	for (i = 0; i < 40; i++) {
		snprintf(target, sizeof(target), "/r/web/%d", i);
		send_request(i, 0, "GET", target, ACME, "");
	}
	for (i = 0; i < 40; i++) {
		snprintf(want, sizeof(want), "GET /%d ", i);
		ck_assert(be_wait_text(&kn, &socks[i], want, 4000));
	}
	for (i = 0; i < SERVERS; i++) {
		ck_assert_uint_le(servers[i].ledger.in_progress_max, 8);
		ck_assert_uint_ge(servers[i].ledger.in_progress_max, 6);
	}
	end();
}
END_TEST

/*
 * Guards against new requests for a server that has reported that it is leaving
 * (invariant I6).
 */
START_TEST(leaving_server_gets_no_work)
{
	uint64_t before;
	int i;

	begin(1, false, false);
	be_server_mode(&servers[0], BE_LEAVING, 0);
	be_turn(&kn, 20);
	for (i = 0; i < 10; i++)
		expect(0, "GET", "/r/web/a", ACME, "", "GET /a ");
	before = servers[0].ledger.requests;
	be_server_mode(&servers[0], BE_NORMAL, 0);
	for (i = 0; i < 10; i++)
		expect(0, "GET", "/r/web/a", ACME, "", "GET /a ");
	ck_assert_uint_eq(servers[0].ledger.requests, before);
	/* The other server refuses connections now, so none is left. */
	be_server_mode(&servers[1], BE_REFUSE, 0);
	be_turn(&kn, 50);
	expect(0, "POST", "/r/web/a", ACME, "1", "Chivebank-Outcome: not-run");
	end();
}
END_TEST

/*
 * Guards against a planned stop that cuts off requests in progress (invariant
 * I7).
 */
START_TEST(stop_is_graceful)
{
	int i;

	begin(1, false, false);
	for (i = 0; i < SERVERS; i++)
		be_server_mode(&servers[i], BE_LATE, 300);
	be_turn(&kn, 20);
	send_request(1, 0, "POST", "/r/web/slow", ACME, "1");
	be_turn(&kn, 20);
	kn_drain(&kn);
	expect(0, "GET", "/healthz", "", "", "503 ");
	be_turn(&kn, 80);
	expect(0, "POST", "/r/web/late", ACME, "2", "Chivebank-Result: 203");
	ck_assert_int_eq(be_count(&socks[1], "HTTP/1.1"), 0);
	ck_assert(!hosts[0][1]->drained);
	ck_assert(!hosts[0][3]->drained);
	ck_assert(be_wait_text(&kn, &socks[1], "POST /slow ", 2000));
	ck_assert_uint_eq(executed(), 1);
	/* As a caller does after "Connection: close". */
	be_close(&socks[1]);
	socks[1].fd = 0;
	be_turn(&kn, 400);
	ck_assert(hosts[0][1]->drained && hosts[0][3]->drained);
	end();
}
END_TEST

#define GRACE_MS 1000
#define LONG_CALL                        \
	ACME "Chivebank-Class: long\r\n" \
	     "Chivebank-Deadline-Ms: 30000\r\n"

/* Begins the stop of a host and turns until its grace is over. */
static void stop_whole(int host)
{
	int64_t end_us = kn_now_us() + GRACE_MS * USEC_PER_MSEC;
	int k;

	for (k = 1; k < 4; k++)
		if (hosts[host][k]->ops->drain)
			hosts[host][k]->ops->drain(hosts[host][k]);
	while (kn_now_us() < end_us)
		be_turn(&kn, 5);
	ck_assert(hosts[host][1]->drained);
	ck_assert(hosts[host][3]->drained);
}

/* More requests than there are slots, so that some are queued. */
START_TEST(stop_answers_sent_requests_as_unknown_and_others_as_not_run)
{
	unsigned int unknown = 0, not_run = 0;
	const int n = 24;
	int i;

	begin(1, false, false);
	sets[0].grace_ms = GRACE_MS;
	sets[0].drain_delay_ms = 400;
	set_mode_all(BE_HANG);
	for (i = 1; i <= n; i++)
		send_request(i, 0, "POST", "/r/web/slow", LONG_CALL, "1");
	stop_whole(0);
	for (i = 1; i <= n; i++) {
		ck_assert(be_wait_text(&kn, &socks[i], "}}\n", 10));
		if (strstr(socks[i].in, "Chivebank-Outcome: unknown")) {
			unknown++;
			ck_assert_int_eq(
				be_count(&socks[i], "Chivebank-Result: 301"),
				1);
			continue;
		}
		not_run++;
		ck_assert_int_eq(be_count(&socks[i], "Chivebank-Result: 203"),
				 1);
		ck_assert_int_eq(be_count(&socks[i], "Retry-After: 1"), 1);
	}
	ck_assert_uint_gt(not_run, 0);
	ck_assert_uint_eq(unknown, servers[0].ledger.requests +
					   servers[1].ledger.requests);
	end();
}
END_TEST

/* Redirects the log lines of this process; returns where they are read. */
static int capture_log(void)
{
	int ends[2];

	ck_assert_int_eq(pipe(ends), 0);
	dup2(ends[1], STDERR_FILENO);
	close(ends[1]);
	log_init("test", "dc1", LOG_INFO_LEVEL);
	return ends[0];
}

static void expect_line(const char *log, const char *event, const char *text)
{
	char *name = g_strconcat("event=", event, " ", NULL);
	const char *line = strstr(log, name);
	const char *found = line ? strstr(line, text) : NULL;

	ck_assert_msg(found && found < line + strcspn(line, "\n"),
		      "no %s with %s in: %s", event, text, log);
	g_free(name);
}

/* A caller without an answer must leave a trace. */
START_TEST(stop_logs_the_requests_that_it_cuts)
{
	char log[16384] = "";
	ssize_t n;
	int fd;

	begin(1, false, false);
	sets[0].grace_ms = GRACE_MS;
	set_mode_all(BE_HANG);
	send_request(1, 0, "POST", "/r/web/slow", LONG_CALL, "1");
	be_turn(&kn, 50);
	fd = capture_log();
	stop_whole(0);
	send_request(2, 0, "GET", "/r/web/late", ACME, "");
	be_turn(&kn, 50);
	kill_host(0);
	n = read(fd, log, sizeof(log) - 1);
	ck_assert_int_gt(n, 0);
	expect_line(log, "calls.stopping", "server=callers calls=1 ");
	expect_line(log, "request.unfinished", "target=/slow result=301 ");
	expect_line(log, "calls.stopped", "answered=1 refused=1 cut=0 ");
	close(fd);
	end();
}
END_TEST

START_TEST(request_without_an_answer_is_logged_when_the_process_ends)
{
	char log[16384] = "";
	ssize_t n;
	int fd;

	begin(1, false, false);
	set_mode_all(BE_HANG);
	send_request(1, 0, "POST", "/r/web/slow", LONG_CALL, "1");
	be_turn(&kn, 50);
	fd = capture_log();
	kill_host(0);
	n = read(fd, log, sizeof(log) - 1);
	ck_assert_int_gt(n, 0);
	expect_line(log, "request.cut",
		    "cause=stop method=POST target=/r/web/");
	expect_line(log, "calls.stopped", "cut=1 calls=1 ");
	close(fd);
	end();
}
END_TEST

/* The rest of the request never comes. */
START_TEST(half_sent_request_does_not_hold_up_the_stop)
{
	begin(1, false, false);
	sets[0].grace_ms = GRACE_MS;
	be_connect(&socks[1], callers_bound_port(hosts[0][3]));
	be_puts(&kn, &socks[1],
		"POST /r/web/x HTTP/1.1\r\nHost: x\r\n" ACME
		"Content-Length: 100\r\n\r\nhalf");
	be_turn(&kn, 20);
	stop_whole(0);
	ck_assert(be_wait_text(&kn, &socks[1], "Chivebank-Result: 203", 10));
	end();
}
END_TEST

/* What the ended process has sent contains the text. */
static bool received(struct be_sock *sock, const char *text)
{
	ssize_t n = read(sock->fd, sock->in, sizeof(sock->in));

	sock->len = n > 0 ? (size_t)n : 0;
	return memmem(sock->in, sock->len, text, strlen(text)) != NULL;
}

static void drain_never(struct kn_task *task)
{
}

static void drop_msg(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
}

static const struct kn_task_ops drain_never_ops = { .receive = drop_msg,
						    .drain = drain_never };

#define POST_WEB "POST /r/web/x HTTP/1.1\r\nHost: x\r\n" ACME
#define TICKETS                                    \
	"POST /v1/tickets HTTP/1.1\r\nHost: x\r\n" \
	"Content-Length: 11\r\n\r\n{\"count\":1}"

/* The callers' server has drained, another task has not. */
START_TEST(requests_are_refused_until_the_process_ends)
{
	static const char *const texts[] = {
		POST_WEB "\r\n", POST_WEB "Idempotency-Key: a\r\n\r\n", TICKETS
	};
	struct kn_task other = { 0 };
	size_t i;

	begin(1, false, false);
	kn_add(&kn, &other, "other", &drain_never_ops);
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		be_connect(&socks[20 + i], callers_bound_port(hosts[0][3]));
	be_turn(&kn, 20);
	kn_drain(&kn);
	be_turn(&kn, 200);
	ck_assert(hosts[0][1]->drained && hosts[0][3]->drained);
	expect(0, "GET", "/healthz", "", "", "503 ");
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		be_connect(&socks[5 + i], callers_bound_port(hosts[0][3]));
		be_puts(&kn, &socks[5 + i], texts[i]);
		ck_assert(be_wait_text(&kn, &socks[5 + i],
				       "Chivebank-Result: 203", 100));
	}
	/* At the end all are unread, or wait to be accepted. */
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		be_connect(&socks[10 + i], callers_bound_port(hosts[0][3]));
		ck_assert_int_gt(
			send(socks[20 + i].fd, texts[i], strlen(texts[i]), 0),
			0);
		ck_assert_int_gt(
			send(socks[10 + i].fd, texts[i], strlen(texts[i]), 0),
			0);
	}
	kn_drained(&other);
	kn_run(&kn);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		ck_assert(received(&socks[20 + i], "Result: 203"));
		ck_assert(received(&socks[10 + i], "Result: 203"));
	}
	list_del(&other.node);
	end();
}
END_TEST

/* Connects with buffers so small that they cannot hold a large reply. */
static void connect_slow(struct be_sock *sock, int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port) };
	int mss = 536, size = 4096;

	memset(sock, 0, sizeof(*sock));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sock->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	/* The send buffer of the other side grows with the segment size. */
	setsockopt(sock->fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
	setsockopt(sock->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(
		connect(sock->fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
}

/*
 * Guards against a planned stop that cuts off a reply which a slow caller has
 * not yet read (invariant I7).
 */
START_TEST(stop_waits_for_slow_caller)
{
	static char data[65536];
	const char *text = "GET /r/web/big HTTP/1.1\r\nHost: x\r\n" ACME "\r\n";
	size_t want = 900000, got = 0;
	int64_t end_us;
	ssize_t n;

	begin(1, false, false);
	servers[0].options.reply_bytes = want;
	servers[1].options.reply_bytes = want;
	connect_slow(&socks[1], callers_bound_port(hosts[0][3]));
	ck_assert_int_eq(send(socks[1].fd, text, strlen(text), 0),
			 (ssize_t)strlen(text));
	be_turn(&kn, 500);
	kn_drain(&kn);
	be_turn(&kn, 1000);
	ck_assert(!hosts[0][3]->drained);
	end_us = kn_now_us() + 10 * USEC_PER_SEC;
	while (got < want && kn_now_us() < end_us) {
		be_turn(&kn, 0);
		n = recv(socks[1].fd, data, sizeof(data), MSG_DONTWAIT);
		ck_assert_int_ne(n, 0);
		got += n > 0 ? (size_t)n : 0;
	}
	ck_assert_uint_ge(got, want);
	be_close(&socks[1]);
	socks[1].fd = 0;
	be_turn(&kn, 200);
	ck_assert(hosts[0][3]->drained);
	end();
}
END_TEST

static void list_servers(const char *first_state)
{
	char json[512];

	snprintf(json, sizeof(json),
		 "{\"hosts\":[{\"addr\":\"127.0.0.1\",\"port\":%d,\"dc\":"
		 "\"dc1\",\"service\":\"web\",\"state\":\"%s\"},"
		 "{\"addr\":\"127.0.0.1\",\"port\":%d,\"dc\":\"dc1\","
		 "\"service\":\"web\",\"state\":\"live\"}]}",
		 servers[0].options.port, first_state, servers[1].options.port);
	pf_thread_control(&platform, json);
}

/*
 * Guards against a request that runs without a claim while the store is down,
 * and against one that runs twice when the store's answer to its claim is lost.
 */
START_TEST(store_faults_do_not_repeat_work)
{
	const char *keys[] = { ACME "Idempotency-Key: a\r\n",
			       ACME "Idempotency-Key: b\r\n",
			       ACME "Idempotency-Key: c\r\n" };

	with_platform = true;
	begin(1, false, false);
	list_servers("live");
	be_turn(&kn, 1500);
	expect(0, "POST", "/r/web/pay", keys[0], "1", "POST /pay ");
	pf_thread_control(&platform, "{\"drop_answers\":1}");
	expect(0, "POST", "/r/web/pay", keys[1], "2", "POST /pay ");
	expect(0, "POST", "/r/web/pay", keys[1], "2", "POST /pay ");
	ck_assert_uint_eq(executed(), 2);
	pf_thread_control(&platform, "{\"down\":true}");
	be_turn(&kn, 50);
	expect(0, "POST", "/r/web/pay", keys[2], "3", "Chivebank-Result: 205");
	expect(0, "POST", "/r/web/pay", ACME, "4", "POST /pay ");
	ck_assert_uint_eq(executed(), 3);
	pf_thread_control(&platform, "{\"down\":false}");
	be_turn(&kn, 50);
	expect(0, "POST", "/r/web/pay", keys[2], "3", "POST /pay ");
	ck_assert_uint_eq(executed(), 4);
	end();
}
END_TEST

/* The store holds its answer back until the stop is over. */
START_TEST(request_whose_key_is_being_claimed_at_a_stop_is_not_run)
{
	with_platform = true;
	begin(1, false, false);
	sets[0].grace_ms = GRACE_MS;
	list_servers("live");
	be_turn(&kn, 1500);
	pf_thread_control(&platform, "{\"delay_ms\":1500}");
	send_request(1, 0, "POST", "/r/web/pay",
		     LONG_CALL "Idempotency-Key: a\r\n", "1");
	be_turn(&kn, 20);
	stop_whole(0);
	ck_assert(be_wait_text(&kn, &socks[1], "Chivebank-Result: 203", 10));
	ck_assert_uint_eq(executed(), 0);
	end();
}
END_TEST

/* Two hosts. */

/*
 * Sends 4 requests at once through a host, so that it needs both servers.
 * Returns true when the first server got one.
 */
static bool first_server_used(int host)
{
	uint64_t before = servers[0].ledger.requests;
	int i;

	for (i = 0; i < 4; i++)
		send_request(i, host, "GET", "/r/web/a", ACME, "");
	for (i = 0; i < 4; i++) {
		ck_assert(be_wait_text(&kn, &socks[i], "GET /a ", 4000));
		be_close(&socks[i]);
		socks[i].fd = 0;
	}
	return servers[0].ledger.requests != before;
}

/*
 * Guards against requests over idle connections to a server that refuses new
 * connections (invariant I6). One host is refused and must notify the other.
 */
START_TEST(refusal_is_reported_to_peers)
{
	begin(2, false, true);
	ck_assert(first_server_used(0));
	ck_assert(first_server_used(1));
	be_server_mode(&servers[0], BE_REFUSE, 0);
	be_turn(&kn, 20);
	first_server_used(0);
	be_server_mode(&servers[0], BE_NORMAL, 0);
	be_turn(&kn, 20);
	/* This is well within the first ejection delay, EJECT_BASE_MS. */
	ck_assert(!first_server_used(1));
	end();
}
END_TEST

/*
 * Guards against hosts that are notified late, or never, that a server is
 * leaving (invariant I6). The platform's list reports it first, or the server
 * itself to one host.
 */
START_TEST(leaving_reaches_all_hosts_in_time)
{
	int64_t polls;
	int i;

	with_platform = true;
	begin(2, false, false);
	list_servers("live");
	be_turn(&kn, 1500);
	ck_assert(first_server_used(0));
	ck_assert(first_server_used(1));
	if (_i == 0) {
		list_servers("leaving");
		be_turn(&kn, LEAVING_GRACE_MS - 1500);
	} else {
		/* The server itself reports it to one host, in an answer. */
		be_server_mode(&servers[0], BE_LEAVING, 0);
		be_turn(&kn, 20);
		for (i = 0; i < 20; i++)
			expect(0, "GET", "/r/web/a", ACME, "", "GET /a ");
		be_server_mode(&servers[0], BE_NORMAL, 0);
		be_turn(&kn, 50);
	}
	ck_assert(!first_server_used(0));
	ck_assert(!first_server_used(1));
	/* Only the leader reads the list, about once a second. */
	polls = pf_thread_calls(&platform, "hosts");
	be_turn(&kn, 2000);
	ck_assert_int_le(pf_thread_calls(&platform, "hosts") - polls, 3);
	end();
}
END_TEST

/*
 * Guards against requests with a key that run on two hosts, or again after the
 * host that owns the key has crashed.
 */
START_TEST(keys_go_to_their_owner)
{
	char ticket[128], headers[300];
	const char *key = ACME "Idempotency-Key: order-9\r\n";

	begin(2, false, true);
	mint(0, ticket, sizeof(ticket));
	snprintf(headers, sizeof(headers), ACME "Idempotency-Key: %s\r\n",
		 ticket);
	expect(1, "POST", "/r/web/pay", headers, "1", "POST /pay ");
	expect(0, "POST", "/r/web/pay", headers, "1", "POST /pay ");
	ck_assert_uint_eq(executed(), 1);
	expect(0, "POST", "/r/web/pay", key, "2", "POST /pay ");
	expect(1, "POST", "/r/web/pay", key, "2", "POST /pay ");
	ck_assert_uint_eq(executed(), 2);
	mint(0, ticket, sizeof(ticket));
	snprintf(headers, sizeof(headers), ACME "Idempotency-Key: %s\r\n",
		 ticket);
	kill_host(0);
	be_turn(&kn, 100);
	expect(1, "POST", "/r/web/pay", headers, "3",
	       "Chivebank-Outcome: unknown");
	expect(1, "POST", "/r/web/pay", key, "2", "Chivebank-Outcome: unknown");
	start_host(0, 200);
	be_turn(&kn, 1500);
	expect(1, "POST", "/r/web/pay", headers, "3", "Chivebank-Result: 302");
	expect(0, "POST", "/r/web/pay", headers, "3", "Chivebank-Result: 302");
	ck_assert_uint_eq(executed(), 2);
	end();
}
END_TEST

/*
 * Guards against a data centre without servers that refuses requests instead of
 * forwarding them (docs/design.md, section 3.5).
 */
START_TEST(requests_go_to_other_data_centre)
{
	begin(2, true, false);
	expect(1, "GET", "/r/web/far", ACME, "", "GET /far ");
	set_mode_all(BE_CLOSE_AFTER);
	expect(1, "POST", "/r/web/far", ACME, "1",
	       "Chivebank-Outcome: unknown");
	ck_assert_uint_eq(executed(), 2);
	/* The peer is lost after it has received the request. */
	set_mode_all(BE_HANG);
	send_request(1, 1, "POST", "/r/web/far", ACME, "2");
	be_turn(&kn, 100);
	kill_host(0);
	ck_assert(be_wait_text(&kn, &socks[1], "Chivebank-Result: 307", 2000));
	expect(1, "GET", "/r/web/far", ACME, "", "Chivebank-Result: 202");
	end();
}
END_TEST

/*
 * Guards against queued requests that are refused when the last server is
 * ejected, instead of forwarded, and against a POST that is lost because it is
 * sent to a server in probation (docs/design.md, section 3.5).
 */
START_TEST(queue_goes_to_other_data_centre)
{
	char target[32], want[32];
	uint64_t before;
	int i;

	begin(2, true, true);
	/* Each host has one server of its own. */
	sets[0].backends[0] = sets[0].backends[1];
	sets[0].backend_count = sets[1].backend_count = 1;
	kill_host(0);
	kill_host(1);
	start_host(0, 200);
	start_host(1, 201);
	be_turn(&kn, 1500);
	be_server_mode(&servers[0], BE_HANG, 0);
	be_turn(&kn, 20);
	for (i = 0; i < 30; i++) {
		snprintf(target, sizeof(target), "/r/web/%d", i);
		/* The first 8 occupy the slots of the server. */
		send_request(i, 1, i < 8 ? "GET" : "POST", target,
			     ACME "Chivebank-Class: long\r\n", "");
	}
	be_turn(&kn, 50);
	be_server_mode(&servers[0], BE_REFUSE, 0);
	for (i = 8; i < 30; i++) {
		snprintf(want, sizeof(want), "POST /%d ", i);
		ck_assert_msg(be_wait_text(&kn, &socks[i], want, 2000),
			      "request %d: %s", i, socks[i].in);
	}
	/* The server accepts a request in probation now, and would lose it. */
	be_server_mode(&servers[0], BE_CLOSE_AFTER, 0);
	be_turn(&kn, EJECT_BASE_MS + 200);
	before = servers[0].ledger.executed;
	for (i = 0; i < 3; i++)
		expect(1, "POST", "/r/web/pay", ACME, "1", "POST /pay ");
	ck_assert_uint_eq(servers[0].ledger.executed, before);
	end();
}
END_TEST

/*
 * Guards against two hosts that together exceed the 8 slots of a server, and
 * against hosts that get no credits beyond their floors.
 */
START_TEST(hosts_share_the_slots)
{
	char target[32], want[32];
	int i;

	begin(2, false, true);
	for (i = 0; i < 40; i++) {
		snprintf(target, sizeof(target), "/r/web/%d", i);
		/* Long work may wait for credits to move between the hosts. */
		send_request(i, i % 2, "GET", target,
			     ACME "Chivebank-Class: long\r\n", "");
	}
	for (i = 0; i < 40; i++) {
		snprintf(want, sizeof(want), "GET /%d ", i);
		ck_assert_msg(be_wait_text(&kn, &socks[i], want, 4000),
			      "request %d: %s", i, socks[i].in);
	}
	for (i = 0; i < SERVERS; i++) {
		ck_assert_uint_le(servers[i].ledger.in_progress_max, 8);
		/* The floors alone allow 2. */
		ck_assert_uint_gt(servers[i].ledger.in_progress_max, 2);
	}
	end();
}
END_TEST

/*
 * Guards against finished keys that are lost at a planned stop of their owner.
 */
START_TEST(finished_keys_are_handed_over)
{
	char ticket[128], headers[300];

	begin(2, false, true);
	mint(0, ticket, sizeof(ticket));
	snprintf(headers, sizeof(headers), ACME "Idempotency-Key: %s\r\n",
		 ticket);
	expect(0, "POST", "/r/web/pay", headers, "1", "POST /pay ");
	hosts[0][1]->ops->drain(hosts[0][1]);
	be_turn(&kn, 300);
	ck_assert(hosts[0][1]->drained);
	kill_host(0);
	be_turn(&kn, 100);
	expect(1, "POST", "/r/web/pay", headers, "1", "POST /pay ");
	ck_assert_uint_eq(executed(), 1);
	end();
}
END_TEST

/* A peer must not run what may have run at the host that has stopped. */
START_TEST(key_of_a_request_that_a_stop_left_unknown_is_never_run)
{
	char ticket[128], headers[300];

	begin(2, false, true);
	sets[0].grace_ms = GRACE_MS;
	mint(0, ticket, sizeof(ticket));
	snprintf(headers, sizeof(headers), LONG_CALL "Idempotency-Key: %s\r\n",
		 ticket);
	set_mode_all(BE_HANG);
	send_request(1, 0, "POST", "/r/web/pay", headers, "1");
	be_turn(&kn, 20);
	stop_whole(0);
	ck_assert(
		be_wait_text(&kn, &socks[1], "Chivebank-Outcome: unknown", 10));
	be_turn(&kn, 100);
	set_mode_all(BE_NORMAL);
	kill_host(0);
	be_turn(&kn, 100);
	expect(1, "POST", "/r/web/pay", headers, "1", "Chivebank-Result: 301");
	ck_assert_uint_eq(
		servers[0].ledger.requests + servers[1].ledger.requests, 1);
	end();
}
END_TEST

/* Its request service has drained, another task has not. */
START_TEST(peers_are_refused_until_the_process_ends)
{
	char ticket[128], headers[300];

	begin(2, false, true);
	mint(0, ticket, sizeof(ticket));
	snprintf(headers, sizeof(headers), ACME "Idempotency-Key: %s\r\n",
		 ticket);
	hosts[0][1]->ops->drain(hosts[0][1]);
	be_turn(&kn, 200);
	ck_assert(hosts[0][1]->drained);
	expect(1, "POST", "/r/web/pay", headers, "1", "Chivebank-Result: 203");
	ck_assert_uint_eq(executed(), 0);
	end();
}
END_TEST

/* A peer that waits for the answer is told before the process ends. */
START_TEST(stop_answers_requests_of_peers)
{
	begin(2, true, false);
	sets[0].grace_ms = GRACE_MS;
	set_mode_all(BE_HANG);
	send_request(1, 1, "POST", "/r/web/pay", LONG_CALL, "1");
	be_turn(&kn, 100);
	ck_assert_uint_eq(
		servers[0].ledger.requests + servers[1].ledger.requests, 1);
	stop_whole(0);
	ck_assert(be_wait_text(&kn, &socks[1], "Chivebank-Result: 301", 10));
	end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("requests");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, statuses_and_outcomes);
	tcase_add_test(tc, only_idempotent_work_is_retried);
	tcase_add_test(tc, keys_run_once_and_replay);
	tcase_add_test(tc, slots_bound_the_load);
	tcase_add_test(tc, leaving_server_gets_no_work);
	tcase_add_test(tc, stop_is_graceful);
	tcase_add_test(
		tc,
		stop_answers_sent_requests_as_unknown_and_others_as_not_run);
	tcase_add_test(tc, stop_logs_the_requests_that_it_cuts);
	tcase_add_test(
		tc, request_without_an_answer_is_logged_when_the_process_ends);
	tcase_add_test(tc, requests_are_refused_until_the_process_ends);
	tcase_add_test(tc, half_sent_request_does_not_hold_up_the_stop);
	tcase_add_test(tc,
		       request_whose_key_is_being_claimed_at_a_stop_is_not_run);
	tcase_add_test(tc, stop_waits_for_slow_caller);
	tcase_add_test(tc, store_faults_do_not_repeat_work);
	tcase_add_loop_test(tc, leaving_reaches_all_hosts_in_time, 0, 2);
	tcase_add_test(tc, refusal_is_reported_to_peers);
	tcase_add_test(tc, keys_go_to_their_owner);
	tcase_add_test(tc, requests_go_to_other_data_centre);
	tcase_add_test(tc, queue_goes_to_other_data_centre);
	tcase_add_test(tc, hosts_share_the_slots);
	tcase_add_test(tc, finished_keys_are_handed_over);
	tcase_add_test(tc,
		       key_of_a_request_that_a_stop_left_unknown_is_never_run);
	tcase_add_test(tc, stop_answers_requests_of_peers);
	tcase_add_test(tc, peers_are_refused_until_the_process_ends);
	return run_case("req", tc);
}
