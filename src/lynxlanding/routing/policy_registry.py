"""Routing policies by their names in the settings."""

from lynxlanding.errors import settings as settings_errors
from lynxlanding.routing import (
    least_loaded_policy,
    prefix_affinity_policy,
    random_policy,
    two_choices_policy,
)

POLICY_BY_NAME = {
    "random": random_policy.RandomPolicy,
    "two_choices": two_choices_policy.TwoChoicesPolicy,
    "least_loaded": least_loaded_policy.LeastLoadedPolicy,
    "prefix_affinity": prefix_affinity_policy.PrefixAffinityPolicy,
}


def create(name):
    """Return a new instance of the policy with this name.

    Raises
    ------
    errors.settings.SettingsError
        If no policy has this name.
    """
    if name not in POLICY_BY_NAME:
        known = ", ".join(sorted(POLICY_BY_NAME))
        raise settings_errors.SettingsError("routing.policy", f"must be one of {known}")
    return POLICY_BY_NAME[name]()
