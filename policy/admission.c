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
 * Maximum wait in a queue that is shedding load. A bounded wait lets the
 * requests that are served finish in time; refused callers can try another
 * host at once.
 */
static int64_t max_shedding_wait_us(enum doc_class class_)
{
	return QUEUE_SHED_FACTOR * target_us[class_];
}

/* Customers and services. */

void admission_init(struct admission *adm, const struct admission_ops *ops,
		    int64_t now_us)
{
	memset(adm, 0, sizeof(*adm));
	adm->ops = ops;
	list_init(&adm->customers);
	list_init(&adm->services);
	list_init(&adm->running);
	adm->window_start_us = now_us;
	adm->last_expiry_us = now_us;
	adm->classes[DOC_SHORT].mean_us =
		QUEUE_SHORT_LIMIT_MS * USEC_PER_MSEC / 10;
	adm->classes[DOC_LONG].mean_us = QUEUE_SHORT_LIMIT_MS * USEC_PER_MSEC;
}

/* Frees customers and services; no item may be waiting or running. */
void admission_finish(struct admission *adm)
{
	struct admission_customer *customer, *c_tmp;
	struct admission_service *service, *s_tmp;

	list_for_each_entry_safe(customer, c_tmp, &adm->customers, node)
		free(customer);
	list_for_each_entry_safe(service, s_tmp, &adm->services, node)
		free(service);
	list_init(&adm->customers);
	list_init(&adm->services);
}

struct admission_customer *admission_customer_find(struct admission *adm,
						   const char *name)
{
	struct admission_customer *customer;

	list_for_each_entry(customer, &adm->customers, node)
		if (strcmp(customer->name, name) == 0)
			return customer;
	return NULL;
}

