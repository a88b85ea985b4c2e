#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "tests/soak/soak.h"

/*
 * Callers that keep their connections open and use them until the process has
 * gone. They have a thread of their own, so that what they see does not wait
 * for the stand-ins. What they send follows from the seed.
 */

#define CALLERS_PER_HOST 4
#define CALLERS_MAX 600
#define CALLS_PER_SEC 1500 /* of all callers, while no host stops */
#define JOBS_PER_SEC 10 /* of all callers */
#define POLL_MS 2
#define RETRY_MS 30 /* after a connection was refused */
#define HALF_MS 1500 /* before another half request is sent */
#define LATE_MS 1000 /* after its deadline a call is given up */

struct caller {
	struct soak_host *host;
	int index;
	bool half; /* never finishes its requests */
	GRand *rand;
	int fd; /* -1: not connected */
	GString *out;
	size_t sent;
	GString *in;
	bool calling;
	char verb[8];
	int64_t sent_us; /* when its last byte was sent, 0: not yet */
	int64_t give_up_us;
	int64_t next_us;
	int64_t next_job_us;
	char job[20]; /* that it handed in last, empty: none */
	char asked[20]; /* that the call is about */
	bool accepted; /* and it was told so */
};

/* What the judge has to hear of. */
struct seen {
	struct soak_host *host;
	int64_t sent_us;
	int64_t ended_us;
	bool unknown; /* an accepted job is not known */
	char what[64];
};

static struct caller callers[CALLERS_MAX];
static int ncallers;
static GThread *thread;
static GMutex lock;
static GPtrArray *seen; /* struct seen, under lock */
static gint ending;
static gint answered;

static int below(struct caller *caller, int n)
{
	return g_rand_int_range(caller->rand, 0, n);
}

static void tell(struct caller *caller, bool unknown)
{
	struct seen *one = g_new0(struct seen, 1);

	one->host = caller->host;
	one->sent_us = caller->sent_us;
	one->ended_us = kn_now_us();
	one->unknown = unknown;
	snprintf(one->what, sizeof(one->what), "%s %s caller-%d", caller->verb,
		 caller->asked, caller->index);
	g_mutex_lock(&lock);
	g_ptr_array_add(seen, one);
	g_mutex_unlock(&lock);
}

/* Calls. */

static int any_deadline_ms(struct caller *caller)
{
	static const int deadlines_ms[] = { 500, 3000, 20000, 60000 };

	return deadlines_ms[below(caller, G_N_ELEMENTS(deadlines_ms))];
}

static void print_call(struct caller *caller, const char *verb, const char *job,
		       const char *body)
{
	int deadline_ms = any_deadline_ms(caller);

	g_strlcpy(caller->verb, verb, sizeof(caller->verb));
	g_strlcpy(caller->asked, job, sizeof(caller->asked));
	g_string_printf(caller->out,
			"%s /jobs/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			"Chivebank-Key: " SOAK_KEY "\r\n"
			"Chivebank-Deadline-Ms: %d\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			verb, job, deadline_ms, strlen(body), body);
	caller->give_up_us =
		kn_now_us() + (deadline_ms + LATE_MS) * USEC_PER_MSEC;
}

/* A new job now and then; the last one again and again, and its state. */
static void prepare(struct caller *caller)
{
	static const char body[] =
		"{\"spec\":\"ms=50 gpus=1\",\"steps\":[{\"count\":1,"
		"\"cpu\":100,\"mem_mb\":10,\"gpu\":1,\"est_ms\":50}]}";
	char other[20];
	int n = below(caller, 100);

	if (caller->half || !*caller->job ||
	    kn_now_us() >= caller->next_job_us) {
		snprintf(caller->job, sizeof(caller->job), "%08x%08x",
			 g_rand_int(caller->rand), g_rand_int(caller->rand));
		caller->accepted = false;
		caller->next_job_us =
			kn_now_us() + ncallers * USEC_PER_SEC / JOBS_PER_SEC;
		n = 0;
	}
	snprintf(other, sizeof(other), "%08x", g_rand_int(caller->rand));
	if (n < 40)
		print_call(caller, "POST", caller->job, body);
	else if (n < 80)
		print_call(caller, "GET", caller->job, "");
	else if (n < 90)
		print_call(caller, "GET", "", "");
	else
		print_call(caller, "DELETE", other, "");
	if (caller->half)
		g_string_truncate(
			caller->out,
			(gsize)(1 + below(caller, (int)caller->out->len - 1)));
}

/* Connections. */

static void disconnect(struct caller *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
	caller->calling = false;
}

static void try_later(struct caller *caller, int ms)
{
	disconnect(caller);
	caller->next_us = kn_now_us() + ms * USEC_PER_MSEC;
}

static bool connect_caller(struct caller *caller)
{
	const struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)caller->host->callers_port),
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	int on = 1;

	caller->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (caller->fd < 0)
		return false;
	setsockopt(caller->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return connect(caller->fd, (const struct sockaddr *)&addr,
		       sizeof(addr)) == 0 ||
	       errno == EINPROGRESS;
}

static void send_rest(struct caller *caller)
{
	ssize_t n = send(caller->fd, caller->out->str + caller->sent,
			 caller->out->len - caller->sent, MSG_NOSIGNAL);

	if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return;
	if (n < 0) {
		/* Not sent whole: no one has to answer it. */
		try_later(caller, RETRY_MS);
		return;
	}
	caller->sent += (size_t)n;
	if (caller->sent == caller->out->len)
		caller->sent_us = kn_now_us();
}

