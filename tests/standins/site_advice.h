#ifndef STANDINS_SITE_ADVICE_H
#define STANDINS_SITE_ADVICE_H

#include "tests/standins/site_fleet.h"

/*
 * Stand-in for the platform's advice service, written from its published
 * protocol. It grants the workers that are marked as allowed, answers one
 * question at a time, and takes a while for each worker in it.
 */

struct site_advice {
	struct hs_server server;
	struct site_fleet *fleet;
	struct list_head waiting; /* struct site_question */
	struct kn_timer timer; /* the answer to the first of them */
	uint64_t questions;
	size_t largest; /* most workers in one question */
};

#define SITE_ADVICE_DECIDE_MS 20
#define SITE_ADVICE_EACH_MS 2
#define SITE_ADVICE_VALID_MS 3000

/* Listens on a free port. */
struct site_advice *site_advice_new(struct kn *kn, struct site_fleet *fleet);
void site_advice_free(struct site_advice *advice);
/* The ticket for a step at the current life of a worker, to be freed. */
char *site_advice_ticket(const struct site_worker *worker, const char *step);

#endif
