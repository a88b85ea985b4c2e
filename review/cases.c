#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"
#include "review/stage.h"
#include "tests/standins/sr_proc.h"

#define ONE_TASK(ms, extra)                                             \
	"{\"spec\":\"ms=" ms "\",\"steps\":[{\"count\":1,\"cpu\":8000," \
	"\"mem_mb\":1024,\"gpu\":1,\"est_ms\":" ms extra "}]}"

/*
 * The workers of one kind, a third of all, are cut off once from the entry
 * hosts while they have tasks. Jobs that need this kind come afterwards.
 */
static void workers_cut(struct stage *stage)
{
	static const char job[] = ONE_TASK("2000", ",\"required_label\":\"b\"");
	struct stage_worker *worker;
	bool began = false;
	char state[200];
	int i, step;

	stage_init(stage, 3, 12, 16000);
	for (i = 0; i < 4; i++)
		g_strlcpy(stage->workers[i].kind, "b",
			  sizeof(stage->workers[i].kind));
	stage_start(stage);
	stage_submit(stage, 0, "5c0e7a21d94b3600",
		     "{\"spec\":\"ms=6000\",\"steps\":[{\"count\":8,"
		     "\"cpu\":8000,\"mem_mb\":1024,\"gpu\":1,"
		     "\"est_ms\":6000,\"required_label\":\"b\"}]}");
	stage_run_ms(stage, 3000);
	if (stage->trouble)
		stage_say(stage, "trouble: 4 of 12 workers are cut off from "
				 "all entry hosts for 11.5 s");
	for (i = 0; i < 4; i++) {
		worker = &stage->workers[i];
		worker->cut = stage->trouble;
		if (stage->trouble)
			link_set(worker->link, LINK_CUT);
	}
	stage_run_ms(stage, 11500);
	if (stage->trouble)
		stage_say(stage, "trouble ends");
	for (i = 0; i < 4; i++) {
		stage->workers[i].cut = false;
		if (stage->trouble)
			link_set(stage->workers[i].link, LINK_OPEN);
	}
	stage_run_ms(stage, 4000);
	stage_submit(stage, 1, "5c0e7a21d94b3601", job);
	/* finish_s and 3 s more */
	for (step = 0; step < 170; step++) {
		stage_run_ms(stage, 100);
		for (i = 0; i < stage->nworkers; i++)
			if (worker_running(&stage->workers[i],
					   "5c0e7a21d94b3601"))
				began = true;
	}
	stage_state(stage, 2, "5c0e7a21d94b3600", state, sizeof(state));
	stage_state(stage, 2, "5c0e7a21d94b3601", state, sizeof(state));
	for (i = 0; i < stage->nworkers; i++)
		stage_say(stage, "%s kind %s runs %d tasks",
			  stage->workers[i].id, stage->workers[i].kind,
			  worker_running(&stage->workers[i], NULL));
	if (!began && !strstr(state, "done"))
		stage_broken(
			stage, "LOST",
			"an accepted job has had nothing running for 17 s, "
			"with four idle workers that may run it");
}

/*
 * One worker ends more tasks than it lists at a time while the store is down.
 */
static void many_ends(struct stage *stage)
{
	char id[20], body[300];
	int i, most = 0;

	stage_init(stage, 3, 1, 128000);
	stage_start(stage);
	/* 1,200 tasks of a tenth of a core and of 12 s fill the worker. */
	for (i = 0; i < 3; i++) {
		snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", i);
		snprintf(body, sizeof(body),
			 "{\"spec\":\"ms=12000\",\"steps\":[{\"count\":400,"
			 "\"cpu\":100,\"mem_mb\":64,\"est_ms\":12000}]}");
		stage_submit(stage, i, id, body);
	}
	for (i = 0; i < 120; i++) {
		stage_run_ms(stage, 100);
		most = MAX(most, worker_running(&stage->workers[0], NULL));
	}
	stage_say(stage, "most tasks at work at a time: %d", most);
	if (stage->trouble) {
		stage_say(stage, "trouble: the store is down for 4.5 s");
		stage->store_down = true;
		site_store_fault(stage->store, -1, SITE_SILENT, 0, 0);
	}
	stage_run_ms(stage, 4500);
	if (stage->trouble) {
		stage_say(stage, "trouble ends");
		site_store_fault(stage->store, -1, SITE_WELL, 0, 0);
		stage->store_down = false;
	}
	stage_run_ms(stage, 30000);
	for (i = 0; i < 3; i++) {
		char state[200];

		snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", i);
		stage_state(stage, i, id, state, sizeof(state));
	}
}

