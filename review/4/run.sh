#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 3 115 python3 -B case.py
code=$?
[ "$code" = 0 ] && exit 0
# A failure of the script itself is no broken rule.
[ "$code" = 1 ] && tail -n 1 record.txt | grep -q "broken: " && exit 1
exit 2
