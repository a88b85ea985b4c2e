#include "cli/timeline.h"

#include <stdlib.h>
#include <string.h>

/* Memory. */

static void clear_process(void *data)
{
	g_free(((struct tl_process *)data)->host);
}

static void clear_host(void *data)
{
	g_free(((struct tl_host *)data)->name);
}

static void clear_event(void *data)
{
	g_free(((struct tl_event *)data)->name);
	g_free(((struct tl_event *)data)->text);
}

void tl_init(struct tl *tl)
{
	memset(tl, 0, sizeof(*tl));
	tl->processes = g_array_new(FALSE, TRUE, sizeof(struct tl_process));
	tl->hosts = g_array_new(FALSE, TRUE, sizeof(struct tl_host));
	tl->events = g_array_new(FALSE, TRUE, sizeof(struct tl_event));
	tl->links = g_array_new(FALSE, TRUE, sizeof(struct tl_link));
	g_array_set_clear_func(tl->processes, clear_process);
	g_array_set_clear_func(tl->hosts, clear_host);
	g_array_set_clear_func(tl->events, clear_event);
}

void tl_finish(struct tl *tl)
{
	g_array_free(tl->processes, TRUE);
	g_array_free(tl->hosts, TRUE);
	g_array_free(tl->events, TRUE);
	g_array_free(tl->links, TRUE);
}

static struct tl_process *process_at(struct tl *tl, unsigned int i)
{
	return &g_array_index(tl->processes, struct tl_process, i);
}

static struct tl_host *host_at(struct tl *tl, unsigned int i)
{
	return &g_array_index(tl->hosts, struct tl_host, i);
}

/* Fields of a line. */

/* Finds " key=" and returns what follows, NULL when absent. */
static const char *find_field(const char *line, const char *key)
{
	size_t len = strlen(key);
	const char *at = line;

	while ((at = strstr(at, key))) {
		if (at > line && at[-1] == ' ' && at[len] == '=')
			return at + len + 1;
		at += len;
	}
	return NULL;
}

static char *get_text(const char *line, const char *key)
{
	const char *value = find_field(line, key);

	return value ? g_strndup(value, strcspn(value, " \n")) : NULL;
}

static bool get_int(const char *line, const char *key, int64_t *out)
{
	const char *value = find_field(line, key);
	char *end;

	if (!value)
		return false;
	*out = g_ascii_strtoll(value, &end, 10);
	return end > value;
}

/* Reading. */

static unsigned int find_host(struct tl *tl, const char *name)
{
	unsigned int i;

	for (i = 0; i < tl->hosts->len; i++)
		if (strcmp(host_at(tl, i)->name, name) == 0)
			return i;
	g_array_set_size(tl->hosts, i + 1);
	host_at(tl, i)->name = g_strdup(name);
	return i;
}

static unsigned int find_process(struct tl *tl, const char *host,
				 uint64_t incarnation, int64_t wall_minus_mono)
{
	struct tl_process *process;
	unsigned int i;

	for (i = 0; i < tl->processes->len; i++)
		if (process_at(tl, i)->incarnation == incarnation &&
		    strcmp(process_at(tl, i)->host, host) == 0)
			return i;
	g_array_set_size(tl->processes, i + 1);
	process = process_at(tl, i);
	process->host = g_strdup(host);
	process->incarnation = incarnation;
	process->wall_minus_mono_us = wall_minus_mono;
	find_host(tl, host);
	return i;
}

/*
 * Keeps the measurement with the shortest round trip, which bounds the error
 * best. step is how far the measuring wall clock has moved against its
 * monotonic clock since the first event of the process.
 */
