"""Starts the node of the users' platform from a checkout, without an installed package."""

from gevent import monkey

monkey.patch_all()

from lynxlanding.node import main  # noqa: E402

if __name__ == "__main__":
    main.main()
