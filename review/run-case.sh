#!/bin/sh
# Plays one case: run-case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
here=$(cd "$(dirname "$0")" && pwd)
program="$here/standins/target/release/$2"
cd "$here/.." || exit 2
if [ ! -x "$program" ] || [ ! -x target/release/applepond ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
CASE_RECORD="$here/$1/record.txt"
export CASE_TMP CASE_RECORD
# Ends what the case may have left, also if it was cut off.
finish() {
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do
            [ -r "/proc/$pid/cmdline" ] || continue
            case $(tr '\0' ' ' <"/proc/$pid/cmdline") in
            *target/release/applepond*) kill -9 "$pid" 2>/dev/null ;;
            esac
        done <"$CASE_TMP/pids"
    fi
    rm -rf "$CASE_TMP"
}
trap finish EXIT
timeout -k 2 110 "$program" &
player=$!
trap 'kill "$player" 2>/dev/null; exit 2' HUP INT TERM
wait "$player"
status=$?
case $status in
0 | 1) exit $status ;;
*)
    [ -f "$CASE_TMP/gateway.log" ] && tail -n 20 "$CASE_TMP/gateway.log" >&2
    exit 2
    ;;
esac
