"""Platform-specific names occur only in the adapter, and the adapter imports no decision logic."""

import pathlib
import re

import lynxlanding

PACKAGE_ROOT = pathlib.Path(lynxlanding.__file__).parent
ADAPTER = PACKAGE_ROOT / "platform"
CHECKED_PACKAGES = (
    "crashes",
    "dispatch",
    "fleet",
    "handover",
    "node",
    "peers",
    "replicas",
    "traffic",
)
# Platform headers, fields, paths and terms that mean something else or nothing elsewhere.
PLATFORM_NAMES = re.compile(
    r"X-Expect-Instance|X-Cold-Ms|X-Not-Executed|X-Response-Seal|X-Instance-Load|X-Instance-Id|At-Server"
    r"|X-Token-Counts|X-Length-Hint|X-Request-Urgency|X-Tenant|X-Deadline-Ms"
    r"|\bseq_no\b|\bcold_remaining_ms\b|\btombstone\b|\bsince_rev\b|\bcurrent_rev\b|\ballow_stale\b|\bhas_more\b"
    r"|\bclose_mode\b|\bper_seq_ms\b|\bcontext_per_k\b|\bpairs_per_m\b|\bretain_count\b"
    r"|\btraffic_split\b|\bapi_keys\b|\btenants?\b|\bback end\b|/v1/(objects|order|report|ready)",
)
DECISION_IMPORTS = re.compile(
    r"lynxlanding\.(crashes|dispatch|handover|replicas|peers|node|routing|admission|retry|groups)"
    r" import (.*)"
)
DATA_MODULES = {
    "request_metadata",
    "response_metadata",
    "engine_order",
    "engine_report",
    "order_outcome",
}


def find_sources(folder):
    for path in sorted(folder.rglob("*.py")):
        if "tests" not in path.parts:
            yield path


def test_other_packages_use_no_platform_names():
    violations = []
    for package in CHECKED_PACKAGES:
        for path in find_sources(PACKAGE_ROOT / package):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    violations.append(f"{path.relative_to(PACKAGE_ROOT)}:{number}: {line.strip()}")
    assert violations == []


def test_adapter_imports_only_data_modules_from_decision_packages():
    violations = []
    for path in find_sources(ADAPTER):
        for match in DECISION_IMPORTS.finditer(path.read_text()):
            names = {name.strip() for name in match.group(2).split(",")}
            if names - DATA_MODULES:
                violations.append(f"{path.name}: {match.group(0)}")
    assert violations == []
