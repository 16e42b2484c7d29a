"""Runs a node for the VM platform from a source checkout, without an installed package."""

import gc
import os
import signal

# Collections during the imports take two fifths of the startup time and find next to nothing;
# the node enables them again.
gc.disable()

# SIGHUP would end the process until the node handles it. The settings have not been read yet, and
# the node also notices changes by the file's time.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from lynxlanding.node import early_listener  # noqa: E402

# Listens before the remaining imports, which take most of the startup time.
listener = early_listener.listen(os.environ.get("LYNXLANDING_CONFIG"))

from gevent import monkey  # noqa: E402

monkey.patch_all()

from lynxlanding.node import main  # noqa: E402

if __name__ == "__main__":
    main.main(obj=listener)
