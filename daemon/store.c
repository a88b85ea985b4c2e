#include "daemon/store.h"

struct store {
	struct kn_task task;
	struct kv *kv;
};

static void store_receive(struct kn_task *task, struct kn_msg *msg)
{
	kn_msg_release(msg);
}

static void store_finish(struct kn_task *task)
{
	struct store *store = container_of(task, struct store, task);

	kv_free(store->kv);
	g_free(store);
}

static const struct kn_task_ops store_ops = {
	.receive = store_receive,
	.finish = store_finish,
};

struct kv *store_new(struct kn *kn, const struct set *set)
{
	struct store *store = g_new0(struct store, 1);

	if (set->store_memory)
		store->kv = kv_mem_new(kn);
	else
		store->kv =
			kv_etcd_new(kn, set->store.addr, set->store.port,
				    set->host_list.addr, set->host_list.port);
	kn_add(kn, &store->task, "store", &store_ops);
	return store->kv;
}
