#!/usr/bin/env bash
# Build the stand-ins of the cases. They are plain Python without libraries, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib; [ast.parse(path.read_text(), str(path)) for path in pathlib.Path(".").rglob("*.py")]'