/*
 * A worker that drains is cut off, with its connections refused, and works on.
 */
static void drain_refused(struct stage *stage)
{
	struct stage_worker *worker;
	int i;

	stage_init(stage, 3, 9, 16000);
	stage_start(stage);
	stage_submit(stage, 0, "5c0e7a21d94b36f8",
		     "{\"spec\":\"ms=14000\",\"steps\":[{\"count\":12,"
		     "\"cpu\":8000,\"mem_mb\":1024,\"gpu\":1,"
		     "\"est_ms\":14000}]}");
	stage_run_ms(stage, 6000);
	worker = &stage->workers[0];
	for (i = 0; i < stage->nworkers; i++) {
		stage_say(stage, "%s runs %d tasks", stage->workers[i].id,
			  worker_running(&stage->workers[i], NULL));
		if (worker_running(&stage->workers[i], NULL) > 0)
			worker = &stage->workers[i];
	}
	/* It serves on for some seconds, as the page allows. */
	stage_say(stage, "plan: %s drains", worker->id);
	worker->draining = true;
	worker->drained_us = kn_now_us() + 12 * USEC_PER_SEC;
	worker_write_entry(worker);
	stage_run_ms(stage, 300);
	if (stage->trouble) {
		stage_say(stage, "trouble: %s is cut off for 5.5 s",
			  worker->id);
		worker->silent_store = true;
		link_set(worker->link, LINK_REFUSED);
	}
	stage_run_ms(stage, 5500);
	if (stage->trouble) {
		stage_say(stage, "trouble ends");
		worker->silent_store = false;
		link_set(worker->link, LINK_OPEN);
	}
	stage_run_ms(stage, 20000);
}

#define ZONE_CUT_MS 11900

/*
 * The leader's data centre is cut off with workers in it; the host that takes
 * over is stopped as planned, and a third one follows.
 */
static void zone_cut(struct stage *stage)
{
	struct stage_worker *worker;
	int64_t cut_us = 0;
	int i, first, second;

	stage_init(stage, 3, 12, 16000);
	stage_start(stage);
	stage_submit(stage, 0, "5c0e7a21d94b36f8",
		     "{\"spec\":\"ms=24000\",\"steps\":[{\"count\":16,"
		     "\"cpu\":8000,\"mem_mb\":1024,\"gpu\":1,"
		     "\"est_ms\":24000}]}");
	stage_run_ms(stage, 3000);
	first = stage_leader(stage);
	for (i = 0; i < stage->nworkers; i++)
		stage_say(stage, "%s in %s runs %d tasks", stage->workers[i].id,
			  stage->workers[i].zone,
			  worker_running(&stage->workers[i], NULL));
	if (stage->trouble) {
		int64_t fence;

		cut_us = kn_now_us();
		fence = site_store_get(stage->store, "chivebank/leader")
				->revision;

		stage_say(stage,
			  "trouble: data centre %s is cut off, with "
			  "%s and its workers",
			  stage->hosts[first].zone, stage->hosts[first].name);
		site_store_fault(stage->store, stage->hosts[first].door,
				 SITE_SILENT, 0, 0);
		for (i = 0; i < stage->nhosts; i++)
			link_set(stage->hosts[i].link,
				 i == first ? LINK_CUT : LINK_NO_STORE);
		for (i = 0; i < stage->nworkers; i++) {
			worker = &stage->workers[i];
			/* The leader of before the cut reaches only workers in
			 * its data centre, later ones only the others. */
			if (strcmp(worker->zone, stage->hosts[first].zone)) {
				worker->fence_below = fence + 1;
				continue;
			}
			worker->silent_store = true;
			worker->fence_above = fence;
		}
		second = stage_wait_leader(stage, 8000, first);
		if (second < 0)
			stage_abort(stage, "no other host was elected");
	} else {
		second = (first + 1) % stage->nhosts;
	}
	stage_run_ms(stage, 150);
	stage_say(stage, "plan: SIGTERM for %s", stage->hosts[second].name);
	sr_proc_signal(stage->hosts[second].proc, SIGTERM);
	if (stage->trouble)
		stage_run_ms(stage,
			     ZONE_CUT_MS - (kn_now_us() - cut_us) / 1000);
	else
		stage_run_ms(stage, 8000);
	if (stage->trouble) {
		stage_say(stage, "trouble ends");
		site_store_fault(stage->store, stage->hosts[first].door,
				 SITE_WELL, 0, 0);
		for (i = 0; i < stage->nhosts; i++)
			link_set(stage->hosts[i].link, LINK_OPEN);
		for (i = 0; i < stage->nworkers; i++) {
			stage->workers[i].silent_store = false;
			stage->workers[i].fence_above = 0;
			stage->workers[i].fence_below = 0;
		}
	}
	stage_run_ms(stage, 10000);
}

