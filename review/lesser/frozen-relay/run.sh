#!/bin/bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
