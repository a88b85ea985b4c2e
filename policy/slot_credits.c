#include "policy/slot_credits.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

/* Floors. */

static uint64_t rendezvous_weight(const char *host, const char *server)
{
	return XXH3_64bits_withSeed(host, strlen(host),
				    XXH3_64bits(server, strlen(server)));
}

/*
 * Returns the slots of the server that the host owns permanently: one for
 * each of the SLOT_FLOOR_HOSTS hosts that rank first by rendezvous hashing.
 */
int slot_credits_floor(const char *const *hosts, size_t n, const char *host,
		       const char *server)
{
	uint64_t own = rendezvous_weight(host, server), other;
	int before = 0;
	size_t i;

	/* A single host owns all slots and needs no grantor. */
	if (n <= 1)
		return BACKEND_SLOTS;
	for (i = 0; i < n; i++) {
		if (strcmp(hosts[i], host) == 0)
			continue;
		other = rendezvous_weight(hosts[i], server);
		if (other > own || (other == own && strcmp(hosts[i], host) < 0))
			before++;
	}
	return before < SLOT_FLOOR_HOSTS ? 1 : 0;
}

/* Returns the slots of each server that are granted as credits. */
int slot_credits_pool(size_t hosts)
{
	if (hosts <= 1)
		return 0;
	return BACKEND_SLOTS -
	       (hosts < SLOT_FLOOR_HOSTS ? (int)hosts : SLOT_FLOOR_HOSTS);
}

/* Returns the connections that one host may have open to a server. */
int slot_credits_connections(size_t hosts)
{
	int share = BACKEND_CONNECTIONS / (hosts > 0 ? (int)hosts : 1);

	return share < BACKEND_SLOTS ? share : BACKEND_SLOTS;
}

/* Holder. */

void slot_credits_holder_init(struct slot_credits_holder *holder,
			      uint64_t incarnation)
{
	memset(holder, 0, sizeof(*holder));
	list_init(&holder->servers);
	holder->report_id.incarnation = incarnation;
	holder->answered = true;
}

/* Adds a server; floor is the result of slot_credits_floor(). */
void slot_credits_server_init(struct slot_credits_server *server,
			      struct slot_credits_holder *holder,
			      const char *name, int floor)
{
	memset(server, 0, sizeof(*server));
	snprintf(server->name, sizeof(server->name), "%s", name);
	server->floor = floor;
	list_add_tail(&server->node, &holder->servers);
}

/* Removes a server; no request may be in progress on it. */
void slot_credits_server_finish(struct slot_credits_server *server)
{
	list_del(&server->node);
}

static int unexpired_credits(const struct slot_credits_server *server,
			     int64_t now_us)
{
	return now_us < server->credits_until_us ? server->credits : 0;
}

/* Returns how many requests may be started on the server now. */
int slot_credits_available(const struct slot_credits_server *server,
			   int64_t now_us)
{
	int n = server->floor + unexpired_credits(server, now_us) -
		server->running;

	return n > 0 ? n : 0;
}

/* Records the start of a request; slot_credits_available() must be above 0. */
void slot_credits_start(struct slot_credits_server *server)
{
	server->running++;
}

void slot_credits_end(struct slot_credits_server *server)
{
	server->running--;
}

/* Returns the credits in use or the unexpired ones, whichever are more. */
int slot_credits_held(const struct slot_credits_server *server, int64_t now_us)
{
	int used = server->running - server->floor;
	int usable = unexpired_credits(server, now_us);

	return used > usable ? used : usable;
}

/*
 * Builds a report to the leader of an epoch: fills entries (of struct
 * slot_credits_entry) with the servers on which this host holds or wants
 * credits. Releases credits beyond what is wanted. The report invalidates
 * all earlier unanswered ones, so until its answer arrives the credits in
 * it are an upper bound of those held. Returns false for an old epoch.
 */
bool slot_credits_build_report(struct slot_credits_holder *holder,
			       uint64_t epoch, GArray *entries, int64_t now_us)
{
	struct slot_credits_server *server;
	struct slot_credits_entry entry;

	if (epoch < holder->report_id.epoch)
		return false;
	holder->report_id.epoch = epoch;
	holder->report_id.seq++;
	holder->reported_us = now_us;
	holder->answered = false;
	list_for_each_entry(server, &holder->servers, node) {
		if (server->credits > server->want)
			server->credits = server->want;
		memset(&entry, 0, sizeof(entry));
		snprintf(entry.server, sizeof(entry.server), "%s",
			 server->name);
		entry.held = slot_credits_held(server, now_us);
		entry.want = server->want;
		if (entry.held > 0 || entry.want > 0)
			g_array_append_val(entries, entry);
	}
	return true;
}

