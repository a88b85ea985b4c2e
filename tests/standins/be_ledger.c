#include "tests/standins/be_ledger.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

void be_ledger_init(struct be_ledger *ledger)
{
	memset(ledger, 0, sizeof(*ledger));
}

void be_ledger_finish(struct be_ledger *ledger)
{
	g_free(ledger->entries);
	be_ledger_init(ledger);
}

static struct be_entry *entry_at(struct be_ledger *ledger, size_t index)
{
	return index < ledger->count ? &ledger->entries[index] : NULL;
}

size_t be_ledger_begin(struct be_ledger *ledger, const struct hs_request *req)
{
	const char *key = hs_header(req, "Idempotency-Key");
	struct be_entry *entry;

	ledger->requests++;
	if (++ledger->in_progress > ledger->in_progress_max)
		ledger->in_progress_max = ledger->in_progress;
	if (ledger->count == BE_LEDGER_MAX)
		return BE_LEDGER_MAX;
	if ((ledger->count & (ledger->count - 1)) == 0)
		ledger->entries = g_renew(struct be_entry, ledger->entries,
					  MAX(ledger->count * 2, 1));
	entry = &ledger->entries[ledger->count];
	memset(entry, 0, sizeof(*entry));
	g_strlcpy(entry->key, key ? key : "", sizeof(entry->key));
	g_strlcpy(entry->method, req->method, sizeof(entry->method));
	g_strlcpy(entry->target, req->target, sizeof(entry->target));
	entry->body_xxh64 =
		XXH64(req->body ? req->body : (void *)"", req->body_len, 0);
	entry->start_us = kn_now_us();
	return ledger->count++;
}

void be_ledger_executed(struct be_ledger *ledger, size_t index)
{
	struct be_entry *entry = entry_at(ledger, index);

	ledger->executed++;
	if (entry)
		entry->executed = true;
}

void be_ledger_end(struct be_ledger *ledger, size_t index, bool whole)
{
	struct be_entry *entry = entry_at(ledger, index);

	ledger->in_progress--;
	if (!entry)
		return;
	entry->end_us = kn_now_us();
	entry->whole = whole;
}

static json_t *entry_json(const struct be_entry *entry)
{
	char digest[20];

	snprintf(digest, sizeof(digest), "%016llx",
		 (unsigned long long)entry->body_xxh64);
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:b, s:b}", "key",
			 entry->key, "method", entry->method, "target",
			 entry->target, "body_xxh64", digest, "start_us",
			 (json_int_t)entry->start_us, "end_us",
			 (json_int_t)entry->end_us, "executed", entry->executed,
			 "whole", entry->whole);
}

json_t *be_ledger_json(const struct be_ledger *ledger, bool entries)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; entries && i < ledger->count; i++)
		json_array_append_new(list, entry_json(&ledger->entries[i]));
	return json_pack("{s:I, s:I, s:i, s:i, s:I, s:I, s:o}", "count",
			 (json_int_t)ledger->requests, "executed",
			 (json_int_t)ledger->executed, "in_progress",
			 (int)ledger->in_progress, "in_progress_max",
			 (int)ledger->in_progress_max, "connections",
			 (json_int_t)ledger->connections, "connections_max",
			 (json_int_t)ledger->connections_max, "requests", list);
}
