#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "daemon/admin/api.h"
#include "daemon/admin/api_int.h"
#include "daemon/document/document.h"
#include "daemon/document/document_int.h"
#include "daemon/store.h"
#include "daemon/svc.h"
#include "tests/standins/be_sock.h"
#include "tests/standins/ports.h"
#include "tests/standins/pf_server.h"
#include "wire/hc.h"
#include "wire/pr.h"
#include "tests/unit/run.h"

#define HOSTS 2
#define IN_FORCE_TIMEOUT_US \
	(3 * USEC_PER_SEC) /* invariant I8, at today's size */

/* Stands in for the leadership service or for the scheduler. */
struct fake {
	struct kn_task task;
	char leader[NAME_MAX_BYTES];
	bool leading;
	bool holds; /* calls are kept and not answered */
	int calls;
	GPtrArray *held; /* of struct svc_api_call */
};

struct host {
	struct kn kn;
	struct set set;
	struct kn_timer tick;
	struct kn_task *api;
	struct fake lead;
	struct fake scheduler;
	struct hc_pool pool;
	bool running;
};

struct request {
	struct hc_call hc;
	struct host *host;
	int done;
	int status;
	json_t *answer;
};

static struct host hosts[HOSTS];
static struct pf_thread platform;

/* Fake services. */

static void free_msg(struct kn_msg *msg)
{
	free(msg);
}

static void lead_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct fake *fake = (struct fake *)task;
	struct svc_lead *lead = calloc(1, sizeof(*lead));

	lead->msg.type = SVC_LEAD_CHANGED;
	lead->msg.release = free_msg;
	g_strlcpy(lead->leader, fake->leader, sizeof(lead->leader));
	lead->leading = fake->leading;
	kn_send(msg->from, task, &lead->msg);
	kn_msg_release(msg);
}

static void scheduler_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct svc_api_call *call = container_of(msg, struct svc_api_call, msg);
	struct fake *fake = (struct fake *)task;

	fake->calls++;
	if (fake->holds) {
		g_ptr_array_add(fake->held, call);
		return;
	}
	svc_api_answer(call, task, 200,
		       json_pack("{s:s,s:s,s:s?,s:s?,s:s?,s:O?}", "host",
				 fake->leader, "path", call->path, "key",
				 call->key, "team", call->team, "may",
				 call->allowed_prefixes ?
					 call->allowed_prefixes[0] :
					 NULL,
				 "body", call->body));
}

static const struct kn_task_ops lead_ops = { .receive = lead_receive };

static void scheduler_finish(struct kn_task *task)
{
	struct fake *fake = (struct fake *)task;
	guint i;

	for (i = 0; i < fake->held->len; i++)
		kn_msg_release(
			&((struct svc_api_call *)fake->held->pdata[i])->msg);
	g_ptr_array_free(fake->held, TRUE);
}

static const struct kn_task_ops scheduler_ops = { .receive = scheduler_receive,
						  .finish = scheduler_finish };

/* Hosts. */

/* Wakes the event loop each millisecond, so that kn_turn() returns. */
static void on_tick(struct kn_timer *timer)
{
	kn_timer_set(timer->kn, timer, USEC_PER_MSEC, on_tick);
}

static int peer_port(int i)
{
	static int first;

	if (first == 0)
		first = ports_reserve_row(HOSTS);
	return first + i;
}

static void fill_settings(int i, bool memory, bool peers)
{
	struct set *set = &hosts[i].set;
	struct set_peer *peer = &set->peers[0];
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, "root", -1);

	memset(set, 0, sizeof(*set));
	snprintf(set->host, sizeof(set->host), "h%d", i);
	strcpy(set->dc, "p");
	strcpy(set->region, "r");
	strcpy(set->admin.addr, "127.0.0.1");
	set->grace_ms = 20000;
	strcpy(set->admin_token_sha256, hash);
	g_free(hash);
	set->store_memory = memory;
	if (!memory) {
		strcpy(set->store.addr, "127.0.0.1");
		set->store.port = platform.server.kv_port;
	}
	if (!peers)
		return;
	strcpy(set->peer_listen.addr, "127.0.0.1");
	set->peer_listen.port = peer_port(i);
	set->peer_count = 1;
	snprintf(peer->host, sizeof(peer->host), "h%d", 1 - i);
	strcpy(peer->dc, "p");
	strcpy(peer->region, "r");
	strcpy(peer->at.addr, "127.0.0.1");
	peer->at.port = peer_port(1 - i);
}

/* Host 0 leads. With peers, leadership and scheduler are fakes. */
static void start_host(int i, bool memory, bool peers)
{
	struct host *h = &hosts[i];
	struct kv *kv;

	memset(h, 0, sizeof(*h));
	fill_settings(i, memory, peers);
	ck_assert(kn_init(&h->kn, NULL));
	kn_handle_signals(&h->kn);
	kv = store_new(&h->kn, &h->set);
	if (peers) {
		pr_new(&h->kn, &h->set, 100 + (uint64_t)i);
		strcpy(h->lead.leader, "h0");
		h->lead.leading = i == 0;
		kn_add(&h->kn, &h->lead.task, SVC_LEAD, &lead_ops);
		strcpy(h->scheduler.leader, h->set.host);
		h->scheduler.held = g_ptr_array_new();
		kn_add(&h->kn, &h->scheduler.task, SVC_SCHEDULER,
		       &scheduler_ops);
	}
	document_new(&h->kn, &h->set, kv, 100 + (uint64_t)i);
	h->api = api_new(&h->kn, &h->set);
	ck_assert(kn_start(&h->kn, NULL));
	hc_pool_init(&h->pool, &h->kn, "127.0.0.1", api_port(h->api), 8);
	kn_timer_set(&h->kn, &h->tick, 0, on_tick);
	h->running = true;
}