/* A schedule whose occurrences of two weeks are due when it is handed in. */
static void long_schedule(struct stage *stage)
{
	GString *body = g_string_new(NULL);
	int64_t now_ms = kn_wall_us() / USEC_PER_MSEC;
	char state[200];
	int i, started = 0;

	stage_init(stage, 3, 6, 128000);
	stage_start(stage);
	g_string_append(body, "{\"spec\":\"ms=500\",\"steps\":[");
	for (i = 0; i < 8; i++) {
		g_string_append_printf(body,
				       "%s{\"count\":1,\"cpu\":1000,"
				       "\"mem_mb\":256,\"est_ms\":500",
				       i ? "," : "");
		if (i)
			g_string_append_printf(body, ",\"after\":[%d]", i - 1);
		g_string_append_c(body, '}');
	}
	g_string_append_printf(
		body,
		"],\"times\":20000,\"first_ms\":%lld,\"interval_ms\":60000}",
		(long long)(now_ms -
			    (stage->trouble ? 20000 * 60000LL : 30000LL)));
	stage_submit(stage, 0, "5c0e7a21d94b3600",
		     "{\"spec\":\"ms=500\",\"steps\":[{\"count\":2,"
		     "\"cpu\":1000,\"mem_mb\":256,\"est_ms\":500}]}");
	stage_run_ms(stage, 2000);
	stage_state(stage, 0, "5c0e7a21d94b3600", state, sizeof(state));
	stage_submit(stage, 0, "5c0e7a21d94b36f8", body->str);
	stage_run_ms(stage, 3000);
	stage_submit(stage, 1, "5c0e7a21d94b3601",
		     "{\"spec\":\"ms=500\",\"steps\":[{\"count\":2,"
		     "\"cpu\":1000,\"mem_mb\":256,\"est_ms\":500}]}");
	for (i = 0; i < 20; i++) {
		stage_run_ms(stage, 1000);
		stage_state(stage, i % 3, "5c0e7a21d94b3601", state,
			    sizeof(state));
		started |= strstr(state, "done") != NULL;
	}
	for (i = 0; i < stage->nworkers; i++)
		stage_say(stage, "%s runs %d tasks", stage->workers[i].id,
			  worker_running(&stage->workers[i], NULL));
	if (!started)
		stage_broken(stage, "LOST",
			     "an accepted job has nothing running for 20 s, "
			     "with the workers' room free");
	g_string_free(body, TRUE);
}

#define LOST_MS 4500

/*
 * Jobs queue up behind full workers while answers of the store are lost and
 * the writes are carried out late; more come just after.
 */
