"""Entry point that starts one role of hollowrack on the users' platform from a checkout."""

import os.path
import sys

# pathlib would add 1 MB to the 9.6 MB of the storage role, which has no other use for it. The path
# has no "..", which not every file system of a deployment resolves.
sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.dirname(os.path.realpath(__file__))), "src")
)

from hollowrack.platform.program import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
