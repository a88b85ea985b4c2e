#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* One call with one input; aborts when a property does not hold. */
int fuzz_frame(const uint8_t *data, size_t size);
int fuzz_message(const uint8_t *data, size_t size);
int fuzz_settings(const uint8_t *data, size_t size);
int fuzz_document(const uint8_t *data, size_t size);
int fuzz_platform(const uint8_t *data, size_t size);

/* tests/fuzz/run builds with FUZZER; the unit test calls the functions. */
#ifdef FUZZER
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
#define FUZZ_ENTRY(fn)                                               \
	int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) \
	{                                                            \
		return fn(data, size);                               \
	}
#else
#define FUZZ_ENTRY(fn)
#endif

#endif
