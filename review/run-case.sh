# Sourced by each case's run.sh: starts the case's program, from the root of the repository, with the command of the deploy file.
set -u
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$case_folder/../.." || exit 2
number=$(basename "$case_folder")
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
CASE_WORK=$(mktemp -d) || exit 2
export RUN CASE_WORK CASE_FOLDER="$case_folder"
timeout -k 2 116 "target/review/case-$number"
code=$?
rm -rf "$CASE_WORK"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
