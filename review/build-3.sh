#!/bin/sh
# Compiles the stand-ins and the cases of the third review with the JDK alone, into target/review-3. With the argument "missing" it does
# nothing if that is there; two runs at a time wait for each other.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
tries=0
until mkdir target/review-3.lock 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -lt 60 ] || break
    sleep 1
done
trap 'rmdir target/review-3.lock 2>/dev/null || true' EXIT
[ "$1" = missing ] && [ -d target/review-3 ] && exit 0
rm -rf target/review-3.new
mkdir target/review-3.new
javac -Xlint:-options -d target/review-3.new review/lib-3/*.java review/9/*.java review/10/*.java
rm -rf target/review-3
mv target/review-3.new target/review-3
