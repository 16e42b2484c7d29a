"""Runs a node for the VM platform from a source checkout, without an installed package."""

import os

from lynxlanding.node import early_listener

# Listens before the remaining imports, which take most of the startup time.
listener = early_listener.listen(os.environ.get("LYNXLANDING_CONFIG"))

from gevent import monkey  # noqa: E402

monkey.patch_all()

from lynxlanding.node import main  # noqa: E402

if __name__ == "__main__":
    main.main(obj=listener)
