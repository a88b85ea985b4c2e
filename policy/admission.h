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
	/* A waiting item is refused with a result code; it has left adm. */
	void (*refuse)(struct admission *adm, struct admission_item *item,
		       int code);
};

/* Work of one customer in one class. */
struct admission_queue {
	struct list_head items; /* oldest first */
	int waiting;
	int running;
	int64_t above_since_us; /* the wait has exceeded the target; 0: no */
	bool shedding;
};

struct admission_customer {
	struct list_head node;
	char name[NAME_MAX_BYTES];
	int weight;
	double virtual_time; /* slot time received over weight, in us */
	bool removed;
	int refs; /* items waiting or running */
	struct admission_queue queues[DOC_CLASSES];
};

/* What was observed of a service, whatever it declares. */
struct admission_service {
	struct list_head node;
	char name[NAME_MAX_BYTES];
	enum doc_class class_;
	int64_t short_limit_us;
	int64_t mean_us;
	int over_limit; /* moving share of runs over the limit, of 1024 */
	int samples;
};

struct admission_class {
	int waiting;
	int running;
	int64_t mean_us; /* moving average of slot time */
	int64_t arrived_work_us; /* slot time that arrived in this window */
	int64_t demand_milli_slots; /* slots that would hold the arrivals */
};

/* A request; embedded in the caller's record. */
struct admission_item {
	struct list_head node;
	struct admission_customer *customer;
	struct admission_service *service;
	enum doc_class class_; /* of the queue it waits in */
	enum doc_class run_class; /* while it runs */
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
	int slots; /* usable now */
	int64_t window_start_us;
	int64_t last_expiry_us; /* when waiting work was last looked through */
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
