#include <stdlib.h>
#include <string.h>

#include "policy/doc.h"
#include "tests/fuzz/fuzz.h"

/* A section named by the text up to the first newline, and its body. */
static void check_section(const char *data, size_t size)
{
	const char *end = memchr(data, '\n', size);
	json_error_t where;
	GError *err = NULL;
	json_t *body;
	char *name;

	if (!end)
		return;
	name = g_strndup(data, (size_t)(end - data));
	body = json_loadb(end + 1, size - (size_t)(end - data) - 1,
			  JSON_DECODE_ANY, &where);
	if (body && doc_check_section(name, body, &err) == (err != NULL))
		abort();
	g_clear_error(&err);
	json_decref(body);
	g_free(name);
}

/* The root of a document, or a section. */
int fuzz_document(const uint8_t *data, size_t size)
{
	GError *err = NULL;
	struct doc *doc, *again;
	char *text;

	doc = doc_root_parse((const char *)data, size, &err);
	if (!doc == !err)
		abort();
	g_clear_error(&err);
	if (doc) {
		/* What was accepted must be accepted again when written. */
		text = doc_root_text(doc);
		again = doc_root_parse(text, strlen(text), NULL);
		if (!again || again->revision != doc->revision)
			abort();
		doc_free(again);
		free(text);
		doc_free(doc);
	}
	check_section((const char *)data, size);
	return 0;
}

FUZZ_ENTRY(fuzz_document)