static const struct slot_credits_entry *
find_entry(const struct slot_credits_entry *entries, size_t n,
	   const char *server)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (strcmp(entries[i].server, server) == 0)
			return &entries[i];
	return NULL;
}

/*
 * Applies the grant that answers the newest report, and rejects any other.
 * The term starts when the report was built, so that it expires at the
 * holder before it does at the grantor.
 */
bool slot_credits_apply_grant(struct slot_credits_holder *holder,
			      const struct slot_credits_report_id *id,
			      int64_t term_us,
			      const struct slot_credits_entry *entries,
			      size_t n, int64_t now_us)
{
	const struct slot_credits_entry *entry;
	struct slot_credits_server *server;

	if (id->epoch != holder->report_id.epoch ||
	    id->seq != holder->report_id.seq ||
	    id->incarnation != holder->report_id.incarnation ||
	    holder->answered)
		return false;
	holder->answered = true;
	if (term_us > SLOT_TERM_MS * USEC_PER_MSEC)
		term_us = SLOT_TERM_MS * USEC_PER_MSEC;
	if (now_us - holder->reported_us >= term_us)
		return false;
	list_for_each_entry(server, &holder->servers, node) {
		entry = find_entry(entries, n, server->name);
		server->credits = entry ? entry->want : 0;
		server->credits_until_us = holder->reported_us + term_us;
	}
	return true;
}

/* Grantor. */

struct slot_credits_grantor_host {
	char name[NAME_MAX_BYTES];
	uint64_t incarnation;
	uint64_t seq;
	bool reported; /* in this epoch */
	int64_t contact_us; /* last report, or the start of the epoch */
};

/*
 * Credits of one server by host: what each may hold and what it wanted in
 * its last report.
 */
struct slot_credits_grantor_server {
	int *outstanding;
	int *want;
};

static void grantor_server_free(gpointer data)
{
	struct slot_credits_grantor_server *server = data;

	g_free(server->outstanding);
	g_free(server->want);
	g_free(server);
}

void slot_credits_grantor_init(struct slot_credits_grantor *grantor,
			       const char *const *hosts, size_t n)
{
	size_t i;

	memset(grantor, 0, sizeof(*grantor));
	grantor->host_count = n;
	grantor->pool = slot_credits_pool(n);
	grantor->hosts = g_new0(struct slot_credits_grantor_host, n);
	for (i = 0; i < n; i++)
		snprintf(grantor->hosts[i].name, NAME_MAX_BYTES, "%s",
			 hosts[i]);
	grantor->servers = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, grantor_server_free);
}

void slot_credits_grantor_finish(struct slot_credits_grantor *grantor)
{
	g_hash_table_destroy(grantor->servers);
	g_free(grantor->hosts);
}

/*
 * Begins an epoch of this host as leader. The grants of the earlier leader
 * are unknown until each host has reported or they must have expired.
 */
void slot_credits_begin_epoch(struct slot_credits_grantor *grantor,
			      uint64_t epoch, int64_t now_us)
{
	size_t i;

	grantor->epoch = epoch;
	g_hash_table_remove_all(grantor->servers);
	for (i = 0; i < grantor->host_count; i++) {
		grantor->hosts[i].reported = false;
		grantor->hosts[i].seq = 0;
		grantor->hosts[i].incarnation = 0;
		grantor->hosts[i].contact_us = now_us;
	}
}

/*
 * True when no grant to the host can be in use any more: the term after its
 * last report has ended, and so has the longest deadline of a request that
 * started at the end of the term.
 */
static bool grants_expired(const struct slot_credits_grantor_host *host,
			   int64_t now_us)
{
	return now_us - host->contact_us >=
	       (SLOT_TERM_MS + REQ_DEADLINE_MAX_MS) * USEC_PER_MSEC;
}

/* True while credits are withheld for a host that has not reported. */
bool slot_credits_withholding(const struct slot_credits_grantor *grantor,
			      int64_t now_us)
{
	size_t i;

	for (i = 0; i < grantor->host_count; i++)
		if (!grantor->hosts[i].reported &&
		    !grants_expired(&grantor->hosts[i], now_us))
			return true;
	return false;
}

static struct slot_credits_grantor_server *
grantor_server_get(struct slot_credits_grantor *grantor, const char *name)
{
	struct slot_credits_grantor_server *server =
		g_hash_table_lookup(grantor->servers, name);

	if (server)
		return server;
	server = g_new0(struct slot_credits_grantor_server, 1);
	server->outstanding = g_new0(int, grantor->host_count);
	server->want = g_new0(int, grantor->host_count);
	g_hash_table_insert(grantor->servers, g_strdup(name), server);
	return server;
}