static void setup(void)
{
	pf_thread_start(&platform);
}

static void teardown(void)
{
	int i;

	for (i = 0; i < HOSTS; i++) {
		if (!hosts[i].running)
			continue;
		hc_pool_finish(&hosts[i].pool);
		kn_timer_cancel(&hosts[i].tick);
		kn_finish(&hosts[i].kn);
		hosts[i].running = false;
	}
	pf_thread_stop(&platform);
}

static void run_hosts(void)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		if (hosts[i].running)
			kn_turn(&hosts[i].kn);
}

/* Requests. */

static void on_reply(struct hc_call *hc)
{
	struct request *r = container_of(hc, struct request, hc);

	r->done++;
	r->status = hc->result == CB_OK ? hc->status : -hc->result;
	r->answer = json_loadb((char *)hc->body, hc->body_len, 0, NULL);
	hc_call_finish(hc);
}

static void start_request(struct request *r, int host, const char *method,
			  const char *target, const char *body,
			  const char *token, const char *if_match,
			  const char *key)
{
	struct http_headers headers;
	char *bearer = g_strconcat("Bearer ", token, NULL);

	json_decref(r->answer);
	memset(r, 0, sizeof(*r));
	http_headers_init(&headers);
	http_headers_add(&headers, "Authorization", bearer);
	if (if_match)
		http_headers_add(&headers, "If-Match", if_match);
	if (key)
		http_headers_add(&headers, "Idempotency-Key", key);
	ck_assert(hc_call_start(&r->hc, &hosts[host].pool, method, target,
				&headers, body, body ? strlen(body) : 0, 20000,
				on_reply));
	http_headers_finish(&headers);
	g_free(bearer);
}

static void wait_request(struct request *r)
{
	int64_t limit = kn_now_us() + 20 * USEC_PER_SEC;

	while (!r->done && kn_now_us() < limit)
		run_hosts();
	ck_assert_int_eq(r->done, 1);
}

/* Returns the code of an error answer, 0 for any other answer. */
static int error_code(const struct request *r)
{
	return (int)json_integer_value(
		json_object_get(json_object_get(r->answer, "error"), "code"));
}

static void check_call(struct request *r, const char *method,
		       const char *target, const char *body,
		       const char *if_match, int status, int error)
{
	start_request(r, 0, method, target, body, "root", if_match, NULL);
	wait_request(r);
	ck_assert_msg(r->status == status && error_code(r) == error,
		      "%s %s: status %d code %d, not %d %d", method, target,
		      r->status, error_code(r), status, error);
}

#define SECTION "/v1/document/sections/"

static void check_put(struct request *r, const char *name, const char *body,
		      const char *if_match, int status, int error)
{
	char *target = g_strconcat(SECTION, name, NULL);

	check_call(r, "PUT", target, body, if_match, status, error);
	g_free(target);
}

static int64_t answer_number(const struct request *r, const char *key)
{
	return json_integer_value(json_object_get(r->answer, key));
}

/* Starts a host and waits until it has read the document. */
static void start_ready_host(int i, bool memory, bool peers)
{
	int64_t limit = kn_now_us() + 5 * USEC_PER_SEC;
	struct request r = { 0 };

	start_host(i, memory, peers);
	do {
		start_request(&r, i, "GET", "/v1/customers", NULL, "root", NULL,
			      NULL);
		wait_request(&r);
	} while (r.status == 503 && kn_now_us() < limit);
	ck_assert_int_eq(r.status, 200);
	json_decref(r.answer);
}

/* Tests. */

/*
 * Guards against a stop that cuts off a reply (invariant I7). Small socket
 * buffers and a client that does not read keep the reply unsent while the API
 * drains.
 */
START_TEST(stop_waits_for_slow_operator)
{
	const char *text = "GET /v1/customers HTTP/1.1\r\nHost: x\r\n"
			   "Authorization: Bearer root\r\n\r\n";
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct request r = { 0 };
	int64_t limit;
	int fd, i, size = 2048;
	char name[80], data[8192];
	ssize_t n, got = 0;
	struct api *api;

	start_ready_host(0, true, false);
	for (i = 0; i < 400; i++) {
		snprintf(name, sizeof(name), "customer/c%055d", i);
		check_put(&r, name, "{\"weight\": 1}", "0", 200, 0);
	}
	api = container_of(hosts[0].api, struct api, task);
	/* Connections inherit the size of the send buffer. */
	setsockopt(api->server.listen_fd, SOL_SOCKET, SO_SNDBUF, &size,
		   sizeof(size));
	sin.sin_port = htons((uint16_t)api_port(hosts[0].api));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ck_assert_int_eq(send(fd, text, strlen(text), 0),
			 (ssize_t)strlen(text));
	for (limit = kn_now_us() + 300000; kn_now_us() < limit;)
		run_hosts();
	hosts[0].api->ops->drain(hosts[0].api);
	for (limit = kn_now_us() + 300000; kn_now_us() < limit;)
		run_hosts();
	ck_assert(!hosts[0].api->drained);
	limit = kn_now_us() + 10 * USEC_PER_SEC;
	while (!hosts[0].api->drained && kn_now_us() < limit) {
		run_hosts();
		n = recv(fd, data, sizeof(data), MSG_DONTWAIT);
		got += n > 0 ? n : 0;
	}
	ck_assert(hosts[0].api->drained);
	while ((n = recv(fd, data, sizeof(data), MSG_DONTWAIT)) > 0)
		got += n;
	ck_assert_int_gt(got, 400 * 64);
	close(fd);
	json_decref(r.answer);
}
END_TEST

