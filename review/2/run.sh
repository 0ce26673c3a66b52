#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# What was sent, answered and run is written to record.txt beside this script.
exec python3 "$(dirname "$0")/case.py"
