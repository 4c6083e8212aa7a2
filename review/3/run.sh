#!/bin/sh
# A chain whose gateway is killed: see claim.txt.
exec "$(dirname "$0")/../run-case.sh" 3 case-chain-after-kill
