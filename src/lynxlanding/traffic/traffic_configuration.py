"""One version of the operator's configuration."""

from lynxlanding.traffic import limits as caller_limits
from lynxlanding.traffic import route as traffic_route
from lynxlanding.traffic import service_spec, workspace


class TrafficConfiguration:
    """Routes, services, limits and API keys of one version.

    Parameters
    ----------
    version : int
        Version number, which never decreases.
    routes : list of Route
        Routes in any order.
    services : dict of str to ServiceSpec
        Services by name.
    limits : CallerLimits
        Limits on callers' requests and connections.
    workspaces_by_api_key : dict of str to Workspace
        Workspaces by API key.
    requires_api_key : bool
        Whether routes that are not public need an API key.
    """

    __slots__ = (
        "_limits",
        "_requires_api_key",
        "_routes_by_host",
        "_services",
        "_version",
        "_workspaces_by_api_key",
    )

    def __init__(self, version, routes, services, limits, workspaces_by_api_key, requires_api_key):
        self._version = version
        self._services = services
        self._limits = limits
        self._workspaces_by_api_key = workspaces_by_api_key
        self._requires_api_key = requires_api_key
        self._routes_by_host = {}
        for route in routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = route

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
        """Limits on callers' requests and connections."""
        return self._limits

    @property
    def requires_api_key(self) -> bool:
        """Whether routes that are not public need an API key."""
        return self._requires_api_key

    def find_route(self, host: str, path: str) -> traffic_route.Route | None:
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Requested host, without the port.
        path : str
            Path as sent by the caller, without the query string.
        """
        routes_by_prefix = self._routes_by_host.get(host.lower())
        if routes_by_prefix is None:
            return None
        # Every path prefix ends with a slash, so only prefixes up to a slash need to be looked up.
        search_end = len(path)
        while True:
            slash = path.rfind("/", 0, search_end)
            if slash < 0:
                return None
            route = routes_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            search_end = slash

    def find_workspace(self, key: str) -> workspace.Workspace | None:
        """Return the workspace of an API key, or None."""
        return self._workspaces_by_api_key.get(key)
