"""Consistent-hash ring."""

import bisect

import xxhash

# With 32 points per member, the shares of 60 endpoints have a standard deviation of about 18%, for
# which the load bound of the routing policy compensates. Adding or removing one member changes 32
# points, which takes 1 ms with 2,100 endpoints.
POINTS_PER_MEMBER = 32


class HashRing:
    """Consistent hashing (Karger et al., 1997) with several points per member.

    A lookup takes logarithmic time in the number of points. Adding or removing one of ``n``
    members changes the first member for about ``1 / n`` of the keys.

    Parameters
    ----------
    points_per_member : int, optional
        Number of points of each member on the ring.
    """

    def __init__(self, points_per_member=POINTS_PER_MEMBER):
        self._points_per_member = points_per_member
        self._points = []
        self._point_owners = []

    def __len__(self):
        return len(self._points)

    def update(self, added, removed):
        """Add and remove members, which are identified by strings.

        Parameters
        ----------
        added, removed : collection of str
            Members to add, none of which is on the ring, and members to remove.
        """
        removed = set(removed)
        if len(added) + len(removed) <= 4:
            for member in removed:
                self._remove(member)
            for member in added:
                self._add(member)
            return
        owned_points = []
        for point, member in zip(self._points, self._point_owners, strict=True):
            if member not in removed:
                owned_points.append((point, member))
        for member in added:
            for point in self._compute_points(member):
                owned_points.append((point, member))
        owned_points.sort()
        self._points = [owned_point[0] for owned_point in owned_points]
        self._point_owners = [owned_point[1] for owned_point in owned_points]

    def walk(self, key_hash, limit):
        """Yield members in ring order from a key; a member occurs once per visited point.

        Parameters
        ----------
        key_hash : int
            64-bit hash of the key.
        limit : int
            Maximum number of points to visit.
        """
        count = len(self._points)
        if count == 0:
            return
        start = bisect.bisect_left(self._points, key_hash)
        for offset in range(min(limit, count)):
            yield self._point_owners[(start + offset) % count]

    def _compute_points(self, member):
        points = []
        for index in range(self._points_per_member):
            points.append(xxhash.xxh3_64_intdigest(f"{member}#{index}"))
        return points

    def _add(self, member):
        for point in self._compute_points(member):
            position = bisect.bisect_left(self._points, point)
            self._points.insert(position, point)
            self._point_owners.insert(position, member)

    def _remove(self, member):
        for point in self._compute_points(member):
            position = bisect.bisect_left(self._points, point)
            while position < len(self._points) and self._points[position] == point:
                if self._point_owners[position] == member:
                    del self._points[position]
                    del self._point_owners[position]
                    break
                position += 1
