#!/bin/sh
# The stand-ins need nothing but Python 3.11 and its standard library: this
# checks that all of them compile. Run it after the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import pathlib, sys
for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
sys.exit(0 if pathlib.Path("../target/deps/twisted").is_dir() else 2)
'
