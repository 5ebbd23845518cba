#!/usr/bin/env bash
# Checks the stand-ins of the cases: plain Python files that need no build step
# and no library. It needs the Python with which the daemons are started.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c "import sys; compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')" "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
