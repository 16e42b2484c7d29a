import pathlib
import re

import pytest
import yaml

from lynxlanding.configuration import change, kinds, plan, snapshot
from lynxlanding.settings import daemon_settings, loading

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "configuration.md"
NOW = 2_000_000_000.0


def _block(label):
    return re.search(rf"```yaml {label}\n(.*?)```", PAGE.read_text(), re.DOTALL).group(1)


def test_settings_example_is_valid(tmp_path):
    """Guards against a documented settings file that the daemon rejects."""
    path = tmp_path / "node.yaml"
    path.write_text(_block("settings"))
    assert loading.load(str(path), daemon_settings.DaemonSettings).node_id == "entry-1"


@pytest.mark.parametrize("section", ["requests", "routing", "drain", "configuration"])
def test_settings_example_shows_the_defaults(tmp_path, section):
    """Guards against outdated defaults in the documentation."""
    path = tmp_path / "node.yaml"
    path.write_text(_block("settings"))
    shown = getattr(loading.load(str(path), daemon_settings.DaemonSettings), section)
    assert shown == type(shown)()


def test_objects_example_is_valid():
    """Guards against documented objects that a commit rejects, or a kind without an example."""
    document = yaml.safe_load(_block("objects"))
    puts = {}
    for kind, objects in document.items():
        for name, spec in objects.items():
            puts[(kind, name)] = spec
    planned = plan.make(change.Change("c", "asha", puts), snapshot.empty(), NOW)
    assert planned.problems == []
    assert set(document) == set(kinds.SPEC_BY_KIND)
