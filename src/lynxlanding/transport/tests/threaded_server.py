"""Server for tests that serves each connection in a thread of its own."""

import socket
import threading


class ThreadedServer:
    """Listens on a free port until it is closed; derived classes implement ``_serve``."""

    def __init__(self):
        self.accepted = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Accept no further connections."""
        self._listener.close()

    def _serve(self, connection, number):
        """Serve the connection that was accepted as the ``number``-th, counted from 0."""
        raise NotImplementedError

    def _run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            number = self.accepted
            self.accepted += 1
            threading.Thread(target=self._serve, args=(connection, number), daemon=True).start()