static void begin(struct caller *caller)
{
	if (caller->fd < 0 && !connect_caller(caller)) {
		try_later(caller, RETRY_MS);
		return;
	}
	prepare(caller);
	g_string_truncate(caller->in, 0);
	caller->calling = true;
	caller->sent = 0;
	caller->sent_us = 0;
	send_rest(caller);
}

/* Length of the whole answer, 0: not known yet. */
static size_t answer_len(const GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	const char *length = strcasestr(in->str, "\r\nContent-Length:");

	if (!end)
		return 0;
	return (size_t)(end + 4 - in->str) +
	       (length && length < end ?
			strtoul(length + strlen("\r\nContent-Length:"), NULL,
				10) :
			0);
}

static void on_answer(struct caller *caller)
{
	int status = atoi(caller->in->str + strlen("HTTP/1.1 "));
	bool ours = strcmp(caller->asked, caller->job) == 0;

	g_atomic_int_inc(&answered);
	if (ours && strcmp(caller->verb, "POST") == 0 && status == 200)
		caller->accepted = true;
	if (ours && caller->accepted && status == 410)
		tell(caller, true);
	caller->calling = false;
	if (strcasestr(caller->in->str, "\r\nConnection: close"))
		disconnect(caller);
	caller->next_us = kn_now_us();
	/* Also while the host stops, the next call follows at once. */
	if (!caller->host->term_us && below(caller, 2))
		caller->next_us +=
			below(caller, 4 * 1000 * ncallers / CALLS_PER_SEC + 1) *
			USEC_PER_MSEC;
}

static void on_end(struct caller *caller)
{
	if (caller->calling && caller->sent_us && !caller->half)
		tell(caller, false);
	try_later(caller, caller->half ? HALF_MS : 0);
}

static void receive(struct caller *caller)
{
	char buf[4096];
	ssize_t n = recv(caller->fd, buf, sizeof(buf), 0);
	size_t len;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0 && !caller->sent_us) {
		try_later(caller, RETRY_MS);
		return;
	}
	if (n <= 0) {
		on_end(caller);
		return;
	}
	g_string_append_len(caller->in, buf, n);
	len = answer_len(caller->in);
	if (caller->half)
		try_later(caller, HALF_MS);
	else if (caller->calling && len && caller->in->len >= len)
		on_answer(caller);
}

/* The thread. */

static void step_caller(struct caller *caller, short events)
{
	if (caller->fd >= 0 && (events & (POLLIN | POLLERR | POLLHUP)))
		receive(caller);
	if (caller->calling && !caller->sent_us && (events & POLLOUT))
		send_rest(caller);
	if (caller->calling && !caller->half &&
	    kn_now_us() > caller->give_up_us)
		try_later(caller, 0);
	if (!caller->calling && kn_now_us() >= caller->next_us)
		begin(caller);
}

static gpointer run_callers(gpointer data)
{
	static struct pollfd fds[CALLERS_MAX];
	int i;

	while (!g_atomic_int_get(&ending)) {
		for (i = 0; i < ncallers; i++) {
			fds[i].fd = callers[i].fd;
			fds[i].events = POLLIN;
			if (callers[i].calling && !callers[i].sent_us)
				fds[i].events |= POLLOUT;
			fds[i].revents = 0;
		}
		poll(fds, (nfds_t)ncallers, POLL_MS);
		for (i = 0; i < ncallers; i++)
			step_caller(&callers[i], fds[i].revents);
	}
	return NULL;
}

void soak_callers_start(struct soak *soak)
{
	int hosts = soak->options.hosts, i;
	int each = CLAMP(CALLERS_MAX / hosts, 1, CALLERS_PER_HOST);

	seen = g_ptr_array_new_with_free_func(g_free);
	ncallers = hosts * each;
	for (i = 0; i < ncallers; i++) {
		struct caller *caller = &callers[i];

		caller->host = &soak->hosts[i % hosts];
		caller->index = i;
		caller->half = each > 1 && i / hosts == each - 1;
		caller->rand = g_rand_new_with_seed(g_rand_int(soak->rand));
		caller->fd = -1;
		caller->out = g_string_new(NULL);
		caller->in = g_string_new(NULL);
	}
	thread = g_thread_new("callers", run_callers, NULL);
}

void soak_callers_step(struct soak *soak)
{
	guint i;

	if (!seen)
		return;
	g_mutex_lock(&lock);
	for (i = 0; i < seen->len; i++) {
		const struct seen *one = g_ptr_array_index(seen, i);

		if (one->unknown)
			soak_violated(soak, "LOST", one->what,
				      "an accepted job is not known");
		else
			soak_judge_cut(soak, one->host, one->sent_us,
				       one->ended_us, one->what);
	}
	g_ptr_array_set_size(seen, 0);
	g_mutex_unlock(&lock);
}

void soak_callers_stop(struct soak *soak)
{
	int i;

	if (!thread)
		return;
	g_atomic_int_set(&ending, 1);
	g_thread_join(thread);
	thread = NULL;
	soak_callers_step(soak);
	soak->calls = (uint64_t)g_atomic_int_get(&answered);
	for (i = 0; i < ncallers; i++) {
		disconnect(&callers[i]);
		g_rand_free(callers[i].rand);
		g_string_free(callers[i].out, TRUE);
		g_string_free(callers[i].in, TRUE);
	}
	g_ptr_array_free(seen, TRUE);
	seen = NULL;
}
