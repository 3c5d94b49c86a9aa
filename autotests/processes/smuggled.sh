# Requests whose framing is not certain, with another request where their body is. Guards against a request inside the body of another one that runs as a
# request of its own, and an outer one that runs without its body (UNASKED). Each is refused with 400 and its connection closes; nothing of it runs.
set -u
. "$(dirname "$0")/../../examples/hosting.sh"
start_hosting 1 --engines 4 --services 4 || exit 1
for path in /once/a /read/a /stream/a; do
    wait_until 20 "$path is served" serves "$path" || exit 1
done
status=0
framings=("Transfer-Encoding: gzip" "Transfer-Encoding: identity" "Transfer-Encoding: xchunked" "Transfer-Encoding: chunked, identity" "Transfer-Encoding: gzip, chunked"
    "Transfer-Encoding:" $'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity' $'Content-Length: 5\r\nTransfer-Encoding: chunked'
    $'Content-Length: 5\r\nTransfer-Encoding: gzip' $'Content-Length: 5\r\nContent-Length: 6')

request() { # path attempt framing body
    printf 'POST %s HTTP/1.1\r\nHost: api\r\nAuthorization: Bearer %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nModel: model\r\nToken-Usage: 100,100\r\n%s\r\n\r\n%s' "$1" "$KEY" "$2" "$3" "$4"
}

number=0
for path in /once/x /read/x /stream/x; do
    for framing in "${framings[@]}"; do
        number=$((number + 1))
        inner=$(request /once/inner "inner-$number" "Content-Length: 0" "")$'\r\n\r\n'
        exec {connection}<>"/dev/tcp/$(entry_ip 1)/7000"
        request "$path" "outer-$number" "$framing" "$inner" >&"$connection"
        answers=$(timeout 3 cat <&"$connection" | tr -d '\0' | grep -ao '^HTTP/1.1 [0-9]*' | cut -d ' ' -f 2 | tr '\n' ' ')
        exec {connection}>&-
        [ "$answers" = "400 " ] || { echo "FAILED: $path, ${framing//$'\r\n'/; }: answers '$answers' instead of one 400"; status=1; }
    done
done
ran=$(history | grep '"kind":"ran"' | grep -cE '"attempt":"(inner|outer)-')
echo "$number requests, $ran ran"
[ "$ran" -eq 0 ] || { echo "FAILED: $ran requests of uncertain framing, or inside such, ran"; status=1; }
# Sound chunks are still taken.
[ "$(send 1 /once/a sound -H "Transfer-Encoding: chunked")" = 200 ] || { echo "FAILED: a request in chunks is not served"; status=1; }
exit $status
