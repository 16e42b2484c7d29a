import pytest

from lynxlanding.crashes import request_digest
from lynxlanding.errors import settings as settings_errors
from lynxlanding.settings import loading, vm_settings

VALID_SETTINGS = """
node_id: n1
data_centre: a
store_address: "127.0.0.1:1"
is_first_start: true
listen: {callers: "127.0.0.1:2", readiness: "127.0.0.1:3", peers: "127.0.0.1:4"}
"""


def load(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    return loading.load(str(path), vm_settings.VmSettings)


def test_parts_of_prompts_can_be_exempt(tmp_path):
    settings = load(tmp_path, VALID_SETTINGS + 'requests: {exempt_prompt_parts: ["5C1E07a2"]}')
    assert settings.requests.exempt_prompt_part_keys == {0x5C1E07A2}
    assert load(tmp_path, VALID_SETTINGS).requests.exempt_prompt_part_keys == frozenset()


def test_requests_can_be_exempt(tmp_path):
    text = 'requests: {exempt_prompt_parts: ["5c"], exempt_request_digests: ["3520054b0aded712"]}'
    settings = load(tmp_path, VALID_SETTINGS + text)
    request = request_digest.from_digest(0x3520054B0ADED712)
    assert settings.requests.exempt_keys == {0x5C, request}


@pytest.mark.parametrize("part_id", ["", "xyz", "0x5c", "1" * 17])
def test_ids_that_are_no_parts_are_refused(tmp_path, part_id):
    """Guards against an exemption that has no effect because of a typing error."""
    with pytest.raises(settings_errors.SettingsError) as caught:
        load(tmp_path, VALID_SETTINGS + f'requests: {{exempt_prompt_parts: ["{part_id}"]}}')
    assert caught.value.path.startswith("requests.exempt_prompt_parts")


def test_bounds_of_cold_engines_have_defaults_where_the_template_has_none(tmp_path):
    """Guards against a node that does not start because a field of the template is missing."""
    rendered = "endpoints:\n  cold_over: \n  cold_slack: \n"
    endpoints = load(tmp_path, VALID_SETTINGS + rendered).endpoints
    assert (endpoints.cold_over, endpoints.cold_slack) == (1.5, 5.0)
    endpoints = load(
        tmp_path, VALID_SETTINGS + "endpoints: {cold_over: 2, cold_slack: 0}"
    ).endpoints
    assert (endpoints.cold_over, endpoints.cold_slack) == (2.0, 0.0)


@pytest.mark.parametrize("section", ["", "evacuations: {}", "evacuations: {bound_ms: }"])
def test_evacuations_are_off_unless_the_platform_states_a_bound(tmp_path, section):
    """Guards against a store that is asked for a kind which it does not have."""
    assert not load(tmp_path, VALID_SETTINGS + section).evacuations.is_on


def test_evacuations_are_on_with_a_bound(tmp_path):
    settings = load(tmp_path, VALID_SETTINGS + "evacuations: {bound_ms: 5000}")
    assert settings.evacuations.is_on
    assert settings.evacuations.bound_ms == 5000
