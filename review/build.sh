#!/bin/sh
# The stand-ins are Python programs without dependencies: there is nothing to compile, only to check.
set -eu
cd "$(dirname "$0")"
python3 -B -c "import standin.site"
