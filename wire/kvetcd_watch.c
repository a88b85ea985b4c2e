#include "wire/kvetcd.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

/*
 * A watch reads its keys and opens a stream from the next revision on. A
 * stream can stay open and deliver nothing, so a small read asks every
 * STORE_PROBE_MS for keys newer than what the stream has delivered.
 */
struct etcd_watch {
	struct list_head node;
	struct etcd *etcd;
	struct kv_watch *watch; /* NULL: ended, freed by the timer */
	struct etcd_stream *stream;
	struct etcd_req *req;
	struct kn_timer timer; /* next probe, reconnection, stream timeout */
	int64_t delivered; /* all events up to this revision */
	int64_t awaited; /* a probe has seen this revision */
	unsigned int failures;
	bool up;
};

static void read_keys(struct kn_timer *timer);

/* Connection lost. */

static int64_t backoff_us(struct etcd_watch *w)
{
	int64_t ceiling = STORE_BACKOFF_BASE_MS;
	unsigned int i;

	for (i = 0; i < w->failures && ceiling < STORE_BACKOFF_CAP_MS; i++)
		ceiling *= 2;
	ceiling = MIN(ceiling, STORE_BACKOFF_CAP_MS);
	return (int64_t)(g_rand_double(w->etcd->rand) *
			 (double)(ceiling * USEC_PER_MSEC));
}

static void stop(struct etcd_watch *w)
{
	kn_timer_cancel(&w->timer);
	if (w->req)
		etcd_req_cancel(w->req);
	if (w->stream)
		etcd_stream_close(w->stream);
	w->req = NULL;
	w->stream = NULL;
}

/* Reports down, and tries again after a random delay. */
static void lose(struct etcd_watch *w, const char *reason)
{
	stop(w);
	log_info("store.watch_lost", "prefix=%s reason=%s failures=%u",
		 w->watch->prefix, reason, w->failures);
	kn_timer_set(w->etcd->kv.kn, &w->timer, backoff_us(w), read_keys);
	w->failures++;
	if (!w->up)
		return;
	w->up = false;
	w->watch->state(w->watch, false);
}

static void on_stream_lost(void *user)
{
	struct etcd_watch *w = user;

	w->stream = NULL;
	lose(w, "stream_closed");
}

static void on_stream_slow(struct kn_timer *timer)
{
	lose(container_of(timer, struct etcd_watch, timer), "stream_timeout");
}

/* Probe. */

static void probe(struct kn_timer *timer);

static void next_probe(struct etcd_watch *w)
{
	kn_timer_set(w->etcd->kv.kn, &w->timer, STORE_PROBE_MS * USEC_PER_MSEC,
		     probe);
}

static void on_grace_over(struct kn_timer *timer)
{
	struct etcd_watch *w = container_of(timer, struct etcd_watch, timer);

	if (w->delivered < w->awaited)
		lose(w, "stream_silent");
	else
		next_probe(w);
}

static void on_probe(struct etcd_req *req, int result, const json_t *reply)
{
	struct etcd_watch *w = req->user;
	int64_t revision;
	json_t *kv;
	size_t i;

	w->req = NULL;
	if (result != CB_OK) {
		lose(w, "probe_failed");
		return;
	}
	w->awaited = 0;
	json_array_foreach(json_object_get(reply, "kvs"), i, kv) {
		revision =
			etcd_int(etcd_get(kv, "mod_revision", "modRevision"));
		w->awaited = MAX(w->awaited, revision);
	}
	if (w->delivered >= w->awaited)
		next_probe(w);
	else
		kn_timer_set(w->etcd->kv.kn, &w->timer,
			     STORE_PROBE_GRACE_MS * USEC_PER_MSEC,
			     on_grace_over);
}

static void probe(struct kn_timer *timer)
{
	struct etcd_watch *w = container_of(timer, struct etcd_watch, timer);
	json_t *body = etcd_range_json(w->watch->prefix, true);

	json_object_set_new(body, "min_mod_revision",
			    etcd_int_json(w->delivered + 1));
	json_object_set_new(body, "keys_only", json_true());
	w->req = etcd_req_start(w->etcd, &w->etcd->pool, "POST", "/v3/kv/range",
				body, on_probe, w);
}

