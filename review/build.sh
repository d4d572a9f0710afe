#!/bin/bash
# The stand-ins of the scripts are Python programs without dependencies; there is nothing to compile. Checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [1-5]/case.py; do
    [ -f "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or newer is needed")'