/*
 * Guards against wrong answers to document calls, from the HTTP request to the
 * store, on a host without peers that uses the in-process store.
 */
START_TEST(document_calls_standalone)
{
	struct request r = { 0 };
	json_t *changes;

	start_ready_host(0, true, false);
	check_put(&r, "customer/a", "{\"weight\": 1}", "0", 200, 0);
	check_put(&r, "customer/a", "{\"weight\": 2}", "\"1\"", 200, 0);
	ck_assert_int_eq(answer_number(&r, "revision"), 2);
	check_put(&r, "customer/a", "{\"weight\": 3}", "1", 409, CB_E_CONFLICT);
	check_put(&r, "customer/a", "{\"weight\": 0}", "2", 422,
		  CB_E_CHECK_FAILED);
	check_put(&r, "customer/a", "{\"weight\": 3}", NULL, 400,
		  CB_E_BAD_REQUEST);
	check_put(&r, "customer/a", "{weight", "2", 400, CB_E_BAD_REQUEST);
	check_put(&r, "customer/b", "{\"weight\": 9}", "0", 200, 0);
	check_call(&r, "GET", SECTION "customer/a", NULL, NULL, 200, 0);
	ck_assert_int_eq(answer_number(&r, "revision"), 2);
	check_call(&r, "GET", SECTION "customer/x", NULL, NULL, 404,
		   CB_E_NO_SECTION);
	check_call(&r, "POST", "/v1/document/check",
		   "{\"sections\": {\"customer/a\": {\"weight\": 0}, "
		   "\"customer/b\": null}}",
		   NULL, 200, 0);
	ck_assert_uint_eq(json_array_size(json_object_get(r.answer, "errors")),
			  1);
	check_call(&r, "POST", "/v1/document/revert",
		   "{\"section\": \"customer/a\", \"revision\": 1}", "2", 200,
		   0);
	check_call(&r, "GET", "/v1/document/diff?from=1&to=4", NULL, NULL, 200,
		   0);
	changes = json_object_get(
		json_object_get(json_object_get(r.answer, "sections"),
				"customer/a"),
		"changes");
	ck_assert_uint_eq(json_array_size(changes), 0);
	check_call(&r, "GET", "/v1/document/history?limit=2", NULL, NULL, 200,
		   0);
	changes = json_object_get(r.answer, "changes");
	ck_assert_uint_eq(json_array_size(changes), 2);
	ck_assert_int_eq(json_integer_value(json_object_get(
				 json_array_get(changes, 0), "revision")),
			 4);
	check_call(&r, "DELETE", SECTION "customer/b", NULL, "3", 200, 0);
	check_call(&r, "GET", "/v1/customers", NULL, NULL, 200, 0);
	ck_assert_uint_eq(
		json_array_size(json_object_get(r.answer, "customers")), 1);
	start_request(&r, 0, "GET", "/v1/document", NULL, "wrong", NULL, NULL);
	wait_request(&r);
	ck_assert_int_eq(error_code(&r), CB_E_UNAUTHORIZED);
	check_call(&r, "GET", "/v1/nothing", NULL, NULL, 404,
		   CB_E_UNKNOWN_PATH);
	check_call(&r, "GET", "/v1/jobs", NULL, NULL, 404, CB_E_UNKNOWN_PATH);
	check_call(&r, "POST", "/v1/customers", NULL, NULL, 405, CB_E_METHOD);
	check_call(&r, "GET", "/v1/events?after=-1", NULL, NULL, 400,
		   CB_E_BAD_REQUEST);
	check_call(&r, "GET", "/v1/events", NULL, NULL, 200, 0);
	check_call(&r, "GET", "/healthz", NULL, NULL, 200, 0);
	check_call(&r, "GET", "/metrics", NULL, NULL, 200, 0);
	json_decref(r.answer);
}
END_TEST

