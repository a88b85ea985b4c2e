#ifndef STANDINS_SITE_SERVING_H
#define STANDINS_SITE_SERVING_H

#include <jansson.h>

#include "tests/standins/site_check.h"

/*
 * Tasks of the worker stand-in that serve users, and tasks beside them that
 * take what processor time is left and so slow the serving ones. Payload:
 * lasting=1 (never ends), target (ms), fills=1.
 */

#define SITE_TAIL_ALONE_MS 40
#define SITE_TAIL_PER_PERCENT 1.5 /* of the pace of all filling tasks */
#define SITE_HARM_MS 4000

/* Reads what the payload says of a run that begins. */
void site_serving_begin(struct site_run *run, const char *payload);
/* Tail of the response times of a serving run, in ms. */
int64_t site_serving_tail(const struct site_run *run);
/* Notes a serving run that is over its target for too long. */
void site_serving_check(struct site_run *run);
/* An order on the pace of a run. Returns the reason of a refusal, or NULL. */
const char *site_serving_pace(struct site_run *run, const json_t *body);

#endif
