"""Checks of what callers received (G3, G4, G5)."""

import collections

from lynxlanding_bench.history import violation


def check_double_runs(history):
    """Find non-idempotent requests that ran more than once.

    A reference names one booking of a caller; all its submissions with one key are one request.
    """
    at_most_once = set()
    for call in history.of_event("call"):
        if call.get("at_most_once"):
            at_most_once.add(call["reference"])
    runs = collections.Counter()
    for run in history.of_event("run"):
        if run["reference"] in at_most_once:
            runs[run["reference"]] += 1
    found = []
    for reference, count in sorted(runs.items()):
        if count > 1:
            text = f"ran {count} times"
            found.append(violation.Violation(violation.DOUBLE_RUN, reference, text))
    return found


def check_answers(history):
    """Find answers that were taken as whole but are not the caller's own complete answer."""
    expected_by_text = {}
    references = set()
    for call in history.of_event("call"):
        if "expected" in call:
            expected_by_text.setdefault(call["expected"], call["id"])
        if "reference" in call:
            references.add(call["reference"])
    found = []
    for call, answer in history.answers_by_call():
        if answer is None:
            text = f"call at {call['time']:.3f} to {call.get('node')} has no answer"
            found.append(violation.Violation(violation.UNANSWERED, call["id"], text))
            continue
        if answer["result"] != "whole":
            continue
        if "expected" in call:
            kind, text = _compare_text(call, answer, expected_by_text)
        else:
            kind, text = _compare_reference(call, answer, references)
        if kind is not None:
            found.append(violation.Violation(kind, call["id"], text))
    return found


def check_executed_no(history):
    """Find refusals with ``executed: no`` of requests that an endpoint worked on."""
    worked_requests = {record["request_id"] for record in history.work()}
    first_run_at = {}
    for run in history.of_event("run"):
        at = first_run_at.get(run["reference"], run["time"])
        first_run_at[run["reference"]] = min(at, run["time"])
    found = []
    for call, answer in history.answers_by_call():
        if answer is None or answer.get("executed") != "no":
            continue
        text = None
        if answer.get("request_id") and answer["request_id"] in worked_requests:
            text = f"an endpoint worked on request {answer['request_id']}"
        # All submissions of a booking are one request, whichever of them ran.
        reference = call.get("reference")
        if first_run_at.get(reference, float("inf")) <= answer["time"]:
            text = f"the service ran {reference}"
        if text is not None:
            found.append(violation.Violation(violation.FALSE_EXECUTED_NO, call["id"], text))
    return found


def _compare_text(call, answer, expected_by_text):
    expected = call["expected"]
    text = answer.get("text") or ""
    if text == expected:
        return None, None
    if text != "" and text in expected_by_text:
        other = expected_by_text[text]
        return violation.SWAPPED_ANSWER, f"received the answer to call {other}"
    if expected.startswith(text):
        explanation = f"received {len(text)} of {len(expected)} characters as a whole answer"
        return violation.TRUNCATED_AS_WHOLE, explanation
    for other_text, other in expected_by_text.items():
        if text and other_text.startswith(text):
            return violation.SWAPPED_ANSWER, f"received the beginning of the answer to call {other}"
    return violation.WRONG_ANSWER, f"received {text[:40]!r}"


def _compare_reference(call, answer, references):
    received = answer.get("reference")
    if received == call["reference"]:
        return None, None
    if received in references:
        return violation.SWAPPED_ANSWER, f"received the answer to {received}"
    if received is None:
        return violation.TRUNCATED_AS_WHOLE, "received an answer without its reference"
    return violation.WRONG_ANSWER, f"received the answer to {received!r}"
