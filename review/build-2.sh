#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python without dependencies beside the standard library,
# so there is nothing to compile: the build checks that the interpreter of the deploy file's build reads them all.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -x .venv/bin/python ] || { echo "no .venv: run the build of the deploy file first" >&2; exit 1; }
for file in review/standins-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
