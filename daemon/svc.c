#include "daemon/svc.h"

#include <stdarg.h>
#include <stdlib.h>

#include "base/err.h"

static void release_msg(struct kn_msg *msg)
{
	free(msg);
}

/* Subscribes a task to the changes of a service. */
void svc_subscribe(struct kn_task *service, struct kn_task *from)
{
	struct kn_msg *msg = calloc(1, sizeof(*msg));

	msg->type = SVC_SUBSCRIBE;
	msg->release = release_msg;
	kn_send(service, from, msg);
}

/* The prefixes come from the team's section of the document. */
bool svc_api_may_change(const struct svc_api_call *call, const char *section)
{
	size_t i;

	for (i = 0; call->allowed_prefixes && call->allowed_prefixes[i]; i++)
		if (g_str_has_prefix(section, call->allowed_prefixes[i]))
			return true;
	return false;
}

/*
 * Sends an API call back to the task it came from. Takes ownership of the
 * caller's reference to answer.
 */
void svc_api_answer(struct svc_api_call *call, struct kn_task *from, int status,
		    json_t *answer)
{
	call->status = status;
	call->answer = answer;
	call->msg.type = SVC_API_REPLY;
	kn_send(call->msg.from, from, &call->msg);
}

/*
 * Answers a call with an error code and the formatted text as its detail.
 * Invalid UTF-8 in the detail is replaced, because a JSON string cannot hold
 * it.
 */
void svc_api_fail(struct svc_api_call *call, struct kn_task *from, int code,
		  const char *fmt, ...)
{
	char *detail, *valid;
	json_t *answer;
	va_list args;

	va_start(args, fmt);
	detail = g_strdup_vprintf(fmt, args);
	va_end(args);
	valid = g_utf8_make_valid(detail, -1);
	answer = json_pack("{s:{s:i,s:s,s:s,s:s}}", "error", "code", code,
			   "name", cb_result_name(code), "text",
			   cb_result_text(code), "detail", valid);
	g_free(valid);
	g_free(detail);
	svc_api_answer(call, from, cb_result_http(code), answer);
}
