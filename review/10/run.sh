#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
if [ ! -x .venv/bin/python ]; then
    echo "no .venv: run the build of the deploy file first" >&2
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python "$folder/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # any other failure of the interpreter is none of the rule
    *) exit 2 ;;
esac
