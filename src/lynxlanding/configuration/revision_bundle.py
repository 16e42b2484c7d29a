"""What one node sends another that fetches a revision."""

from lynxlanding.configuration import encoding, loaded_revision, part, repository, revision
from lynxlanding.errors import configuration as configuration_errors


def build(log, base_digest, digest):
    """Return the document that leads from one revision to another, or None.

    Parameters
    ----------
    log : RevisionLog
        Revisions of this node.
    base_digest : str
        Revision that the receiver holds.
    digest : str
        Revision that it asks for.

    Returns
    -------
    dict or None
        Revisions, manifest (only if the base is not kept) and parts; None if the revision is not
        kept here.
    """
    target = log.find(digest)
    if target is None or target.revision is None:
        return None
    chain = log.since(base_digest, digest)
    if chain is None:
        needed = target.manifest
        documents, manifest = [target.document], target.manifest
    else:
        needed, documents, manifest = {}, [], None
        for kept in chain:
            needed.update(kept.revision.changed)
            documents.append(kept.document)
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
    """Return the verified revision of a bundle.

    Every revision, the manifest and every part is checked against its digest, and the snapshot is
    built only if all parts are there: a wrong or incomplete bundle has no effect.

    Parameters
    ----------
    bundle : dict
        Document from ``build``.
    base : LoadedRevision
        Revision that this node holds.
    digest : str
        Revision that was asked for.
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
