"""Encoding of what reports say about ends of endpoints, requests and parts of prompts.

Times are relative to the sending of the report, so none is positive; the encoding has ages.
"""

from lynxlanding.crashes import request_digest, statements
from lynxlanding.peers import peer_report

MAX_TRIALS = 0xFFFF


def encode(message, prompts):
    """Write ``PromptStatements`` into a ``PeerReport`` message."""
    ends = [item for item in prompts.ends if peer_report.is_encodable_start(item.started_ms)]
    end_list = _init(message, "ends", ends)
    for index, end in enumerate(ends):
        end_list[index].key = end.endpoint_key
        end_list[index].startedMs = end.started_ms
        end_list[index].ageMs = _to_age_ms(end.ended_at)
        _encode_times(end_list[index], "parts", "requests", end.sent_at_by_part)
    begun_at_by_key = {item.part: item.begun_at for item in prompts.harmless}
    _encode_times(message, "harmless", "harmlessRequests", begun_at_by_key)
    of_parts = []
    of_requests = []
    for quarantine in prompts.quarantines:
        is_request = request_digest.contains_request(quarantine.parts)
        (of_requests if is_request else of_parts).append(quarantine)
    quarantine_list = _init(message, "quarantines", of_parts)
    for index, quarantine in enumerate(of_parts):
        quarantine_list[index].parts = sorted(quarantine.parts)
        _encode_ages(quarantine_list[index], quarantine)
    request_list = _init(message, "requestQuarantines", of_requests)
    for index, quarantine in enumerate(of_requests):
        request_list[index].request = request_digest.to_digest(min(quarantine.parts))
        _encode_ages(request_list[index], quarantine)


def decode(message):
    """Return the ``PromptStatements`` of a ``PeerReport`` message.

    Raises
    ------
    ValueError
        If a quarantine names no part, which would refuse all requests.
    """
    ends = []
    for item in message.ends:
        sent_at_by_part = _decode_times(item.parts, item.requests)
        ends.append(
            statements.EndStatement(
                item.key, item.startedMs, _from_age_ms(item.ageMs), sent_at_by_part
            )
        )
    harmless = []
    for key, begun_at in _decode_times(message.harmless, message.harmlessRequests).items():
        harmless.append(statements.HarmlessStatement(key, begun_at))
    quarantines = []
    for item in message.quarantines:
        parts = frozenset(item.parts)
        if not parts:
            raise ValueError("a quarantine names no part")
        quarantines.append(_decode_quarantine(item, parts))
    for item in message.requestQuarantines:
        key = request_digest.from_digest(item.request)
        quarantines.append(_decode_quarantine(item, frozenset({key})))
    return statements.PromptStatements(tuple(ends), tuple(harmless), tuple(quarantines))


def _encode_times(message, parts_name, requests_name, times):
    """Write times by key into one list for parts and one for requests."""
    parts, requests = request_digest.split(times)
    part_list = _init(message, parts_name, parts)
    for index, part in enumerate(parts):
        part_list[index].part = part
        part_list[index].ageMs = _to_age_ms(times[part])
    request_list = _init(message, requests_name, requests)
    for index, key in enumerate(requests):
        request_list[index].part = request_digest.to_digest(key)
        request_list[index].ageMs = _to_age_ms(times[key])


def _decode_times(parts, requests):
    """Return the times of two lists by key."""
    times = {item.part: _from_age_ms(item.ageMs) for item in parts}
    for item in requests:
        times[request_digest.from_digest(item.part)] = _from_age_ms(item.ageMs)
    return times


def _encode_ages(message, quarantine):
    message.namedAgeMs = _to_age_ms(quarantine.named_at)
    message.endAgeMs = _to_age_ms(quarantine.last_end_at)
    message.seenAgeMs = _to_age_ms(quarantine.last_seen_at)
    message.trialAgeMs = _to_age_ms(quarantine.last_trial_at)
    message.trials = min(quarantine.trials, MAX_TRIALS)


def _decode_quarantine(item, keys):
    return statements.QuarantineStatement(
        keys,
        _from_age_ms(item.namedAgeMs),
        _from_age_ms(item.endAgeMs),
        _from_age_ms(item.seenAgeMs),
        item.trials,
        _from_age_ms(item.trialAgeMs),
    )


def _init(message, name, items):
    """Return the list to write ``items`` to; one that is empty takes no bytes if it is left out."""
    return message.init(name, len(items)) if items else ()


def _to_age_ms(relative_s):
    # A request can arrive between the time of the report and its encoding.
    return max(0, round(-relative_s * 1000))


def _from_age_ms(age_ms):
    return -age_ms / 1000
