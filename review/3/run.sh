#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
exec timeout -k 2 118 python3 -B case.py
