"""Runs the tests of a test file, each with a fleet of its own.

Usage of a test file: FILE BIN_DIR [NAME...]
"""

import os
import sys
import traceback

from fleet_control import Fleet


def run(test, bin_dir):
    """Runs one test; prints the last lines of all logs if it fails."""
    fleet = Fleet(bin_dir)
    try:
        test(fleet)
        return True
    except Exception:  # Any exception is a failure of the test.
        traceback.print_exc()
        print(f"logs: {fleet.work_dir}")
        for name in sorted(os.listdir(fleet.work_dir)):
            if name.endswith(".log"):
                with open(fleet.path(name), encoding="utf-8",
                          errors="replace") as log:
                    lines = log.readlines()
                print(f"-- {name}\n{''.join(lines[-8:])}")
        return False
    finally:
        fleet.close()


def main(tests):
    """Runs the tests named on the command line, or all if none is named.

    Exits with 1 if a test fails or no test is selected.
    """
    bin_dir = sys.argv[1]
    selected = [t for t in tests if not sys.argv[2:] or
                t.__name__ in sys.argv[2:]]
    failed = []
    for test in selected:
        passed = run(test, bin_dir)
        print(f"{'ok' if passed else 'FAILED'} {test.__name__}", flush=True)
        if not passed:
            failed.append(test.__name__)
    print(f"{len(selected) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed or not selected else 0)
