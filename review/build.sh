#!/bin/sh
# Checks the stand-ins of the scripts: they need nothing but Python 3 and its standard library.
cd "$(dirname "$0")" || exit 1
exec python3 - lib/*.py */case.py <<'PROGRAM'
import ast, sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
    print(name, "can be read")
PROGRAM
