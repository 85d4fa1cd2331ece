#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec sh "$(dirname "$0")/../run_case.sh" "$(dirname "$0")"
