#!/usr/bin/env bash
# Runs a case's script five times with the disruption and once without; prints the exit codes and the last lines of each record.
cd "$(dirname "$0")" || exit 2
for trouble in 1 1 1 1 1 0; do
    TROUBLE=$trouble "$1/run.sh" >/dev/null
    echo "case $1 TROUBLE=$trouble: exit $?: $(tail -"${2:-2}" "$1/record.txt" | cut -c10- | tr '\n' ';')"
done
