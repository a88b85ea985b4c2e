#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/err.h"
#include "base/kn.h"
#include "cli/cli.h"
#include "cli/timeline.h"
#include "daemon/admin/api.h"
#include "daemon/document/document.h"
#include "daemon/store.h"
#include "daemon/svc.h"

/* Time line. */

static void read_log(struct tl *tl, const char *text)
{
	FILE *file = fmemopen((char *)text, strlen(text), "r");

	tl_read(tl, file);
	fclose(file);
}

/* Names of the events in order, joined by blanks. */
static char *order(const struct tl *tl)
{
	GString *out = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < tl->events->len; i++)
		g_string_append_printf(
			out, "%s%s", i ? " " : "",
			g_array_index(tl->events, struct tl_event, i).name);
	return g_string_free(out, FALSE);
}

/*
 * Host b's clock is 5 s ahead of a's, and c is measured by b only; c's wall
 * clock is then set back by 60 s.
 */
static const char log_a[] =
	"T chivebankd[1]: level=info dc=p host=a event=a.first inc=1 seq=1 "
	"mono_us=1000 wall_us=1000001000 x=1\n"
	"T chivebankd[1]: level=info dc=p host=a event=peer.clock inc=1 seq=2 "
	"mono_us=2000 wall_us=1000002000 peer=b offset_us=4000000 rtt_us=9000\n"
	"T chivebankd[1]: level=info dc=p host=a event=peer.clock inc=1 seq=3 "
	"mono_us=3000 wall_us=1000003000 peer=b offset_us=5000000 rtt_us=200\n"
	"T chivebankd[1]: level=info dc=p host=a event=a.last inc=1 seq=4 "
	"mono_us=9000 wall_us=1000009000 \n"
	"T chivebankd[1]: level=info dc=p host=a event=not.an.event n=1\n";
static const char log_b[] =
	"T chivebankd[2]: level=info dc=p host=b event=b.early inc=2 seq=1 "
	"mono_us=500 wall_us=1005000500 \n"
	"T chivebankd[2]: level=info dc=p host=b event=peer.clock inc=2 seq=2 "
	"mono_us=4000 wall_us=1005004000 peer=c offset_us=-7000000 "
	"rtt_us=300\n";
static const char log_c[] =
	"T chivebankd[3]: level=info dc=p host=c event=c.one inc=3 seq=1 "
	"mono_us=5000 wall_us=998005000 \n"
	"T chivebankd[3]: level=info dc=p host=c event=c.two inc=3 seq=2 "
	"mono_us=6000 wall_us=938006000 \n";

/* Guards against an order that follows wrong or stepped wall clocks. */
START_TEST(timeline_corrects_clocks)
{
	struct tl tl;
	char *names;

	tl_init(&tl);
	read_log(&tl, log_a);
	read_log(&tl, log_b);
	read_log(&tl, log_c);
	tl_merge(&tl);
	names = order(&tl);
	ck_assert_str_eq(names, "b.early a.first peer.clock peer.clock "
				"peer.clock c.one c.two a.last");
	ck_assert_uint_eq(tl.ignored, 1);
	ck_assert_int_eq(g_array_index(tl.hosts, struct tl_host, 2).offset_us,
			 -2000000);
	ck_assert_int_eq(g_array_index(tl.hosts, struct tl_host, 2).error_us,
			 250);
	g_free(names);
	tl_finish(&tl);
}
END_TEST

/* Commands. */

static struct kn kn;
static struct set set;
static struct kn_task *api;
static struct kn_timer tick;
static char *addr;

/* A command line that runs on a thread of its own. */
struct run {
	char **argv;
	char *out;
	char *err;
	int status;
	int done;
};

static void on_tick(struct kn_timer *timer)
{
	kn_timer_set(&kn, timer, USEC_PER_MSEC, on_tick);
}

static void setup(void)
{
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, "root", -1);
	struct kv *kv;

	memset(&set, 0, sizeof(set));
	strcpy(set.host, "h0");
	strcpy(set.dc, "p");
	strcpy(set.admin.addr, "127.0.0.1");
	strcpy(set.admin_token_sha256, hash);
	g_free(hash);
	set.store_memory = true;
	ck_assert(kn_init(&kn, NULL));
	kn_handle_signals(&kn);
	kv = store_new(&kn, &set);
	document_new(&kn, &set, kv, 1);
	api = api_new(&kn, &set);
	ck_assert(kn_start(&kn, NULL));
	on_tick(&tick);
	addr = g_strdup_printf("127.0.0.1:1,127.0.0.1:%d", api_port(api));
}

static void teardown(void)
{
	kn_timer_cancel(&tick);
	kn_finish(&kn);
	g_free(addr);
}

static void *run_cli(void *data)
{
	struct run *run = data;
	size_t out_len, err_len;
	FILE *out = open_memstream(&run->out, &out_len);
	FILE *err = open_memstream(&run->err, &err_len);

	run->status =
		cli_main((int)g_strv_length(run->argv), run->argv, out, err);
	fclose(out);
	fclose(err);
	g_atomic_int_set(&run->done, 1);
	return NULL;
}