static void late_count(struct stage *stage)
{
	static const char job[] =
		"{\"spec\":\"ms=1000\",\"steps\":[{\"count\":1,"
		"\"cpu\":8000,\"mem_mb\":1024,\"gpu\":1,"
		"\"est_ms\":1000}]}";
	char state[200];
	int i, host, told;

	stage_init(stage, 3, 6, 16000);
	stage_start(stage);
	stage_submit(stage, 0, "5c0e7a21d94b3600",
		     "{\"spec\":\"ms=90000\",\"steps\":[{\"count\":12,"
		     "\"cpu\":8000,\"mem_mb\":1024,\"gpu\":1,"
		     "\"est_ms\":90000}]}");
	stage_run_ms(stage, 2000);
	if (stage->trouble) {
		stage_say(stage, "trouble: a share .3 of the store's writes "
				 "is not answered and done 1 to 6 s later");
		stage->late_percent = 30;
		stage->late_until_us = kn_now_us() + LOST_MS * USEC_PER_MSEC;
	}
	for (i = 0; i < 8; i++) {
		stage_submit_many(stage, 1 + i, 1, job);
		stage_run_ms(stage, 460);
	}
	while (stage->trouble && kn_now_us() < stage->late_until_us)
		stage_run_ms(stage, 10);
	stage_say(stage, "trouble ends");
	stage_submit_many(stage, 9, 12, job);
	/* The last late writes and contact_ms; longer than visible_ms + 2 s. */
	stage_run_ms(stage, 10000);
	for (i = 0; i < 3; i++) {
		for (host = 0; host < stage->nhosts; host++) {
			stage_state(stage, host, "", state, sizeof(state));
			told = strstr(state, "waiting\":") ?
				       atoi(strstr(state, "waiting\":") + 9) :
				       -1;
			if (told >= 0 && told < 10)
				stage_broken(stage, "MIXED",
					     "%s says that %d jobs wait, while "
					     "20 accepted ones have not begun",
					     stage->hosts[host].name, told);
		}
		stage_run_ms(stage, 1000);
	}
}

/*
 * A worker starts while its time of day is 2 s ahead, and again under its id
 * after the time was set back.
 */
static void earlier_born(struct stage *stage)
{
	static const char job[] =
		"{\"spec\":\"ms=300\",\"steps\":[{\"count\":4,\"cpu\":4000,"
		"\"mem_mb\":256,\"gpu\":1,\"est_ms\":300,"
		"\"required_label\":\"b\"}]}";
	struct stage_worker *worker;

	stage_init(stage, 3, 4, 16000);
	worker = &stage->workers[0];
	g_strlcpy(worker->kind, "b", sizeof(worker->kind));
	stage_start(stage);
	worker_crash(worker);
	stage_run_ms(stage, 300);
	worker->wall_skew_ms = stage->trouble ? 2000 : 0;
	worker_restart(worker);
	stage_run_ms(stage, 100);
	stage_submit(stage, 0, "5c0e7a21d94b3600", job);
	stage_run_ms(stage, 900);
	worker->wall_skew_ms = 0;
	worker_crash(worker);
	stage_run_ms(stage, 200);
	worker_restart(worker);
	stage_run_ms(stage, 1500);
	stage_submit(stage, 0, "5c0e7a21d94b3601", job);
	stage_run_ms(stage, 8000);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(struct stage *stage);
	} cases[] = {
		{ "workers-cut", workers_cut },
		{ "many-ends", many_ends },
		{ "drain-refused", drain_refused },
		{ "zone-cut", zone_cut },
		{ "late-count", late_count },
		{ "earlier-born", earlier_born },
		{ "long-schedule", long_schedule },
	};
	static struct stage stage;
	size_t i;

	for (i = 0; argc > 1 && i < G_N_ELEMENTS(cases); i++) {
		if (strcmp(cases[i].name, argv[1]) != 0)
			continue;
		cases[i].run(&stage);
		return stage_end(&stage);
	}
	return 2;
}
