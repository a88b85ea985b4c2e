#include "tests/standins/site_serving.h"

#include "base/limits.h"

void site_serving_begin(struct site_run *run, const char *payload)
{
	run->lasting = site_payload_number(payload, "lasting", 0) != 0;
	run->fills = site_payload_number(payload, "fills", 0) != 0;
	run->target_ms = site_payload_number(payload, "target", 0);
	run->percent_pace = 100;
}

int64_t site_serving_tail(const struct site_run *run)
{
	const struct site_run *other;
	double fills = 0;

	list_for_each_entry(other, &run->worker->runs, node)
		if (other->fills)
			fills += other->percent_pace;
	return SITE_TAIL_ALONE_MS + (int64_t)(fills * SITE_TAIL_PER_PERCENT);
}

void site_serving_check(struct site_run *run)
{
	if (!run->lasting || run->target_ms == 0)
		return;
	if (site_serving_tail(run) <= run->target_ms) {
		run->over_us = 0;
		return;
	}
	if (run->over_us == 0)
		run->over_us = kn_now_us();
	if (kn_now_us() - run->over_us > SITE_HARM_MS * USEC_PER_MSEC)
		site_violated(run->worker->fleet, "HARM", run->name,
			      run->worker->id);
}

const char *site_serving_pace(struct site_run *run, const json_t *body)
{
	if (!run)
		return "old";
	run->percent_pace =
		(int)json_integer_value(json_object_get(body, "pct"));
	run->paces++;
	return NULL;
}
