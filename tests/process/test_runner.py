"""Runs the tests of a file, each with a fleet of its own.

Usage of such a file: FILE BIN_DIR [NAME...]
"""

import os
import sys
import traceback

from fleet_control import Fleet


def run(test, bin_dir):
    """Runs one test; prints the end of every log if it fails."""
    fleet = Fleet(bin_dir)
    try:
        test(fleet)
        return True
    except Exception:  # the report needs every kind of failure
        traceback.print_exc()
        print(f"logs: {fleet.folder}")
        for name in sorted(os.listdir(fleet.folder)):
            if name.endswith(".log"):
                with open(fleet.path(name), encoding="utf-8",
                          errors="replace") as log:
                    lines = log.readlines()
                print(f"-- {name}\n{''.join(lines[-8:])}")
        return False
    finally:
        fleet.end()


def main(tests):
    """Runs the chosen tests and exits with 1 if one of them fails."""
    bin_dir = sys.argv[1]
    chosen = [t for t in tests if not sys.argv[2:] or
              t.__name__ in sys.argv[2:]]
    failed = []
    for test in chosen:
        passed = run(test, bin_dir)
        print(f"{'ok' if passed else 'FAILED'} {test.__name__}", flush=True)
        if not passed:
            failed.append(test.__name__)
    print(f"{len(chosen) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed or not chosen else 0)
