#!/bin/sh
# Compiles the stand-ins and the cases of the third review with the JDK alone, into target/review-3.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3.new
mkdir -p target/review-3.new
javac -Xlint:-options -d target/review-3.new review/lib-3/*.java $(ls review/9/*.java review/1[0-3]/*.java 2>/dev/null)
rm -rf target/review-3
mv target/review-3.new target/review-3
