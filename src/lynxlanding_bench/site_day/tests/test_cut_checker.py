import pytest

from lynxlanding_bench.site_day import cut_checker


@pytest.mark.parametrize(
    ("cut", "others", "is_broken"),
    [
        ((14, 183), (252, 254), True),
        ((0, 20), (412, 416), True),
        ((0, 18), (412, 416), False),
        ((150, 183), (252, 254), False),
        ((183, 183), (252, 254), False),
        ((10, 100), (10, 100), False),
    ],
)
def test_judges_as_the_users_rule_does(cut, others, is_broken):
    """Guards against a checker that passes nodes that refuse what they cannot send."""
    assert cut_checker.is_broken(cut, others) == is_broken
