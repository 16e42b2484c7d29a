"""Immutable parts: each holds one configuration object or the manifest of a revision.

A manifest maps ``kind/name`` to the digest of the object's part.
"""

import pydantic

from lynxlanding.configuration import encoding, kinds
from lynxlanding.errors import configuration as configuration_errors


def parse_spec(kind, name, document):
    """Validate a submitted document and return its spec; raises ``InvalidObject``."""
    path = encoding.key(kind, name)
    spec_type = kinds.SPEC_BY_KIND.get(kind)
    if spec_type is None:
        known_kinds = ", ".join(kinds.SPEC_BY_KIND)
        raise configuration_errors.InvalidObject(
            path, f"unknown kind; expected one of {known_kinds}"
        )
    if not kinds.NAME_PATTERN.fullmatch(name):
        raise configuration_errors.InvalidObject(
            path, "a name has 1 to 63 characters of a-z, 0-9, '.', '_', '-'"
        )
    try:
        return spec_type.model_validate(document)
    except pydantic.ValidationError as e:
        first_error = e.errors()[0]
        field = ".".join(str(item) for item in first_error["loc"])
        location = f"{path}.{field}" if field else path
        raise configuration_errors.InvalidObject(location, first_error["msg"]) from e


def from_spec(kind, name, spec):
    """Return the part document of a configuration object."""
    return {"kind": kind, "name": name, "spec": spec.model_dump(mode="json")}


def from_manifest(manifest):
    """Return the part document of a manifest."""
    return {"manifest": manifest}


def verify(document, digest):
    """Raise ``InvalidObject`` if a document does not match its digest."""
    if encoding.digest(document) != digest:
        raise configuration_errors.InvalidObject(
            f"config-parts/{digest}", "the value does not match its digest"
        )


def to_spec(document, digest, key):
    """Verify a part and return its spec; raises ``InvalidObject``."""
    verify(document, digest)
    try:
        kind, name, spec = document["kind"], document["name"], document["spec"]
    except (KeyError, TypeError) as e:
        raise configuration_errors.InvalidObject(f"config-parts/{digest}", f"{e!r}") from e
    if encoding.key(kind, name) != key:
        raise configuration_errors.InvalidObject(key, f"its part holds {kind}/{name}")
    return parse_spec(kind, name, spec)


def to_manifest(document, digest):
    """Verify a manifest part and return its manifest; raises ``InvalidObject``."""
    verify(document, digest)
    manifest = document.get("manifest") if isinstance(document, dict) else None
    if not isinstance(manifest, dict):
        raise configuration_errors.InvalidObject(f"config-parts/{digest}", "is not a manifest")
    return manifest
