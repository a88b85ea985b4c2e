/*
 * An urgent job under its customer's guarantee needs the room of two workers.
 * Three have a batch task that may be stopped, three a task of a serving step
 * of which one may be missing at a time.
 */
#include <stdio.h>
#include <string.h>

#include "review/act.h"

#define SERVING 3
#define MAY_MISS 1
#define SERVING_ID "00000000000000b1"

static const char config[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"batch\",\"host\":\"127.0.0.1\",\"prefix\":\"/jobs/\","
	"\"slo_ms\":1000,\"prio\":2,\"svc\":\"pool\",\"attempts\":3,"
	"\"stretch\":3},"
	"{\"name\":\"serving\",\"host\":\"127.0.0.1\",\"prefix\":\"/serving/\","
	"\"slo_ms\":1000,\"prio\":1,\"svc\":\"pool\",\"attempts\":3,"
	"\"stretch\":3},"
	"{\"name\":\"urgent\",\"host\":\"127.0.0.1\",\"prefix\":\"/urgent/\","
	"\"slo_ms\":1000,\"prio\":0,\"svc\":\"pool\",\"attempts\":3,"
	"\"stretch\":3}],"
	"\"svcs\":[{\"name\":\"pool\"}],\"limits\":{},\"tenants\":[{"
	"\"name\":\"one\",\"api_keys\":[\"" ACT_KEY "\"],"
	"\"guaranteed\":{\"gpu\":16}}]}";

static const char batch[] =
	"{\"spec\":\"ms=60000 gpus=8\",\"steps\":[{\"count\":3,\"cpu\":8000,"
	"\"mem_mb\":1000,\"gpu\":8,\"est_ms\":60000}]}";
static const char serving[] =
	"{\"spec\":\"ms=500 gpus=8 lasting=1\",\"steps\":[{\"count\":3,"
	"\"cpu\":8000,\"mem_mb\":1000,\"gpu\":8,\"est_ms\":500,"
	"\"long_running\":true,\"may_miss\":1}]}";
static const char urgent[] =
	"{\"spec\":\"ms=2000 gpus=8\",\"steps\":[{\"count\":2,\"cpu\":8000,"
	"\"mem_mb\":1000,\"gpu\":8,\"est_ms\":2000}]}";

/* Whether a task of the serving step is at work: its percent is 100. */
static bool at_work(struct act *act, int index)
{
	struct site_run *run;
	char name[40];

	snprintf(name, sizeof(name), SERVING_ID ".0.0.%d", index);
	run = act_run_of(act, name);
	return run && run->worked_us >= run->ms * USEC_PER_MSEC;
}

/* Watches the serving step; a task that was stopped counts as away until it is
 * at work again. */
static void watch(struct act *act, int64_t ms)
{
	int64_t until = act_ms(act) + ms;
	bool worked[SERVING], works;
	int i, away, least = SERVING;

	for (i = 0; i < SERVING; i++)
		worked[i] = at_work(act, i);
	while (act_ms(act) < until) {
		act_run_ms(act, 5);
		away = 0;
		for (i = 0; i < SERVING; i++)
			away += !at_work(act, i);
		least = MIN(least, SERVING - away);
		for (i = 0; i < SERVING; i++) {
			works = at_work(act, i);
			/* The task itself is not among the others. */
			if (worked[i] && !works && away - 1 >= MAY_MISS)
				act_break(act, "AVAIL",
					  "a task of the serving step was "
					  "ended while another one is away, "
					  "may_miss is 1");
			worked[i] = works;
		}
	}
	act_note(act, "at least %d of %d serving tasks were at work", least,
		 SERVING);
}

int main(int argc, char **argv)
{
	struct act act;
	int i;

	if (argc < 3)
		return ACT_NOT_RUN;
	act_start(&act, argv, 3, 6, 8, 4, config);
	act_call(&act, 0, "POST", "/jobs/00000000000000a1", batch);
	act_run_ms(&act, 8000);
	act_call(&act, 1, "POST", "/serving/" SERVING_ID, serving);
	act_run_ms(&act, 4000);
	for (i = 0; i < SERVING; i++)
		if (!at_work(&act, i))
			act_give_up(&act, "the serving step is not at work");
	if (act_trouble())
		act_call(&act, 2, "POST", "/urgent/00000000000000c1", urgent);
	watch(&act, 8000);
	return act_end(&act);
}
