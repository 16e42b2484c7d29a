"""Memory for the bodies that are being read, which all attempts share."""

from lynxlanding.errors import endpoint as endpoint_errors


class BodyMemory:
    """Bounds the bytes of all bodies together.

    Once they exceed the bound, bodies with more than an equal share of it are given up. A body that
    never ends therefore costs other requests nothing. The threads that use it are cooperative.

    Parameters
    ----------
    max_bytes : int
        Bytes of all bodies that are being read.
    """

    __slots__ = ("_body_count", "_held_bytes", "_max_bytes")

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._body_count = 0

    @property
    def held_bytes(self):
        """Bytes of all bodies that are being read."""
        return self._held_bytes

    def begin(self):
        """Return the ``BodyShare`` of a body that is to be read."""
        self._body_count += 1
        return BodyShare(self)

    def end_share(self):
        """Count one body less."""
        self._body_count -= 1

    def change(self, own_bytes, difference):
        """Change the bytes that are held.

        Parameters
        ----------
        own_bytes : int
            Bytes of the body after the change.
        difference : int
            Bytes that are added, or removed if it is negative.

        Raises
        ------
        errors.endpoint.ResponseTooLarge
            If there is no memory for the rest of the body.
        """
        self._held_bytes += difference
        exceeds_share = own_bytes * self._body_count > self._max_bytes
        if difference > 0 and exceeds_share and self._held_bytes > self._max_bytes:
            raise endpoint_errors.ResponseTooLarge(f"no memory after {own_bytes} bytes of the body")


class BodyShare:
    """Bytes of one body that have been read and are not passed on yet.

    Parameters
    ----------
    memory : BodyMemory
        Memory of all bodies.
    """

    __slots__ = ("_memory", "_own_bytes")

    def __init__(self, memory):
        self._memory = memory
        self._own_bytes = 0

    def add(self, received):
        """Count received bytes; raises ``ResponseTooLarge`` if there is no memory for them."""
        self._own_bytes += received
        self._memory.change(self._own_bytes, received)

    def release(self):
        """Count the bytes so far as passed on."""
        released = self._own_bytes
        self._own_bytes = 0
        self._memory.change(0, -released)

    def end(self):
        """Release the bytes of a body that is no longer read."""
        self.release()
        self._memory.end_share()
