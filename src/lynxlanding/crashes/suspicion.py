"""Which requests and which parts of prompts explain the ends of endpoints."""

from lynxlanding.crashes import request_digest

# Ends in sequence after which a part is named. Two may be ordinary ends that happened to hit a
# request and its repeat.
ENDS_TO_NAME = 3
# The same for a part with which answers were written without harm before.
ENDS_TO_NAME_HARMLESS = 4
# Ends from which on a request or a part without harmless answers may explain those of others.
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
    return len(_find_sequence(ends))


def _find_sequence(ends):
    """Return the times of the ends that followed each other."""
    times = []
    last_ended_at = float("-inf")
    for sent_at, ended_at in sorted(ends, key=lambda item: item[1]):
        if sent_at > last_ended_at:
            times.append(ended_at)
            last_ended_at = ended_at
    return times


def find_suspects(ends_by_key, harmless, ends_to_name):
    """Return the sets of keys that explain ends; a request with a whole set is suspect.

    The key of a request is suspect alone, before the parts of its prompt: one request that comes
    again counts once for each of its parts, and not at all for those with harmless answers once it
    is suspect itself. Parts that were always together cannot be told apart. A request that has only
    some of them is not suspect: its answer or its end tells which one it is.

    Parameters
    ----------
    ends_by_key : dict of int to dict
        For the key of each part and request, the ends that it may have caused:
        ``(sent_at, ended_at)`` in seconds by the key of the end.
    harmless : container of int
        Keys of parts and requests on which answers were written before.
    ends_to_name : int
        Ends in sequence that are needed for a key without such answers.

    Returns
    -------
    dict of frozenset to float
        Suspect sets, with the time of the last end that one of their members may have caused.
    """
    new_parts = {}
    known_parts = {}
    new_requests = {}
    known_requests = {}
    for key, ends in ends_by_key.items():
        if request_digest.is_request(key):
            (known_requests if key in harmless else new_requests)[key] = ends
        else:
            (known_parts if key in harmless else new_parts)[key] = ends
    suspects = _find_requests(new_requests, ends_to_name)
    requests_by_end = _find_explaining(new_requests)
    explained = set()
    for ends in new_parts.values():
        if len(ends) >= ENDS_TO_EXPLAIN:
            explained.update(ends)
    for ends_by_part in (new_parts, known_parts):
        for part, ends in ends_by_part.items():
            ends_by_part[part] = _count_requests_once(ends, requests_by_end)
    suspects.update(_find_equal_suspects(new_parts, ends_to_name))
    # Keys with harmless answers are less likely to be the cause, so they are only judged by ends
    # that no other one may explain, be it named or about to be.
    for request in _find_requests(new_requests, ENDS_TO_NAME):
        explained.update(*(new_requests[key] for key in request))
    known_parts = _leave_out(known_parts, explained)
    known_requests = _leave_out(known_requests, explained | requests_by_end.keys())
    suspects.update(_find_requests(known_requests, ENDS_TO_NAME_HARMLESS))
    suspects.update(_find_equal_suspects(known_parts, ENDS_TO_NAME_HARMLESS))
    return suspects


def _find_explaining(ends_by_request):
    """Return the requests that may explain an end by themselves, by the key of the end."""
    requests_by_end = {}
    for key, ends in ends_by_request.items():
        if len(ends) < ENDS_TO_EXPLAIN or count_sequence(ends.values()) < ENDS_TO_EXPLAIN:
            continue
        for end_key in ends:
            requests_by_end.setdefault(end_key, set()).add(key)
    return requests_by_end


def _count_requests_once(ends, requests_by_end):
    """Return the ends of a part without those of a request that has ended an endpoint before."""
    counted = {}
    seen_requests = set()
    for end_key, end in sorted(ends.items(), key=lambda item: item[1][1]):
        requests = requests_by_end.get(end_key)
        if requests is not None:
            if not seen_requests.isdisjoint(requests):
                continue
            seen_requests |= requests
        counted[end_key] = end
    return counted


def _leave_out(ends_by_key, explained):
    """Return the ends by key without those that are explained."""
    remaining = {}
    for key, ends in ends_by_key.items():
        remaining[key] = {end_key: end for end_key, end in ends.items() if end_key not in explained}
    return remaining


def _find_requests(ends_by_request, ends_to_name):
    """Return the suspect requests; no request has the keys of two.

    The ends of a request that is suspect earlier do not count for others that shared them.
    """
    named_at_by_request = {}
    for key, ends in ends_by_request.items():
        named_at = _find_named_at(ends.values(), ends_to_name)
        if named_at is not None:
            named_at_by_request[key] = named_at
    suspects = {}
    explained_since = {}
    for key, named_at in sorted(named_at_by_request.items(), key=lambda item: item[1]):
        ends = ends_by_request[key]
        remaining = []
        for end_key, end in ends.items():
            if explained_since.get(end_key, named_at) >= named_at:
                remaining.append(end)
        if _find_named_at(remaining, ends_to_name) is None:
            continue
        suspects[frozenset({key})] = max(ended_at for _, ended_at in ends.values())
        for end_key in ends:
            explained_since.setdefault(end_key, named_at)
    return suspects


def _find_named_at(ends, ends_to_name):
    """Return the time of the end that completes the sequence; None if it is too short."""
    times = _find_sequence(ends)
    return times[ends_to_name - 1] if len(times) >= ends_to_name else None


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
