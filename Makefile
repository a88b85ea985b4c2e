# Targets: all, check, demo, bench, scenarios, format, lint, clean.
# make SAN=1 builds with the address and undefined-behaviour sanitizers.

CC ?= gcc
PKGS := libwebsockets libuv msgpack glib-2.0 jansson libxxhash
BUILD := build
OPT := -O2 -g
ifeq ($(SAN),1)
BUILD := build-san
OPT := -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
LDFLAGS += -fsanitize=address,undefined
endif

CPPFLAGS += -I. -D_GNU_SOURCE $(shell pkg-config --cflags $(PKGS))
CFLAGS += -std=gnu11 -Wall -Wextra -Wstrict-prototypes -Wmissing-prototypes \
	-Wno-unused-parameter -Werror -MMD -MP $(OPT)
LDLIBS += $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lcap -lm
CHECK_LIBS := $(shell pkg-config --libs check)
LUA_CFLAGS := $(shell pkg-config --cflags lua5.4)
LUA_LIBS := $(shell pkg-config --libs lua5.4)

# Each package is a flat folder of sources.
LIB_SRC := $(wildcard base/*.c wire/*.c policy/*.c fleet/*.c control/*.c \
	platform/*.c) \
	$(filter-out daemon/main.c,$(wildcard daemon/*.c daemon/*/*.c))
CLI_SRC := $(filter-out cli/main.c,$(wildcard cli/*.c))
TEST_SRC := $(wildcard tests/unit/test_*.c)
# A stand-in program is tests/standins/<name>_main.c; the other files in
# that folder are shared by all of them.
STANDIN_MAIN := $(wildcard tests/standins/*_main.c)
STANDIN_SRC := $(filter-out $(STANDIN_MAIN),$(wildcard tests/standins/*.c))
BENCH_MAIN := $(wildcard bench/bench_*.c)
BENCH_SRC := $(filter-out $(BENCH_MAIN),$(wildcard bench/*.c))

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB := $(BUILD)/libchivebank.a
TESTS := $(patsubst tests/unit/%.c,$(BUILD)/tests/%,$(TEST_SRC))
STANDINS := $(patsubst tests/standins/%_main.c,$(BUILD)/standins/%,\
	$(STANDIN_MAIN))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_MAIN))
SOAK_SRC := $(wildcard tests/soak/*.c)
# Loaded into the processes of the soak, to shift their time of day.
SOAK_CLOCK := $(BUILD)/soak-clock.so
BINS := $(BUILD)/chivebankd $(BUILD)/chivebank

ALL_C := $(wildcard base/*.[ch] wire/*.[ch] policy/*.[ch] daemon/*.[ch] daemon/*/*.[ch] \
	fleet/*.[ch] control/*.[ch] platform/*.[ch] \
	cli/*.[ch] bench/*.[ch] tests/*/*.[ch])

all: $(BINS) $(STANDINS) $(TESTS) $(BENCHES) $(BUILD)/soak-run $(SOAK_CLOCK)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS) $(EXTRA_CPPFLAGS) $(CFLAGS) -c -o $@ $<

$(call obj,$(wildcard tests/standins/*.c)): EXTRA_CPPFLAGS = $(LUA_CFLAGS)

$(LIB): $(call obj,$(LIB_SRC))
	@mkdir -p $(@D)
	@rm -f $@
	@$(AR) rcs $@ $^

$(BUILD)/chivebankd: $(call obj,daemon/main.c) $(LIB)
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/chivebank: $(call obj,cli/main.c $(CLI_SRC)) $(LIB)
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/tests/%: $(BUILD)/tests/unit/%.o $(call obj,$(CLI_SRC)) \
		$(call obj,$(STANDIN_SRC)) $(LIB)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(LDLIBS) $(LUA_LIBS)

$(BUILD)/standins/%: $(BUILD)/tests/standins/%_main.o \
		$(call obj,$(STANDIN_SRC)) $(LIB)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(LUA_LIBS)

$(BUILD)/soak-run: $(call obj,$(SOAK_SRC)) $(call obj,$(STANDIN_SRC)) $(LIB)
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(LUA_LIBS)

$(SOAK_CLOCK): tests/clock/clock.c
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) -shared -fPIC -D_GNU_SOURCE -Wall -Wextra -Werror -O2 -o $@ $<

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(call obj,$(BENCH_SRC)) $(LIB)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Unit tests run under the sanitizers.
check:
	.ci/packages
	tests/check-events
	$(MAKE) SAN=1 all
	$(MAKE) SAN=1 run-tests

run-tests: $(TESTS)
	tests/run-unit $(TESTS)

demo:
	.ci/packages
	$(MAKE) all
	tests/demo $(BUILD)

bench: all
	bench/run $(BUILD)

# make experiment EXPERIMENT=bench/crest.json BASE=HEAD~3 SEEDS=5
EXPERIMENT ?= bench/crest.json
experiment: $(BUILD)/bench/bench_experiment
	bench/experiment $(BUILD) $(EXPERIMENT) "$(BASE)" $(SEEDS)

scenarios: all
	tests/run-scenarios $(BUILD)

# make soak SEEDS="1 2 3" SECONDS=20 SOAK_OPTIONS=--stops
soak: $(BINS) $(BUILD)/soak-run $(SOAK_CLOCK)
	tests/run-soak $(BUILD) $(SECONDS) $(SEEDS)

scenario: all
	tests/run-scenarios $(BUILD) $(S) $(SEED)

format:
	clang-format -i $(ALL_C)

format-check:
	@clang-format --dry-run --Werror $(ALL_C)

lint:
	@cppcheck --quiet --library=gtk --error-exitcode=1 --std=c11 --inline-suppr -j 8 \
		--enable=warning,portability --suppress=missingIncludeSystem \
		--suppress=normalCheckLevelMaxBranches -I. $(ALL_C)

clean:
	rm -rf build build-san

.PHONY: all check run-tests demo bench experiment scenarios scenario soak format \
	format-check lint clean
.SECONDARY:

-include $(patsubst %.o,%.d,$(call obj,$(filter %.c,$(ALL_C))))
