/*
 * Small jobs of two steps come at a steady rate. A crowd then sends 2.6 times as many for 6 s;
 * after a while, jobs come that can't begin. Callers ask how many jobs wait.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "review/act.h"

#define BATCH 7
#define BATCH_MS 70 /* 100 jobs a second */
#define CROWD_BATCH_MS 27 /* 2.6 times as many */
#define BEFORE_MS 3000
#define CROWD_MS 6000
#define HOPELESS_MS 1500 /* after the crowd began */
#define AFTER_MS 3000
#define WAITING_JOBS 40
/* visible_ms and 2 s, by the rule. */
#define KNOWN_MS 5000
#define ASK_MS 200
/* 4 ms of the store, and 8 ms one way between regions. */
#define STORE_MS 20

static const char config[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"load\",\"host\":\"127.0.0.1\",\"prefix\":\"/jobs/\","
	"\"slo_ms\":1000,\"prio\":1,\"svc\":\"pool\",\"attempts\":3,"
	"\"stretch\":3},"
	"{\"name\":\"other\",\"host\":\"127.0.0.1\",\"prefix\":\"/other/\","
	"\"slo_ms\":1000,\"prio\":2,\"svc\":\"pool\",\"attempts\":3,"
	"\"stretch\":3}],"
	"\"svcs\":[{\"name\":\"pool\"}],\"limits\":{},\"tenants\":[{"
	"\"name\":\"one\",\"api_keys\":[\"" ACT_KEY "\"]}]}";

static int jobs, accepted;

/* Hands a batch of jobs in. */
static void submit(struct act *act, const char *prefix, int first, int count,
		   const char *body)
{
	struct act_call calls[BATCH];
	int i;

	for (i = 0; i < count; i++) {
		char path[64];

		snprintf(path, sizeof(path), "%s%016x", prefix, first + i);
		act_begin(act, &calls[i], i % act->nhosts, "POST", path, body);
	}
	for (i = 0; i < count; i++) {
		while (!calls[i].ended)
			act_run_ms(act, 1);
		accepted += calls[i].status == 200;
	}
}

/* A batch of jobs, and the rest of its time. */
static void submit_batch(struct act *act, bool crowd)
{
	int64_t until = act_ms(act) + (crowd ? CROWD_BATCH_MS : BATCH_MS);
	char body[256];
	int ms = 200 + jobs * 37 % 400;

	snprintf(body, sizeof(body),
		 "{\"spec\":\"ms=%d gpus=0\",\"steps\":["
		 "{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"est_ms\":%d},"
		 "{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"est_ms\":%d,"
		 "\"after\":[0]}]}",
		 ms, ms, ms);
	submit(act, "/jobs/", 0x10000 + jobs, BATCH, body);
	jobs += BATCH;
	act_run_ms(act, MAX(until - act_ms(act), 0));
}

static void run(struct act *act, bool crowd, int64_t ms)
{
	int64_t until = act_ms(act) + ms;

	while (act_ms(act) < until)
		submit_batch(act, crowd);
}

/* They need more accelerators than any worker has, and can't begin. */
static void submit_hopeless(struct act *act)
{
	int i;

	accepted = 0;
	for (i = 0; i < WAITING_JOBS; i += BATCH)
		submit(act, "/other/", 0x9000 + i, MIN(BATCH, WAITING_JOBS - i),
		       "{\"spec\":\"ms=1000 gpus=9\",\"steps\":[{\"count\":1,"
		       "\"cpu\":1000,\"mem_mb\":10,\"gpu\":9,"
		       "\"est_ms\":1000}]}");
	if (accepted < WAITING_JOBS)
		act_give_up(act, "not all jobs were accepted");
	act_note(act, "%d jobs are accepted that can't begin", accepted);
}

/* Asks all hosts. Returns how many told under half of the waiting jobs. */
static int ask(struct act *act, bool judge)
{
	int i, wrong = 0;

	for (i = 0; i < act->nhosts; i++) {
		struct act_call call =
			act_call(act, i, "GET", "/other/", NULL);
		const char *at = strstr(call.body, "\"waiting\":");
		int told = at ? atoi(at + 10) : -1;

		act_note(act, "%s GET /other/ -> %d waiting=%d; %d jobs, "
			      "%llu starts",
			 act->hosts[i].name, call.status, told, jobs,
			 (unsigned long long)act->fleet->starts);
		if (call.status == 200 && judge && 2 * told < WAITING_JOBS) {
			wrong++;
			act_break(act, "MIXED",
				  "waiting is under half of the jobs that "
				  "were accepted over 5 s before and have "
				  "not begun");
		}
	}
	return wrong;
}

int main(int argc, char **argv)
{
	bool crowd = act_trouble();
	struct act act;
	int64_t known, until;
	int asked = 0, wrong = 0;

	if (argc < 3)
		return ACT_NOT_RUN;
	act_start(&act, argv, 3, 8, 8, STORE_MS, config);
	act.quiet = true;
	run(&act, false, BEFORE_MS);
	act_note(&act, "%d of %d jobs are accepted%s", accepted, jobs,
		 crowd ? ", the crowd comes" : "");
	until = act_ms(&act) + CROWD_MS;
	run(&act, crowd, HOPELESS_MS);
	submit_hopeless(&act);
	known = act_ms(&act) + KNOWN_MS;
	while (act_ms(&act) < until + AFTER_MS) {
		bool judge = act_ms(&act) >= known;

		run(&act, crowd && act_ms(&act) < until, ASK_MS);
		wrong += ask(&act, judge);
		asked += judge ? act.nhosts : 0;
	}
	act_note(&act, "asked=%d wrong=%d", asked, wrong);
	return act_end(&act);
}
