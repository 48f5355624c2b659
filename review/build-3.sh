#!/bin/sh
# Checks the stand-ins that review/9 to review/13 start. They are Python and need no build; the
# daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - lib3/*.py 9/case.py 1[0-3]/case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PY
test -x ../target/daemon/medlartrackd
