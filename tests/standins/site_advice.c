#include "tests/standins/site_advice.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/limits.h"
#include "tests/standins/site_reply.h"

struct site_question {
	struct list_head node;
	struct hs_request *req;
	json_t *body;
};

char *site_advice_ticket(const struct site_worker *worker, const char *step)
{
	return g_strdup_printf("%s-%lld-%s", worker->id,
			       (long long)worker->born_ms, step);
}

static void question_free(struct site_question *question)
{
	list_del(&question->node);
	json_decref(question->body);
	g_free(question);
}

static json_t *answer_to(struct site_advice *advice, const json_t *body)
{
	const char *step = json_string_value(json_object_get(body, "step"));
	json_t *granted = json_array();
	struct site_worker *worker;
	json_t *id;
	size_t i;

	json_array_foreach(json_object_get(body, "workers"), i, id) {
		list_for_each_entry(worker, &advice->fleet->workers, node) {
			char *ticket;

			if (!worker->allowed ||
			    strcmp(worker->id, json_string_value(id)) != 0)
				continue;
			ticket = site_advice_ticket(worker, step);
			json_array_append_new(
				granted,
				json_pack("[s,s]", worker->id, ticket));
			g_free(ticket);
		}
	}
	return json_pack("{s:o,s:i}", "granted", granted, "valid_ms",
			 SITE_ADVICE_VALID_MS);
}

static void answer_first(struct site_advice *advice);

static void on_decided(struct kn_timer *timer)
{
	struct site_advice *advice =
		container_of(timer, struct site_advice, timer);
	struct site_question *question =
		list_first_entry(&advice->waiting, struct site_question, node);

	site_reply(question->req, 200, answer_to(advice, question->body));
	question_free(question);
	answer_first(advice);
}

static void answer_first(struct site_advice *advice)
{
	const struct site_question *question;
	size_t workers;

	if (list_empty(&advice->waiting) || kn_timer_pending(&advice->timer))
		return;
	question =
		list_first_entry(&advice->waiting, struct site_question, node);
	workers = json_array_size(json_object_get(question->body, "workers"));
	kn_timer_set(advice->server.kn, &advice->timer,
		     (SITE_ADVICE_DECIDE_MS +
		      SITE_ADVICE_EACH_MS * (int64_t)workers) *
			     USEC_PER_MSEC,
		     on_decided);
}

static void on_request(struct hs_server *server, struct hs_request *req)
{
	struct site_advice *advice =
		container_of(server, struct site_advice, server);
	struct site_question *question = g_new0(struct site_question, 1);
	size_t workers;

	question->req = req;
	question->body = json_loadb((char *)req->body, req->body_len, 0, NULL);
	workers = json_array_size(json_object_get(question->body, "workers"));
	advice->questions++;
	advice->largest = MAX(advice->largest, workers);
	list_add_tail(&question->node, &advice->waiting);
	answer_first(advice);
}

static void on_gone(struct hs_server *server, struct hs_request *req)
{
	struct site_advice *advice =
		container_of(server, struct site_advice, server);
	struct site_question *question, *next;

	list_for_each_entry_safe(question, next, &advice->waiting, node)
		if (question->req == req)
			question_free(question);
	if (list_empty(&advice->waiting))
		kn_timer_cancel(&advice->timer);
}

static const struct hs_ops advice_ops = {
	.request = on_request,
	.gone = on_gone,
};

struct site_advice *site_advice_new(struct kn *kn, struct site_fleet *fleet)
{
	struct site_advice *advice = g_new0(struct site_advice, 1);

	advice->fleet = fleet;
	list_init(&advice->waiting);
	if (!hs_init(&advice->server, kn, &advice_ops, "127.0.0.1", 0, NULL))
		abort();
	return advice;
}

void site_advice_free(struct site_advice *advice)
{
	struct site_question *question, *next;

	kn_timer_cancel(&advice->timer);
	hs_finish(&advice->server);
	list_for_each_entry_safe(question, next, &advice->waiting, node)
		question_free(question);
	g_free(advice);
}
