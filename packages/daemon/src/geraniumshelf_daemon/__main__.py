"""Run the daemon with ``python -m geraniumshelf_daemon``."""

import sys

from geraniumshelf_daemon.main import main

sys.exit(main())
