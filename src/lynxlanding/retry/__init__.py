"""Failure classification and the retry budget."""

from lynxlanding.retry import (
    attempt_times,
    classification,
    retry_actor,
    retry_budget,
    retry_policy,
    retry_question,
)

__all__ = [
    "attempt_times",
    "classification",
    "retry_actor",
    "retry_budget",
    "retry_policy",
    "retry_question",
]
