#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes record.txt beside this script: what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../run-case" "$here/record.txt" slow_answer
