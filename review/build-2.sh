#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review: they are plain
# Python of the standard library, so that this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
for path in sorted(pathlib.Path('.').glob('*/*.py')):
    if path.parent.name in {'lab2', '6', '7', '8', '9', '10'}:
        compile(path.read_text(), str(path), 'exec')
        print('checked', path)
END
