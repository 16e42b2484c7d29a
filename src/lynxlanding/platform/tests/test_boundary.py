"""The platform's words stay in the adapter, and the adapter decides nothing."""

import pathlib
import re

import lynxlanding

ROOT = pathlib.Path(lynxlanding.__file__).parent
ADAPTER = ROOT / "platform"
PACKAGES = ("dispatch", "fleet", "node", "peers", "replicas", "traffic")
# Names of the platform's headers, fields and kinds that mean something else or nothing elsewhere.
WORDS = re.compile(
    r"X-Expect-Instance|X-Not-Executed|X-Response-Seal|X-Instance-Load|X-Instance-Id|At-Server"
    r"|X-Token-Counts|X-Length-Hint|X-Request-Urgency|X-Tenant|X-Deadline-Ms"
    r"|\bseq_no\b|\btombstone\b|\bsince_rev\b|\bcurrent_rev\b|\ballow_stale\b|\bhas_more\b"
    r"|\bclose_mode\b|\bper_seq_ms\b|\bcontext_per_k\b|\bpairs_per_m\b|\bretain_count\b"
    r"|\btraffic_split\b|\bapi_keys\b|\btenants?\b|\bback end\b|/v1/(objects|order|report|ready)",
)
DECIDING = re.compile(
    r"lynxlanding\.(dispatch|replicas|peers|node|routing|admission|retry|groups) import (.*)"
)
DATA_ONLY = {
    "request_marks",
    "response_marks",
    "engine_order",
    "engine_report",
    "order_outcome",
}


def sources(folder):
    for path in sorted(folder.rglob("*.py")):
        if "tests" not in path.parts:
            yield path


def test_no_other_module_uses_the_platforms_names():
    found = []
    for package in PACKAGES:
        for path in sources(ROOT / package):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if WORDS.search(line):
                    found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
    assert found == []


def test_the_adapter_imports_no_decision():
    found = []
    for path in sources(ADAPTER):
        for match in DECIDING.finditer(path.read_text()):
            names = {name.strip() for name in match.group(2).split(",")}
            if names - DATA_ONLY:
                found.append(f"{path.name}: {match.group(0)}")
    assert found == []
