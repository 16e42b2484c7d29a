"""One violated property."""

import dataclasses

DOUBLE_RUN = "double_run"
SWAPPED_ANSWER = "swapped_answer"
WRONG_ANSWER = "wrong_answer"
TRUNCATED_AS_WHOLE = "truncated_as_whole"
FALSE_EXECUTED_NO = "false_executed_no"
UNANSWERED = "unanswered"
REVERTED_CONFIGURATION = "reverted_configuration"
LOST_CHANGE = "lost_change"
DUPLICATE_CHANGE = "duplicate_change"
VM_IN_TWO_GROUPS = "vm_in_two_groups"
INCOMPLETE_GROUP_SERVED = "incomplete_group_served"
CUT_IN_PLANNED_STOP = "cut_in_planned_stop"
WORK_ON_LEAVING_ENDPOINT = "work_on_leaving_endpoint"
UNREADABLE_RECORD = "unreadable_record"


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A property that a history violates.

    Parameters
    ----------
    kind : str
        One of the constants of this module.
    subject : str
        Request, node, VM or change that is concerned.
    explanation : str
        What was seen.
    """

    kind: str
    subject: str
    explanation: str
