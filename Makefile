# Build: make; tests: make check; benchmarks: make bench; see README.md.

BUILD ?= build
CC ?= cc
SANITIZE ?=
OPT ?= -O2
PACKAGES = talloc tevent msgpack liburcu jansson yaml-0.1 libsodium libxxhash \
	   libnghttp2 glib-2.0 gio-2.0
LIB_DIRS = common config authenticate admit route confirm control membership \
	   wire io session daemon tool
LIB_SRCS = $(wildcard $(LIB_DIRS:%=lib/%/*.c)) $(wildcard platform/*.c)
LIB_OBJS = $(LIB_SRCS:%.c=$(BUILD)/%.o)

CFLAGS = -std=gnu11 -D_GNU_SOURCE -g $(OPT) -Wall -Wextra -Werror \
	 -Wstrict-prototypes -Wmissing-prototypes -Wno-format-truncation \
	 $(SANITIZE)
CPPFLAGS = $(LIB_DIRS:%=-Ilib/%) -Iplatform -Iprograms/standin -Iprograms/platform_standin -Itests -Ibench -Isoak \
	   $(shell pkg-config --cflags $(PACKAGES)) -MMD -MP
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lurcu-memb -lhttp_parser -lpthread
LDFLAGS = $(SANITIZE)

PROGRAMS = $(BUILD)/lacewingspand $(BUILD)/lacewingspan $(BUILD)/standin \
	   $(BUILD)/platform_standin
SOAK = $(BUILD)/soak/soak
TEST_SUPPORT = $(wildcard tests/support_*.c) programs/platform_standin/promotion_calls.c
TESTS = $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))
BENCHES = $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))
BENCH_SUPPORT = $(wildcard bench/support_*.c)
FORMATTED = $(wildcard lib/*/*.[ch] platform/*.[ch] programs/*/*.[ch] tests/*.[ch] \
	    bench/*.[ch] soak/*.[ch])

.PHONY: all check soak soak-short bench bench-slopes demo format format-check lint clean tests

all: $(PROGRAMS)

tests: $(TESTS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CFLAGS) $(CPPFLAGS) -c $< -o $@

$(BUILD)/liblacewingspan.a: $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/lacewingspand: $(BUILD)/programs/lacewingspand/main.o
$(BUILD)/lacewingspan: $(BUILD)/programs/lacewingspan/main.o
$(BUILD)/standin: $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/standin/*.c))
$(BUILD)/platform_standin: $(patsubst %.c,$(BUILD)/%.o,$(wildcard programs/platform_standin/*.c))
$(PROGRAMS): $(BUILD)/liblacewingspan.a
	@echo LD $@
	@$(CC) $(LDFLAGS) $(filter %.o,$^) $(BUILD)/liblacewingspan.a $(LDLIBS) \
		-o $@

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(TEST_SUPPORT:%.c=$(BUILD)/%.o) \
		$(BUILD)/liblacewingspan.a
	@echo LD $@
	@$(CC) $(LDFLAGS) $(filter %.o,$^) $(BUILD)/liblacewingspan.a $(LDLIBS) \
		-o $@

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BENCH_SUPPORT:%.c=$(BUILD)/%.o) \
		$(TEST_SUPPORT:%.c=$(BUILD)/%.o) $(BUILD)/liblacewingspan.a
	@echo LD $@
	@$(CC) $(LDFLAGS) $(filter %.o,$^) $(BUILD)/liblacewingspan.a $(LDLIBS) \
		-o $@

$(SOAK): $(patsubst %.c,$(BUILD)/%.o,$(wildcard soak/*.c) tests/support_platform.c)
	@echo LD $@
	@$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

check: all tests
	tests/run.sh $(BUILD)

# As in tests/run.sh: data directories in memory, so that no sync stalls.
export TMPDIR ?= $(shell test -w /dev/shm && echo /dev/shm || echo /tmp)

# Short runs of the seeds in soak/seeds.txt: all but one found a fault before.
soak-short: all $(SOAK)
	sed -n 's/^\([0-9][0-9]*\).*/\1/p' soak/seeds.txt | LWS_BUILD=$(BUILD) \
		xargs -P 4 -n 1 $(SOAK) --seconds 10 --seed

soak: all $(SOAK)
	LWS_BUILD=$(BUILD) $(SOAK) --seed $${SEED:-1} --seeds $${SEEDS:-50}

bench: all $(BENCHES)
	bench/run.sh $(BUILD)

bench-slopes: all $(BENCHES)
	bench/slopes.sh $(BUILD)

demo:
	./demo.sh

format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run --Werror $(FORMATTED)

lint:
	@echo $(filter %.c,$(FORMATTED)) | xargs -n 1 -P $$(nproc) sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 -D_GNU_SOURCE \
		$(filter-out -MMD -MP,$(CPPFLAGS)) 2>/dev/null' clang-tidy
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
		--enable=warning,performance,portability \
		'-Djson_object_foreach(o,k,v)=for(;;)' \
		'-Djson_array_foreach(a,i,v)=for(;;)' \
		--suppress=missingIncludeSystem $(LIB_DIRS:%=-Ilib/%) -Iplatform \
		lib platform programs

clean:
	rm -rf $(BUILD) build-*

-include $(shell find $(BUILD) -name "*.d" 2>/dev/null)

.SECONDARY:
