#include "policy/admission_capacity.h"

#include "policy/admission.h"

/* Estimates. */

/*
 * Updates the averages with one run. The gap between the two thresholds
 * (512 and 256 of 1024) is a hysteresis: a service that has some stragglers
 * doesn't change its class back and forth.
 */
void admission_capacity_add_run(struct admission *adm,
				struct admission_item *item, int64_t run_us)
{
	struct admission_service *service = item->service;
	struct admission_class *cls = &adm->classes[item->class_];
	bool over = run_us > service->short_limit_us;
	int64_t slot_us = run_us;

	service->over_limit += ((over ? 1024 : 0) - service->over_limit) / 16;
	service->mean_us +=
		service->samples ? (run_us - service->mean_us) / 32 : run_us;
	if (service->samples < 16)
		service->samples++;
	else if (service->over_limit > 512)
		service->class_ = DOC_LONG;
	else if (service->over_limit < 256)
		service->class_ = DOC_SHORT;
	/* After its limit a short item uses a slot of the long class. */
	if (item->class_ == DOC_SHORT && over)
		slot_us = service->short_limit_us;
	cls->mean_us += (slot_us - cls->mean_us) / 64;
}

/* Capacity. */

/*
 * Slots that long work may not use: the demand of short work plus a
 * quarter, within bounds that leave some slots to either class, as DARC does.
 */
int admission_reserved_slots(const struct admission *adm)
{
	int64_t want =
		adm->classes[DOC_SHORT].demand_milli_slots * 5 / 4 / 1000 + 1;
	int64_t least = (int64_t)adm->slots * QUEUE_RESERVE_MIN_PERCENT / 100;
	int64_t most = (int64_t)adm->slots * QUEUE_RESERVE_MAX_PERCENT / 100;

	if (least < 1)
		least = 1;
	if (want < least)
		want = least;
	return (int)(want < most ? want : most);
}

int admission_capacity_long_slots(const struct admission *adm)
{
	int limit = adm->slots - admission_reserved_slots(adm);

	/* A single slot is shared by both classes. */
	return limit > 0 ? limit : 1;
}

/* Maximum slots of long work, also when it is underserved. */
int admission_capacity_max_long_slots(const struct admission *adm)
{
	int limit =
		adm->slots - adm->slots * QUEUE_RESERVE_MIN_PERCENT / 100 - 1;

	return limit > 0 ? limit : 1;
}

/* Slots that the class can use at present. */
static int class_slots(const struct admission *adm, enum doc_class class_)
{
	int slots;

	if (class_ == DOC_LONG)
		return admission_capacity_long_slots(adm);
	slots = adm->slots - adm->classes[DOC_LONG].running;
	if (slots < admission_reserved_slots(adm))
		slots = admission_reserved_slots(adm);
	return slots > 0 ? slots : 1;
}

/*
 * Estimates the wait in microseconds of a request that would be enqueued
 * now. It is the lesser of two times: for the customer's queue at its share
 * of the slots, and for all items of the class at all its slots, since other
 * customers may use less than their share.
 */
int64_t admission_expected_wait(const struct admission *adm,
				const struct admission_customer *customer,
				enum doc_class class_)
{
	const struct admission_class *cls = &adm->classes[class_];
	const struct admission_customer *other;
	int64_t slots = class_slots(adm, class_);
	int64_t weights = 0, own, all;

	if (cls->waiting == 0)
		return 0;
	list_for_each_entry(other, &adm->customers, node)
		if (other == customer || other->queues[class_].waiting > 0)
			weights += other->weight;
	own = customer->queues[class_].waiting * cls->mean_us * weights /
	      (slots * customer->weight);
	all = cls->waiting * cls->mean_us / slots;
	return own < all ? own : all;
}

/*
 * Updates the demand at the end of each window of QUEUE_INTERVAL_MS: the
 * slots that the items which arrived in it need.
 */
void admission_capacity_update_demand(struct admission *adm, int64_t now_us)
{
	int64_t passed = now_us - adm->window_start_us;
	struct admission_class *cls;
	int i;

	if (passed < QUEUE_INTERVAL_MS * USEC_PER_MSEC)
		return;
	for (i = 0; i < DOC_CLASSES; i++) {
		cls = &adm->classes[i];
		cls->demand_milli_slots +=
			(cls->arrived_work_us * 1000 / passed -
			 cls->demand_milli_slots) /
			2;
		cls->arrived_work_us = 0;
	}
	adm->window_start_us = now_us;
}