static void add_link(struct tl *tl, const char *host, const char *line,
		     int64_t step)
{
	struct tl_link link = { 0 }, *old;
	char *peer = get_text(line, "peer");
	unsigned int i;

	if (!peer || !get_int(line, "offset_us", &link.offset_us) ||
	    !get_int(line, "rtt_us", &link.rtt_us)) {
		g_free(peer);
		return;
	}
	link.from = find_host(tl, host);
	link.to = find_host(tl, peer);
	link.offset_us += step;
	g_free(peer);
	for (i = 0; i < tl->links->len; i++) {
		old = &g_array_index(tl->links, struct tl_link, i);
		if (old->from != link.from || old->to != link.to)
			continue;
		if (link.rtt_us < old->rtt_us)
			*old = link;
		return;
	}
	g_array_append_val(tl->links, link);
}

static void read_line(struct tl *tl, const char *line)
{
	struct tl_event event = { 0 };
	int64_t seq, incarnation, wall_us, step;
	char *host = get_text(line, "host");
	struct tl_process *process;
	const char *rest;

	event.name = get_text(line, "event");
	rest = find_field(line, "wall_us");
	if (!host || !event.name || !rest ||
	    !get_int(line, "inc", &incarnation) ||
	    !get_int(line, "seq", &seq) ||
	    !get_int(line, "mono_us", &event.mono_us) ||
	    !get_int(line, "wall_us", &wall_us)) {
		tl->ignored++;
		g_free(event.name);
		g_free(host);
		return;
	}
	event.seq = (uint64_t)seq;
	event.process = find_process(tl, host, (uint64_t)incarnation,
				     wall_us - event.mono_us);
	process = process_at(tl, event.process);
	step = wall_us - event.mono_us - process->wall_minus_mono_us;
	rest += strcspn(rest, " \n");
	event.text = g_strchomp(g_strdup(*rest == ' ' ? rest + 1 : rest));
	if (strcmp(event.name, "peer.clock") == 0)
		add_link(tl, host, line, step);
	g_array_append_val(tl->events, event);
	g_free(host);
}

void tl_read(struct tl *tl, FILE *file)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, file) > 0)
		read_line(tl, line);
	free(line);
}

/* Clocks. */

/* Takes a shorter way to a host over one measurement. */
static bool relax(struct tl *tl, unsigned int from, unsigned int to,
		  int64_t offset_us, int64_t rtt_us)
{
	struct tl_host *a = host_at(tl, from), *b = host_at(tl, to);
	int64_t error_us = a->error_us + rtt_us / 2;

	if (!a->known || (b->known && b->error_us <= error_us))
		return false;
	b->known = true;
	b->offset_us = a->offset_us + offset_us;
	b->error_us = error_us;
	return true;
}

/* Shortest ways from the reference, by the sum of the errors. */
static void correct_clocks(struct tl *tl)
{
	struct tl_link *link;
	bool changed = tl->hosts->len > 0;
	unsigned int i;

	if (changed)
		host_at(tl, 0)->known = true;
	while (changed) {
		changed = false;
		for (i = 0; i < tl->links->len; i++) {
			link = &g_array_index(tl->links, struct tl_link, i);
			changed |= relax(tl, link->from, link->to,
					 link->offset_us, link->rtt_us);
			changed |= relax(tl, link->to, link->from,
					 -link->offset_us, link->rtt_us);
		}
	}
}

static int compare_events(const void *a, const void *b)
{
	const struct tl_event *x = a, *y = b;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	if (x->process != y->process)
		return x->process < y->process ? -1 : 1;
	return (x->seq > y->seq) - (x->seq < y->seq);
}

/*
 * An event's time is the monotonic clock of its process plus one constant,
 * so that a step of the wall clock does not reorder a process's events.
 */
void tl_merge(struct tl *tl)
{
	struct tl_process *process;
	struct tl_event *event;
	unsigned int i;

	correct_clocks(tl);
	for (i = 0; i < tl->events->len; i++) {
		event = &g_array_index(tl->events, struct tl_event, i);
		process = process_at(tl, event->process);
		event->time_us =
			event->mono_us + process->wall_minus_mono_us -
			host_at(tl, find_host(tl, process->host))->offset_us;
	}
	g_array_sort(tl->events, compare_events);
}
