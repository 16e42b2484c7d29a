import pytest

from lynxlanding.errors import settings as settings_errors
from lynxlanding.settings import daemon_settings, loading

VALID_SETTINGS = """
node_id: n1
place: changamwe
listen: {port: 8080, peer_port: 8081}
platform: {object_api: "http://127.0.0.1:9000"}
"""


def _load(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    return loading.load(str(path), daemon_settings.DaemonSettings)


def test_loads_valid_settings(tmp_path):
    settings = _load(tmp_path, VALID_SETTINGS)
    assert settings.listen.port == 8080


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (VALID_SETTINGS + "colour: red", "colour"),
        (VALID_SETTINGS.replace("port: 8080", "port: 80800"), "listen.port"),
        (VALID_SETTINGS.replace("port: 8080", "prot: 8080"), "listen.port"),
        (VALID_SETTINGS + "drain: {limit_s: soon}", "drain.limit_s"),
        (VALID_SETTINGS + "routing: {policy: fastest}", "routing.policy"),
        (VALID_SETTINGS.replace("node_id: n1", ""), "node_id"),
    ],
)
def test_error_names_the_invalid_key(tmp_path, text, key):
    """Guards against a daemon that starts with settings that its operator did not intend."""
    with pytest.raises(settings_errors.SettingsError) as caught:
        _load(tmp_path, text)
    assert caught.value.path == key
