import pytest

from lynxlanding.observability.burn import objectives
from lynxlanding.observability.burn.tests import summaries
from lynxlanding.settings import daemon_settings

SETTINGS = daemon_settings.ObjectivesSettings()


@pytest.mark.parametrize(
    ("summary", "expected"),
    [
        (
            summaries.make("whole"),
            [("whole_answer", 1, 0), ("first_token", 1, 0), ("token_interval", 8, 2)],
        ),
        (
            summaries.make("whole", first_token_s=0.7),
            [("whole_answer", 1, 0), ("first_token", 0, 1), ("token_interval", 8, 2)],
        ),
        (summaries.make("whole", is_stream=False, tokens=0), [("whole_answer", 1, 0)]),
        (
            summaries.make("broken", tokens=1, slow_gaps=0),
            [("whole_answer", 0, 1), ("first_token", 1, 0)],
        ),
        (
            summaries.make("refused", 503, first_token_s=None, tokens=0),
            [("whole_answer", 0, 1), ("first_token", 0, 1)],
        ),
        (summaries.make("refused", 429, first_token_s=None, tokens=0), []),
        (summaries.make("abandoned", first_token_s=None, tokens=0, duration_s=0.5), []),
        (
            summaries.make("abandoned", first_token_s=None, tokens=0, duration_s=0.9),
            [("whole_answer", 0, 1), ("first_token", 0, 1)],
        ),
    ],
)
def test_classification_of_requests(summary, expected):
    assert objectives.classify_request(summary, SETTINGS) == expected
