"""Entry point: serves if called without arguments, as the platform does; else runs the command line."""

from __future__ import annotations

import gc
import sys


def main() -> int:
    """Serve, or run the command in the arguments; returns the exit status."""
    if len(sys.argv) > 1:
        from spoolbarrow.cli import run

        return run(sys.argv[1:])
    # Disabled until serving starts: objects made by imports live as long as the process, and scanning them
    # takes a tenth of the processor time of a start.
    gc.disable()
    from spoolbarrow.serve import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
