#ifndef BASE_CTR_H
#define BASE_CTR_H

#include <stdint.h>
#include <glib.h>

#include "base/list.h"

#define CTR_BUCKETS 40

enum ctr_kind { CTR_COUNTER, CTR_GAUGE, CTR_HISTOGRAM };

/*
 * A metric, owned by the module that counts. A histogram has a bucket for
 * each power of two of its unit.
 */
struct ctr {
	struct list_head node;
	enum ctr_kind kind;
	const char *name;
	const char *labels; /* key="value" pairs without braces, or NULL */
	const char *help;
	uint64_t value;
	uint64_t sum;
	uint64_t buckets[CTR_BUCKETS];
};

struct ctr_set {
	struct list_head all;
};

void ctr_set_init(struct ctr_set *set);
void ctr_init(struct ctr *ctr, struct ctr_set *set, enum ctr_kind kind,
	      const char *name, const char *labels, const char *help);
void ctr_finish(struct ctr *ctr);
void ctr_add(struct ctr *ctr, uint64_t n);
void ctr_gauge(struct ctr *ctr, uint64_t value);
void ctr_observe(struct ctr *ctr, uint64_t sample);
uint64_t ctr_quantile(const struct ctr *ctr, double q);
void ctr_print(const struct ctr_set *set, GString *out);

#endif
