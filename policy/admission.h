#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"
#include "policy/docview.h"

struct admission;
struct admission_item;

struct admission_ops {
	/* Called with the result code after a waiting item was removed. */
	void (*refuse)(struct admission *adm, struct admission_item *item,
		       int code);
};

/* Items of one customer in one class. */
struct admission_queue {
	struct list_head items; /* waiting, oldest first */
	int waiting;
	int running;
	int64_t above_since_us; /* when waits rose above the target, or 0 */
	bool shedding; /* CoDel state: items that waited too long are refused */
};

struct admission_customer {
	struct list_head node;
	char name[NAME_MAX_BYTES];
	int weight;
	double virtual_time; /* slot time used, divided by the weight, in us */
	bool removed; /* freed when refs reaches 0 */
	int refs; /* items waiting or running */
	struct admission_queue queues[DOC_CLASSES];
};

/* Observed run times of a service; they override the declared class. */
struct admission_service {
	struct list_head node;
	char name[NAME_MAX_BYTES];
	enum doc_class class_;
	int64_t short_limit_us;
	int64_t mean_us;
	int over_limit; /* moving average of runs over the limit, in 1/1024 */
	int samples;
};

struct admission_class {
	int waiting;
	int running;
	int64_t mean_us; /* moving average of the slot time of an item */
	int64_t arrived_work_us; /* estimated, in this window */
	int64_t demand_milli_slots; /* moving average of the slots needed */
};

/* A request; embedded in a struct of the caller. */
struct admission_item {
	struct list_head node;
	struct admission_customer *customer;
	struct admission_service *service;
	enum doc_class class_; /* of its queue */
	enum doc_class run_class; /* class whose slot it uses while running */
	bool running;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t started_us;
	int64_t charged_us; /* slot time charged so far */
};

struct admission {
	const struct admission_ops *ops;
	struct list_head customers;
	struct list_head services;
	struct list_head running;
	struct admission_class classes[DOC_CLASSES];
	int waiting;
	int slots; /* usable at the last dequeue */
	int64_t window_start_us; /* of the current window of arrivals */
	int64_t last_expiry_us; /* last scan for expired items */
};

void admission_init(struct admission *adm, const struct admission_ops *ops,
		    int64_t now_us);
void admission_finish(struct admission *adm);
struct admission_customer *admission_customer_set(struct admission *adm,
						  const char *name, int weight);
struct admission_customer *admission_customer_find(struct admission *adm,
						   const char *name);
void admission_customer_remove(struct admission *adm,
			       struct admission_customer *customer);
struct admission_service *admission_service_get(struct admission *adm,
						const char *name,
						enum doc_class declared,
						int short_limit_ms);
int admission_enqueue(struct admission *adm, struct admission_item *item,
		      struct admission_customer *customer,
		      struct admission_service *service, bool declared_long,
		      int64_t deadline_us, int64_t now_us);
struct admission_item *admission_dequeue(struct admission *adm, int free_slots,
					 int slots, int64_t now_us);
void admission_requeue(struct admission *adm, struct admission_item *item);
void admission_cancel(struct admission *adm, struct admission_item *item);
void admission_done(struct admission *adm, struct admission_item *item,
		    bool run_is_sample, int64_t now_us);
void admission_tick(struct admission *adm, int64_t now_us);
int admission_reserved_slots(const struct admission *adm);
int64_t admission_expected_wait(const struct admission *adm,
				const struct admission_customer *customer,
				enum doc_class class_);

#endif
