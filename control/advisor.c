#include "control/advisor.h"

#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"

void advisor_init(struct advisor *advisor, struct advice_client *client,
		  struct ctr_set *counters, void (*changed)(void *user),
		  void *user)
{
	memset(advisor, 0, sizeof(*advisor));
	advisor->client = client;
	advisor->changed = changed;
	advisor->user = user;
	ctr_init(&advisor->requests, counters, CTR_COUNTER,
		 "chivebank_advice_questions_total", NULL,
		 "Questions to the advice service");
	ctr_init(&advisor->answer_ms, counters, CTR_HISTOGRAM,
		 "chivebank_advice_ms", NULL,
		 "Time from a question to the advice service to its answer");
}

void advisor_close(struct advisor *advisor)
{
	if (advisor->call_pending)
		advisor->client->ops->cancel(advisor->client, &advisor->call);
	advisor->call_pending = false;
	advisor->fleet = NULL;
}

void advisor_finish(struct advisor *advisor)
{
	advisor_close(advisor);
	if (advisor->client)
		advisor->client->ops->finish(advisor->client);
	ctr_finish(&advisor->requests);
	ctr_finish(&advisor->answer_ms);
}

void advisor_open(struct advisor *advisor, struct fleet *fleet)
{
	advisor->fleet = fleet;
}

static struct stage *requested_stage(const struct advisor *advisor)
{
	struct job *job = fleet_job(advisor->fleet, advisor->step.job);

	return job ? job_stage(job, advisor->step.occurrence,
			       advisor->step.step) :
		     NULL;
}

static void on_answer(struct advice_call *call)
{
	struct advisor *advisor = call->user;
	struct stage *stage;
	size_t i;

	advisor->call_pending = false;
	ctr_observe(&advisor->answer_ms,
		    (uint64_t)(kn_now_us() - advisor->sent_us) / 1000);
	log_info("advice.answer",
		 "job=%s step=%d result=%d granted=%zu valid_ms=%lld",
		 advisor->step.job, advisor->step.step, call->result,
		 call->ngrants, (long long)call->valid_ms);
	stage = requested_stage(advisor);
	for (i = 0; stage && i < call->ngrants; i++)
		advice_granted(stage, call->grants[i].worker,
			       call->grants[i].ticket, advisor->sent_us,
			       call->valid_ms);
	if (stage)
		advice_answered(stage, call->result == CB_OK);
	if (call->ngrants > 0)
		advisor->changed(advisor->user);
}

static void send_request(struct advisor *advisor, struct stage *stage,
			 const GPtrArray *workers, int64_t now_us)
{
	const char *ids[ADVICE_WORKERS_MAX];
	char name[160];
	guint i;

	for (i = 0; i < workers->len; i++) {
		const struct worker *worker = g_ptr_array_index(workers, i);

		ids[i] = worker->reported.id;
	}
	g_strlcpy(advisor->step.job, stage->job->id, sizeof(advisor->step.job));
	advisor->step.occurrence = stage->occurrence;
	advisor->step.step = stage->step;
	snprintf(name, sizeof(name), "%s.%d.%d", stage->job->id,
		 stage->occurrence, stage->step);
	advice_asked(stage, workers, now_us);
	advisor->call.done = on_answer;
	advisor->call.user = advisor;
	advisor->call_pending = true;
	advisor->sent_us = now_us;
	ctr_add(&advisor->requests, 1);
	advisor->client->ops->request(advisor->client, &advisor->call, name,
				      ids, workers->len);
}

void advisor_run(struct advisor *advisor, int64_t now_us)
{
	GPtrArray *workers;
	struct stage *stage;

	if (!advisor->client || !advisor->fleet || advisor->call_pending)
		return;
	workers = g_ptr_array_new();
	stage = advice_next_question(advisor->fleet, now_us, workers);
	if (stage)
		send_request(advisor, stage, workers, now_us);
	g_ptr_array_unref(workers);
}
