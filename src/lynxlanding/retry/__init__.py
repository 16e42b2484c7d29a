"""Classification of failed attempts, and the retry policy with its budget."""

from lynxlanding.retry import (
    attempt_times,
    classification,
    retry_actor,
    retry_budget,
    retry_policy,
    retry_query,
)

__all__ = [
    "attempt_times",
    "classification",
    "retry_actor",
    "retry_budget",
    "retry_policy",
    "retry_query",
]
