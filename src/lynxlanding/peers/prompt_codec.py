"""Encoding of what reports say about ends of endpoints and parts of prompts.

Times are relative to the sending of the report, so none is positive; the encoding has ages.
"""

from lynxlanding.crashes import statements
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
        parts = end_list[index].init("parts", len(end.sent_at_by_part))
        for part_index, (part, sent_at) in enumerate(end.sent_at_by_part.items()):
            parts[part_index].part = part
            parts[part_index].ageMs = _to_age_ms(sent_at)
    harmless_list = _init(message, "harmless", prompts.harmless)
    for index, harmless in enumerate(prompts.harmless):
        harmless_list[index].part = harmless.part
        harmless_list[index].ageMs = _to_age_ms(harmless.begun_at)
    quarantine_list = _init(message, "quarantines", prompts.quarantines)
    for index, quarantine in enumerate(prompts.quarantines):
        quarantine_list[index].parts = sorted(quarantine.parts)
        quarantine_list[index].namedAgeMs = _to_age_ms(quarantine.named_at)
        quarantine_list[index].endAgeMs = _to_age_ms(quarantine.last_end_at)
        quarantine_list[index].seenAgeMs = _to_age_ms(quarantine.last_seen_at)
        quarantine_list[index].trialAgeMs = _to_age_ms(quarantine.last_trial_at)
        quarantine_list[index].trials = min(quarantine.trials, MAX_TRIALS)


def decode(message):
    """Return the ``PromptStatements`` of a ``PeerReport`` message.

    Raises
    ------
    ValueError
        If a quarantine names no part, which would refuse all requests.
    """
    ends = []
    for item in message.ends:
        sent_at_by_part = {part.part: _from_age_ms(part.ageMs) for part in item.parts}
        ends.append(
            statements.EndStatement(
                item.key, item.startedMs, _from_age_ms(item.ageMs), sent_at_by_part
            )
        )
    harmless = []
    for item in message.harmless:
        harmless.append(statements.HarmlessStatement(item.part, _from_age_ms(item.ageMs)))
    quarantines = []
    for item in message.quarantines:
        parts = frozenset(item.parts)
        if not parts:
            raise ValueError("a quarantine names no part")
        quarantines.append(
            statements.QuarantineStatement(
                parts,
                _from_age_ms(item.namedAgeMs),
                _from_age_ms(item.endAgeMs),
                _from_age_ms(item.seenAgeMs),
                item.trials,
                _from_age_ms(item.trialAgeMs),
            )
        )
    return statements.PromptStatements(tuple(ends), tuple(harmless), tuple(quarantines))


def _init(message, name, items):
    """Return the list to write ``items`` to; one that is empty takes no bytes if it is left out."""
    return message.init(name, len(items)) if items else ()


def _to_age_ms(relative_s):
    # A request can arrive between the time of the report and its encoding.
    return max(0, round(-relative_s * 1000))


def _from_age_ms(age_ms):
    return -age_ms / 1000
