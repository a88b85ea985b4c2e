#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "control/record.h"
#include "platform/decode.h"
#include "platform/json.h"
#include "platform/store_keys.h"
#include "tests/fuzz/fuzz.h"

/*
 * Readers of what the platform, its workers, callers and other hosts write. The
 * first byte chooses the reader.
 */

static const char job_body[] =
	"{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":64,"
	"\"gang\":true,\"checkpoint\":true},{\"count\":2,\"after\":[0],"
	"\"speculative\":true}]}";

static void read_submitted(const char *text, size_t size)
{
	struct job_spec spec;
	GError *err = NULL;

	if (platform_spec_read(text, size, &spec, &err) == (err != NULL))
		abort();
	if (err)
		g_error_free(err);
	else
		job_spec_finish(&spec);
}

static void read_report(const char *text, size_t size)
{
	struct worker_report report;

	if (platform_report_read(PLATFORM_REPORTS_PREFIX "w", text, size,
				 &report))
		worker_report_finish(&report);
}

/* A report that is refused leaves nothing behind. */
static void read_hold(const char *text, size_t size)
{
	json_t *reply = json_object_parse(text, size);
	struct hold_report report;

	if (!platform_hold_read(reply, &report) &&
	    (report.running || report.ended || report.nrunning))
		abort();
	g_free(report.running);
	g_free(report.ended);
	json_decref(reply);
}

static void read_state(const char *text, size_t size)
{
	static const struct fleet_ops ops = { 0 };
	struct submission submission = {
		.queue = "q", .pool = "p", .customer = "c", .attempts = 3
	};
	msgpack_sbuffer record;
	struct fleet fleet;
	struct job_spec spec;
	struct job *job;

	if (!platform_spec_read(job_body, strlen(job_body), &spec, NULL))
		abort();
	record_submission_write(&submission, &spec, &record);
	job_spec_finish(&spec);
	job = record_submission_read("0123456789abcdef", record.data,
				     record.size);
	msgpack_sbuffer_destroy(&record);
	fleet_init(&fleet, &ops, NULL);
	fleet_add_job(&fleet, job);
	record_state_read(&fleet, job, text, size, 1000000);
	fleet_finish(&fleet);
}

static void read_record(const char *text, size_t size)
{
	enum job_phase phase;
	struct job_owner owner;
	struct job *job;

	job = record_submission_read("0123456789abcdef", text, size);
	if (job)
		job_free(job);
	record_phase_read(text, size, &phase, &owner);
	job_owner_finish(&owner);
	record_waiting_read(text, size, "q");
}

static void read_operators(const char *text, size_t size)
{
	struct config *config = platform_config_read(text, size);
	struct wave *wave = platform_wave_read(PLATFORM_WAVES_PREFIX "1", text,
					       size, 1000000);

	if (config)
		config_free(config);
	if (wave)
		wave_free(wave);
	platform_wave_status_read(text, size);
}

int fuzz_platform(const uint8_t *data, size_t size)
{
	static void (*const readers[])(const char *, size_t) = {
		read_operators, read_report, read_hold,
		read_submitted, read_record, read_state,
	};
	char *text;

	if (size == 0)
		return 0;
	/* Of exact size, so that the sanitizer sees reads past the end. */
	text = malloc(size);
	memcpy(text, data + 1, size - 1);
	text[size - 1] = '\0';
	readers[data[0] % G_N_ELEMENTS(readers)](text, size - 1);
	free(text);
	return 0;
}

FUZZ_ENTRY(fuzz_platform)
