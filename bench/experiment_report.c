#include <math.h>
#include <string.h>

#include "bench/experiment.h"
#include "fleet/limits.h"

/* Points of each curve in a report; enough for a plot of PLOT_WIDTH. */
#define CURVE_POINTS 60
/* The curve of times ends at so many objectives. */
#define CURVE_OBJECTIVES 4.0

json_t *exp_report_new(const char *label)
{
	return json_pack("{s:s,s:{},s:[],s:[],s:f,s:f,s:f,s:i}", "label", label,
			 "kinds", "use", "whole", "work", 0.0, "waste", 0.0,
			 "processor_s", 0.0, "seeds", 0);
}

static void add_number(json_t *object, const char *name, double more)
{
	double sum = json_number_value(json_object_get(object, name)) + more;

	json_object_set_new(object, name, json_real(sum));
}

/* Adds the values of one run to the sums of the runs before. */
static void add_series(json_t *report, const char *name, const GArray *more)
{
	json_t *series = json_object_get(report, name);
	guint i;

	for (i = 0; i < more->len; i++) {
		double value = g_array_index(more, double, i);

		if (i < json_array_size(series))
			json_array_set_new(
				series, i,
				json_real(value +
					  json_number_value(
						  json_array_get(series, i))));
		else
			json_array_append_new(series, json_real(value));
	}
}

static json_t *kind_of(json_t *report, const char *name)
{
	json_t *kinds = json_object_get(report, "kinds");
	json_t *kind = json_object_get(kinds, name);

	if (kind)
		return kind;
	kind = json_pack("{s:f,s:f,s:f,s:f,s:f,s:[],s:[]}", "jobs", 0.0,
			 "in_time", 0.0, "late", 0.0, "worth", 0.0, "owed", 0.0,
			 "times", "waits");
	json_object_set_new(kinds, name, kind);
	return kind;
}

static void add_job(json_t *kind, const struct exp_kind *spec,
		    const struct exp_job *job)
{
	double objectives = job->done_ms / job->objective_ms;

	add_number(kind, "jobs", 1);
	add_number(kind, "owed", spec->worth);
	if (job->start_ms >= 0)
		json_array_append_new(json_object_get(kind, "waits"),
				      json_real(job->start_ms));
	if (job->done_ms < 0)
		return;
	json_array_append_new(json_object_get(kind, "times"),
			      json_real(objectives));
	if (objectives <= 1) {
		add_number(kind, "in_time", 1);
		add_number(kind, "worth", spec->worth);
	} else if (objectives <= LATE_FACTOR) {
		add_number(kind, "late", 1);
		add_number(kind, "worth", spec->worth * spec->late);
	}
}

void exp_report_add(json_t *report, const struct exp_settings *settings,
		    const struct exp_result *result)
{
	guint i;

	for (i = 0; i < result->jobs->len; i++) {
		const struct exp_job *job =
			&g_array_index(result->jobs, struct exp_job, i);
		const struct exp_kind *kind = &settings->kinds[job->kind];

		add_job(kind_of(report, kind->name), kind, job);
	}
	add_series(report, "use", result->use);
	add_series(report, "whole", result->whole);
	add_number(report, "work", result->work);
	add_number(report, "waste", result->waste);
	add_number(report, "processor_s", result->run_s);
	json_object_set_new(report, "seeds",
			    json_integer(json_integer_value(json_object_get(
						 report, "seeds")) +
					 1));
}

/* Reading. */

static int by_value(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static GArray *sorted(const json_t *numbers)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	json_t *number;
	size_t i;

	json_array_foreach(numbers, i, number) {
		double value = json_number_value(number);

		g_array_append_val(values, value);
	}
	g_array_sort(values, by_value);
	return values;
}

static double quantile(const json_t *numbers, double share)
{
	GArray *values = sorted(numbers);
	double value =
		values->len ?
			g_array_index(values, double,
				      (guint)(share * (values->len - 1))) :
			0;

	g_array_unref(values);
	return value;
}

static double number_of(const json_t *object, const char *name)
{
	return json_number_value(json_object_get(object, name));
}

static double mean_of(const json_t *report, const char *name)
{
	const json_t *series = json_object_get(report, name);
	double sum = 0;
	json_t *value;
	size_t i;

	json_array_foreach(series, i, value) {
		sum += json_number_value(value);
	}
	return sum / (double)MAX(json_array_size(series), 1) /
	       MAX(number_of(report, "seeds"), 1);
}

void exp_report_print(const json_t *report, FILE *out)
{
	double worth = 0, owed = 0;
	const char *name;
	json_t *kind;

	fprintf(out, "%-20s %6s %8s %6s %6s %10s %10s %10s\n",
		json_string_value(json_object_get(report, "label")), "jobs",
		"in time", "late", "worth", "p50 x obj", "p95 x obj",
		"p95 wait s");
	json_object_foreach(json_object_get(report, "kinds"), name, kind) {
		const json_t *times = json_object_get(kind, "times");
		double jobs = MAX(number_of(kind, "jobs"), 1);

		fprintf(out,
			"%-20s %6.0f %8.3f %6.3f %6.3f %10.2f %10.2f %10.2f\n",
			name, jobs, number_of(kind, "in_time") / jobs,
			number_of(kind, "late") / jobs,
			number_of(kind, "worth") / number_of(kind, "owed"),
			quantile(times, 0.5), quantile(times, 0.95),
			quantile(json_object_get(kind, "waits"), 0.95) /
				1000.0);
		worth += number_of(kind, "worth");
		owed += number_of(kind, "owed");
	}
	fprintf(out,
		"worth=%.4f waste=%.4f accelerators_used=%.3f "
		"free_in_one_rack=%.3f decisions_s=%.3f seeds=%.0f\n",
		worth / MAX(owed, 1),
		number_of(report, "waste") /
			MAX(number_of(report, "work") +
				    number_of(report, "waste"),
			    1),
		mean_of(report, "use"), mean_of(report, "whole"),
		number_of(report, "processor_s"), number_of(report, "seeds"));
}

