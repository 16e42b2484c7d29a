"""Exit codes of ``lynxctl``; documented in docs/query-language.md."""

OK = 0
UNEXPECTED = 1
# click itself exits with 2 for invalid options and arguments.
USAGE = 2
INVALID = 3
CONFLICT = 4
NOT_ACCEPTED = 5
OUTCOME_UNKNOWN = 6
UNREACHABLE = 7
NOT_IN_EFFECT = 8
ALERT = 9
