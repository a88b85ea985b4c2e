#ifndef CONTROL_ORDERS_INT_H
#define CONTROL_ORDERS_INT_H

#include "control/orders.h"

/*
 * Shared by the files of the orders: orders.c (what is due, and sending),
 * orders_answer.c (answers of workers).
 */

/* Context of an order that was sent and has no answer yet. */
struct pending_order {
	struct list_head node;
	struct orders *orders;
	struct order_call call;
	enum order_kind kind;
	char *worker; /* id */
	char addr[48]; /* that the order was sent to */
	int port;
	int64_t born_ms;
	struct task_ref ref; /* not set for a hold */
	char *orphan; /* task name, if the stop is for an orphan */
	int64_t run;
	int64_t sent_us;
	int64_t wait_ms;
	int64_t acked_end; /* ORDER_HOLD */
	bool immediate; /* a hold without a wait, beside the one that waits */
	int percent; /* ORDER_PACE */
};

/* Removes the order from orders.calls and frees it. */
void orders_pending_free(struct pending_order *pending);
/* Handles the answer to an order, or the lack of one. */
void orders_on_answer(struct order_call *call);

#endif
