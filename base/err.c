#include "base/err.h"

struct result_info {
	int code;
	int http;
	const char *name;
	const char *text;
};

static const struct result_info results[] = {
#define CB_RESULT_INFO(name, num, http, text) { num, http, #name, text },
	CB_RESULTS(CB_RESULT_INFO)
#undef CB_RESULT_INFO
};

static const struct result_info *find(int code)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(results); i++)
		if (results[i].code == code)
			return &results[i];
	return NULL;
}

/* Returns the domain of all errors of this program. */
GQuark cb_error_quark(void)
{
	return g_quark_from_static_string("chivebank-error");
}

/* Returns the symbolic name of a result code, "CB_E_?" when not known. */
const char *cb_result_name(int code)
{
	const struct result_info *info = find(code);

	return info ? info->name : "CB_E_?";
}

/* Returns the one-line text of a result code. */
const char *cb_result_text(int code)
{
	const struct result_info *info = find(code);

	return info ? info->text : "unknown result code";
}

/* Returns the HTTP status of a result code, 500 when not known. */
int cb_result_http(int code)
{
	const struct result_info *info = find(code);

	return info ? info->http : 500;
}

/*
 * Returns the exit code of the command line for a result code: 0 for CB_OK,
 * otherwise the hundreds digit plus 1, so 2 is a bad request, 3 is not run,
 * 4 is unknown, 5 the document, 6 a job and 7 the process.
 */
int cb_result_exit(int code)
{
	if (code == CB_OK)
		return 0;
	return code / 100 + 1;
}
