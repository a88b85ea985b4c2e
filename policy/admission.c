#include "policy/admission.h"

#include <float.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "policy/admission_capacity.h"

static const int64_t target_us[DOC_CLASSES] = {
	[DOC_SHORT] = QUEUE_TARGET_SHORT_MS * USEC_PER_MSEC,
	[DOC_LONG] = QUEUE_TARGET_LONG_MS * USEC_PER_MSEC,
};

/*
 * Longest wait of a queue that stands above its target. Short waits keep
 * the answers that are given useful; the refused caller can go elsewhere.
 */
static int64_t max_shedding_wait_us(enum doc_class class_)
{
	return QUEUE_SHED_FACTOR * target_us[class_];
}

/* Customers and services. */

void admission_init(struct admission *rq, const struct admission_ops *ops,
		    int64_t now_us)
{
	memset(rq, 0, sizeof(*rq));
	rq->ops = ops;
	list_init(&rq->customers);
	list_init(&rq->services);
	list_init(&rq->running);
	rq->window_start_us = now_us;
	rq->last_expiry_us = now_us;
	rq->classes[DOC_SHORT].mean_us =
		QUEUE_SHORT_LIMIT_MS * USEC_PER_MSEC / 10;
	rq->classes[DOC_LONG].mean_us = QUEUE_SHORT_LIMIT_MS * USEC_PER_MSEC;
}

/* Frees customers and services; no item may be left. */
void admission_finish(struct admission *rq)
{
	struct admission_customer *customer, *c_tmp;
	struct admission_service *service, *s_tmp;

	list_for_each_entry_safe(customer, c_tmp, &rq->customers, node)
		free(customer);
	list_for_each_entry_safe(service, s_tmp, &rq->services, node)
		free(service);
	list_init(&rq->customers);
	list_init(&rq->services);
}

struct admission_customer *admission_customer_find(struct admission *rq,
						   const char *name)
{
	struct admission_customer *customer;

	list_for_each_entry(customer, &rq->customers, node)
		if (strcmp(customer->name, name) == 0)
			return customer;
	return NULL;
}

/* Adds a customer or changes its weight. */
struct admission_customer *admission_customer_set(struct admission *rq,
						  const char *name, int weight)
{
	struct admission_customer *customer = admission_customer_find(rq, name);
	int i;

	if (!customer) {
		customer = calloc(1, sizeof(*customer));
		snprintf(customer->name, sizeof(customer->name), "%s", name);
		for (i = 0; i < DOC_CLASSES; i++)
			list_init(&customer->lines[i].items);
		list_add_tail(&customer->node, &rq->customers);
	}
	customer->weight = weight > 0 ? weight : 1;
	customer->removed = false;
	return customer;
}

static void customer_unref(struct admission_customer *customer)
{
	if (--customer->refs > 0 || !customer->removed)
		return;
	list_del(&customer->node);
	free(customer);
}

static void unlink_waiting(struct admission *rq, struct admission_item *item)
{
	list_del(&item->node);
	item->customer->lines[item->class_].waiting--;
	rq->classes[item->class_].waiting--;
	rq->waiting--;
}

static void refuse(struct admission *rq, struct admission_item *item, int code)
{
	struct admission_customer *customer = item->customer;

	unlink_waiting(rq, item);
	item->customer = NULL;
	customer_unref(customer);
	rq->ops->refuse(rq, item, code);
}

/* Refuses the customer's waiting work; its running work ends by itself. */
void admission_customer_remove(struct admission *rq,
			       struct admission_customer *customer)
{
	struct admission_item *item, *tmp;
	int i;

	customer->removed = true;
	customer->refs++;
	for (i = 0; i < DOC_CLASSES; i++)
		list_for_each_entry_safe(item, tmp, &customer->lines[i].items,
					 node)
			refuse(rq, item, CB_E_CUSTOMER_REMOVED);
	customer_unref(customer);
}

