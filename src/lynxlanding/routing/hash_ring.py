"""Consistent-hash ring."""

import bisect

import xxhash

# With 32 points each, the arcs of 60 endpoints differ by about 18% (standard deviation), which
# the load bound evens out. Each membership change moves 32 points, 1 ms at 2,100 endpoints.
POINTS_PER_MEMBER = 32


class HashRing:
    """Consistent hashing (Karger et al., 1997) with several points for each member.

    A lookup costs the logarithm of the number of points. Adding or removing one of ``n`` members
    changes the first member of about ``1 / n`` of the keys.

    Parameters
    ----------
    points_per_member : int, optional
        Points of each member on the ring.
    """

    def __init__(self, points_per_member=POINTS_PER_MEMBER):
        self._points_per_member = points_per_member
        self._points = []
        self._members = []

    def __len__(self):
        return len(self._points)

    def update(self, added, removed):
        """Add and remove members, each named by a string.

        Parameters
        ----------
        added, removed : collection of str
            Members that are new on the ring, and members that leave it.
        """
        removed = set(removed)
        if len(added) + len(removed) <= 4:
            for member in removed:
                self._remove(member)
            for member in added:
                self._add(member)
            return
        pairs = []
        for point, member in zip(self._points, self._members, strict=True):
            if member not in removed:
                pairs.append((point, member))
        for member in added:
            for point in self._points_of(member):
                pairs.append((point, member))
        pairs.sort()
        self._points = [pair[0] for pair in pairs]
        self._members = [pair[1] for pair in pairs]

    def walk(self, key_hash, limit):
        """Yield members in ring order from a key, repeated ones included.

        Parameters
        ----------
        key_hash : int
            64-bit hash of the key.
        limit : int
            Largest number of points to visit.
        """
        count = len(self._points)
        if count == 0:
            return
        start = bisect.bisect_left(self._points, key_hash)
        for step in range(min(limit, count)):
            yield self._members[(start + step) % count]

    def _points_of(self, member):
        points = []
        for number in range(self._points_per_member):
            points.append(xxhash.xxh3_64_intdigest(f"{member}#{number}"))
        return points

    def _add(self, member):
        for point in self._points_of(member):
            position = bisect.bisect_left(self._points, point)
            self._points.insert(position, point)
            self._members.insert(position, member)

    def _remove(self, member):
        for point in self._points_of(member):
            position = bisect.bisect_left(self._points, point)
            while position < len(self._points) and self._points[position] == point:
                if self._members[position] == member:
                    del self._points[position]
                    del self._members[position]
                    break
                position += 1
