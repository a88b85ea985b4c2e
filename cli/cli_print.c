#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "cli/cli.h"

void cli_print_json(struct cli *cli, const json_t *value)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_INDENT(2));

	fprintf(cli->out, "%s\n", text ? text : "null");
	free(text);
}

/* Strings as they are, other values as JSON. */
static char *cell_text(const json_t *value)
{
	char *text, *copy;

	if (!value)
		return g_strdup("-");
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	return copy;
}

static void add_row(GPtrArray *cells, const struct cli_column *columns,
		    const char *name, const json_t *row)
{
	for (; columns->title; columns++)
		g_ptr_array_add(cells, *columns->key ?
					       cell_text(json_object_get(
						       row, columns->key)) :
					       g_strdup(name));
}

static void print_cells(struct cli *cli, GPtrArray *cells, size_t width)
{
	size_t *widths = g_new0(size_t, width);
	const char *cell;
	unsigned int i;

	for (i = 0; i < cells->len; i++)
		widths[i % width] =
			MAX(widths[i % width], strlen(cells->pdata[i]));
	for (i = 0; i < cells->len; i++) {
		cell = cells->pdata[i];
		if (i % width == width - 1)
			fprintf(cli->out, "%s\n", cell);
		else
			fprintf(cli->out, "%-*s  ", (int)widths[i % width],
				cell);
	}
	g_free(widths);
}

void cli_print_table(struct cli *cli, const struct cli_column *columns,
		     json_t *rows)
{
	GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
	size_t width = 0, i;
	const char *name;
	json_t *row;

	for (; columns[width].title; width++)
		g_ptr_array_add(cells, g_strdup(columns[width].title));
	json_array_foreach(rows, i, row) {
		add_row(cells, columns, "", row);
	}
	json_object_foreach(rows, name, row) {
		add_row(cells, columns, name, row);
	}
	print_cells(cli, cells, width);
	g_ptr_array_free(cells, TRUE);
}

/* Reads a JSON file, "-" for the standard input; NULL after an error. */
json_t *cli_read_json(struct cli *cli, const char *path, int *code)
{
	json_error_t error;
	json_t *value;

	if (strcmp(path, "-") == 0)
		value = json_loadf(stdin, JSON_REJECT_DUPLICATES, &error);
	else
		value = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
	*code = CB_OK;
	if (!value && error.line < 0)
		*code = cli_fail(cli, CB_E_IO, "%s", error.text);
	else if (!value)
		*code = cli_fail(cli, CB_E_IO, "%s: line %d, column %d: %s",
				 path, error.line, error.column, error.text);
	return value;
}
