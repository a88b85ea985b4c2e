#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ev.h"
#include "base/log.h"
#include "tests/standins/be_sock.h"
#include "wire/fr.h"
#include "wire/pr_int.h"
#include "tests/unit/run.h"

#define HOSTS 3

/* Records what the peer service reports to a subscriber. */
struct probe {
	struct kn_task task;
	int ups;
	int downs;
	int ins;
	uint64_t last_incarnation;
	int64_t next_value;
	bool ordered;
};

static struct kn kn;
static struct set sets[HOSTS];
static int ports[HOSTS]; /* free ones, so that runs don't collide */
static struct kn_task *peers[HOSTS];
static struct probe probes[HOSTS];
static int64_t limit_us;

static void probe_receive(struct kn_task *task, struct kn_msg *msg)
{
	struct probe *probe = (struct probe *)task;
	struct pr_in *in = (struct pr_in *)msg;

	if (msg->type == PR_MSG_UP) {
		probe->ups++;
		probe->last_incarnation =
			((struct pr_status *)msg)->incarnation;
		probe->next_value = 0;
	} else if (msg->type == PR_MSG_DOWN) {
		probe->downs++;
	} else {
		probe->ins++;
		if (in->body.data.via.array.ptr[0].via.i64 !=
		    probe->next_value++)
			probe->ordered = false;
	}
	kn_msg_release(msg);
}

static const struct kn_task_ops probe_ops = { .receive = probe_receive };

static void set_host(struct set_peer *peer, int i)
{
	snprintf(peer->host, sizeof(peer->host), "host%d", i);
	strcpy(peer->dc, "dc1");
	/* The last host is in another region. */
	strcpy(peer->region, i == HOSTS - 1 ? "west" : "east");
	strcpy(peer->at.addr, "127.0.0.1");
	peer->at.port = ports[i];
}

static void pick_ports(void)
{
	int fds[HOSTS], i;

	for (i = 0; i < HOSTS; i++)
		fds[i] = be_listen(&ports[i]);
	for (i = 0; i < HOSTS; i++)
		close(fds[i]);
}

static void fill_set(int i)
{
	struct set_peer self;
	int j;

	memset(&sets[i], 0, sizeof(sets[i]));
	memset(&self, 0, sizeof(self));
	set_host(&self, i);
	strcpy(sets[i].host, self.host);
	strcpy(sets[i].dc, self.dc);
	strcpy(sets[i].region, self.region);
	sets[i].peer_listen = self.at;
	sets[i].seed = 5;
	sets[i].grace_ms = 20000;
	for (j = 0; j < HOSTS; j++)
		if (j != i)
			set_host(&sets[i].peers[sets[i].peer_count++], j);
}

static void start_host(int i, uint64_t incarnation)
{
	GError *err = NULL;

	peers[i] = pr_new(&kn, &sets[i], incarnation);
	ck_assert_msg(peers[i]->ops->start(peers[i], &err), "%s",
		      err ? err->message : "");
	peers[i]->started = true;
	memset(&probes[i], 0, sizeof(probes[i]));
	probes[i].ordered = true;
	kn_add(&kn, &probes[i].task, "probe", &probe_ops);
	pr_subscribe(peers[i], &probes[i].task, 0);
	pr_subscribe(peers[i], &probes[i].task, PR_LEAVING);
}

static void stop_host(int i)
{
	list_del(&peers[i]->node);
	peers[i]->ops->finish(peers[i]);
	list_del(&probes[i].task.node);
	peers[i] = NULL;
}

static void begin(void)
{
	int i;

	log_init("test", "dc1", LOG_ERR_LEVEL);
	ev_init(1);
	ck_assert(kn_init(&kn, NULL));
	pick_ports();
	for (i = 0; i < HOSTS; i++)
		fill_set(i);
	limit_us = kn_now_us() + 20 * USEC_PER_SEC;
}

static void wake(struct kn_timer *timer)
{
}

