#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. They are Python
# programs that need the standard library only, so they are only compiled.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lab2.py
for file in [6-9]/case.py 10/case.py; do
    if [ -f "$file" ]; then
        python3 -m py_compile "$file"
    fi
done
