# Targets `demo` and `check` do all of the set-up on a fresh Debian machine.
PACKAGES = cmake g++ ninja-build ccache clang-format clang-tidy curl jq openssl libboost-dev libboost-fiber-dev \
  libboost-context-dev libnghttp2-dev libtomlplusplus-dev libcxxopts-dev libgoogle-glog-dev libexpected-dev \
  libmsgpack-cxx-dev nlohmann-json3-dev libxxhash-dev libssl-dev librapidcheck-dev libgtest-dev libgmock-dev \
  libbenchmark-dev

.PHONY: demo check build install measure slopes format lint

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || (apt-get update && DEBIAN_FRONTEND=noninteractive \
	  apt-get install -y --no-install-recommends $(PACKAGES))

build: install
	cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	cmake --build build

# Runs a demonstration of the main use case on embedded stand-ins.
demo: build
	scripts/demo.sh

# Runs all tests except those listed in KNOWN-RED.txt.
check: build
	scripts/check.sh

# Prints the measurements that docs/ quotes.
measure: build
	build/bin/coltsfootbend_measure

format:
	clang-format -i $$(git ls-files '*.h' '*.cpp')

lint: build
	scripts/lint.sh
