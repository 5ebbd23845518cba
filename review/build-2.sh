#!/bin/sh
# Prepares the cases 6 to 10: their stand-ins are plain Python, with nothing to
# compile. Checks that the interpreter and the build of the deploy file fit.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
if not Path('target/deps/geraniumshelf_platform/main.py').is_file():
    sys.exit('run the build of deploy/system.toml first')
for source in sorted(
    (*Path('review/standins-2').glob('*.py'), *Path('review').glob('*/case.py'))
):
    ast.parse(source.read_bytes(), str(source))
    print('checked', source)
CHECK
