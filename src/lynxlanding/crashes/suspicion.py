"""Which parts of prompts explain the ends of endpoints."""

# Ends in sequence after which a part is named. Two may be ordinary ends that met the same request
# and its repeat.
ENDS_TO_NAME = 3
# The same for a part with which answers were written without harm before.
ENDS_TO_NAME_HARMLESS = 4
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
    suspects = {}
    for part, ends in ends_by_part.items():
        is_harmless = part in harmless_parts
        needed = ENDS_TO_NAME_HARMLESS if is_harmless else ends_to_name
        if len(ends) < needed or count_sequence(ends.values()) < needed:
            continue
        together = {part}
        for other, other_ends in ends_by_part.items():
            if other in harmless_parts and not is_harmless:
                # It is less likely to be the cause than the part itself.
                continue
            shared = ends.keys() & other_ends.keys()
            if len(shared) < needed:
                continue
            # The other part may have caused all but a few ordinary ends.
            unexplained = [end for key, end in ends.items() if key not in shared]
            if count_sequence(unexplained) < needed:
                together.add(other)
        last_end_at = max(ended_at for _, ended_at in ends.values())
        key = frozenset(together)
        suspects[key] = max(last_end_at, suspects.get(key, last_end_at))
    return suspects
