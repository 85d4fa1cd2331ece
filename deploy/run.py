"""Entry point that starts one role of hollowrack on the users' platform from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from hollowrack.platform.program import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