/* Turns the loop until a condition holds, 20 s in total. */
#define RUN_UNTIL(cond)                                               \
	do {                                                          \
		struct kn_timer wake_timer = { 0 };                   \
                                                                      \
		while (!(cond)) {                                     \
			ck_assert_msg(kn_now_us() < limit_us, #cond); \
			kn_timer_set(&kn, &wake_timer, 20000, wake);  \
			kn_turn(&kn);                                 \
		}                                                     \
		kn_timer_cancel(&wake_timer);                         \
	} while (0)

static struct pr_task *task_of(int i)
{
	return (struct pr_task *)peers[i];
}

static bool event_seen(const char *name)
{
	static struct ev_entry entries[64];
	size_t i, n = ev_copy(0, entries, G_N_ELEMENTS(entries));

	for (i = 0; i < n; i++)
		if (strcmp(entries[i].name, name) == 0 &&
		    strstr(entries[i].text, "offset_us=") &&
		    strstr(entries[i].text, "rtt_us="))
			return true;
	return false;
}

static msgpack_sbuffer body_of(int64_t value, size_t fill)
{
	msgpack_sbuffer out;
	msgpack_packer pk;
	char *bytes = calloc(1, fill + 1);

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_int64(&pk, value);
	msgpack_pack_bin(&pk, fill);
	msgpack_pack_bin_body(&pk, bytes, fill);
	free(bytes);
	return out;
}

static bool all_up(void)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		if (task_of(i)->connected.value != HOSTS - 1)
			return false;
	return true;
}

/*
 * Bytes that reached the first host must be counted by both ends, and the
 * frames by their type.
 */
static void check_counters(void)
{
	struct pr_task *a = task_of(0), *b = task_of(1);
	GString *text = g_string_new(NULL);

	ck_assert_uint_eq(a->dc_count, 1);
	ck_assert_uint_ge(a->dcs[0].received.value, 200 * 20000);
	ck_assert_uint_ge(b->dcs[0].sent.value, 2 * 200 * 20000);
	ck_assert_uint_eq(a->frames_sent[PR_LEAVING].value, 200);
	ck_assert_uint_eq(b->frames_sent[PR_LEAVING].value, 400);
	ck_assert_uint_eq(a->frames_received[PR_LEAVING].value, 200);
	ck_assert_uint_ge(a->frames_received[PR_HEARTBEAT].value, 1);
	ck_assert_uint_eq(a->frames_received[PR_HELLO].value, HOSTS - 1);
	ctr_print(&kn.counters, text);
	ck_assert(strstr(text->str,
			 "chivebank_peer_sent_bytes_total{dc=\"dc1\"} "));
	ck_assert(strstr(text->str, "chivebank_peer_received_frames_total{"
				    "type=\"leaving\"} 200\n"));
	g_string_free(text, TRUE);
}

/* Guards against lost or reordered messages, links that are not made, and
 * inter-region bytes that are not counted. */
START_TEST(hosts_connect_and_messages_keep_order)
{
	int i;

	begin();
	for (i = 0; i < HOSTS; i++)
		start_host(i, 100 + (uint64_t)i);
	RUN_UNTIL(all_up());
	for (i = 0; i < 200; i++) {
		msgpack_sbuffer body = body_of(i, 20000);

		pr_send(peers[0], "host1", PR_LEAVING, &body);
		pr_send_dc(peers[1], "dc1", PR_LEAVING, &body);
		pr_send(peers[0], "nobody", PR_LEAVING, &body);
		msgpack_sbuffer_destroy(&body);
		kn_turn(&kn);
	}
	RUN_UNTIL(probes[0].ins == 200 && probes[1].ins == 200 &&
		  probes[2].ins == 200);
	for (i = 0; i < HOSTS; i++) {
		ck_assert(probes[i].ordered);
		ck_assert_int_eq(probes[i].downs, 0);
	}
	ck_assert_uint_ge(pr_region_bytes(peers[1]), 200 * 20000);
	ck_assert_uint_lt(pr_region_bytes(peers[0]), 20000);
	check_counters();
	RUN_UNTIL(pr_rtt_us(peers[0], "host1") >= 0 &&
		  pr_rtt_us(peers[1], "host0") >= 0);
	ck_assert(event_seen("peer.clock"));
	/* Both hosts share a wall clock, so the offset is below the rtt. */
	ck_assert_int_lt(ABS(pr_peer_find(task_of(0), "host1")->offset_us),
			 pr_rtt_us(peers[0], "host1") + 5000);
	pr_set_status(peers[0], 42, true);
	pr_set_epoch(peers[0], 7);
	RUN_UNTIL(pr_peer_find(task_of(1), "host0")->doc_revision == 42);
	ck_assert(pr_peer_find(task_of(1), "host0")->draining);
	kn_finish(&kn);
}
END_TEST

