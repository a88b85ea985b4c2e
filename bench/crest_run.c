#include "bench/crest.h"

#include <string.h>

#include "base/err.h"
#include "policy/admission.h"
#include "policy/routing.h"

#define SHORT_LIMIT_MS 20 /* of the service sections */

/* Slots, common to all runs. */

struct run {
	struct crest_load *load;
	struct crest_heap ends;
	int busy;
	int busy_long; /* long work and stragglers */
};

static void run_init(struct run *run, struct crest_load *load)
{
	size_t i;

	memset(run, 0, sizeof(*run));
	run->load = load;
	crest_heap_init(&run->ends);
	for (i = 0; i < load->n; i++) {
		load->reqs[i].fate = CREST_WAITING;
		load->reqs[i].behind_us = 0;
	}
}

static bool holds_long(const struct crest_req *req)
{
	return req->class_ == DOC_LONG || req->straggler;
}

/* Starts a request; cut tells whether it ends at its deadline. */
static void run_start(struct run *run, size_t i, bool cut, int64_t now_us)
{
	struct crest_req *req = &run->load->reqs[i];
	int64_t end_us = now_us + req->run_us;

	if (cut && end_us > req->deadline_us)
		end_us = req->deadline_us;
	req->fate = CREST_RUNNING;
	req->start_us = now_us;
	req->behind_us =
		(double)(now_us - req->at_us) * run->busy_long / CREST_SLOTS;
	run->busy++;
	run->busy_long += holds_long(req);
	crest_heap_push(&run->ends, end_us, i);
}

static void run_end(struct run *run, size_t i, int64_t now_us)
{
	struct crest_req *req = &run->load->reqs[i];

	req->fate = CREST_ENDED;
	req->end_us = now_us;
	run->busy--;
	run->busy_long -= holds_long(req);
}

/* Single first-come queue. */

/*
 * One queue in order of arrival over all slots. CREST_FIFO knows no
 * deadlines; CREST_FIFO_DROPS refuses expired work when its turn comes and
 * cuts work off at its deadline, as the policy run does.
 */
void crest_run_fifo(struct crest_load *load, enum crest_baseline kind)
{
	bool drops = kind == CREST_FIFO_DROPS;
	struct crest_event event;
	struct run run;
	size_t arrived = 0, head = 0;
	int64_t now;

	run_init(&run, load);
	for (;;) {
		bool ends = crest_heap_peek(&run.ends, &event);

		if (arrived < load->n &&
		    (!ends || load->reqs[arrived].at_us <= event.at_us)) {
			now = load->reqs[arrived++].at_us;
		} else if (ends) {
			now = event.at_us;
			crest_heap_pop(&run.ends);
			run_end(&run, event.req, now);
		} else {
			break;
		}
		while (head < arrived && run.busy < CREST_SLOTS) {
			struct crest_req *req = &load->reqs[head];

			if (drops && now >= req->deadline_us) {
				req->fate = CREST_REFUSED;
				req->end_us = now;
			} else {
				run_start(&run, head, drops, now);
			}
			head++;
		}
	}
	crest_heap_finish(&run.ends);
}

/* The decision modules. */

struct policy_run {
	struct run run;
	struct admission rq;
	struct admission_item *items;
	struct admission_customer *customers[CREST_CUSTOMERS];
	struct admission_service *services[DOC_CLASSES];
	struct routing_server servers[CREST_SERVERS];
	GRand *rand;
	int64_t now_us;
};

static void on_refuse(struct admission *rq, struct admission_item *item,
		      int code)
{
	struct policy_run *p =
		(struct policy_run *)((char *)rq -
				      offsetof(struct policy_run, rq));
	struct crest_req *req = &p->run.load->reqs[item - p->items];

	req->fate = CREST_REFUSED;
	req->end_us = p->now_us;
}

static void policy_arrive(struct policy_run *p, size_t i)
{
	struct crest_req *req = &p->run.load->reqs[i];
	int code = admission_enqueue(
		&p->rq, &p->items[i], p->customers[req->customer],
		p->services[req->class_], false, req->deadline_us, p->now_us);

	if (code == CB_OK)
		return;
	req->fate = CREST_REFUSED;
	req->end_us = p->now_us;
}

static void policy_start(struct policy_run *p)
{
	struct routing_server *usable[CREST_SERVERS], *chosen;
	struct admission_item *item;
	size_t n;
	int i;

	while ((item = admission_dequeue(&p->rq, CREST_SLOTS - p->run.busy,
					 CREST_SLOTS, p->now_us))) {
		for (i = 0, n = 0; i < CREST_SERVERS; i++)
			if (p->servers[i].in_flight < BACKEND_SLOTS)
				usable[n++] = &p->servers[i];
		chosen = routing_pick(usable, n, p->rand, p->now_us);
		routing_start(chosen);
		i = (int)(item - p->items);
		p->run.load->reqs[i].server = (int)(chosen - p->servers);
		run_start(&p->run, (size_t)i, true, p->now_us);
	}
}

static void policy_end(struct policy_run *p, size_t i)
{
	struct crest_req *req = &p->run.load->reqs[i];
	bool whole = req->start_us + req->run_us <= req->deadline_us;

	run_end(&p->run, i, p->now_us);
	routing_end(&p->servers[req->server],
		    whole ? p->now_us - req->start_us : 0, p->now_us);
	admission_done(&p->rq, &p->items[i], whole, p->now_us);
}

static void policy_init(struct policy_run *p, struct crest_load *load,
			guint32 seed)
{
	static const struct admission_ops ops = { .refuse = on_refuse };
	char name[16];
	int i;

	memset(p, 0, sizeof(*p));
	run_init(&p->run, load);
	admission_init(&p->rq, &ops, 0);
	p->items = g_new0(struct admission_item, load->n);
	p->rand = g_rand_new_with_seed(seed);
	for (i = 0; i < CREST_CUSTOMERS; i++) {
		g_snprintf(name, sizeof(name), "c%d", i);
		p->customers[i] =
			admission_customer_set(&p->rq, name, crest_weights[i]);
	}
	/* Both are declared short; the long one has to be learned. */
	p->services[DOC_SHORT] =
		admission_service_get(&p->rq, "s", DOC_SHORT, SHORT_LIMIT_MS);
	p->services[DOC_LONG] =
		admission_service_get(&p->rq, "l", DOC_SHORT, SHORT_LIMIT_MS);
}

/* Drives rq and rt by the same arrivals and run times. */
void crest_run_policy(struct crest_load *load, guint32 seed)
{
	const int64_t tick_us = 10 * USEC_PER_MSEC;
	struct policy_run p;
	struct crest_event event;
	int64_t tick = tick_us;
	size_t arrived = 0;

	policy_init(&p, load, seed);
	for (;;) {
		bool ends = crest_heap_peek(&p.run.ends, &event);
		int64_t next = ends ? event.at_us : INT64_MAX;

		if (arrived < load->n && load->reqs[arrived].at_us < next)
			next = load->reqs[arrived].at_us;
		if (next == INT64_MAX && p.rq.waiting == 0)
			break;
		if (tick <= next) {
			p.now_us = tick;
			tick += tick_us;
			admission_tick(&p.rq, p.now_us);
		} else if (ends && event.at_us == next) {
			p.now_us = next;
			crest_heap_pop(&p.run.ends);
			policy_end(&p, event.req);
		} else {
			p.now_us = next;
			policy_arrive(&p, arrived++);
		}
		policy_start(&p);
	}
	admission_finish(&p.rq);
	g_free(p.items);
	g_rand_free(p.rand);
	crest_heap_finish(&p.run.ends);
}
