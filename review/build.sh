#!/usr/bin/env bash
# Builds the stand-ins: plain Python 3.11 with its standard library, so it only compiles them to find errors early.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib)"'
python3 - lib/*.py */case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PY
test -f ../target/linemast.jar
