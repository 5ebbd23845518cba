"""Entry point of the operators' command line."""

import os
import sys
from collections.abc import Sequence

from geraniumshelf_cli.runner import run_command


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    command_line = sys.argv[1:] if arguments is None else arguments
    return run_command(command_line, os.environ)


if __name__ == '__main__':
    sys.exit(main())
