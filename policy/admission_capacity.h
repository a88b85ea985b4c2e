#ifndef POLICY_ADMISSION_CAPACITY_H
#define POLICY_ADMISSION_CAPACITY_H

#include "policy/admission.h"

/* Slot limits and run time estimates of the classes; used by admission.c. */

void admission_capacity_add_run(struct admission *adm,
				struct admission_item *item, int64_t run_us);
int admission_capacity_long_slots(const struct admission *adm);
int admission_capacity_max_long_slots(const struct admission *adm);
void admission_capacity_update_demand(struct admission *adm, int64_t now_us);

#endif
