#!/bin/sh
# Runs the case in the folder that is the argument, with the dependencies of the deploy file's build
# (target/deps) or, without them, those of the development environment (.venv).
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
if [ -d target/deps ]; then
    PYTHONPATH="$PWD/target/deps:$PWD/src:$PWD/review"
elif [ -x .venv/bin/python3 ]; then
    PATH="$PWD/.venv/bin:$PATH"
    PYTHONPATH="$PWD/src:$PWD/review"
else
    echo "neither target/deps nor .venv has the dependencies" >&2
    exit 2
fi
export PATH PYTHONPATH
python3 "$folder/case.py"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
