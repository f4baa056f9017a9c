# Builds one static library per package, the daemon, the command-line tools,
# the unit tests and the stand-ins that the scripts in tests/script run
# against. VARIANT=asan builds with ASan and UBSan, VARIANT=tsan with TSan.

.DELETE_ON_ERROR:
.SECONDARY:

CC ?= gcc
VARIANT ?= release
B := build/$(VARIANT)

LIBS := base sys usage workspace route admission fleet member claim config move slo peer platform front ops \
    control model load
BINS := camphorhollowd camphorctl bench callers
DEPS := liburcu libmicrohttpd neon glib-2.0 jansson libxxhash libcurl msgpack
DEB_PACKAGES := liburcu-dev libmsgpack-dev libmicrohttpd-dev \
    libneon27-gnutls-dev libglib2.0-dev libcmocka-dev libjansson-dev \
    libxxhash-dev libcurl4-gnutls-dev pkg-config gcc make curl clang-format \
    clang-tidy cppcheck

# "make deps" installs DEB_PACKAGES if any of these programs is missing, which
# shows in the exit status of which(1).
TOOLS := clang-format clang-tidy cppcheck curl gcc

DEP_CFLAGS := $(shell pkg-config --cflags $(DEPS) 2>/dev/null)
DEP_LIBS := $(shell pkg-config --libs $(DEPS) cmocka 2>/dev/null)
CPPFLAGS := -D_GNU_SOURCE -Ipackages -Itests -I. $(DEP_CFLAGS)
CFLAGS := -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes -fno-common -pthread -g
LDLIBS := $(DEP_LIBS) -lm -pthread

ifeq ($(VARIANT),asan)
CFLAGS += -O1 -fsanitize=address,undefined -fno-sanitize-recover=all
else ifeq ($(VARIANT),tsan)
CFLAGS += -O1 -fsanitize=thread
else
CFLAGS += -O2
endif

SRCS := $(wildcard packages/*/*.c platform/*.c tests/*/*.c)
HDRS := $(wildcard packages/*/*.h platform/*.h tests/*/*.h)
OBJS := $(SRCS:%.c=$(B)/%.o)
ARCHIVES := $(foreach p,$(LIBS),\
    $(if $(wildcard packages/$(p)/*.c),$(B)/lib$(p).a))
TESTLIB_OBJS := $(patsubst %.c,$(B)/%.o,$(wildcard tests/lib/*.c))
UNIT_TESTS := $(patsubst tests/unit/%.c,$(B)/unit/%,\
    $(wildcard tests/unit/*.c))
# Tests in virtual time; their clocks and calls to the store replace the real
# ones at link time.
VIRTUAL_TESTS := test_reader_cuts test_answer_size
VIRTUAL_OBJS := $(patsubst %.c,$(B)/%.o,$(wildcard tests/virtual/*.c))
# Tests that count the bytes on the heap.
HEAP_TESTS := test_table_size test_answer_size
HEAP_OBJS := $(B)/packages/bench/heap_meter.o $(B)/packages/bench/table_fleet.o
STANDINS := $(patsubst tests/standin/%.c,$(B)/standin/%,\
    $(wildcard tests/standin/*.c))
BIN_PATHS := $(foreach b,$(BINS),$(if $(wildcard packages/$(b)/*.c),$(B)/$(b)))

.PHONY: all build deps test unit scenario soak run bench format format-check lint \
    clean

all: build

build: $(BIN_PATHS) $(UNIT_TESTS) $(STANDINS) $(B)/soak

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

define AR_RULE
$(B)/lib$(1).a: $$(patsubst %.c,$(B)/%.o,$$(wildcard packages/$(1)/*.c))
	@rm -f $$@
	@ar rcs $$@ $$^
endef
$(foreach p,$(LIBS),$(eval $(call AR_RULE,$(p))))

# Adapter to the platform on which the load balancer is deployed.
$(B)/libadapter.a: $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
	@rm -f $@
	@ar rcs $@ $^
ARCHIVES += $(B)/libadapter.a

define BIN_RULE
$(B)/$(1): $$(patsubst %.c,$(B)/%.o,$$(wildcard packages/$(1)/*.c)) $(ARCHIVES)
	@$(CC) $(CFLAGS) -o $$@ $$(filter %.o,$$^) -Wl,--start-group $(ARCHIVES) \
	    -Wl,--end-group $(LDLIBS)
endef
$(foreach b,$(BINS),$(eval $(call BIN_RULE,$(b))))

$(VIRTUAL_TESTS:%=$(B)/unit/%): $(VIRTUAL_OBJS)

$(HEAP_TESTS:%=$(B)/unit/%): $(HEAP_OBJS)

$(B)/unit/%: $(B)/tests/unit/%.o $(TESTLIB_OBJS) $(ARCHIVES)
	@mkdir -p $(@D)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) -Wl,--start-group $(ARCHIVES) \
	    -Wl,--end-group $(LDLIBS)

$(B)/standin/%: $(B)/tests/standin/%.o $(TESTLIB_OBJS) $(ARCHIVES)
	@mkdir -p $(@D)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) -Wl,--start-group $(ARCHIVES) \
	    -Wl,--end-group $(LDLIBS)

$(B)/soak: $(patsubst %.c,$(B)/%.o,$(wildcard tests/soak/*.c)) \
    $(TESTLIB_OBJS) $(ARCHIVES)
	@$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) -Wl,--start-group $(ARCHIVES) \
	    -Wl,--end-group $(LDLIBS)

# Installs missing libraries and tools.
deps:
	@pkg-config --exists $(DEPS) cmocka 2>/dev/null && \
	    which $(TOOLS) >/dev/null 2>&1 || \
	    { apt-get update -q && apt-get install -y -q $(DEB_PACKAGES); }

unit: build
	@tools/run-unit $(B)

# Installs missing dependencies, builds, and runs the unit and golden tests and
# the tests with real processes.
test: deps
	@$(MAKE) --no-print-directory build
	@$(MAKE) --no-print-directory unit
	@$(MAKE) --no-print-directory scenario
	@$(MAKE) --no-print-directory soak

scenario: build
	@tools/run-scripts $(B)

# Runs real VMs under random disturbances, with the seeds that once failed.
soak: build
	@tools/run-soak $(B)

# Runs all phases of the demonstration with stand-ins and 13 entry VMs.
run: deps
	@$(MAKE) --no-print-directory build
	@tests/script/demo.sh $(B)

bench: deps
	@$(MAKE) --no-print-directory build
	@tools/bench $(B)
	@tools/bench-fleet $(B)
	@$(B)/bench
	@$(B)/bench --routing
	@$(B)/bench --tables

format:
	@clang-format -i $(SRCS) $(HDRS)

format-check:
	@clang-format --dry-run -Werror $(SRCS) $(HDRS)

# A stamp file in build/tidy records that clang-tidy passed on a source file.
TIDY := $(SRCS:%.c=build/tidy/%.stamp)
build/tidy/%.stamp: %.c $(HDRS) .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) 2>/dev/null
	@touch $@

lint: $(TIDY)
	@tools/check-includes
	@cppcheck --quiet --std=c11 --enable=warning,performance,portability \
	    --inline-suppr --error-exitcode=1 --suppress=missingIncludeSystem \
	    -j 8 -Ipackages -Itests -I. packages platform tests

clean:
	rm -rf build

-include $(OBJS:.o=.d)