/* Guards against a team that can read or change sections of teams. */
START_TEST(teams_cannot_read_or_change_teams)
{
	struct request r = { 0 };
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, "token-a", -1);
	char *body = g_strdup_printf(
		"{\"token_sha256\": \"%s\", \"may\": [\"customer/\"]}", hash);
	json_t *team;

	start_ready_host(0, true, false);
	check_put(&r, "team/a", body, "0", 200, 0);
	start_request(&r, 0, "GET", "/v1/document", NULL, "token-a", NULL,
		      NULL);
	wait_request(&r);
	team = json_object_get(json_object_get(r.answer, "sections"), "team/a");
	ck_assert_ptr_nonnull(team);
	ck_assert_ptr_null(json_object_get(team, "body"));
	start_request(&r, 0, "GET", SECTION "team/a", NULL, "token-a", NULL,
		      NULL);
	wait_request(&r);
	ck_assert_int_eq(error_code(&r), CB_E_FORBIDDEN);
	start_request(&r, 0, "DELETE", SECTION "team/a", NULL, "token-a", "1",
		      NULL);
	wait_request(&r);
	ck_assert_int_eq(error_code(&r), CB_E_FORBIDDEN);
	json_decref(r.answer);
	g_free(hash);
	g_free(body);
}
END_TEST

static size_t count_root_writes(void)
{
	size_t i, n = 0;
	json_t *write;

	g_mutex_lock(&platform.lock);
	json_array_foreach(platform.server.store.ledger, i, write) {
		n += strcmp(json_string_value(json_object_get(write, "key")),
			    "/chivebank/doc/root") == 0;
	}
	g_mutex_unlock(&platform.lock);
	return n;
}

/*
 * Guards against a change that is made twice or reported as failed because the
 * store's answer was lost, and against one that is reported as made although
 * the store is down.
 */
START_TEST(changes_with_lost_answers_and_outages)
{
	struct request r = { 0 };

	start_ready_host(0, false, false);
	check_put(&r, "customer/a", "{\"weight\": 1}", "0", 200, 0);
	pf_thread_control(&platform, "{\"drop_answers\": 2}");
	check_put(&r, "customer/a", "{\"weight\": 2}", "1", 200, 0);
	ck_assert_int_eq(answer_number(&r, "revision"), 2);
	ck_assert_uint_eq(count_root_writes(), 2);
	pf_thread_control(&platform, "{\"drop_answers\": 0, \"down\": true}");
	check_put(&r, "customer/a", "{\"weight\": 3}", "2", 503,
		  CB_E_STORE_DOWN);
	check_call(&r, "GET", SECTION "customer/a", NULL, NULL, 200, 0);
	pf_thread_control(&platform, "{\"down\": false}");
	check_put(&r, "customer/a", "{\"weight\": 4}", "2", 200, 0);
	ck_assert_uint_eq(count_root_writes(), 3);
	json_decref(r.answer);
}
END_TEST

#define GRACE_MS 2000

/* Turns the hosts until one has stopped; returns how long its stop took. */
static int64_t stop_whole(int host)
{
	int64_t begun_us = kn_now_us();

	hosts[host].set.grace_ms = GRACE_MS;
	kn_drain(&hosts[host].kn);
	while (!hosts[host].kn.stopped &&
	       kn_now_us() < begun_us + 3 * GRACE_MS * USEC_PER_MSEC)
		run_hosts();
	return (kn_now_us() - begun_us) / USEC_PER_MSEC;
}

/* The store takes so long that one change is being written, one queued. */
START_TEST(stop_answers_changes_before_the_grace_ends)
{
	struct request first = { 0 }, second = { 0 };

	start_ready_host(0, false, false);
	pf_thread_control(&platform, "{\"delay_ms\":1000}");
	start_request(&first, 0, "PUT", SECTION "customer/a", "{\"weight\": 1}",
		      "root", "0", NULL);
	start_request(&second, 0, "PUT", SECTION "customer/b",
		      "{\"weight\": 1}", "root", "0", NULL);
	run_hosts();
	ck_assert_int_lt(stop_whole(0), GRACE_MS);
	ck_assert_int_eq(first.done, 1);
	ck_assert_int_eq(error_code(&first), CB_E_CHANGE_UNKNOWN);
	ck_assert_int_eq(second.done, 1);
	ck_assert_int_eq(error_code(&second), CB_E_DRAINING);
	json_decref(first.answer);
	json_decref(second.answer);
}
END_TEST

