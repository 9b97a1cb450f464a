"""Starts the daemon of an entry VM from the compiled sources in ``target/src``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "src"))

from jaypier.entry.main import main  # noqa: E402

main()