/* Plots. */

#define PLOT_WIDTH 420
#define PLOT_HEIGHT 220
#define PLOT_GAP 60
#define PLOT_MARGIN 44

static const char *const colours[] = { "#1f77b4", "#d62728", "#2ca02c",
				       "#9467bd" };

static void frame(FILE *out, double left, double top, const char *title,
		  const char *below)
{
	fprintf(out,
		"<rect x=\"%.0f\" y=\"%.0f\" width=\"%d\" height=\"%d\" "
		"fill=\"none\" stroke=\"#888\"/>\n"
		"<text x=\"%.0f\" y=\"%.0f\">%s</text>\n"
		"<text x=\"%.0f\" y=\"%.0f\" fill=\"#555\">%s</text>\n",
		left, top, PLOT_WIDTH, PLOT_HEIGHT, left, top - 8, title, left,
		top + PLOT_HEIGHT + 16, below);
}

static void line_begin(FILE *out, size_t index)
{
	fprintf(out,
		"<polyline fill=\"none\" stroke=\"%s\" "
		"stroke-width=\"1.6\" points=\"",
		colours[index % G_N_ELEMENTS(colours)]);
}

/* The share of the jobs that were done within so many objectives. */
static void draw_times(FILE *out, double left, double top, const json_t *kind,
		       size_t index)
{
	GArray *times = sorted(json_object_get(kind, "times"));
	double jobs = MAX(number_of(kind, "jobs"), 1);
	guint done = 0;
	int p;

	line_begin(out, index);
	for (p = 0; p <= CURVE_POINTS; p++) {
		double share = (double)p / CURVE_POINTS;

		while (done < times->len &&
		       g_array_index(times, double, done) <=
			       share * CURVE_OBJECTIVES)
			done++;
		fprintf(out, "%.1f,%.1f ", left + share * PLOT_WIDTH,
			top + PLOT_HEIGHT * (1 - done / jobs));
	}
	fprintf(out, "\"/>\n");
	g_array_unref(times);
}

static void draw_series(FILE *out, double left, double top,
			const json_t *report, const char *name, size_t index)
{
	const json_t *series = json_object_get(report, name);
	double seeds = MAX(number_of(report, "seeds"), 1);
	double most = MAX((double)json_array_size(series) - 1, 1);
	json_t *value;
	size_t i;

	line_begin(out, index);
	json_array_foreach(series, i, value) {
		fprintf(out, "%.1f,%.1f ", left + (double)i / most * PLOT_WIDTH,
			top + PLOT_HEIGHT *
					(1 - json_number_value(value) / seeds));
	}
	fprintf(out, "\"/>\n");
}

static double place(int number, bool down)
{
	int step = down ? number / 2 : number % 2;

	return PLOT_MARGIN +
	       step * ((down ? PLOT_HEIGHT : PLOT_WIDTH) + PLOT_GAP);
}

static void draw_all(FILE *out, json_t **reports, size_t count)
{
	static const char *const series[] = { "use", "whole" };
	static const char *const titles[] = {
		"accelerators in use, share over time",
		"free accelerators that are in one rack, share over time"
	};
	json_t *kinds = json_object_get(reports[0], "kinds");
	const char *name;
	json_t *unused;
	int number = 0;
	size_t r, s;

	json_object_foreach(kinds, name, unused) {
		double left = place(number, false), top = place(number, true);

		frame(out, left, top, name,
		      "share of the jobs done within 0 to 4 objectives");
		for (r = 0; r < count; r++) {
			const json_t *kind = json_object_get(
				json_object_get(reports[r], "kinds"), name);

			if (kind)
				draw_times(out, left, top, kind, r);
		}
		number++;
	}
	for (s = 0; s < G_N_ELEMENTS(series); s++, number++) {
		double left = place(number, false), top = place(number, true);

		frame(out, left, top, titles[s], "seconds of the run");
		for (r = 0; r < count; r++)
			draw_series(out, left, top, reports[r], series[s], r);
	}
}

bool exp_report_plot(json_t **reports, size_t count, const char *path)
{
	int plots =
		(int)json_object_size(json_object_get(reports[0], "kinds")) + 2;
	int rows = (plots + 1) / 2;
	FILE *out = fopen(path, "w");
	size_t r;

	if (!out)
		return false;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
		2 * PLOT_MARGIN + 2 * PLOT_WIDTH + PLOT_GAP,
		2 * PLOT_MARGIN + rows * (PLOT_HEIGHT + PLOT_GAP));
	draw_all(out, reports, count);
	for (r = 0; r < count; r++)
		fprintf(out, "<text x=\"%zu\" y=\"16\" fill=\"%s\">%s</text>\n",
			PLOT_MARGIN + r * 200,
			colours[r % G_N_ELEMENTS(colours)],
			json_string_value(
				json_object_get(reports[r], "label")));
	fprintf(out, "</svg>\n");
	return fclose(out) == 0;
}
