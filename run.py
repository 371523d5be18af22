"""Start oakmux with the libraries that the build put under target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

if __name__ == "__main__":
    from oakmux.service import main

    sys.exit(main(sys.argv[1:]))
