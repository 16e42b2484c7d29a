"""Bundle of the documents that a node needs to move from one revision to a later one."""

from lynxlanding.configuration import encoding, loaded_revision, part, repository, revision
from lynxlanding.errors import configuration as configuration_errors


def build(log, base_digest, digest):
    """Return the bundle that leads from one revision to another, or None.

    Parameters
    ----------
    log : RevisionLog
        Recent revisions of this node.
    base_digest : str
        Digest of the receiver's current revision.
    digest : str
        Digest of the requested revision.

    Returns
    -------
    dict or None
        Revisions, manifest (only if the base is not in the log) and parts; None if the requested
        revision is not in the log.
    """
    target = log.find(digest)
    if target is None or target.revision is None:
        return None
    chain = log.revisions_between(base_digest, digest)
    if chain is None:
        needed = target.manifest
        documents, manifest = [target.document], target.manifest
    else:
        needed, documents, manifest = {}, [], None
        for entry in chain:
            needed.update(entry.revision.changed)
            documents.append(entry.document)
    parts = {}
    for key, part_digest in needed.items():
        if part_digest is None or target.manifest.get(key) != part_digest:
            continue
        document = log.cache.document(part_digest)
        if document is None:
            kind, name = encoding.split_key(key)
            document = part.from_spec(kind, name, target.snapshot.of_kind(kind)[name])
        parts[part_digest] = document
    return {"revisions": documents, "manifest": manifest, "parts": parts}


def load(bundle, base, digest, cache):
    """Verify a bundle and return its revision.

    All revisions, the manifest and all parts are checked against their digests, and the snapshot
    is built only if it is complete, so that an invalid or incomplete bundle has no effect.

    Parameters
    ----------
    bundle : dict
        Bundle from ``build``.
    base : LoadedRevision
        Current revision of this node.
    digest : str
        Digest of the requested revision.
    cache : PartCache
        Receives the parts.

    Raises
    ------
    errors.configuration.InvalidObject
        If the bundle is malformed, does not match its digests or is incomplete.
    """
    try:
        return _load(bundle, base, digest, cache)
    except (KeyError, TypeError, AttributeError, IndexError) as e:
        raise configuration_errors.InvalidObject("bundle", f"malformed: {e!r}") from e


def _load(bundle, base, digest, cache):
    document = bundle["revisions"][-1]
    last = revision.from_document(document, digest)
    manifest = bundle["manifest"]
    if manifest is None:
        manifest = dict(base.manifest)
        previous = base.digest
        for item in bundle["revisions"]:
            item_digest = encoding.digest(item)
            loaded = revision.from_document(item, item_digest)
            if loaded.parent != previous:
                raise configuration_errors.InvalidObject("bundle", "the chain has a gap")
            previous = item_digest
            for key, part_digest in loaded.changed.items():
                if part_digest is None:
                    manifest.pop(key, None)
                else:
                    manifest[key] = part_digest
    part.verify(part.from_manifest(manifest), last.manifest)
    specs = {}
    for key, part_digest in manifest.items():
        spec = cache.get(part_digest)
        if spec is None and part_digest in bundle["parts"]:
            spec = cache.add(key, part_digest, bundle["parts"][part_digest])
        specs[key] = spec
    built = repository.build_snapshot(last.number, digest, manifest, specs)
    return loaded_revision.LoadedRevision(digest, document, last, manifest, built)
