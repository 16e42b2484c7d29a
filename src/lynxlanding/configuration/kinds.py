"""Kinds of configuration objects and the pattern of their names."""

import re

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

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