/* Stream. */

static void deliver(struct etcd_watch *w, const json_t *event)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	struct kv_item item;

	if (!etcd_item(json_object_get(event, "kv"), &item))
		return;
	if (g_strcmp0(type, "DELETE") == 0)
		g_clear_pointer(&item.value, g_free);
	if (w->watch && item.mod_revision > w->delivered)
		w->watch->event(w->watch, &item);
	etcd_item_finish(&item);
}

/* One message of the stream. A callback of the owner may end the watch. */
static void on_value(void *user, const json_t *value)
{
	struct etcd_watch *w = user;
	const json_t *result = json_object_get(value, "result");
	int64_t revision = etcd_revision(result);
	json_t *event;
	size_t i;

	if (!result || json_is_true(json_object_get(result, "canceled"))) {
		lose(w, "cancelled");
		return;
	}
	if (!w->up && json_is_true(json_object_get(result, "created"))) {
		w->up = true;
		w->failures = 0;
		next_probe(w);
		w->watch->state(w->watch, true);
		return;
	}
	json_array_foreach(json_object_get(result, "events"), i, event) {
		deliver(w, event);
	}
	if (i > 0)
		w->delivered = MAX(w->delivered, revision);
}

static void open_stream(struct etcd_watch *w)
{
	json_t *create = etcd_range_json(w->watch->prefix, true);

	json_object_set_new(create, "start_revision",
			    etcd_int_json(w->delivered + 1));
	kn_timer_set(w->etcd->kv.kn, &w->timer,
		     STORE_TIMEOUT_MS * USEC_PER_MSEC, on_stream_slow);
	w->stream =
		etcd_stream_open(w->etcd, "/v3/watch",
				 json_pack("{s:o}", "create_request", create),
				 on_value, on_stream_lost, w);
}

/* Reading before the stream. */

static void on_read(struct etcd_req *req, int result, const json_t *reply)
{
	struct etcd_watch *w = req->user;
	GArray *items;
	struct kv_item *item;
	unsigned int i;

	w->req = NULL;
	if (result != CB_OK) {
		lose(w, "read_failed");
		return;
	}
	/* A store with a lower revision than before has been restored. */
	if (etcd_revision(reply) < w->delivered)
		w->delivered = 0;
	items = g_array_new(FALSE, TRUE, sizeof(struct kv_item));
	etcd_items(json_object_get(reply, "kvs"), items);
	for (i = 0; i < items->len && w->watch; i++) {
		item = &g_array_index(items, struct kv_item, i);
		if (item->mod_revision > w->delivered)
			w->watch->event(w->watch, item);
	}
	etcd_items_free(items);
	w->delivered = etcd_revision(reply);
	if (w->watch)
		open_stream(w);
}

static void read_keys(struct kn_timer *timer)
{
	struct etcd_watch *w = container_of(timer, struct etcd_watch, timer);

	w->req = etcd_req_start(w->etcd, &w->etcd->pool, "POST", "/v3/kv/range",
				etcd_range_json(w->watch->prefix, true),
				on_read, w);
}

/* Owner's calls. */

void etcd_watch(struct kv *kv, struct kv_watch *watch)
{
	struct etcd_watch *w = g_new0(struct etcd_watch, 1);

	w->etcd = (struct etcd *)kv;
	w->watch = watch;
	watch->impl = w;
	list_add_tail(&w->node, &w->etcd->watches);
	read_keys(&w->timer);
}

static void watch_free(struct kn_timer *timer)
{
	struct etcd_watch *w = container_of(timer, struct etcd_watch, timer);

	list_del(&w->node);
	g_free(w);
}

/* May be called from within the watch's callbacks. */
void etcd_unwatch(struct kv *kv, struct kv_watch *watch)
{
	struct etcd_watch *w = watch->impl;

	if (!w)
		return;
	watch->impl = NULL;
	stop(w);
	w->watch = NULL;
	kn_timer_set(kv->kn, &w->timer, 0, watch_free);
}

void etcd_watches_finish(struct etcd *etcd)
{
	struct etcd_watch *w, *next;

	list_for_each_entry_safe(w, next, &etcd->watches, node) {
		stop(w);
		watch_free(&w->timer);
	}
}
