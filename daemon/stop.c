#include "daemon/stop.h"

#include "base/limits.h"

/* Part of the time until the servers answer, for the services' answers. */
#define ANSWER_PART 8
#define ANSWER_MAX_MS 100

struct hs_stop_times stop_times(const struct set *set)
{
	return hs_stop_times(set->drain_delay_ms, set->grace_ms);
}

int64_t stop_services_us(const struct set *set)
{
	int64_t answer_ms = stop_times(set).answer_ms;

	return (answer_ms - MIN(answer_ms / ANSWER_PART, ANSWER_MAX_MS)) *
	       USEC_PER_MSEC;
}
