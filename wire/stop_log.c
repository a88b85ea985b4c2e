#include "wire/stop_log.h"

#include "base/limits.h"
#include "base/log.h"

void stop_log_begin(struct stop_log *log, const struct hs_server *server,
		    size_t calls, int64_t oldest_ms, int64_t grace_ms)
{
	log->begun_us = kn_now_us();
	log->answered = 0;
	log->refused = 0;
	log_info("calls.stopping",
		 "server=%s calls=%zu oldest_ms=%" G_GINT64_FORMAT
		 " active=%zu connections=%zu grace_ms=%" G_GINT64_FORMAT,
		 log->server, calls, oldest_ms, hs_active(server),
		 server->conn_count, grace_ms);
}

void stop_log_answer(struct stop_log *log, int status)
{
	if (status == 503 || status == 429)
		log->refused++;
	else
		log->answered++;
}

void stop_log_end(const struct stop_log *log, size_t calls, int64_t oldest_ms,
		  size_t active, size_t connections)
{
	int64_t took_ms = -1;

	if (log->begun_us)
		took_ms = (kn_now_us() - log->begun_us) / USEC_PER_MSEC;
	log_info("calls.stopped",
		 "server=%s answered=%" G_GUINT64_FORMAT
		 " refused=%" G_GUINT64_FORMAT " cut=%" G_GUINT64_FORMAT
		 " calls=%zu oldest_ms=%" G_GINT64_FORMAT
		 " active=%zu connections=%zu took_ms=%" G_GINT64_FORMAT,
		 log->server, log->answered, log->refused, log->cut, calls,
		 oldest_ms, active, connections, took_ms);
}
