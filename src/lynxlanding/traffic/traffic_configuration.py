"""One version of the operator's configuration."""

from lynxlanding.traffic import limits as caller_limits
from lynxlanding.traffic import route as traffic_route
from lynxlanding.traffic import service_spec, workspace


class TrafficConfiguration:
    """Routes, services, limits and keys of one version.

    Parameters
    ----------
    version : int
        Version, which only rises.
    routes : list of Route
        Routes in any order.
    services : dict of str to ServiceSpec
        Services by name.
    limits : CallerLimits
        Limits on requests.
    workspaces_by_key : dict of str to Workspace
        Holder of each key.
    requires_key : bool
        Whether routes that are not public need a key.
    """

    __slots__ = (
        "_limits",
        "_requires_key",
        "_routes_by_host",
        "_services",
        "_version",
        "_workspaces_by_key",
    )

    def __init__(self, version, routes, services, limits, workspaces_by_key, requires_key):
        self._version = version
        self._services = services
        self._limits = limits
        self._workspaces_by_key = workspaces_by_key
        self._requires_key = requires_key
        self._routes_by_host = {}
        for route in routes:
            by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self._version

    @property
    def services(self) -> dict[str, service_spec.ServiceSpec]:
        """Services by name."""
        return self._services

    @property
    def limits(self) -> caller_limits.CallerLimits:
        """Limits on requests."""
        return self._limits

    @property
    def requires_key(self) -> bool:
        """Whether routes that are not public need a key."""
        return self._requires_key

    def find_route(self, host: str, path: str) -> traffic_route.Route | None:
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Host without port.
        path : str
            Path as sent by the caller, without the query.
        """
        by_prefix = self._routes_by_host.get(host.lower())
        if by_prefix is None:
            return None
        # Every prefix ends with a slash, so only the positions of slashes need to be tried.
        end = len(path)
        while True:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash

    def find_workspace(self, key: str) -> workspace.Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self._workspaces_by_key.get(key)
