#!/usr/bin/env bash
# Guards against a regression run that passes although a deployment got worse, broke a rule or was not scored.
set -uo pipefail
cd "$(dirname "$0")/.."
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
mkdir "$work/sites"
export WB_BENCH="$work/bench" WB_SITES="$work/sites"
failures=0

# check NAME EXPECTED_STATUS BENCH_STATUS BENCH_OUTPUT [ARGUMENT...]
check() {
  local name="$1" expected="$2" bench_status="$3" output="$4"
  shift 4
  printf '#!/usr/bin/env bash\ncat << OUTPUT\n%s\nOUTPUT\nexit %s\n' "$output" "$bench_status" > "$WB_BENCH"
  chmod +x "$WB_BENCH"
  scripts/regression "$@" > "$work/out" 2> "$work/err"
  local status=$?
  if [ "$status" -ne "$expected" ]; then
    echo "FAILED: $name: status $status, expected $expected"
    cat "$work/out" "$work/err"
    failures=$((failures + 1))
  else
    echo "ok: $name"
  fi
}

passed=$'GATE passed on the days played; the full score decides'
check "same or better scores" 0 0 "quick estimate on the standard days of x (set 1): 1.000, +0.1"$'\n'"$passed"
check "a lower score" 1 0 "quick estimate on the standard days of x (set 1): 0.500, -0.4"$'\n'"$passed"
check "a lower full score" 1 0 "score on the standard days of x (set 1): 0.500"$'\n'"GATE passed" --full
check "a failed gate" 1 0 "quick estimate on the standard days of x (set 1): 1.000"$'\n'"GATE failed"
check "no score" 1 0 "nothing was played"
check "a bench that fails" 1 3 "quick estimate on the standard days of x (set 1): 1.000"$'\n'"$passed"
check "an unknown argument" 2 0 "" --fast
check "no number of jobs" 2 0 "" --jobs
WB_SITES="$work/none" check "a folder that is not there" 2 0 ""
echo "$failures failed"
[ "$failures" -eq 0 ]