/* The store answers so late that the change has only been read for. */
START_TEST(change_that_a_stop_answers_as_not_run_is_not_written)
{
	struct request r = { 0 };

	start_ready_host(0, false, false);
	pf_thread_control(&platform, "{\"delay_ms\":1600}");
	start_request(&r, 0, "PUT", SECTION "customer/a", "{\"weight\": 1}",
		      "root", "0", NULL);
	run_hosts();
	ck_assert_int_lt(stop_whole(0), GRACE_MS);
	ck_assert_int_eq(error_code(&r), CB_E_DRAINING);
	ck_assert_uint_eq(count_root_writes(), 0);
	json_decref(r.answer);
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

static const struct kn_task_ops drain_never_ops = { .receive = lead_receive,
						    .drain = drain_never };

#define PUT_A                                               \
	"PUT " SECTION "customer/a HTTP/1.1\r\nHost: x\r\n" \
	"Authorization: Bearer root\r\nIf-Match: 0\r\n"     \
	"Content-Length: 13\r\n\r\n{\"weight\": 1}"

/* The rest of the call never comes. */
START_TEST(half_sent_call_does_not_hold_up_the_stop)
{
	struct be_sock half;

	start_ready_host(0, false, false);
	be_connect(&half, api_port(hosts[0].api));
	be_puts(&hosts[0].kn, &half,
		"POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: 100\r\n\r\nhalf");
	be_turn(&hosts[0].kn, 20);
	ck_assert_int_lt(stop_whole(0), GRACE_MS);
	ck_assert(received(&half, "Chivebank-Result: 203"));
	be_close(&half);
}
END_TEST

/* The API has drained, another task has not. */
START_TEST(operators_are_refused_until_the_process_ends)
{
	struct kn *kn = &hosts[0].kn;
	struct kn_task other = { 0 };
	struct be_sock kept, late, last;

	start_ready_host(0, false, false);
	kn_add(kn, &other, "other", &drain_never_ops);
	be_connect(&kept, api_port(hosts[0].api));
	be_turn(kn, 20);
	kn_drain(kn);
	be_turn(kn, 300);
	ck_assert(hosts[0].api->drained);
	be_connect(&late, api_port(hosts[0].api));
	be_puts(kn, &late, PUT_A);
	ck_assert(be_wait_text(kn, &late, "\"code\":203", 100));
	/* At the end one is unread, and one waits to be accepted. */
	be_connect(&last, api_port(hosts[0].api));
	ck_assert_int_gt(send(kept.fd, PUT_A, strlen(PUT_A), 0), 0);
	ck_assert_int_gt(send(last.fd, PUT_A, strlen(PUT_A), 0), 0);
	kn_drained(&other);
	kn_run(kn);
	ck_assert(received(&kept, "\"code\":203"));
	ck_assert(received(&last, "\"code\":203"));
	ck_assert_uint_eq(count_root_writes(), 0);
	be_close(&kept);
	be_close(&late);
	be_close(&last);
	list_del(&other.node);
}
END_TEST

/* Of the leader, or of the host that has forwarded the call. */
START_TEST(stop_answers_calls_that_were_forwarded)
{
	struct request change = { 0 }, read = { 0 };
	int64_t limit = kn_now_us() + 5 * USEC_PER_SEC;

	start_ready_host(0, false, true);
	start_ready_host(1, false, true);
	while (!pr_connected(kn_find(&hosts[1].kn, SVC_PEERS), "h0") &&
	       kn_now_us() < limit)
		run_hosts();
	hosts[0].scheduler.holds = true;
	start_request(&change, 1, "POST", "/v1/jobs", "{\"n\": 1}", "root",
		      NULL, "k");
	start_request(&read, 1, "GET", "/v1/jobs", NULL, "root", NULL, NULL);
	while (hosts[0].scheduler.calls < 2 && kn_now_us() < limit)
		run_hosts();
	ck_assert_int_eq(hosts[0].scheduler.calls, 2);
	ck_assert_int_lt(stop_whole(_i), GRACE_MS);
	while ((!change.done || !read.done) && kn_now_us() < limit)
		run_hosts();
	ck_assert_int_eq(error_code(&change), CB_E_CHANGE_UNKNOWN);
	ck_assert_int_eq(error_code(&read), CB_E_DRAINING);
	json_decref(change.answer);
	json_decref(read.answer);
}
END_TEST

/*
 * Guards against a retry under the same idempotency key that is answered with
 * a conflict, since the first attempt has changed the revision.
 */
START_TEST(retry_with_same_key_is_answered_again)
{
	struct request r = { 0 };
	int i;

	start_ready_host(0, false, false);
	for (i = 0; i < 2; i++) {
		start_request(&r, 0, "PUT", SECTION "customer/a",
			      "{\"weight\": 1}", "root", "0", "my-key");
		wait_request(&r);
		ck_assert_int_eq(r.status, 200);
		ck_assert_int_eq(answer_number(&r, "revision"), 1);
	}
	start_request(&r, 0, "PUT", SECTION "customer/a", "{\"weight\": 2}",
		      "root", "0", "my-key");
	wait_request(&r);
	ck_assert_int_eq(error_code(&r), CB_E_KEY_REUSED);
	ck_assert_uint_eq(count_root_writes(), 1);
	json_decref(r.answer);
}
END_TEST

/* Writes a value to the store directly, not by the document service. */
static void store_put(const char *key, const char *value)
{
	char *k = g_base64_encode((unsigned char *)key, strlen(key));
	char *v = g_base64_encode((unsigned char *)value, strlen(value));
	json_t *req = json_pack("{s:s,s:s}", "key", k, "value", v);

	g_mutex_lock(&platform.lock);
	json_decref(pf_store_put(&platform.server.store, req));
	g_mutex_unlock(&platform.lock);
	json_decref(req);
	g_free(k);
	g_free(v);
}

/*
 * Guards against a document that reverts to an older revision because the store
 * returns an older root, or the root of another change.
 */
START_TEST(older_root_is_ignored)
{
	struct request r = { 0 };

	start_ready_host(0, false, false);
	check_put(&r, "customer/a", "{\"weight\": 1}", "0", 200, 0);
	check_put(&r, "customer/a", "{\"weight\": 2}", "1", 200, 0);
	pf_thread_control(&platform, "{\"old_root\": true}");
	check_put(&r, "customer/a", "{\"weight\": 3}", "1", 503,
		  CB_E_STORE_BEHIND);
	check_call(&r, "GET", SECTION "customer/a", NULL, NULL, 200, 0);
	ck_assert_int_eq(answer_number(&r, "revision"), 2);
	pf_thread_control(&platform, "{\"old_root\": false}");
	check_put(&r, "customer/a", "{\"weight\": 3}", "2", 200, 0);
	store_put("/chivebank/doc/root",
		  "{\"revision\": 3, \"change\": \"other\", \"sections\": {}}");
	check_put(&r, "customer/b", "{\"weight\": 1}", "0", 503,
		  CB_E_STORE_BEHIND);
	check_call(&r, "GET", SECTION "customer/a", NULL, NULL, 200, 0);
	ck_assert_int_eq(answer_number(&r, "revision"), 3);
	json_decref(r.answer);
}
END_TEST

/* Waits until a revision is in force on a host; returns the time in us. */
static int64_t wait_for_revision(int host, int64_t revision)
{
	int64_t start = kn_now_us();
	struct request r = { 0 };
	int64_t seen = -1;

	while (seen != revision && kn_now_us() - start < IN_FORCE_TIMEOUT_US) {
		start_request(&r, host, "GET", "/v1/document", NULL, "root",
			      NULL, NULL);
		wait_request(&r);
		seen = answer_number(&r, "revision");
	}
	json_decref(r.answer);
	ck_assert_int_eq(seen, revision);
	return kn_now_us() - start;
}

/*
 * Guards against a change that is not propagated to the other hosts. The leader
 * reads changes from the store, the other hosts receive them from peers, also a
 * host that starts while the store is down.
 */
START_TEST(changes_reach_all_hosts)
{
	struct request r = { 0 };

	start_ready_host(0, false, true);
	check_put(&r, "customer/a", "{\"weight\": 1}", "0", 200, 0);
	pf_thread_control(&platform, "{\"down\": true}");
	start_host(1, false, true);
	wait_for_revision(1, 1);
	pf_thread_control(&platform, "{\"down\": false}");
	check_put(&r, "customer/a", "{\"weight\": 2}", "1", 200, 0);
	wait_for_revision(1, 2);
	start_request(&r, 1, "PUT", SECTION "customer/b", "{\"weight\": 3}",
		      "root", "0", NULL);
	wait_request(&r);
	ck_assert_int_eq(r.status, 200);
	wait_for_revision(0, 3);
	json_decref(r.answer);
}
END_TEST

/*
 * Guards against a lost update when operators change the same section at once
 * on two hosts, and against more than one watch of the store in a data centre.
 */
START_TEST(concurrent_changes_conflict)
{
	struct request r[2 * HOSTS] = { 0 };
	int i, accepted = 0;

	start_ready_host(0, false, true);
	start_ready_host(1, false, true);
	for (i = 0; i < HOSTS; i++) {
		start_request(&r[i], i, "PUT", SECTION "customer/same",
			      i ? "{\"weight\": 1}" : "{\"weight\": 2}", "root",
			      "0", NULL);
		start_request(&r[HOSTS + i], i, "PUT",
			      i ? SECTION "customer/one" :
				  SECTION "customer/two",
			      "{\"weight\": 1}", "root", "0", NULL);
	}
	for (i = 0; i < 2 * HOSTS; i++)
		wait_request(&r[i]);
	for (i = 0; i < HOSTS; i++) {
		accepted += r[i].status == 200;
		ck_assert(r[i].status == 200 ||
			  error_code(&r[i]) == CB_E_CONFLICT);
		ck_assert_int_eq(r[HOSTS + i].status, 200);
	}
	ck_assert_int_eq(accepted, 1);
	wait_for_revision(0, 3);
	wait_for_revision(1, 3);
	ck_assert_int_eq(pf_thread_calls(&platform, "watch"), 1);
	for (i = 0; i < 2 * HOSTS; i++)
		json_decref(r[i].answer);
}
END_TEST

/*
 * Guards against a change that is refused as if the store were behind because
 * a peer's push puts a later revision in force while the root is being read.
 */
START_TEST(change_is_overtaken_by_a_push)
{
	struct request slow = { 0 }, r = { 0 };
	int64_t reads;

	start_ready_host(0, false, true);
	start_ready_host(1, false, true);
	check_put(&r, "customer/a", "{\"weight\": 1}", "0", 200, 0);
	wait_for_revision(1, 1);
	pf_thread_control(&platform, "{\"delay_ms\": 500}");
	reads = pf_thread_calls(&platform, "range");
	start_request(&slow, 1, "PUT", SECTION "customer/b", "{\"weight\": 1}",
		      "root", "0", NULL);
	while (pf_thread_calls(&platform, "range") == reads)
		run_hosts();
	pf_thread_control(&platform, "{\"delay_ms\": 0}");
	check_put(&r, "customer/a", "{\"weight\": 2}", "1", 200, 0);
	wait_for_revision(1, 2);
	ck_assert_int_eq(slow.done, 0);
	wait_request(&slow);
	ck_assert_int_eq(slow.status, 200);
	ck_assert_int_eq(answer_number(&slow, "revision"), 3);
	json_decref(slow.answer);
	json_decref(r.answer);
}
END_TEST

#define FAULT_ROUNDS 25
#define FAULT_CALLS 3 /* concurrent calls in each round */

static const char *const faults[] = {
	"{}",
	"{\"drop_answers\": 1}",
	"{\"drop_answers\": 3}",
	"{\"delay_ms\": 30}",
	"{\"down\": true}",
	"{\"old_root\": true}",
};

/* Starts a round of calls on random hosts, each of which adds a section. */
static void start_round(struct request *r, GRand *rand, int first)
{
	char *target, *key;
	int i;

	for (i = 0; i < FAULT_CALLS; i++) {
		target = g_strdup_printf(SECTION "customer/c%d", first + i);
		key = g_strdup_printf("change-%d", first + i);
		start_request(&r[i], g_rand_int_range(rand, 0, HOSTS), "PUT",
			      target, "{\"weight\": 1}", "root", "0", key);
		g_free(target);
		g_free(key);
	}
}

/*
 * Guards against a change that is reported as made but is not in the document,
 * is reported as failed but is in it, or is made twice, while answers of the
 * store are lost, delayed, outdated or refused.
 */
START_TEST(outcomes_match_document_under_faults)
{
	struct request r[FAULT_ROUNDS * FAULT_CALLS] = { 0 }, doc = { 0 };
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	int round, i, succeeded = 0, unknown = 0;
	json_t *sections;
	char *name;
	size_t count;

	start_ready_host(0, false, true);
	start_ready_host(1, false, true);
	for (round = 0; round < FAULT_ROUNDS; round++) {
		i = round * FAULT_CALLS;
		pf_thread_control(&platform,
				  faults[g_rand_int_range(
					  rand, 0, G_N_ELEMENTS(faults))]);
		start_round(&r[i], rand, i);
		for (; i < (round + 1) * FAULT_CALLS; i++)
			wait_request(&r[i]);
		pf_thread_control(&platform,
				  "{\"drop_answers\": 0, \"delay_ms\": 0, "
				  "\"old_root\": false, \"down\": false}");
	}
	check_put(&doc, "customer/last", "{\"weight\": 1}", "0", 200, 0);
	check_call(&doc, "GET", "/v1/document", NULL, NULL, 200, 0);
	sections = json_object_get(doc.answer, "sections");
	for (i = 0; i < FAULT_ROUNDS * FAULT_CALLS; i++) {
		name = g_strdup_printf("customer/c%d", i);
		succeeded += r[i].status == 200;
		unknown += error_code(&r[i]) == CB_E_CHANGE_UNKNOWN;
		if (error_code(&r[i]) != CB_E_CHANGE_UNKNOWN)
			ck_assert_msg((json_object_get(sections, name) !=
				       NULL) == (r[i].status == 200),
				      "%s: status %d code %d", name,
				      r[i].status, error_code(&r[i]));
		json_decref(r[i].answer);
		g_free(name);
	}
	count = json_object_size(sections);
	ck_assert_int_eq(answer_number(&doc, "revision"), count);
	ck_assert_uint_eq(count_root_writes(), count);
	ck_assert_int_ge(succeeded + unknown + 1, count);
	ck_assert_int_ge(succeeded, FAULT_ROUNDS);
	wait_for_revision(1, (int64_t)count);
	json_decref(doc.answer);
	g_rand_free(rand);
}
END_TEST

static int count_keys(const char *prefix)
{
	GTreeNode *node;
	int n = 0;

	g_mutex_lock(&platform.lock);
	for (node = g_tree_node_first(platform.server.store.keys); node;
	     node = g_tree_node_next(node))
		n += g_str_has_prefix(g_tree_node_key(node), prefix);
	g_mutex_unlock(&platform.lock);
	return n;
}

/*
 * Guards against a history that grows without limit, and against pruning a
 * revision of a section that is still in force.
 */
START_TEST(old_revisions_are_pruned)
{
	struct request r = { 0 };
	struct document *d;
	char base[16];
	int i;

	start_ready_host(0, false, false);
	d = (struct document *)kn_find(&hosts[0].kn, SVC_DOCUMENT);
	d->history_keep = DOC_PRUNE_BATCH;
	check_put(&r, "customer/kept", "{\"weight\": 1}", "0", 200, 0);
	for (i = 1; i < 3 * DOC_PRUNE_BATCH; i++) {
		snprintf(base, sizeof(base), "%d", i > 1 ? i : 0);
		check_put(&r, "customer/a", "{\"weight\": 1}", base, 200, 0);
	}
	check_call(&r, "GET", "/v1/document/diff?from=1&to=40", NULL, NULL, 400,
		   CB_E_BAD_REQUEST);
	ck_assert_int_le(count_keys("/chivebank/doc/h/"),
			 2 * DOC_PRUNE_BATCH + 1);
	ck_assert_int_le(count_keys("/chivebank/doc/s/customer/a/"),
			 2 * DOC_PRUNE_BATCH);
	ck_assert_int_eq(count_keys("/chivebank/doc/s/customer/kept/"), 1);
	check_put(&r, "customer/kept", "{\"weight\": 2}", "1", 200, 0);
	ck_assert_int_eq(count_keys("/chivebank/doc/s/customer/kept/"), 1);
	check_call(&r, "GET", "/v1/document/diff?from=90&to=97", NULL, NULL,
		   200, 0);
	json_decref(r.answer);
}
END_TEST

/*
 * Guards against a call for the leader that another host answers itself or
 * drops, or forwards without its path or key.
 */
START_TEST(calls_are_forwarded_to_leader)
{
	int64_t limit = kn_now_us() + 5 * USEC_PER_SEC;
	struct request r = { 0 };

	start_ready_host(1, false, true);
	start_request(&r, 1, "GET", "/v1/jobs", NULL, "root", NULL, NULL);
	wait_request(&r);
	ck_assert_int_eq(error_code(&r), CB_E_NO_LEADER);
	start_ready_host(0, false, true);
	while (!pr_connected(kn_find(&hosts[1].kn, SVC_PEERS), "h0") &&
	       kn_now_us() < limit)
		run_hosts();
	start_request(&r, 1, "POST", "/v1/jobs/j%201?x=1", "{\"n\": 1}", "root",
		      NULL, "k");
	wait_request(&r);
	ck_assert_int_eq(r.status, 200);
	ck_assert_str_eq(json_string_value(json_object_get(r.answer, "host")),
			 "h0");
	ck_assert_str_eq(json_string_value(json_object_get(r.answer, "path")),
			 "/v1/jobs/j 1");
	ck_assert_str_eq(json_string_value(json_object_get(r.answer, "key")),
			 "k");
	ck_assert_int_eq(hosts[0].scheduler.calls, 1);
	ck_assert_int_eq(hosts[1].scheduler.calls, 0);
	json_decref(r.answer);
}
END_TEST

/*
 * Guards against a change of jobs that is accepted without a known token, on
 * the leading host or forwarded to it, and against a call that reaches the
 * scheduler with the wrong team or prefixes.
 */
START_TEST(changes_of_jobs_need_a_token)
{
	static const char *const methods[] = { "POST", "DELETE", "PUT" };
	int64_t limit = kn_now_us() + 5 * USEC_PER_SEC;
	struct request r = { 0 };
	char *body, *sha256;
	size_t i;
	int host;

	start_ready_host(0, false, true);
	start_ready_host(1, false, true);
	while (!pr_connected(kn_find(&hosts[1].kn, SVC_PEERS), "h0") &&
	       kn_now_us() < limit)
		run_hosts();
	sha256 = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "secret", -1);
	body = g_strdup_printf("{\"token_sha256\": \"%s\", \"may\": "
			       "[\"customer/x\"]}",
			       sha256);
	check_put(&r, "team/x", body, "0", 200, 0);
	wait_for_revision(0, 1);
	for (host = 0; host < HOSTS; host++) {
		for (i = 0; i < G_N_ELEMENTS(methods); i++) {
			start_request(&r, host, methods[i], "/v1/jobs/j", NULL,
				      NULL, NULL, NULL);
			wait_request(&r);
			ck_assert_int_eq(error_code(&r), CB_E_UNAUTHORIZED);
			start_request(&r, host, methods[i], "/v1/jobs", NULL,
				      "guess", NULL, NULL);
			wait_request(&r);
			ck_assert_int_eq(error_code(&r), CB_E_UNAUTHORIZED);
		}
	}
	ck_assert_int_eq(hosts[0].scheduler.calls, 0);
	for (host = 0; host < HOSTS; host++) {
		start_request(&r, host, "POST", "/v1/jobs", NULL, "secret",
			      NULL, NULL);
		wait_request(&r);
		ck_assert_str_eq(
			json_string_value(json_object_get(r.answer, "team")),
			"x");
		ck_assert_str_eq(
			json_string_value(json_object_get(r.answer, "may")),
			"customer/x");
		start_request(&r, host, "GET", "/v1/jobs", NULL, NULL, NULL,
			      NULL);
		wait_request(&r);
		ck_assert_int_eq(r.status, 200);
	}
	json_decref(r.answer);
	g_free(body);
	g_free(sha256);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("api");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, document_calls_standalone);
	tcase_add_test(tc, stop_waits_for_slow_operator);
	tcase_add_test(tc, teams_cannot_read_or_change_teams);
	tcase_add_test(tc, changes_with_lost_answers_and_outages);
	tcase_add_test(tc, stop_answers_changes_before_the_grace_ends);
	tcase_add_test(tc,
		       change_that_a_stop_answers_as_not_run_is_not_written);
	tcase_add_test(tc, half_sent_call_does_not_hold_up_the_stop);
	tcase_add_test(tc, operators_are_refused_until_the_process_ends);
	tcase_add_loop_test(tc, stop_answers_calls_that_were_forwarded, 0,
			    HOSTS);
	tcase_add_test(tc, retry_with_same_key_is_answered_again);
	tcase_add_test(tc, older_root_is_ignored);
	tcase_add_test(tc, changes_reach_all_hosts);
	tcase_add_test(tc, concurrent_changes_conflict);
	tcase_add_test(tc, change_is_overtaken_by_a_push);
	tcase_add_loop_test(tc, outcomes_match_document_under_faults, 1, 4);
	tcase_add_test(tc, old_revisions_are_pruned);
	tcase_add_test(tc, calls_are_forwarded_to_leader);
	tcase_add_test(tc, changes_of_jobs_need_a_token);
	return run_case("api", tc);
}
