"""Which parts of prompts explain the ends of endpoints."""

# Ends in sequence after which a part is named. Two may be ordinary ends that happened to hit a
# request and its repeat.
ENDS_TO_NAME = 3
# The same for a part with which answers were written without harm before.
ENDS_TO_NAME_HARMLESS = 4
# Ends from which on a part without harmless answers may explain those of a part with them.
ENDS_TO_EXPLAIN = 2
# Ends in sequence after which a request that has itself seen its endpoint end is not repeated.
ENDS_TO_STOP_REPEATS = 2


def count_sequence(ends):
    """Return the largest number of ends that followed each other.

    An end counts only if a request was sent to that endpoint after the previous one, so that
    endpoints which lose power together count as one.

    Parameters
    ----------
    ends : iterable of (float, float)
        When the last request with the part was sent to the endpoint, and when the endpoint ended,
        in seconds.
    """
    count = 0
    last_ended_at = float("-inf")
    for sent_at, ended_at in sorted(ends, key=lambda item: item[1]):
        if sent_at > last_ended_at:
            count += 1
            last_ended_at = ended_at
    return count


def find_suspects(ends_by_part, harmless_parts, ends_to_name):
    """Return the sets of parts that explain ends; a request with a whole set is suspect.

    Parts that were always together cannot be told apart. A request that has only some of them is
    not suspect: its answer or its end tells which one it is.

    Parameters
    ----------
    ends_by_part : dict of int to dict
        For each part, the ends that it may have caused: ``(sent_at, ended_at)`` in seconds by the
        key of the end.
    harmless_parts : container of int
        Parts on which answers were written before.
    ends_to_name : int
        Ends in sequence that are needed for a part without such answers.

    Returns
    -------
    dict of frozenset to float
        Suspect sets, with the time of the last end that one of their parts may have caused.
    """
    new_parts = {}
    known_parts = {}
    for part, ends in ends_by_part.items():
        (known_parts if part in harmless_parts else new_parts)[part] = ends
    suspects = _find_equal_suspects(new_parts, ends_to_name)
    # Parts with harmless answers are less likely to be the cause, so they are only judged by ends
    # that no other part may explain, be it named or about to be.
    explained = set()
    for ends in new_parts.values():
        if len(ends) >= ENDS_TO_EXPLAIN:
            explained.update(ends)
    unexplained = {}
    for part, ends in known_parts.items():
        unexplained[part] = {key: end for key, end in ends.items() if key not in explained}
    suspects.update(_find_equal_suspects(unexplained, ENDS_TO_NAME_HARMLESS))
    return suspects


def _find_equal_suspects(ends_by_part, ends_to_name):
    """Return the suspect sets among parts that are equally likely to be the cause."""
    suspects = {}
    for part, ends in ends_by_part.items():
        if len(ends) < ends_to_name or count_sequence(ends.values()) < ends_to_name:
            continue
        together = {part}
        for other, other_ends in ends_by_part.items():
            shared = ends.keys() & other_ends.keys()
            if len(shared) < ends_to_name:
                continue
            # The other part may have caused all but a few ordinary ends.
            remaining = [end for key, end in ends.items() if key not in shared]
            if count_sequence(remaining) < ends_to_name:
                together.add(other)
        last_end_at = max(ended_at for _, ended_at in ends.values())
        key = frozenset(together)
        suspects[key] = max(last_end_at, suspects.get(key, last_end_at))
    return suspects
