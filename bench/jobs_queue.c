#include <stdlib.h>

#include "base/limits.h"
#include "bench/jobs_run.h"

/* Events. */

void run_queue_init(struct run_queue *queue)
{
	queue->heap = g_ptr_array_new();
	queue->seq = 0;
}

void run_queue_finish(struct run_queue *queue)
{
	g_ptr_array_foreach(queue->heap, (GFunc)(void (*)(void))g_free, NULL);
	g_ptr_array_free(queue->heap, TRUE);
}

static bool earlier(const struct run_event *a, const struct run_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->seq < b->seq;
}

static void swap(gpointer *a, gpointer *b)
{
	gpointer tmp = *a;

	*a = *b;
	*b = tmp;
}

void run_queue_add(struct run_queue *queue, int64_t at_us,
		   void (*fn)(void *run, struct run_event *event), int index,
		   uint32_t run_no)
{
	struct run_event *event = g_new(struct run_event, 1);
	gpointer *heap;
	guint i;

	*event = (struct run_event){ at_us, queue->seq++, fn, index, run_no };
	g_ptr_array_add(queue->heap, event);
	heap = queue->heap->pdata;
	for (i = queue->heap->len - 1; i > 0; i = (i - 1) / 2) {
		if (!earlier(heap[i], heap[(i - 1) / 2]))
			break;
		swap(&heap[i], &heap[(i - 1) / 2]);
	}
}

struct run_event *run_queue_pop(struct run_queue *queue)
{
	struct run_event *event;
	gpointer *heap = queue->heap->pdata;
	guint i = 0, child, len = queue->heap->len;

	if (len == 0)
		return NULL;
	event = heap[0];
	heap[0] = heap[--len];
	g_ptr_array_set_size(queue->heap, len);
	while ((child = 2 * i + 1) < len) {
		if (child + 1 < len && earlier(heap[child + 1], heap[child]))
			child++;
		if (!earlier(heap[child], heap[i]))
			break;
		swap(&heap[i], &heap[child]);
		i = child;
	}
	return event;
}

/* Samples. */

void run_samples_init(struct run_samples *samples)
{
	*samples = (struct run_samples){ 0 };
	samples->ratios = g_array_new(FALSE, FALSE, sizeof(double));
}

void run_samples_finish(struct run_samples *samples)
{
	g_array_free(samples->ratios, TRUE);
}

void run_sample(struct run_samples *samples, const struct cell *cell)
{
	double ratio;

	if (cell->free == 0)
		return;
	ratio = (double)cell_largest_gang(cell) / cell->free;
	g_array_append_val(samples->ratios, ratio);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double run_median(GArray *values)
{
	if (values->len == 0)
		return 0;
	qsort(values->data, values->len, sizeof(double), by_value);
	return g_array_index(values, double, values->len / 2);
}

bool run_is_bad(const struct load *load, int worker, int64_t now_us)
{
	int i;

	for (i = 0; i < load->fault_count; i++) {
		const struct load_fault *f = &load->faults[i];

		if (f->worker == worker && now_us >= f->from_us &&
		    now_us < f->to_us)
			return true;
	}
	return false;
}

/* Results. */

void run_result_init(struct run_result *result, const struct load *load)
{
	*result = (struct run_result){ 0 };
	result->start_us = g_new0(int64_t, load->job_count + 1);
	result->done_us = g_new0(int64_t, load->job_count + 1);
}

void run_result_finish(struct run_result *result)
{
	g_free(result->start_us);
	g_free(result->done_us);
}

static void add_job(struct run_result *r, const struct load_job *job, int i)
{
	r->run_s += (double)job->work_us / USEC_PER_SEC;
	r->wait_s += (double)(r->start_us[i] - job->arrive_us) / USEC_PER_SEC;
	r->completion_s +=
		(double)(r->done_us[i] - job->arrive_us) / USEC_PER_SEC;
}

static void divide(struct run_result *r, int n)
{
	r->run_s /= MAX(1, n);
	r->wait_s /= MAX(1, n);
	r->completion_s /= MAX(1, n);
}

void run_compare(const struct load *load, struct run_result *a,
		 struct run_result *b)
{
	int i, n = 0;

	for (i = 0; i < load->job_count; i++) {
		a->done += a->done_us[i] > 0;
		b->done += b->done_us[i] > 0;
		if (!a->done_us[i] || !b->done_us[i] || load->jobs[i].cancel_us)
			continue;
		add_job(a, &load->jobs[i], i);
		add_job(b, &load->jobs[i], i);
		n++;
	}
	divide(a, n);
	divide(b, n);
}
