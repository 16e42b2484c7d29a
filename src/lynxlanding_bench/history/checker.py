"""Checks a history against the properties of docs/design.md, section 1.1."""

from lynxlanding_bench.history import _answers, _configuration, _groups, _stops, violation

# Serving evidence is at most 5 s old (section 5.5).
EVIDENCE_BOUND_S = 5.0
# Last new request to a leaving endpoint while the store is unavailable (section 1.5).
LEAVING_BOUND_S = 5.0


def check(history, evidence_bound_s=EVIDENCE_BOUND_S, leaving_bound_s=LEAVING_BOUND_S):
    """Return all violations of a history.

    Parameters
    ----------
    history : History
        Records of one run.
    evidence_bound_s : float, optional
        Time in which the loss of a VM must take its group out of service.
    leaving_bound_s : float, optional
        Time in which new work on a leaving endpoint must end.

    Returns
    -------
    list of Violation
    """
    found = []
    for line in history.unreadable:
        found.append(violation.Violation(violation.UNREADABLE_RECORD, line[:60], "not a record"))
    found.extend(_answers.check_double_runs(history))
    found.extend(_answers.check_answers(history))
    found.extend(_answers.check_executed_no(history))
    found.extend(_configuration.check_revisions(history))
    found.extend(_configuration.check_accepted_changes(history))
    found.extend(_groups.check_vm_assignment(history))
    found.extend(_groups.check_incomplete_groups(history, evidence_bound_s))
    found.extend(_stops.check_planned_stops(history))
    found.extend(_stops.check_leaving_endpoints(history, leaving_bound_s))
    return found
