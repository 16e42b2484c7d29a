#!/bin/bash
# MIXED: an engine's answer that breaks off inside its headers. Exit 1: rule broken, 0: held, 2: not run.
cd "$(dirname "$0")"
exec python3 -B case.py
