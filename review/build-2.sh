#!/usr/bin/env bash
# The stand-ins of cases 6 and 7 are Python and need no build: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in stand_ins_2/*.py [67]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
