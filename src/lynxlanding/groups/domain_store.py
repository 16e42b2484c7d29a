"""Storage of domain objects."""

from lynxlanding.errors import platform as platform_errors
from lynxlanding.groups import domain as domain_module


class DomainStore:
    """Reads and conditionally updates domain objects in the platform's object API.

    Parameters
    ----------
    store : ObjectStore
        The object API.
    """

    def __init__(self, store):
        self._store = store

    def read(self, name):
        """Return a domain and its version; if absent, an empty domain and None.

        Raises
        ------
        errors.platform.StoreUnavailable
            If the store does not respond.
        errors.groups.InvalidDomain
            If the object violates an invariant.
        """
        try:
            found = self._store.get(domain_module.KIND, name)
        except platform_errors.ObjectNotFound:
            return domain_module.Domain(name), None
        return domain_module.from_value(name, found.value), found.version

    def write(self, domain, version):
        """Store a domain if ``version`` is current and return the new version.

        Raises
        ------
        errors.platform.VersionConflict
            If another node changed the domain first.
        errors.platform.StoreUnavailable
            If the store is unavailable and nothing was changed.
        errors.platform.StoreOutcomeUnknown
            If it is unknown whether the change took effect.
        """
        domain.validate()
        value = domain.to_value()
        if version is not None:
            return self._store.update(domain_module.KIND, domain.name, value, version).version
        try:
            return self._store.create(domain_module.KIND, domain.name, value).version
        except platform_errors.ObjectExists as e:
            raise platform_errors.VersionConflict(f"domains/{domain.name} was created") from e
