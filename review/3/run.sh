#!/bin/sh
# A slow name service: see claim.txt.
exec "$(dirname "$0")/../run-case.sh" 3 case-slow-list
