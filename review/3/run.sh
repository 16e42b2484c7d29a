#!/bin/bash
# ORDER: an engine spoils an event of its stream. Exit 1: rule broken, 0: held, 2: not run.
cd "$(dirname "$0")"
exec python3 -B case.py
