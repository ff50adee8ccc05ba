#!/usr/bin/env bash
# Compiles the stand-ins of the review into a folder: review/build.sh FOLDER
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$1"
javac -nowarn -d "$1" "$root"/review/common/*.java "$root"/review/*/*Case.java
