"""Entry point of ``python -m pollenstile.ops``, the ``pollenstile`` command."""

import sys

from pollenstile.ops.main import main

sys.exit(main())
