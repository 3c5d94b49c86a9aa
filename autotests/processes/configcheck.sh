# Failure: scripts send a configuration with mistakes because "config check" ends with another exit status than documented or cannot do without an
# administration API; or a key appears in its output. Starts no daemons.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
RUN=$(mktemp -d)
trap 'rm -r "$RUN"' EXIT
failures=0

expect_check() { # description status text arguments...
    local what=$1 status=$2 text=$3 output got
    shift 3
    output=$("$BUILD/tools/knapweedslipctl" "$@" 2>&1)
    got=$?
    if [ $got -ne "$status" ] || [[ "$output" != *"$text"* ]] || [[ "$output" == *"$KEY"* ]]; then
        echo "FAILED: $what: expected exit $status and '$text' without a key, got $got: $output"
        failures=$((failures + 1))
    fi
}

config >"$RUN/valid.json"
sed 's/"maxAttempts":3/"maxAttempts":0/; s/other-key/caller-key/' "$RUN/valid.json" >"$RUN/mistakes.json"
sed "s/\"version\":1/\"version\":2/; s/$KEY/new-key/" "$RUN/valid.json" >"$RUN/next.json"
head -c 300 "$RUN/valid.json" >"$RUN/cut.json"
sed 's/"name":"read"/"name":"re\\nad"/; s/"maxAttempts":3}/"maxAttempts":0}/' "$RUN/valid.json" >"$RUN/linebreak.json"
expect_check "valid" 0 "no findings" config check "$RUN/valid.json"
expect_check "valid, as JSON" 0 "[]" --output json config check "$RUN/valid.json"
expect_check "mistakes" 1 "contradiction: route stream: the maximum number of attempts is 0" config check "$RUN/mistakes.json"
expect_check "mistakes, another one" 1 "never-matches: workspace other: its key number 1" config check "$RUN/mistakes.json"
expect_check "mistakes, as JSON" 1 '{"kind":"contradiction","place":"route stream",' --output json config check "$RUN/mistakes.json"
expect_check "a line break in a name" 1 "route re ad: " config check "$RUN/linebreak.json"
expect_check "cut short" 1 "not a JSON object" config check "$RUN/cut.json"
expect_check "differences alone" 0 "difference: workspace caller: 'apiKeys' changes" config check "$RUN/next.json" --in-force "$RUN/valid.json"
expect_check "no higher version" 1 "is not above 1" config check "$RUN/valid.json" --in-force "$RUN/valid.json"
expect_check "no file" 2 "cannot be read" config check "$RUN/none.json"
expect_check "no file in force" 2 "cannot be read" config check "$RUN/valid.json" --in-force "$RUN/none.json"
expect_check "an empty name of the file in force" 2 "cannot be read" config check "$RUN/valid.json" --in-force ""
expect_check "a directory" 2 "cannot be read" config check "$RUN"
[ $failures -eq 0 ]
