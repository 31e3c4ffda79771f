#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6. They are plain Python of the standard library, so this
# only checks that the interpreter reads them; the controllers are built by deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys
for path in sorted(pathlib.Path(".").glob("platform2/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
sys.path.insert(0, ".")
import platform2.site
'
