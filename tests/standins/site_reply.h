#ifndef STANDINS_SITE_REPLY_H
#define STANDINS_SITE_REPLY_H

#include <jansson.h>

#include "wire/hs.h"

/* Answers with the body, which is taken over; clears the request's user. */
void site_reply(struct hs_request *req, int status, json_t *body);

#endif
