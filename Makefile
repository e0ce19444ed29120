# Two commands do everything on a fresh Debian machine: `make demo` and
# `make check`. The other targets are their steps.
PACKAGES := cmake g++ clang-format clang-tidy ninja-build ccache curl python3 \
  libace-dev libjsonrpccpp-dev libjsoncpp-dev libboost-dev \
  libboost-program-options-dev liblog4cplus-dev doctest-dev librapidcheck-dev \
  libcurl4-openssl-dev libmicrohttpd-dev libxxhash-dev \
  libhttp-parser-dev libtomlplusplus-dev zlib1g-dev
BUILD := build
SUDO := $(shell [ "$$(id -u)" = 0 ] || echo sudo)
SOURCES = $(shell git ls-files -co --exclude-standard '*.h' '*.cc')
UNITS = $(filter %.cc,$(SOURCES))

.PHONY: install build lint format test check demo bench soak clean
install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  ($(SUDO) apt-get update -qq && \
	   $(SUDO) env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES))

build: install
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD)

lint: build
	@tools/check_names
	@tools/check_outer_names
	@tools/check_layers
	@clang-format --dry-run --Werror $(SOURCES)
	@printf '%s\n' $(UNITS) | xargs -P $$(nproc) -n 1 tools/tidy $(BUILD)

format:
	clang-format -i $(SOURCES)

test: build
	@cd $(BUILD) && ctest -j 4 --output-on-failure

check: lint test
	@tools/print_known_red

demo: build
	@tools/demo $(BUILD)

bench: build
	@tools/bench $(BUILD)

SEEDS := 1-50
soak: build
	@python3 test/soak/soak.py --build $(BUILD) --seeds $(SEEDS) --kept

clean:
	rm -rf $(BUILD)