/* Runs "chivebank --addr ... --token root ..." against the API. */
static void command(const char *line, int status, const char *out,
		    const char *err)
{
	char *full = g_strdup_printf("chivebank --addr %s --token root %s",
				     addr, line);
	struct run run = { .argv = g_strsplit(full, " ", -1) };
	char **argv = g_memdup2(run.argv,
				(g_strv_length(run.argv) + 1) * sizeof(*argv));
	GThread *thread = g_thread_new("cli", run_cli, &run);

	while (!g_atomic_int_get(&run.done))
		kn_turn(&kn);
	g_thread_join(thread);
	ck_assert_msg(run.status == status, "%s: status %d, not %d: %s", line,
		      run.status, status, run.err);
	ck_assert_msg(!out || strstr(run.out, out), "%s: \"%s\" not in: %s",
		      line, out, run.out);
	ck_assert_msg(!err || strstr(run.err, err), "%s: \"%s\" not in: %s",
		      line, err, run.err);
	free(run.out);
	free(run.err);
	/* The command line may have replaced words of its vector. */
	g_strfreev(argv);
	g_free(run.argv);
	g_free(full);
}

static char *write_file(const char *text)
{
	char *name = g_strdup("/tmp/test_cliXXXXXX");
	int fd = g_mkstemp(name);

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	return name;
}

/*
 * Guards against commands that build wrong calls, lose the code of an error
 * in the exit status, or give up at an address where nobody answers.
 */
START_TEST(commands_reach_the_api)
{
	char *pool = write_file("{\"workers\": [{\"name\": \"w\", \"addr\": "
				"\"127.0.0.1\", \"port\": 1, \"rack\": 0, "
				"\"accelerators\": 8}]}");
	char *bad = write_file("{\"customer/x\": {\"weight\": 0}}");
	char *line;

	command("document get", 0, "SECTION", "127.0.0.1:1");
	line = g_strdup_printf("section put pool/p %s", pool);
	command(line, 0, "revision 1", NULL);
	command(line, cb_result_exit(CB_E_CONFLICT), NULL, "402");
	g_free(line);
	command("customer create a --weight 5 --guarantee p:worker:1", 0,
		"revision 2", NULL);
	command("customer set a --quota 3 --on-removal stop", 0, "revision 3",
		NULL);
	command("customer list", 0, "stop", NULL);
	command("--json section get customer/a", 0, "\"weight\": 5", NULL);
	command("customer set a --guarantee p:worker:2",
		cb_result_exit(CB_E_CHECK_FAILED), NULL, "pool/p");
	command("customer set a --guarantee p:worker",
		cb_result_exit(CB_E_USAGE), NULL, "DC:UNIT:COUNT");
	command("customer set nobody --weight 1",
		cb_result_exit(CB_E_NO_SECTION), NULL, "customer/nobody");
	command("document revert customer/a 2 --base 3", 0, "revision 4", NULL);
	command("document diff 2 3", 0, "quota_accelerators", NULL);
	command("document history --limit 1", 0, "customer/a", NULL);
	line = g_strdup_printf("document check %s", bad);
	command(line, cb_result_exit(CB_E_CHECK_FAILED), NULL, "1 to 1000");
	g_free(line);
	command("section delete pool/p --base 1",
		cb_result_exit(CB_E_CHECK_FAILED), NULL, "customer/a");
	command("customer remove a", 0, "revision 5", NULL);
	command("counters", 0, "chivebank_document_revision", NULL);
	command("events --limit 1", 0, "SEQ", NULL);
	command("ticket", cb_result_exit(CB_E_BAD_REQUEST), NULL, "count");
	command("job list", cb_result_exit(CB_E_UNKNOWN_PATH), NULL,
		"scheduler");
	command("no such", cb_result_exit(CB_E_USAGE), NULL, "--help");
	/* Help for a group that leads to no command, or to a wrong one. */
	command("section --help", 0, "section put SECTION FILE", NULL);
	command("job --help", 0, "job wait ID", NULL);
	command("section", cb_result_exit(CB_E_USAGE), NULL, "section delete");
	command("job lst", cb_result_exit(CB_E_USAGE), NULL,
		"no such command: job lst");
	command("sektion put", cb_result_exit(CB_E_USAGE), NULL,
		"nearest is \"section\"");
	command("tikets", cb_result_exit(CB_E_USAGE), NULL,
		"nearest is \"ticket\"");
	unlink(pool);
	unlink(bad);
	g_free(pool);
	g_free(bad);
}
END_TEST

static void unknown_receive(struct kn_task *task, struct kn_msg *msg)
{
	svc_api_fail(container_of(msg, struct svc_api_call, msg), task,
		     CB_E_CHANGE_UNKNOWN, "stopped");
}

static const struct kn_task_ops unknown_ops = { .receive = unknown_receive };

/* Without the key the same job would be submitted twice. */
START_TEST(submission_that_a_stop_left_unknown_tells_its_key)
{
	char *job = write_file("{}"), *line;
	struct kn_task scheduler = { 0 };

	kn_add(&kn, &scheduler, SVC_SCHEDULER, &unknown_ops);
	line = g_strdup_printf("job submit %s", job);
	command(line, cb_result_exit(CB_E_CHANGE_UNKNOWN), NULL,
		"repeat with --key");
	list_del(&scheduler.node);
	g_free(line);
	unlink(job);
	g_free(job);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cli");
	TCase *tc = tcase_create("timeline"), *calls = tcase_create("commands");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tc, timeline_corrects_clocks);
	tcase_set_timeout(calls, 60);
	tcase_add_checked_fixture(calls, setup, teardown);
	tcase_add_test(calls, commands_reach_the_api);
	tcase_add_test(calls,
		       submission_that_a_stop_left_unknown_tells_its_key);
	suite_add_tcase(suite, tc);
	suite_add_tcase(suite, calls);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
