#include "tests/standins/pf_server.h"

static void *serve(void *data)
{
	struct pf_thread *t = data;

	while (!g_atomic_int_get(&t->stop)) {
		g_mutex_lock(&t->lock);
		pf_step(&t->server, 1);
		g_mutex_unlock(&t->lock);
		g_usleep(100); /* the mutex is not fair */
	}
	return NULL;
}

void pf_thread_start(struct pf_thread *t)
{
	g_mutex_init(&t->lock);
	t->stop = 0;
	g_assert(pf_init(&t->server, 0, 0));
	t->thread = g_thread_new("platform", serve, t);
}

void pf_thread_stop(struct pf_thread *t)
{
	g_atomic_int_set(&t->stop, 1);
	g_thread_join(t->thread);
	pf_finish(&t->server);
	g_mutex_clear(&t->lock);
}

void pf_thread_control(struct pf_thread *t, const char *json)
{
	json_t *body = json_loads(json, 0, NULL);

	g_mutex_lock(&t->lock);
	pf_control(&t->server, body);
	g_mutex_unlock(&t->lock);
	json_decref(body);
}

int64_t pf_thread_calls(struct pf_thread *t, const char *kind)
{
	int64_t n;

	g_mutex_lock(&t->lock);
	n = json_integer_value(json_object_get(t->server.calls, kind));
	g_mutex_unlock(&t->lock);
	return n;
}
