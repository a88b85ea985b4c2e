#ifndef POLICY_RY_H
#define POLICY_RY_H

#include <stdbool.h>
#include <stdint.h>

/* Retry budget, in thousandths of a retry. */
struct ry {
	int64_t floor_milli; /* left of the fixed rate */
	int64_t share_milli; /* left of the share of recent requests */
	int64_t updated_us;
	int64_t decayed_us;
};

void ry_init(struct ry *ry, int64_t now_us);
void ry_request(struct ry *ry, int64_t now_us);
bool ry_retry(struct ry *ry, int64_t now_us);

#endif
