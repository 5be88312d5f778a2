#!/usr/bin/env bash
# Plays case 3 (claim.txt). Exit code 1: the rule was broken, 0: it held, 2: could not run.
exec "$(dirname "$0")/../play.sh" 3 review/3/record.txt
