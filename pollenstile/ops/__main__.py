"""``python -m pollenstile.ops`` is the command ``pollenstile``."""

import sys

from pollenstile.ops.main import main

sys.exit(main())