/* Guards against a restarted peer that is taken for the one before. */
START_TEST(new_incarnation_is_down_then_up)
{
	begin();
	start_host(0, 1);
	start_host(1, 2);
	RUN_UNTIL(probes[0].ups == 1 && probes[1].ups == 1);
	stop_host(1);
	RUN_UNTIL(probes[0].downs == 1);
	ck_assert(!pr_connected(peers[0], "host1"));
	start_host(1, 3);
	RUN_UNTIL(probes[0].ups == 2);
	ck_assert_uint_eq(probes[0].last_incarnation, 3);
	/* The same for a peer that dials. */
	stop_host(0);
	start_host(0, 4);
	RUN_UNTIL(probes[1].ups == 2);
	ck_assert_uint_eq(probes[1].last_incarnation, 4);
	ck_assert_int_eq(probes[1].downs, 1);
	kn_finish(&kn);
}
END_TEST

/* A peer that is played by the test. */

static int dial_raw(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void send_hello(int fd, const char *host, const char *dc,
		       uint64_t incarnation)
{
	struct pr_hello hello = { .version = PR_VERSION,
				  .incarnation = incarnation };
	GByteArray *out = g_byte_array_new();
	msgpack_sbuffer body;

	strcpy(hello.host, host);
	strcpy(hello.dc, dc);
	msgpack_sbuffer_init(&body);
	pr_hello_pack(&body, &hello);
	ck_assert(
		fr_pack(out, PR_HELLO, (unsigned char *)body.data, body.size));
	ck_assert_int_eq(send(fd, out->data, out->len, 0), (int)out->len);
	g_byte_array_unref(out);
	msgpack_sbuffer_destroy(&body);
}

/* True when the other side has closed; discards what it sent before. */
static bool is_closed(int fd)
{
	char buf[4096];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		;
	return n == 0 || errno != EAGAIN;
}

/* Guards against hosts that are not in the settings, and malformed input. */
START_TEST(strangers_and_malformed_frames_are_refused)
{
	int fd;

	begin();
	start_host(1, 2);
	fd = dial_raw(ports[1]);
	send_hello(fd, "stranger", "dc1", 1);
	RUN_UNTIL(is_closed(fd));
	close(fd);
	fd = dial_raw(ports[1]);
	send_hello(fd, "host0", "dc9", 1);
	RUN_UNTIL(is_closed(fd));
	close(fd);
	/* The larger name must wait for this host to connect. */
	fd = dial_raw(ports[1]);
	send_hello(fd, "host2", "dc1", 1);
	RUN_UNTIL(is_closed(fd));
	close(fd);
	ck_assert_uint_eq(task_of(1)->refused.value, 3);
	fd = dial_raw(ports[1]);
	ck_assert_int_eq(send(fd, "GET / HTTP/1.1\r\n\r\n", 18, 0), 18);
	RUN_UNTIL(is_closed(fd));
	close(fd);
	fd = dial_raw(ports[1]);
	send_hello(fd, "host0", "dc1", 1);
	RUN_UNTIL(pr_connected(peers[1], "host0"));
	ck_assert_int_eq(send(fd, "\0\0\0\1\xc1", 5, 0), 5);
	RUN_UNTIL(is_closed(fd));
	close(fd);
	ck_assert_uint_eq(task_of(1)->malformed.value, 2);
	RUN_UNTIL(probes[1].downs == 1);
	kn_finish(&kn);
}
END_TEST

/* Guards against a dead link that keeps out its host's new one. */
START_TEST(second_link_replaces_the_first)
{
	int first, second;

	begin();
	start_host(1, 2);
	first = dial_raw(ports[1]);
	send_hello(first, "host0", "dc1", 9);
	RUN_UNTIL(probes[1].ups == 1);
	second = dial_raw(ports[1]);
	send_hello(second, "host0", "dc1", 9);
	RUN_UNTIL(probes[1].ups == 2 && is_closed(first));
	ck_assert(!is_closed(second));
	ck_assert_int_eq(probes[1].downs, 1);
	ck_assert_uint_eq(task_of(1)->connected.value, 1);
	close(first);
	/* An older process of the same host does not. */
	first = dial_raw(ports[1]);
	send_hello(first, "host0", "dc1", 8);
	RUN_UNTIL(is_closed(first));
	ck_assert(!is_closed(second));
	ck_assert_uint_eq(probes[1].last_incarnation, 9);
	close(first);
	close(second);
	kn_finish(&kn);
}
END_TEST

/* Guards against a frozen peer that counts as connected for ever. */
START_TEST(silent_peer_is_down_in_time)
{
	int64_t since_us;
	int fd;

	begin();
	start_host(1, 2);
	fd = dial_raw(ports[1]);
	send_hello(fd, "host0", "dc1", 9);
	RUN_UNTIL(pr_connected(peers[1], "host0"));
	since_us = kn_now_us();
	RUN_UNTIL(!pr_connected(peers[1], "host0"));
	ck_assert_int_ge(kn_now_us() - since_us,
			 (PEER_SILENT_MS - 100) * USEC_PER_MSEC);
	ck_assert_int_le(kn_now_us() - since_us,
			 (PEER_SILENT_MS + 500) * USEC_PER_MSEC);
	ck_assert_uint_eq(task_of(1)->silent.value, 1);
	close(fd);
	kn_finish(&kn);
}
END_TEST

/* Guards against a peer that does not read and makes the queue grow. */
START_TEST(peer_that_does_not_read_is_cut_off)
{
	msgpack_sbuffer body = body_of(0, 1000000);
	int fd, sent = 0;

	begin();
	start_host(1, 2);
	fd = dial_raw(ports[1]);
	send_hello(fd, "host0", "dc1", 9);
	RUN_UNTIL(pr_connected(peers[1], "host0"));
	while (pr_connected(peers[1], "host0")) {
		pr_send(peers[1], "host0", PR_LEAVING, &body);
		ck_assert_int_lt(sent++, 40);
		kn_turn(&kn);
	}
	ck_assert_uint_eq(task_of(1)->cut_off.value, 1);
	msgpack_sbuffer_destroy(&body);
	close(fd);
	kn_finish(&kn);
}
END_TEST

/* Less is left of a short grace than PEER_FLUSH_MS. */
START_TEST(peer_that_does_not_read_holds_up_no_stop)
{
	msgpack_sbuffer body = body_of(0, 1000000);
	int64_t begun_us;
	int fd, i;

	begin();
	sets[1].grace_ms = 800;
	start_host(1, 2);
	fd = dial_raw(ports[1]);
	send_hello(fd, "host0", "dc1", 9);
	RUN_UNTIL(pr_connected(peers[1], "host0"));
	for (i = 0; i < 7; i++)
		pr_send(peers[1], "host0", PR_LEAVING, &body);
	begun_us = kn_now_us();
	stop_host(1);
	ck_assert_int_le(kn_now_us() - begun_us, 800 / 16 * USEC_PER_MSEC);
	msgpack_sbuffer_destroy(&body);
	close(fd);
	kn_finish(&kn);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("peers");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, hosts_connect_and_messages_keep_order);
	tcase_add_test(tc, new_incarnation_is_down_then_up);
	tcase_add_test(tc, strangers_and_malformed_frames_are_refused);
	tcase_add_test(tc, second_link_replaces_the_first);
	tcase_add_test(tc, silent_peer_is_down_in_time);
	tcase_add_test(tc, peer_that_does_not_read_is_cut_off);
	tcase_add_test(tc, peer_that_does_not_read_holds_up_no_stop);
	return run_case("pr", tc);
}
