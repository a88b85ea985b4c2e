#ifndef POLICY_RQ_H
#define POLICY_RQ_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"
#include "policy/docview.h"

struct rq;
struct rq_item;

struct rq_ops {
	/* A waiting item is refused with a result code; it has left rq. */
	void (*refuse)(struct rq *rq, struct rq_item *item, int code);
};

/* Work of one customer in one class. */
struct rq_line {
	struct list_head items; /* oldest first */
	int waiting;
	int running;
	int64_t above_since_us; /* the wait has exceeded the target; 0: no */
	bool shedding;
};

struct rq_customer {
	struct list_head node;
	char name[NAME_MAX_BYTES];
	int weight;
	double served; /* slot time received over weight, in us */
	bool removed;
	int refs; /* items waiting or running */
	struct rq_line lines[DOC_CLASSES];
};

/* What was observed of a service, whatever it declares. */
struct rq_service {
	struct list_head node;
	char name[NAME_MAX_BYTES];
	enum doc_class class_;
	int64_t short_limit_us;
	int64_t mean_us;
	int over; /* moving share of runs over the limit, of 1024 */
	int samples;
};

struct rq_class {
	int waiting;
	int running;
	int64_t mean_us; /* moving average of slot time */
	int64_t arrived_us; /* slot time that arrived in this window */
	int64_t demand_milli; /* slots that would hold the arrivals */
};

/* A request; embedded in the caller's record. */
struct rq_item {
	struct list_head node;
	struct rq_customer *customer;
	struct rq_service *service;
	enum doc_class class_; /* of the queue it waits in */
	enum doc_class counts_as; /* while it runs */
	bool running;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t started_us;
	int64_t charged_us; /* slot time charged so far */
};

struct rq {
	const struct rq_ops *ops;
	struct list_head customers;
	struct list_head services;
	struct list_head running;
	struct rq_class classes[DOC_CLASSES];
	int waiting;
	int slots; /* usable now */
	int64_t window_us;
	int64_t expired_us; /* when waiting work was last looked through */
};

void rq_init(struct rq *rq, const struct rq_ops *ops, int64_t now_us);
void rq_finish(struct rq *rq);
struct rq_customer *rq_customer_set(struct rq *rq, const char *name,
				    int weight);
struct rq_customer *rq_customer_find(struct rq *rq, const char *name);
void rq_customer_remove(struct rq *rq, struct rq_customer *customer);
struct rq_service *rq_service_get(struct rq *rq, const char *name,
				  enum doc_class declared, int short_limit_ms);
int rq_put(struct rq *rq, struct rq_item *item, struct rq_customer *customer,
	   struct rq_service *service, bool declared_long, int64_t deadline_us,
	   int64_t now_us);
struct rq_item *rq_take(struct rq *rq, int free_slots, int slots,
			int64_t now_us);
void rq_put_back(struct rq *rq, struct rq_item *item);
void rq_cancel(struct rq *rq, struct rq_item *item);
void rq_done(struct rq *rq, struct rq_item *item, bool whole, int64_t now_us);
void rq_tick(struct rq *rq, int64_t now_us);
int rq_reserved(const struct rq *rq);
int64_t rq_expected_wait(const struct rq *rq,
			 const struct rq_customer *customer,
			 enum doc_class class_);

#endif
