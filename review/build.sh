#!/bin/sh
# Nothing is compiled: the stand-ins are Python and use only its standard library. Python 3 is there
# wherever the deploy file's build has run, since meson needs it.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' standin.py case.py */play.py