/* Finds a service; the declared class counts until runs were observed. */
struct admission_service *admission_service_get(struct admission *rq,
						const char *name,
						enum doc_class declared,
						int short_limit_ms)
{
	struct admission_service *service;

	if (short_limit_ms <= 0)
		short_limit_ms = QUEUE_SHORT_LIMIT_MS;
	list_for_each_entry(service, &rq->services, node) {
		if (strcmp(service->name, name) != 0)
			continue;
		service->short_limit_us = short_limit_ms * USEC_PER_MSEC;
		return service;
	}
	service = calloc(1, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->class_ = declared;
	service->over = declared == DOC_LONG ? 1024 : 0;
	service->short_limit_us = short_limit_ms * USEC_PER_MSEC;
	list_add_tail(&service->node, &rq->services);
	return service;
}

/* Waiting. */

static bool waits(const struct admission_customer *customer)
{
	return customer->lines[DOC_SHORT].waiting > 0 ||
	       customer->lines[DOC_LONG].waiting > 0;
}

/*
 * Idle time is not saved up: a customer without waiting work joins level
 * with the one that is furthest behind. Use of slots that nobody waited
 * for is free: the accounts are cleared when the whole queue is empty.
 */
static void join(struct admission *rq, struct admission_customer *customer)
{
	struct admission_customer *other;
	bool found = false;
	double level = 0;

	if (waits(customer))
		return;
	if (rq->waiting == 0) {
		list_for_each_entry(other, &rq->customers, node)
			other->served = 0;
		return;
	}
	list_for_each_entry(other, &rq->customers, node)
		if (waits(other) && (!found || other->served < level)) {
			level = other->served;
			found = true;
		}
	if (found && customer->served < level)
		customer->served = level;
}

/*
 * Adds a request. Returns CB_OK, or the code to refuse it with; a refused
 * item is not linked. declared_long lets a caller take the long class for
 * work of a short service, never the reverse.
 */
int admission_enqueue(struct admission *rq, struct admission_item *item,
		      struct admission_customer *customer,
		      struct admission_service *service, bool declared_long,
		      int64_t deadline_us, int64_t now_us)
{
	enum doc_class class_ = declared_long ? DOC_LONG : service->class_;
	struct admission_queue *line = &customer->lines[class_];
	struct admission_class *cls = &rq->classes[class_];
	int64_t wait;

	admission_capacity_measure(rq, now_us);
	cls->arrived_us += cls->mean_us;
	if (customer->removed)
		return CB_E_CUSTOMER_REMOVED;
	if (rq->waiting >= REQ_WAITING_MAX)
		return CB_E_QUEUE_FULL;
	wait = admission_expected_wait(rq, customer, class_);
	if (now_us + wait >= deadline_us)
		return CB_E_DEADLINE;
	if (line->shedding && wait > max_shedding_wait_us(class_))
		return CB_E_OVERLOADED;
	memset(item, 0, sizeof(*item));
	item->customer = customer;
	item->service = service;
	item->class_ = class_;
	item->arrived_us = now_us;
	item->deadline_us = deadline_us;
	join(rq, customer);
	list_add_tail(&item->node, &line->items);
	line->waiting++;
	cls->waiting++;
	rq->waiting++;
	customer->refs++;
	return CB_OK;
}

/* Takes a waiting item out, without calling refuse(). */
void admission_cancel(struct admission *rq, struct admission_item *item)
{
	struct admission_customer *customer = item->customer;

	unlink_waiting(rq, item);
	item->customer = NULL;
	customer_unref(customer);
}

/* Starting. */

/* CoDel: the line stands above target for an interval, or it does not. */
static void update_shedding(struct admission_queue *line, enum doc_class class_,
			    int64_t wait_us, int64_t now_us)
{
	if (wait_us < target_us[class_]) {
		line->above_since_us = 0;
		line->shedding = false;
	} else if (line->above_since_us == 0) {
		line->above_since_us = now_us;
	} else if (now_us - line->above_since_us >=
		   QUEUE_INTERVAL_MS * USEC_PER_MSEC) {
		line->shedding = true;
	}
}

/* Returns the first item worth starting, after refusing those that are not. */
static struct admission_item *first_admissible(struct admission *rq,
					       struct admission_queue *line,
					       enum doc_class class_,
					       int64_t now_us)
{
	struct admission_item *item;
	int64_t wait;

	while (line->waiting > 0) {
		item = list_first_entry(&line->items, struct admission_item,
					node);
		wait = now_us - item->arrived_us;
		update_shedding(line, class_, wait, now_us);
		if (now_us >= item->deadline_us)
			refuse(rq, item, CB_E_DEADLINE);
		else if (line->shedding && wait > max_shedding_wait_us(class_))
			refuse(rq, item, CB_E_OVERLOADED);
		else
			return item;
	}
	return NULL;
}

/*
 * Chooses the customer that is furthest behind its share. The account
 * covers both classes: one that gets little short work done because it
 * asks for little makes up for it with long work.
 */
static struct admission_item *next_item(struct admission *rq,
					enum doc_class class_, int64_t now_us)
{
	struct admission_customer *customer, *best;
	struct admission_item *item;

	while (rq->classes[class_].waiting > 0) {
		best = NULL;
		list_for_each_entry(customer, &rq->customers, node)
			if (customer->lines[class_].waiting > 0 &&
			    (!best || customer->served < best->served))
				best = customer;
		item = first_admissible(rq, &best->lines[class_], class_,
					now_us);
		if (item)
			return item;
	}
	return NULL;
}

static void start(struct admission *rq, struct admission_item *item,
		  int64_t now_us)
{
	struct admission_queue *line = &item->customer->lines[item->class_];
	struct admission_class *cls = &rq->classes[item->class_];

	unlink_waiting(rq, item);
	item->charged_us = cls->mean_us;
	item->customer->served +=
		(double)item->charged_us / item->customer->weight;
	line->running++;
	item->running = true;
	item->started_us = now_us;
	item->run_class = item->class_;
	cls->running++;
	list_add_tail(&item->node, &rq->running);
}

/*
 * Returns the class in which a customer waits that is further behind its
 * share, by more than the allowed lag, than any that waits in the other
 * class; DOC_CLASSES when there is none. Stragglers of short work count as
 * long and can fill all that short work leaves, so without this a customer
 * with long work would get less than its share while short work of others
 * takes more than theirs; and the reverse where long work fills the slots.
 */
static enum doc_class underserved_class(const struct admission *rq)
{
	const struct admission_customer *customer;
	double least[DOC_CLASSES] = { DBL_MAX, DBL_MAX }, lag;
	int64_t weights = 0;
	int i;

	if (rq->classes[DOC_SHORT].waiting == 0 ||
	    rq->classes[DOC_LONG].waiting == 0)
		return DOC_CLASSES;
	list_for_each_entry(customer, &rq->customers, node) {
		weights += customer->weight;
		for (i = 0; i < DOC_CLASSES; i++)
			if (customer->lines[i].waiting > 0 &&
			    customer->served < least[i])
				least[i] = customer->served;
	}
	lag = (double)QUEUE_SHARE_LAG_MS * USEC_PER_MSEC * rq->slots /
	      (weights > 0 ? weights : 1);
	if (least[DOC_LONG] + lag < least[DOC_SHORT])
		return DOC_LONG;
	if (least[DOC_SHORT] + lag < least[DOC_LONG])
		return DOC_SHORT;
	return DOC_CLASSES;
}

/* Chooses the class of the next item; DOC_CLASSES for none. */
static enum doc_class next_class(const struct admission *rq)
{
	const struct admission_class *shorts = &rq->classes[DOC_SHORT];
	const struct admission_class *longs = &rq->classes[DOC_LONG];
	bool long_allowed = longs->waiting > 0 &&
			    longs->running < admission_capacity_long_slots(rq);

	enum doc_class owed = underserved_class(rq);

	if (owed == DOC_LONG &&
	    longs->running < admission_capacity_max_long_slots(rq))
		return DOC_LONG;
	if (shorts->waiting > 0 &&
	    (owed == DOC_SHORT || !long_allowed ||
	     shorts->running < admission_reserved_slots(rq)))
		return DOC_SHORT;
	return long_allowed ? DOC_LONG : DOC_CLASSES;
}

/*
 * Returns the next item to start, already counted as running, or NULL.
 * Short work goes first up to its reserved slots, then long work up to the
 * rest, and short work may use what long work leaves. A customer that is
 * owed its share goes before that, up to the least reserve.
 */
struct admission_item *admission_dequeue(struct admission *rq, int free_slots,
					 int slots, int64_t now_us)
{
	struct admission_item *item = NULL;
	enum doc_class class_;

	rq->slots = slots;
	admission_capacity_measure(rq, now_us);
	while (free_slots > 0 && !item) {
		class_ = next_class(rq);
		if (class_ == DOC_CLASSES)
			return NULL;
		item = next_item(rq, class_, now_us);
	}
	if (item)
		start(rq, item, now_us);
	return item;
}

static void stop_running(struct admission *rq, struct admission_item *item)
{
	list_del(&item->node);
	item->running = false;
	item->customer->lines[item->class_].running--;
	rq->classes[item->run_class].running--;
}

/* Returns a taken item to the head of its line, for a retry. */
void admission_requeue(struct admission *rq, struct admission_item *item)
{
	struct admission_queue *line = &item->customer->lines[item->class_];

	stop_running(rq, item);
	item->customer->served -=
		(double)item->charged_us / item->customer->weight;
	list_add(&item->node, &line->items);
	line->waiting++;
	rq->classes[item->class_].waiting++;
	rq->waiting++;
}

/*
 * Ends a running item and corrects the customer's account to the slot time
 * that was really used. whole tells that the run time is the work's own.
 */
void admission_done(struct admission *rq, struct admission_item *item,
		    bool whole, int64_t now_us)
{
	struct admission_customer *customer = item->customer;
	int64_t run_us = now_us - item->started_us;

	stop_running(rq, item);
	customer->served +=
		(double)(run_us - item->charged_us) / customer->weight;
	if (whole)
		admission_capacity_learn(rq, item, run_us);
	item->customer = NULL;
	customer_unref(customer);
}

/*
 * Charges slot time beyond what was expected while it is used: a few
 * stragglers can hold most slots for seconds before any of them ends.
 * Short work that overruns its limit counts as long from here on.
 */
static void charge_running(struct admission *rq, struct admission_item *item,
			   int64_t now_us)
{
	int64_t run_us = now_us - item->started_us;

	if (run_us > item->charged_us) {
		item->customer->served += (double)(run_us - item->charged_us) /
					  item->customer->weight;
		item->charged_us = run_us;
	}
	if (item->run_class == DOC_SHORT &&
	    run_us > item->service->short_limit_us) {
		item->run_class = DOC_LONG;
		rq->classes[DOC_SHORT].running--;
		rq->classes[DOC_LONG].running++;
	}
}

static void refuse_expired(struct admission *rq, int64_t now_us)
{
	struct admission_customer *customer, *c_tmp;
	struct admission_item *item, *tmp;
	int i;

	list_for_each_entry_safe(customer, c_tmp, &rq->customers, node) {
		customer->refs++;
		for (i = 0; i < DOC_CLASSES; i++)
			list_for_each_entry_safe(
				item, tmp, &customer->lines[i].items, node)
				if (now_us >= item->deadline_us)
					refuse(rq, item, CB_E_DEADLINE);
		customer_unref(customer);
	}
}

/*
 * Keeps account of running work and refuses expired work. Looking through
 * 10,000 waiting requests every 10 ms took half a core, so that is done
 * once in QUEUE_EXPIRE_MS; what is taken is always checked.
 */
void admission_tick(struct admission *rq, int64_t now_us)
{
	struct admission_item *item;

	admission_capacity_measure(rq, now_us);
	list_for_each_entry(item, &rq->running, node)
		charge_running(rq, item, now_us);
	if (now_us - rq->last_expiry_us < QUEUE_EXPIRE_MS * USEC_PER_MSEC)
		return;
	rq->last_expiry_us = now_us;
	refuse_expired(rq, now_us);
}
