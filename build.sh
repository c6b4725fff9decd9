#!/usr/bin/env bash
# Sets up, builds and runs pomelohall. Usage: ./build.sh COMMAND
#   setup    installs the Debian packages
#   build    configures and compiles everything into build/
#   test     setup, build, then all tests
#   demo     setup, build, then a demo with real processes
#   bench    setup, build, then the benchmarks
#   matrix   setup, build, then the fault matrix as a table
#   soak     setup, build, then daemons under random faults
#            (soak [--seed N] [--minutes M] [--vms N])
#   format   checks formatting (format --fix rewrites)
#   lint     runs clang-tidy on every source file
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"

readonly BUILD_DIR="${BUILD_DIR:-build}"
readonly PACKAGES=(
  git g++ cmake ninja-build ccache clang-format clang-tidy python3
  libcaf-dev libwebsocketpp-dev nlohmann-json3-dev libvalijson-dev
  libboost-dev libboost-system-dev libcli11-dev libgoogle-glog-dev
  libexpected-dev catch2 librapidcheck-dev libxxhash-dev libssl-dev
  libbenchmark-dev
)

setup() {
  local missing=()
  for package in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done
  if ((${#missing[@]} == 0)); then return; fi
  local sudo=()
  if ((EUID != 0)); then sudo=(sudo); fi
  "${sudo[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
}

build() {
  # Hashes paths relative to the checkout, so that several work trees share one
  # compiler cache.
  export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
  cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
  cmake --build "$BUILD_DIR" "$@"
}

sources() { git ls-files --cached --others --exclude-standard '*.h' '*.cc'; }

format() {
  if [[ "${1:-}" == --fix ]]; then
    sources | xargs --no-run-if-empty clang-format -i
  else
    sources | xargs --no-run-if-empty clang-format --dry-run -Werror
  fi
}

lint() {
  cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
  # In reverse order, as some files of tests take minutes and would be the last.
  sources | grep '\.cc$' | sort -r | xargs --no-run-if-empty -P "$(nproc)" -n 1 \
    clang-tidy -p "$BUILD_DIR" --quiet 2>/dev/null
}

run_tests() {
  ctest --test-dir "$BUILD_DIR" --output-on-failure -j "$(nproc)" "$@"
}

case "${1:-}" in
  setup) setup ;;
  build) shift; build "$@" ;;
  test) shift; setup; build; run_tests "$@" ;;
  demo) shift; setup; build; exec python3 tools/demo/demo.py "$BUILD_DIR/bin" "$@" ;;
  bench) shift; setup; build; exec bench/run.sh "$BUILD_DIR/bin" "$@" ;;
  matrix) shift; setup; build; exec "$BUILD_DIR/bin/fault_matrix" "$@" ;;
  soak) shift; setup; build; exec python3 tests/soak/soak.py "$BUILD_DIR/bin" "$@" ;;
  format) shift; format "$@" ;;
  lint) lint ;;
  *) sed -n '2,12s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
esac