/* Returns the credits of the pool that no other host may hold. */
static int pool_available(const struct slot_credits_grantor *grantor,
			  const struct slot_credits_grantor_server *server,
			  size_t self, int64_t now_us)
{
	int left = grantor->pool;
	size_t i;

	for (i = 0; i < grantor->host_count; i++) {
		if (i == self || grants_expired(&grantor->hosts[i], now_us))
			continue;
		if (!grantor->hosts[i].reported)
			return 0;
		left -= server->outstanding[i];
	}
	return left > 0 ? left : 0;
}

static bool is_active(const struct slot_credits_grantor_host *host,
		      int64_t now_us)
{
	return host->reported &&
	       now_us - host->contact_us < SLOT_TERM_MS * USEC_PER_MSEC;
}

/*
 * Returns the host's share of the pool under max-min fairness, given what
 * all active hosts want. Credits are assigned one at a time, round robin,
 * with a starting host that depends on the server, so that the remainders
 * go to different hosts.
 */
static int fair_share(const struct slot_credits_grantor *grantor,
		      const struct slot_credits_grantor_server *server,
		      const char *name, size_t self, int64_t now_us)
{
	size_t i, k, n = grantor->host_count;
	size_t first = XXH3_64bits(name, strlen(name)) % n;
	int left = grantor->pool, part = 0, round;

	for (round = 1; left > 0 && round <= grantor->pool; round++)
		for (i = 0; i < n && left > 0; i++) {
			k = (first + i) % n;
			if (server->want[k] < round ||
			    !is_active(&grantor->hosts[k], now_us))
				continue;
			left--;
			if (k == self)
				part++;
		}
	return part;
}

static struct slot_credits_grantor_host *
find_host(struct slot_credits_grantor *grantor, const char *name, size_t *index)
{
	for (*index = 0; *index < grantor->host_count; (*index)++)
		if (strcmp(grantor->hosts[*index].name, name) == 0)
			return &grantor->hosts[*index];
	return NULL;
}

static bool has_no_credits(const struct slot_credits_grantor *grantor,
			   const struct slot_credits_grantor_server *server)
{
	size_t i;

	for (i = 0; i < grantor->host_count; i++)
		if (server->outstanding[i] || server->want[i])
			return false;
	return true;
}

/* Replaces all entries of a host by those of its report. */
static void store_report(struct slot_credits_grantor *grantor, size_t index,
			 const struct slot_credits_entry *entries, size_t n)
{
	struct slot_credits_grantor_server *server;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	g_hash_table_iter_init(&iter, grantor->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server = value;
		server->outstanding[index] = 0;
		server->want[index] = 0;
		if (has_no_credits(grantor, server))
			g_hash_table_iter_remove(&iter);
	}
	for (i = 0; i < n; i++) {
		server = grantor_server_get(grantor, entries[i].server);
		server->outstanding[index] = entries[i].held;
		server->want[index] = entries[i].want;
	}
}

/*
 * Handles a host's report and fills grants (of struct slot_credits_entry)
 * with the answer. May be called only while this host is the leader.
 * Returns false for a report to another epoch or one that is older than
 * the last; no answer may be sent then.
 */
bool slot_credits_handle_report(struct slot_credits_grantor *grantor,
				const char *host,
				const struct slot_credits_report_id *id,
				const struct slot_credits_entry *entries,
				size_t n, GArray *grants, int64_t now_us)
{
	struct slot_credits_grantor_server *server;
	struct slot_credits_grantor_host *from;
	struct slot_credits_entry grant;
	size_t index, i;
	int left;

	from = find_host(grantor, host, &index);
	if (!from || id->epoch != grantor->epoch ||
	    id->incarnation < from->incarnation ||
	    (id->incarnation == from->incarnation && id->seq <= from->seq))
		return false;
	from->incarnation = id->incarnation;
	from->seq = id->seq;
	from->reported = true;
	from->contact_us = now_us;
	store_report(grantor, index, entries, n);
	for (i = 0; i < n; i++) {
		server = grantor_server_get(grantor, entries[i].server);
		memset(&grant, 0, sizeof(grant));
		memcpy(grant.server, entries[i].server, sizeof(grant.server));
		grant.want = fair_share(grantor, server, entries[i].server,
					index, now_us);
		left = pool_available(grantor, server, index, now_us);
		if (grant.want > left)
			grant.want = left;
		if (grant.want > server->outstanding[index])
			server->outstanding[index] = grant.want;
		if (grant.want > 0)
			g_array_append_val(grants, grant);
	}
	return true;
}
