"""The program: without arguments it serves, as the platform's `run` starts it; else the command line."""

from __future__ import annotations

import gc
import sys


def main() -> int:
    """Serve, or carry out the command that the arguments name; the exit status."""
    if len(sys.argv) > 1:
        from spoolbarrow.cli import run

        return run(sys.argv[1:])
    # Until it serves: what imports leave lives as long as the process, and looking through it is a tenth of
    # a start's processor time.
    gc.disable()
    from spoolbarrow.serve import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
