#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the daemons of
# the deploy file: the stand-ins of review/standins-3, which need the standard
# library only. None of the project's own stand-ins is used.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys

if sys.version_info < (3, 11):
    sys.exit('the stand-ins need Python 3.11 or later')
PY
python3 -m py_compile review/standins-3/*.py
for case in review/1[1-5]/case.py; do
  [ -e "$case" ] || continue
  python3 -m py_compile "$case"
done
echo 'stand-ins of review/standins-3 checked'