/* Adds a customer or updates its weight. */
struct admission_customer *admission_customer_set(struct admission *adm,
						  const char *name, int weight)
{
	struct admission_customer *customer =
		admission_customer_find(adm, name);
	int i;

	if (!customer) {
		customer = calloc(1, sizeof(*customer));
		snprintf(customer->name, sizeof(customer->name), "%s", name);
		for (i = 0; i < DOC_CLASSES; i++)
			list_init(&customer->queues[i].items);
		list_add_tail(&customer->node, &adm->customers);
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

static void unlink_waiting(struct admission *adm, struct admission_item *item)
{
	list_del(&item->node);
	item->customer->queues[item->class_].waiting--;
	adm->classes[item->class_].waiting--;
	adm->waiting--;
}

static void refuse(struct admission *adm, struct admission_item *item, int code)
{
	struct admission_customer *customer = item->customer;

	unlink_waiting(adm, item);
	item->customer = NULL;
	customer_unref(customer);
	adm->ops->refuse(adm, item, code);
}

/*
 * Refuses the customer's waiting items. Running items are not interrupted;
 * the customer is freed when the last of them is done.
 */
void admission_customer_remove(struct admission *adm,
			       struct admission_customer *customer)
{
	struct admission_item *item, *tmp;
	int i;

	customer->removed = true;
	customer->refs++;
	for (i = 0; i < DOC_CLASSES; i++)
		list_for_each_entry_safe(item, tmp, &customer->queues[i].items,
					 node)
			refuse(adm, item, CB_E_CUSTOMER_REMOVED);
	customer_unref(customer);
}

/*
 * Finds or adds a service. The declared class applies until enough runs
 * have been observed.
 */
struct admission_service *admission_service_get(struct admission *adm,
						const char *name,
						enum doc_class declared,
						int short_limit_ms)
{
	struct admission_service *service;

	if (short_limit_ms <= 0)
		short_limit_ms = QUEUE_SHORT_LIMIT_MS;
	list_for_each_entry(service, &adm->services, node) {
		if (strcmp(service->name, name) != 0)
			continue;
		service->short_limit_us = short_limit_ms * USEC_PER_MSEC;
		return service;
	}
	service = calloc(1, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->class_ = declared;
	service->over_limit = declared == DOC_LONG ? 1024 : 0;
	service->short_limit_us = short_limit_ms * USEC_PER_MSEC;
	list_add_tail(&service->node, &adm->services);
	return service;
}

/* Enqueueing. */

static bool has_waiting(const struct admission_customer *customer)
{
	return customer->queues[DOC_SHORT].waiting > 0 ||
	       customer->queues[DOC_LONG].waiting > 0;
}

/*
 * Idle time earns no credit: a customer without waiting items starts at the
 * minimum virtual time of those that have some. Slots used while nobody
 * waited are not charged: all virtual times are reset when no item waits.
 */
static void catch_up(struct admission *adm, struct admission_customer *customer)
{
	struct admission_customer *other;
	bool found = false;
	double least = 0;

	if (has_waiting(customer))
		return;
	if (adm->waiting == 0) {
		list_for_each_entry(other, &adm->customers, node)
			other->virtual_time = 0;
		return;
	}
	list_for_each_entry(other, &adm->customers, node)
		if (has_waiting(other) &&
		    (!found || other->virtual_time < least)) {
			least = other->virtual_time;
			found = true;
		}
	if (found && customer->virtual_time < least)
		customer->virtual_time = least;
}

/*
 * Enqueues a request. Returns CB_OK, or the code to refuse it with; a
 * refused item is not linked. declared_long puts a request to a short
 * service into the long class; there is no way to do the reverse.
 */
int admission_enqueue(struct admission *adm, struct admission_item *item,
		      struct admission_customer *customer,
		      struct admission_service *service, bool declared_long,
		      int64_t deadline_us, int64_t now_us)
{
	enum doc_class class_ = declared_long ? DOC_LONG : service->class_;
	struct admission_queue *queue = &customer->queues[class_];
	struct admission_class *cls = &adm->classes[class_];
	int64_t wait;

	admission_capacity_update_demand(adm, now_us);
	cls->arrived_work_us += cls->mean_us;
	if (customer->removed)
		return CB_E_CUSTOMER_REMOVED;
	if (adm->waiting >= REQ_WAITING_MAX)
		return CB_E_QUEUE_FULL;
	wait = admission_expected_wait(adm, customer, class_);
	if (now_us + wait >= deadline_us)
		return CB_E_DEADLINE;
	if (queue->shedding && wait > max_shedding_wait_us(class_))
		return CB_E_OVERLOADED;
	memset(item, 0, sizeof(*item));
	item->customer = customer;
	item->service = service;
	item->class_ = class_;
	item->arrived_us = now_us;
	item->deadline_us = deadline_us;
	catch_up(adm, customer);
	list_add_tail(&item->node, &queue->items);
	queue->waiting++;
	cls->waiting++;
	adm->waiting++;
	customer->refs++;
	return CB_OK;
}

/* Removes a waiting item without calling refuse(). */
void admission_cancel(struct admission *adm, struct admission_item *item)
{
	struct admission_customer *customer = item->customer;

	unlink_waiting(adm, item);
	item->customer = NULL;
	customer_unref(customer);
}

/* Dequeueing. */

/*
 * CoDel: load is shed once waits have stayed above the target for a whole
 * interval, and until a wait is below the target again.
 */
static void update_shedding(struct admission_queue *queue,
			    enum doc_class class_, int64_t wait_us,
			    int64_t now_us)
{
	if (wait_us < target_us[class_]) {
		queue->above_since_us = 0;
		queue->shedding = false;
	} else if (queue->above_since_us == 0) {
		queue->above_since_us = now_us;
	} else if (now_us - queue->above_since_us >=
		   QUEUE_INTERVAL_MS * USEC_PER_MSEC) {
		queue->shedding = true;
	}
}

/*
 * Returns the first item that has not expired and is not shed; refuses the
 * items before it.
 */
static struct admission_item *first_admissible(struct admission *adm,
					       struct admission_queue *queue,
					       enum doc_class class_,
					       int64_t now_us)
{
	struct admission_item *item;
	int64_t wait;

	while (queue->waiting > 0) {
		item = list_first_entry(&queue->items, struct admission_item,
					node);
		wait = now_us - item->arrived_us;
		update_shedding(queue, class_, wait, now_us);
		if (now_us >= item->deadline_us)
			refuse(adm, item, CB_E_DEADLINE);
		else if (queue->shedding && wait > max_shedding_wait_us(class_))
			refuse(adm, item, CB_E_OVERLOADED);
		else
			return item;
	}
	return NULL;
}

/*
 * Returns the next item of the customer with the least virtual time. That
 * time covers both classes, so a customer that uses less than its share for
 * short work can use the rest for long work.
 */
static struct admission_item *next_item(struct admission *adm,
					enum doc_class class_, int64_t now_us)
{
	struct admission_customer *customer, *best;
	struct admission_item *item;

	while (adm->classes[class_].waiting > 0) {
		best = NULL;
		list_for_each_entry(customer, &adm->customers, node)
			if (customer->queues[class_].waiting > 0 &&
			    (!best ||
			     customer->virtual_time < best->virtual_time))
				best = customer;
		item = first_admissible(adm, &best->queues[class_], class_,
					now_us);
		if (item)
			return item;
	}
	return NULL;
}

static void start_item(struct admission *adm, struct admission_item *item,
		       int64_t now_us)
{
	struct admission_queue *queue = &item->customer->queues[item->class_];
	struct admission_class *cls = &adm->classes[item->class_];

	unlink_waiting(adm, item);
	item->charged_us = cls->mean_us;
	item->customer->virtual_time +=
		(double)item->charged_us / item->customer->weight;
	queue->running++;
	item->running = true;
	item->started_us = now_us;
	item->run_class = item->class_;
	cls->running++;
	list_add_tail(&item->node, &adm->running);
}

/*
 * Returns the class whose least virtual time is behind that of the other
 * class by more than the allowed lag, or DOC_CLASSES when there is none.
 * Short items that overrun count as long and can occupy every slot outside
 * the reserve, so without this check a customer with long work would get
 * less than its share while short work of others gets more than theirs.
 * The reverse happens when long work occupies the slots.
 */
static enum doc_class underserved_class(const struct admission *adm)
{
	const struct admission_customer *customer;
	double least[DOC_CLASSES] = { DBL_MAX, DBL_MAX }, lag;
	int64_t weights = 0;
	int i;

	if (adm->classes[DOC_SHORT].waiting == 0 ||
	    adm->classes[DOC_LONG].waiting == 0)
		return DOC_CLASSES;
	list_for_each_entry(customer, &adm->customers, node) {
		weights += customer->weight;
		for (i = 0; i < DOC_CLASSES; i++)
			if (customer->queues[i].waiting > 0 &&
			    customer->virtual_time < least[i])
				least[i] = customer->virtual_time;
	}
	lag = (double)QUEUE_SHARE_LAG_MS * USEC_PER_MSEC * adm->slots /
	      (weights > 0 ? weights : 1);
	if (least[DOC_LONG] + lag < least[DOC_SHORT])
		return DOC_LONG;
	if (least[DOC_SHORT] + lag < least[DOC_LONG])
		return DOC_SHORT;
	return DOC_CLASSES;
}

/* Returns the class of the next item, or DOC_CLASSES for none. */
static enum doc_class next_class(const struct admission *adm)
{
	const struct admission_class *shorts = &adm->classes[DOC_SHORT];
	const struct admission_class *longs = &adm->classes[DOC_LONG];
	bool long_allowed = longs->waiting > 0 &&
			    longs->running < admission_capacity_long_slots(adm);

	enum doc_class underserved = underserved_class(adm);

	if (underserved == DOC_LONG &&
	    longs->running < admission_capacity_max_long_slots(adm))
		return DOC_LONG;
	if (shorts->waiting > 0 &&
	    (underserved == DOC_SHORT || !long_allowed ||
	     shorts->running < admission_reserved_slots(adm)))
		return DOC_SHORT;
	return long_allowed ? DOC_LONG : DOC_CLASSES;
}

/*
 * Returns the next item to start, already counted as running, or NULL.
 * Short work goes first up to its reserved slots, then long work up to the
 * remaining slots; short work may also use slots that long work leaves
 * free. An underserved class has priority over this order, but long work
 * never uses the minimum reserve of short work.
 */
struct admission_item *admission_dequeue(struct admission *adm, int free_slots,
					 int slots, int64_t now_us)
{
	struct admission_item *item = NULL;
	enum doc_class class_;

	adm->slots = slots;
	admission_capacity_update_demand(adm, now_us);
	while (free_slots > 0 && !item) {
		class_ = next_class(adm);
		if (class_ == DOC_CLASSES)
			return NULL;
		item = next_item(adm, class_, now_us);
	}
	if (item)
		start_item(adm, item, now_us);
	return item;
}

static void stop_running(struct admission *adm, struct admission_item *item)
{
	list_del(&item->node);
	item->running = false;
	item->customer->queues[item->class_].running--;
	adm->classes[item->run_class].running--;
}

/* Returns a running item to the head of its queue, for a retry. */
void admission_requeue(struct admission *adm, struct admission_item *item)
{
	struct admission_queue *queue = &item->customer->queues[item->class_];

	stop_running(adm, item);
	item->customer->virtual_time -=
		(double)item->charged_us / item->customer->weight;
	list_add(&item->node, &queue->items);
	queue->waiting++;
	adm->classes[item->class_].waiting++;
	adm->waiting++;
}

/*
 * Ends a running item and corrects the customer's virtual time to the slot
 * time that was used. run_is_sample is true when the run time is that of
 * complete work, so that it can be used to estimate later runs.
 */
void admission_done(struct admission *adm, struct admission_item *item,
		    bool run_is_sample, int64_t now_us)
{
	struct admission_customer *customer = item->customer;
	int64_t run_us = now_us - item->started_us;

	stop_running(adm, item);
	customer->virtual_time +=
		(double)(run_us - item->charged_us) / customer->weight;
	if (run_is_sample)
		admission_capacity_add_run(adm, item, run_us);
	item->customer = NULL;
	customer_unref(customer);
}

/*
 * Charges slot time beyond the estimate while the item still runs: a few
 * stragglers can occupy most slots for seconds before any of them ends.
 * A short item that exceeds its limit counts as long from then on.
 */
static void charge_running(struct admission *adm, struct admission_item *item,
			   int64_t now_us)
{
	int64_t run_us = now_us - item->started_us;

	if (run_us > item->charged_us) {
		item->customer->virtual_time +=
			(double)(run_us - item->charged_us) /
			item->customer->weight;
		item->charged_us = run_us;
	}
	if (item->run_class == DOC_SHORT &&
	    run_us > item->service->short_limit_us) {
		item->run_class = DOC_LONG;
		adm->classes[DOC_SHORT].running--;
		adm->classes[DOC_LONG].running++;
	}
}

static void refuse_expired(struct admission *adm, int64_t now_us)
{
	struct admission_customer *customer, *c_tmp;
	struct admission_item *item, *tmp;
	int i;

	list_for_each_entry_safe(customer, c_tmp, &adm->customers, node) {
		customer->refs++;
		for (i = 0; i < DOC_CLASSES; i++)
			list_for_each_entry_safe(
				item, tmp, &customer->queues[i].items, node)
				if (now_us >= item->deadline_us)
					refuse(adm, item, CB_E_DEADLINE);
		customer_unref(customer);
	}
}

/*
 * Charges running items and refuses expired ones. Scanning 10,000 waiting
 * requests every 10 ms took half a core, so the scan runs only once in
 * QUEUE_EXPIRE_MS; the deadline is always checked on dequeueing.
 */
void admission_tick(struct admission *adm, int64_t now_us)
{
	struct admission_item *item;

	admission_capacity_update_demand(adm, now_us);
	list_for_each_entry(item, &adm->running, node)
		charge_running(adm, item, now_us);
	if (now_us - adm->last_expiry_us < QUEUE_EXPIRE_MS * USEC_PER_MSEC)
		return;
	adm->last_expiry_us = now_us;
	refuse_expired(adm, now_us);
}
