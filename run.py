#!/usr/bin/env python3
"""Starts ryewing from a checkout, with the libraries in target/deps and the package in src."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from ryewing.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
