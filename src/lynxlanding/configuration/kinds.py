"""Kinds of configuration objects."""

from lynxlanding.configuration import specs

SPEC_BY_KIND = {
    "workspaces": specs.WorkspaceSpec,
    "models": specs.ModelSpec,
    "versions": specs.VersionSpec,
    "adapters": specs.AdapterSpec,
    "groups": specs.GroupSpec,
    "services": specs.ServiceSpec,
    "winddowns": specs.WinddownSpec,
    "drains": specs.DrainSpec,
}
