#include "policy/idem_ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#define CHUNK_TICKETS 65536

/*
 * The used bits of consecutive tickets. A chunk takes 8 KB, so remembering
 * the tickets of an hour (KEY_KEEP_SEC) costs little memory.
 */
struct chunk {
	int64_t last_issue_us;
	unsigned char used[CHUNK_TICKETS / 8];
};

void idem_ticket_init(struct idem *idem)
{
	idem->chunks = g_ptr_array_new_with_free_func(g_free);
	idem->first_ticket = 1;
	idem->next_ticket = 1;
}

void idem_ticket_finish(struct idem *idem)
{
	g_ptr_array_free(idem->chunks, TRUE);
}

static struct chunk *find_chunk(const struct idem *idem, uint64_t seq)
{
	return g_ptr_array_index(idem->chunks,
				 (seq - idem->first_ticket) / CHUNK_TICKETS);
}

/* Returns the state of a ticket of this incarnation. */
enum idem_ticket_state idem_ticket_state(const struct idem *idem, uint64_t seq)
{
	uint64_t at;

	if (seq == 0 || seq >= idem->next_ticket)
		return IDEM_TICKET_NEVER_ISSUED;
	if (seq < idem->first_ticket)
		return IDEM_TICKET_EXPIRED;
	at = (seq - idem->first_ticket) % CHUNK_TICKETS;
	return find_chunk(idem, seq)->used[at / 8] & (1 << at % 8) ?
		       IDEM_TICKET_USED :
		       IDEM_TICKET_FRESH;
}

void idem_ticket_mark(struct idem *idem, uint64_t seq, bool used)
{
	uint64_t at;

	if (seq < idem->first_ticket || seq >= idem->next_ticket)
		return;
	at = (seq - idem->first_ticket) % CHUNK_TICKETS;
	if (used)
		find_chunk(idem, seq)->used[at / 8] |=
			(unsigned char)(1 << at % 8);
	else
		find_chunk(idem, seq)->used[at / 8] &=
			(unsigned char)~(1 << at % 8);
}

/* Frees chunks whose last ticket is older than KEY_KEEP_SEC. */
void idem_ticket_expire(struct idem *idem, int64_t now_us)
{
	struct chunk *chunk;

	while (idem->chunks->len > 0) {
		chunk = g_ptr_array_index(idem->chunks, 0);
		if (now_us - chunk->last_issue_us < KEY_KEEP_SEC * USEC_PER_SEC)
			return;
		g_ptr_array_remove_index(idem->chunks, 0);
		idem->first_ticket += CHUNK_TICKETS;
		if (idem->next_ticket < idem->first_ticket)
			idem->next_ticket = idem->first_ticket;
	}
}

/* Issuing and parsing tickets. */

/* Detects corruption in transit; gives no protection against forgery. */
static uint32_t ticket_checksum(const char *text, size_t len)
{
	return (uint32_t)XXH3_64bits(text, len);
}

/*
 * Issues a ticket t1.<host>.<incarnation>.<sequence>.<checksum>, with the
 * numbers in hexadecimal. Returns false when it doesn't fit into size or
 * KEY_MAX_BYTES.
 */
bool idem_ticket_issue(struct idem *idem, char *text, size_t size,
		       int64_t now_us)
{
	uint64_t seq = idem->next_ticket;
	uint64_t at = (seq - idem->first_ticket) / CHUNK_TICKETS;
	int len;

	len = snprintf(text, size, "t1.%s.%" PRIx64 ".%" PRIx64,
		       idem->self.host, idem->self.incarnation, seq);
	if (len < 0 || (size_t)len + 10 > size || len + 9 > KEY_MAX_BYTES)
		return false;
	snprintf(text + len, size - (size_t)len, ".%08" PRIx32,
		 ticket_checksum(text, (size_t)len));
	if (at == idem->chunks->len)
		g_ptr_array_add(idem->chunks, g_new0(struct chunk, 1));
	idem->next_ticket++;
	find_chunk(idem, seq)->last_issue_us = now_us;
	return true;
}

bool idem_is_ticket(const char *key)
{
	return strncmp(key, "t1.", 3) == 0;
}

/* Reads the last field of the first *len bytes and shortens *len by it. */
static bool take_last_number(const char *key, size_t *len, uint64_t *value)
{
	size_t at = *len;
	char digits[17];

	while (at > 0 && key[at - 1] != '.')
		at--;
	if (at == 0 || *len == at || *len - at > 16)
		return false;
	memcpy(digits, key + at, *len - at);
	digits[*len - at] = '\0';
	if (strspn(digits, "0123456789abcdef") != *len - at)
		return false;
	*value = g_ascii_strtoull(digits, NULL, 16);
	*len = at - 1;
	return true;
}

/* Parses a ticket; returns false when it is malformed or corrupted. */
bool idem_ticket_parse(const char *key, struct idem_owner *owner, uint64_t *seq)
{
	size_t len = strlen(key), checked;
	uint64_t check;

	if (!idem_is_ticket(key) || len > KEY_MAX_BYTES || len < 9 ||
	    key[len - 9] != '.')
		return false;
	checked = len - 9;
	if (!take_last_number(key, &len, &check) ||
	    check != ticket_checksum(key, checked) ||
	    !take_last_number(key, &len, seq) ||
	    !take_last_number(key, &len, &owner->incarnation) || len < 4 ||
	    len - 3 >= NAME_MAX_BYTES)
		return false;
	memcpy(owner->host, key + 3, len - 3);
	owner->host[len - 3] = '\0';
	return true;
}
