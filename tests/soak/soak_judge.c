#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "tests/soak/soak.h"

/*
 * The platform's rule on calls around planned work: one that was sent whole is
 * answered, unless an unplanned fault is near it. A connection may end so soon
 * after the last byte was sent that the host had not read it.
 */

#define CONTACT_MS 3000
#define LOSS_SLACK_MS 200
#define AFTER_MS 1000 /* for which planned work is near after its time */
#define TRACE_MS 8000 /* of the marks that are printed with a cut call */

static bool is_near(const struct soak_mark *mark, int64_t sent_us,
		    int64_t ended_us)
{
	int64_t since_ms = (ended_us - mark->at_us) / USEC_PER_MSEC;
	int64_t sent_ms = (sent_us - mark->at_us) / USEC_PER_MSEC;

	if (since_ms < 0)
		return false;
	if (strcmp(mark->what, "term") == 0)
		return since_ms <= SOAK_GRACE_MS + AFTER_MS;
	return strcmp(mark->what, "hup") == 0 && sent_ms <= SOAK_CONFIG_MS;
}

static bool is_planned(const struct soak *soak, const struct soak_host *host,
		       int64_t sent_us, int64_t ended_us)
{
	guint i;

	for (i = 0; i < host->marks->len; i++)
		if (is_near(&g_array_index(host->marks, struct soak_mark, i),
			    sent_us, ended_us))
			return true;
	return soak->config_us && ended_us >= soak->config_us &&
	       sent_us <= soak->config_us +
				  (SOAK_CONFIG_MS + AFTER_MS) * USEC_PER_MSEC;
}

/* The latest marks of a host, in milliseconds before the end of a call. */
static char *describe(const struct soak_host *host, int64_t sent_us,
		      int64_t ended_us, const char *what)
{
	GString *text = g_string_new(NULL);
	guint i;

	g_string_printf(text, "%s age=%.1fms", what,
			(double)(ended_us - sent_us) / USEC_PER_MSEC);
	for (i = 0; i < host->marks->len; i++) {
		const struct soak_mark *mark =
			&g_array_index(host->marks, struct soak_mark, i);

		if (ended_us - mark->at_us < TRACE_MS * USEC_PER_MSEC)
			g_string_append_printf(
				text, " %s=%.0f", mark->what,
				(double)(mark->at_us - ended_us) /
					USEC_PER_MSEC);
	}
	return g_string_free(text, FALSE);
}

void soak_judge_cut(struct soak *soak, const struct soak_host *host,
		    int64_t sent_us, int64_t ended_us, const char *what)
{
	int64_t calm_us = sent_us - CONTACT_MS * USEC_PER_MSEC;
	char *text = describe(host, sent_us, ended_us, what);
	const char *kind;

	if (ended_us - sent_us <= LOSS_SLACK_MS * USEC_PER_MSEC) {
		kind = "slack";
		soak->cut_slack++;
	} else if (host->disrupted_us >= calm_us ||
		   soak->store_disrupted_us >= calm_us) {
		kind = "near_fault";
		soak->cut_disrupted++;
	} else if (!is_planned(soak, host, sent_us, ended_us)) {
		kind = "elsewhere";
		soak->cut_unplanned++;
	} else {
		char *id = g_strdup_printf("%s %s", host->name, text);

		kind = "lost";
		soak->cut_lost++;
		soak_violated(soak, "LOST", id,
			      "a call ended without an answer");
		g_free(id);
	}
	printf("%9.3f cut=%s at=%s %s\n", (double)ended_us / 1e6, kind,
	       host->name, text);
	g_free(text);
}
