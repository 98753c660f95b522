#!/usr/bin/env bash
# Measures how a tree of this project reads, by package, in tab-separated lines: package, findings of the linter, functions over 60
# lines (not tests, not generated), lines of the largest file (likewise), imports of other packages of the project, tests by name, lines
# that fail a test. Packages of earlier trees appear under the names of today. Then a line of totals.
#
#   readability.sh TREE > after.tsv               measures the tree in the folder TREE, by the checks of this tree's .golangci.yml
#   readability.sh --table before.tsv after.tsv   prints both side by side, as Markdown
set -euo pipefail
here=$(cd "$(dirname "$0")/../.." && pwd)
lint=${GOLANGCI_LINT:-go tool -modfile=$here/tools/go.mod golangci-lint}

# today puts earlier names of packages, in the first column, under those of today.
today() {
  sed -E -e 's#^internal/net/fleetlink#internal/net/clustertransport#; s#^internal/net/journal#internal/net/discovery#' \
    -e 's#^internal/net/peers#internal/net/gossip#; s#^internal/net/console#internal/net/admin#; s#^internal/handover#internal/hotrestart#' \
    -e 's#^internal/wire#internal/simprotocol#; s#^cmd/adapter#cmd/simulator-adapter#; s#^internal/fleethost#internal/clusternode#' \
    -e 's#^control#routing#; s#^coldstart#slowstart#; s#^limits#concurrency#; s#^balance#loadreport#; s#^purges#purge#; s#^tiers#locality#' \
    -e 's#^knowledge#warmstart#; s#^replica\b#replication#; s#^agreement#consensus#; s#^work\b#maintenance#; s#^fleet\b#cluster#; s#^inference#routing#' \
    -e 's#^lab/world#lab/testbed#; s#^lab/deaths#lab/failover#; s#^lab/population#lab/clientsim#; s#^lab/procs#lab/faultinjection#' \
    -e 's#^lab/relay#lab/faultproxy#; s#^lab/sim\b#lab/virtualclock#; s#^lab/standin#lab/fakeserver#; s#^lab/zones#lab/localitysim#'
}

# package reads paths of files, one a line with more behind it, and puts their folder in place of them.
package() { sed -E 's#^([^:[:space:]]*)/[^/:[:space:]]*#\1#' | today; }

measure() {
  cd "$1"
  sources=$(git ls-files '*.go' ':!journal' ':!*_test.go' ':!*.pb.go')
  tests=$(git ls-files '*_test.go' ':!journal')
  found=$($lint run -c "$here/.golangci.yml" --concurrency 2 --output.text.print-issued-lines=false --output.text.colors=false --path-mode=abs ./... 2>/dev/null |
    sed "s#^$PWD/##" | grep -E '^[^ ]+\.go:[0-9]+:' || true)
  {
    printf '%s\n' "$found" | grep . | package | awk '{sub(/:.*/, ""); print $0 "\tfinding\t1"}' || true
    # shellcheck disable=SC2086
    awk 'FNR == 1 {start = 0} /^func / {start = FNR} /^}/ {if (start && FNR - start + 1 > 60) print FILENAME "\tlong\t1"; start = 0}' $sources | package
    # shellcheck disable=SC2086
    wc -l $sources | awk '$2 != "total" {print $2 "\tlargest\t" $1}' | package
    go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}' ./... | awk '$2 ~ /^larchusher\// {sub(/^larchusher\//, "", $1); print $1 "\tedge\t1"}' | today
    # shellcheck disable=SC2086
    grep -HE '^func (Test|Fuzz)' $tests | package | awk '{sub(/:.*/, ""); print $0 "\ttest\t1"}'
    # shellcheck disable=SC2086
    grep -HE '\bt\.(Error|Errorf|Fatal|Fatalf|Fail|FailNow)\(' $tests | package | awk '{sub(/:.*/, ""); print $0 "\tfails\t1"}'
  } | awk -F '\t' -v OFS='\t' '
    {names[$1]; if ($2 == "largest") {if ($3 > n[$1, $2]) n[$1, $2] = $3} else {n[$1, $2] += $3; sum[$2] += $3}}
    $2 == "largest" && $3 > sum[$2] {sum[$2] = $3}
    END {
      for (p in names) print p, n[p, "finding"] + 0, n[p, "long"] + 0, n[p, "largest"] + 0, n[p, "edge"] + 0, n[p, "test"] + 0, n[p, "fails"] + 0 | "sort"
      close("sort")
      print "total", sum["finding"] + 0, sum["long"] + 0, sum["largest"] + 0, sum["edge"] + 0, sum["test"] + 0, sum["fails"] + 0
    }'
}

table() {
  echo "| package | findings | functions over 60 lines | largest file | imports of ours | tests | lines that fail a test |"
  echo "| --- | --- | --- | --- | --- | --- | --- |"
  awk -F '\t' '
    FNR == NR {for (i = 2; i <= NF; i++) before[$1, i] = $i; known[$1] = NF; next}
    {
      row = "| `" $1 "` |"
      for (i = 2; i <= 7; i++) row = row (i <= NF ? " " ($1 in known ? before[$1, i] : "-") " / " $i : "") " |"
      print row
      seen[$1]
    }
    END {for (p in known) if (!(p in seen)) {row = "| `" p "` |"; for (i = 2; i <= 7; i++) row = row (i <= known[p] ? " " before[p, i] " / -" : "") " |"; print row}}' "$1" "$2"
}

case ${1:-} in
  --table) table "$2" "$3" ;;
  "" | -*) echo "usage: readability.sh TREE | --table BEFORE.tsv AFTER.tsv" >&2; exit 2 ;;
  *) measure "$1" ;;
esac
