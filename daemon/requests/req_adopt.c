#include <string.h>

#include "base/ev.h"
#include "base/log.h"
#include "wire/mp.h"
#include "daemon/requests/req_int.h"

/* Handover of finished keys at a planned stop. */

/*
 * Finished keys for the receiver, or the announcement that a host has adopted
 * the keys of another.
 */
enum adopt_kind { ADOPT_KEYS, ADOPT_ANNOUNCE };

static void send_keys(struct req_task *r, const char *host, uint32_t count,
		      const msgpack_sbuffer *keys)
{
	struct mp_out out;

	mp_begin(&out, 5);
	mp_int(&out, ADOPT_KEYS);
	mp_str(&out, r->set->host);
	mp_uint(&out, r->incarnation);
	mp_str(&out, host);
	mp_array(&out, count);
	if (count > 0)
		msgpack_sbuffer_write(&out.buf, keys->data, keys->size);
	pr_send(r->peers, host, PR_KEY_ADOPT, &out.buf);
	mp_end(&out);
}

/* Picks a peer in this data centre that is not draining, or NULL. */
static const char *pick_adopter(struct req_task *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->peer_table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct req_peer *peer = value;

		if (strcmp(peer->dc, r->set->dc) == 0 && !peer->draining)
			return peer->host;
	}
	return NULL;
}

static void pack_key(struct mp_out *out, const struct idem_entry *entry)
{
	mp_array(out, 7);
	mp_str(out, entry->key);
	mp_uint(out, entry->digest.low);
	mp_uint(out, entry->digest.high);
	mp_int(out, entry->answer.outcome);
	mp_int(out, entry->answer.result);
	mp_int(out, entry->answer.status);
	mp_bin(out, entry->answer.blob, entry->answer.len);
}

/*
 * Sends the finished keys to a peer in the same data centre, newest first.
 * Stops at KEY_HANDOVER_BYTES, because the link drops what it cannot queue.
 */
void req_keys_hand_over(struct req_task *r)
{
	const char *host = r->peers ? pick_adopter(r) : NULL;
	struct mp_out out;
	struct list_head *node;
	size_t sent = 0;
	uint32_t count = 0, total = 0;

	if (!host || r->keys.finished_count == 0)
		return;
	mp_begin(&out, 0);
	msgpack_sbuffer_clear(&out.buf);
	for (node = r->keys.finished.prev;
	     node != &r->keys.finished && sent < KEY_HANDOVER_BYTES;
	     node = node->prev) {
		const struct idem_entry *entry =
			list_entry(node, struct idem_entry, node);

		if (entry->state != IDEM_STATE_DONE)
			continue;
		pack_key(&out, entry);
		count++;
		total++;
		sent += entry->answer.len + sizeof(*entry);
		if (out.buf.size >= DOC_PUSH_BYTES || count >= 1000) {
			send_keys(r, host, count, &out.buf);
			msgpack_sbuffer_clear(&out.buf);
			count = 0;
		}
	}
	send_keys(r, host, count, &out.buf);
	mp_end(&out);
	ev_emit("keys.handed-over", "to=%s keys=%u", host, total);
}

static bool adopt_key(struct req_task *r, struct mp_in *list)
{
	struct idem_answer answer = { 0 };
	struct idem_digest digest;
	char key[IDEM_KEY_BYTES];
	struct mp_in in;
	int64_t outcome;

	mp_get_array(list, &in);
	mp_get_text(&in, key, sizeof(key));
	digest.low = mp_get_uint(&in);
	digest.high = mp_get_uint(&in);
	outcome = mp_get_int(&in);
	answer.result = (int)mp_get_int(&in);
	answer.status = (int)mp_get_int(&in);
	answer.blob = (void *)mp_get_bin(&in, &answer.len);
	if (!in.ok || outcome < IDEM_ANSWERED || outcome > IDEM_UNKNOWN)
		return false;
	answer.outcome = (enum idem_outcome)outcome;
	idem_adopt(&r->keys, key, &digest, &answer, kn_now_us());
	return true;
}

/*
 * Handles PR_KEY_ADOPT. It carries the finished keys of a stopping peer, or the
 * announcement of the host that has adopted them.
 */
void req_keys_adopt(struct req_task *r, const struct pr_in *msg)
{
	char adopter[NAME_MAX_BYTES];
	struct idem_owner owner;
	struct mp_in in, list;
	struct mp_out out;
	int64_t kind;
	size_t count;

	mp_open(&in, &msg->body.data);
	kind = mp_get_int(&in);
	mp_get_text(&in, owner.host, sizeof(owner.host));
	owner.incarnation = mp_get_uint(&in);
	mp_get_text(&in, adopter, sizeof(adopter));
	mp_get_array(&in, &list);
	if (!in.ok) {
		log_warn("keys.malformed", "peer=%s", msg->host);
		return;
	}
	idem_set_adopter(&r->keys, &owner, adopter);
	if (kind != ADOPT_KEYS || strcmp(adopter, r->set->host) != 0)
		return;
	count = list.left;
	while (list.left > 0 && adopt_key(r, &list))
		;
	ev_emit("keys.adopted", "host=%s inc=%" PRIx64 " keys=%zu", owner.host,
		owner.incarnation, count);
	mp_begin(&out, 5);
	mp_int(&out, ADOPT_ANNOUNCE);
	mp_str(&out, owner.host);
	mp_uint(&out, owner.incarnation);
	mp_str(&out, adopter);
	mp_array(&out, 0);
	pr_send_dc(r->peers, NULL, PR_KEY_ADOPT, &out.buf);
	mp_end(&out);
}
