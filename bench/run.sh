#!/usr/bin/env bash
# Runs benchmarks and prints their results. Usage: run.sh BIN_DIR [NAME...]
# Names: control, calls, transport, figures, overhead, fleet. Default: all.
set -euo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
bin_dir="$1"
shift
names=("$@")
if ((${#names[@]} == 0)); then
  names=(control calls transport figures overhead fleet)
fi
for name in "${names[@]}"; do
  printf '\n== %s ==\n' "$name"
  case "$name" in
    control | calls | transport | figures) "$bin_dir/bench_$name" ;;
    overhead) python3 "$here/overhead.py" "$bin_dir" ;;
    fleet) python3 "$here/fleet.py" "$bin_dir" ;;
    *)
      echo "unknown benchmark \"$name\"" >&2
      exit 2
      ;;
  esac
done
