# The row dark-read of silentend.sh: a request that ends all three upstreams of a service, whose addresses then answer nothing until their successors
# start. Guards against incident BUDGET of issue 31, as silentend.sh does.
set -u
exec bash "$(dirname "$0")/silentend.sh" dark-read
