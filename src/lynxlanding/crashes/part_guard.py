"""Refuses requests that end endpoints, or whose prompts contain parts that do."""

import dataclasses

from lynxlanding.crashes import (
    crash_evidence,
    quarantine_change,
    request_digest,
    statements,
    suspicion,
    verdict,
)
from lynxlanding.membership import rendezvous

# An end counts after this time. By then, all nodes whose requests the endpoint was working on have
# reported them. Judged by the reports of some, the end could be blamed on a request that only
# shared the endpoint with the cause.
SETTLING_S = 0.3
# The same for a part on which answers were written before, if it is known which requests the
# endpoint was working on. Several requests that end endpoints may share the part; answers to others
# that begin after these ends refute that it is the cause, and need this time.
KNOWN_SETTLING_S = 2.0
# Time without an end before the next trial: a request with the parts that is sent in spite of the
# quarantine, in case that they were named wrongly. The last value holds for all later trials. By
# then, engines that have ended must be serving again.
TRIAL_WAITS_S = (10.0, 30.0, 600.0)
# The same for a request that is refused by itself: fewer callers wait for it than for a part, and
# many requests may be refused at once, so that their trials would cost many endpoints.
REQUEST_TRIAL_WAITS_S = (30.0, 600.0)
# One node after the other may send the trial. The margin at both ends of a node's turn is for
# views of the quarantine that differ by the age of a report.
TRIAL_TURN_S = 2.0
TRIAL_MARGIN_S = 0.5
# Parts are kept for this long after the last request with them.
RETENTION_S = 600.0
# Of parts, and as many of requests.
MAX_QUARANTINES = 64
# Bound of the size of a report.
MAX_REPORTED = 8
# A quarantine of peers is adopted once this many of them state it within this time.
PEERS_TO_ADOPT = 2
CONFIRMATION_S = 3.0
# Quarantines are repeated for nodes that have just started or did not hear of them.
REPEAT_S = 1.0

# Why a quarantine has ended.
HARMLESS = "an answer was written without harm"
QUIET = "no requests with these parts"
CROWDED_OUT = "too many quarantines"


class PartGuard:
    """Quarantine of requests and of parts of prompts; performs no I/O.

    Both are told apart by their keys (``request_digest``). Request threads call it directly: each
    call is one step that cannot be interrupted.

    Parameters
    ----------
    node_id : str
        Id of this node.
    exempt_parts : frozenset of int, optional
        Keys of parts and requests that operators have declared harmless.
    """

    def __init__(self, node_id, exempt_parts=frozenset()):
        self._node_id = node_id
        self._exempt_parts = exempt_parts
        self._live_nodes = [node_id]
        self._evidence = crash_evidence.CrashEvidence()
        self._quarantines = {}
        self._sources = {}
        self._changes = []
        self._report_at = {}
        self._heard_from = {}
        self._urgent_changes = 0
        self._evaluated_version = 0
        self._evaluated_until = 0.0

    @property
    def quarantines(self):
        """The ``QuarantineStatement`` of each set of parts in force."""
        return self._quarantines

    @property
    def own_changes(self):
        """Number of changes that peers should hear of soon."""
        return self._evidence.changes

    @property
    def urgent_changes(self):
        """Number of changes that all peers should hear of at once."""
        return self._urgent_changes

    def use_live_nodes(self, node_ids):
        """Set the nodes that take turns in sending trials."""
        self._live_nodes = node_ids

    def use_exempt_parts(self, parts):
        """Set the keys of parts and requests that operators have declared harmless."""
        self._exempt_parts = parts

    def check(self, prompt_parts, now):
        """Return the ``Verdict`` on a request with these keys; None if nothing is against it."""
        if not self._quarantines:
            return None
        parts = self._find_contained(self._quarantines, prompt_parts)
        if parts is None:
            return None
        known = self._quarantines[parts]
        is_trial = self._may_try(known, now) and not self._is_other_suspect(prompt_parts, parts)
        self._quarantines[parts] = dataclasses.replace(
            known,
            last_seen_at=now,
            trials=known.trials + is_trial,
            last_trial_at=now if is_trial else known.last_trial_at,
        )
        if is_trial:
            self._urgent_changes += 1
            self._report_at.pop(parts, None)
        return verdict.Verdict(parts, is_trial, known.named_at)

    def count_requests(self):
        """Return the number of requests that are refused by themselves."""
        return sum(request_digest.contains_request(parts) for parts in list(self._quarantines))

    def is_quarantined(self, prompt_parts):
        """Return whether requests with these parts are refused."""
        return self._find_contained(self._quarantines, prompt_parts) is not None

    def may_repeat(self, prompt_parts):
        """Return whether to repeat a request whose endpoint has ended."""
        suspects = self._evidence.find_suspects(suspicion.ENDS_TO_STOP_REPEATS)
        return self._find_contained(suspects, prompt_parts) is None

    def record_end(self, statement, now):
        """Record an ``EndStatement`` of this node."""
        self._evidence.record_own_end(statement, now)
        self._urgent_changes += 1

    def record_harmless(self, parts, begun_at, now):
        """Record that an answer to a request with these parts was written, and when it began."""
        self._evidence.record_harmless(parts, begun_at, now)
        if self._quarantines:
            self._lift_harmless()

    def apply_peer(self, peer_statements, peer_id, now):
        """Record the ``PromptStatements`` of a peer, on this node's clock."""
        for end in peer_statements.ends:
            self._evidence.record_peer_end(end)
        for harmless in peer_statements.harmless:
            self._evidence.record_peer_harmless(harmless)
        for quarantine in peer_statements.quarantines:
            self._apply_quarantine(quarantine, peer_id, now)
        if peer_statements.harmless:
            self._lift_harmless()

    def statements_to_report(self, now):
        """Return the ``PromptStatements`` of this node's next report."""
        ends, harmless = self._evidence.statements_to_report(now)
        reported = []
        for parts, known in self._quarantines.items():
            if len(reported) == MAX_REPORTED:
                break
            if now >= self._report_at.get(parts, 0.0):
                self._report_at[parts] = now + REPEAT_S
                reported.append(known)
        return statements.PromptStatements(ends, harmless, tuple(reported))

    def expire(self, last_event_at_by_key, now):
        """Begin and end quarantines; return the ``QuarantineChange``s since the last call.

        Parameters
        ----------
        last_event_at_by_key : callable
            Returns when an endpoint last sent something to this node, by the hash of its id.
        now : float
            Monotonic seconds.
        """
        self._evidence.expire(last_event_at_by_key, now)
        for parts, heard_at in list(self._heard_from.items()):
            if now - max(heard_at.values()) > CONFIRMATION_S:
                del self._heard_from[parts]
        self._name_suspects(now)
        for parts, known in list(self._quarantines.items()):
            if now - max(known.last_seen_at, known.last_end_at) > RETENTION_S:
                self._end(parts, QUIET)
        changes = self._changes
        self._changes = []
        return changes

    def _find_contained(self, sets_of_parts, prompt_parts):
        """Return the first set whose parts a prompt all has, or None; exempt parts do not count."""
        present = set(prompt_parts) - self._exempt_parts
        for key in prompt_parts:
            # A request that is refused by itself is no trial of its parts.
            if (
                request_digest.is_request(key)
                and key in present
                and frozenset({key}) in sets_of_parts
            ):
                return frozenset({key})
        for parts in sets_of_parts:
            if parts <= present:
                return parts
        return None

    def _is_other_suspect(self, prompt_parts, parts):
        """Return whether the request itself may end endpoints, so that it is no trial of parts."""
        for key in prompt_parts:
            if request_digest.is_request(key) and key not in parts:
                return self._evidence.has_ended(key)
        return False

    def _may_try(self, known, now):
        last_at = max(known.named_at, known.last_end_at, known.last_trial_at)
        is_request = request_digest.contains_request(known.parts)
        waits_s = REQUEST_TRIAL_WAITS_S if is_request else TRIAL_WAITS_S
        if now - last_at < waits_s[min(known.trials, len(waits_s) - 1)]:
            return False
        turn, in_turn_s = divmod(now - known.named_at, TRIAL_TURN_S)
        if not TRIAL_MARGIN_S <= in_turn_s <= TRIAL_TURN_S - TRIAL_MARGIN_S:
            return False
        key = f"trial-{min(known.parts):x}-{int(turn)}"
        return rendezvous.choose(key, self._live_nodes, 1) == [self._node_id]

    def _name_suspects(self, now):
        settled_at = now - SETTLING_S
        is_known = self._evidence.version == self._evaluated_version
        if is_known and self._evidence.latest_end_at < self._evaluated_until:
            return
        self._evaluated_version = self._evidence.version
        known_settled_at = now - KNOWN_SETTLING_S
        self._evaluated_until = known_settled_at
        suspects = self._evidence.find_suspects(
            suspicion.ENDS_TO_NAME, settled_at, known_settled_at
        )
        for parts, last_end_at in suspects.items():
            known = self._quarantines.get(parts)
            if known is not None:
                if last_end_at > known.last_end_at:
                    self._quarantines[parts] = dataclasses.replace(known, last_end_at=last_end_at)
                continue
            named = statements.QuarantineStatement(parts, now, last_end_at, now, 0, now)
            self._begin(named, self._node_id)

    def _apply_quarantine(self, stated, source, now):
        if now - max(stated.last_seen_at, stated.last_end_at) > RETENTION_S:
            return
        remaining = set()
        for part in stated.parts:
            if not self._is_harmless_since(part, stated.last_end_at):
                remaining.add(part)
                continue
            # The peer has not heard of it.
            self._evidence.repeat_harmless(part, now)
        if not remaining:
            return
        stated = dataclasses.replace(stated, parts=frozenset(remaining))
        known = self._quarantines.get(stated.parts)
        if known is not None:
            self._quarantines[stated.parts] = known.merge(stated)
        elif self._is_confirmed(stated.parts, source, now):
            self._begin(stated, source)

    def _is_confirmed(self, parts, source, now):
        """Return whether enough peers state a quarantine, one of which may lack some evidence."""
        heard_at = self._heard_from.setdefault(parts, {})
        heard_at[source] = now
        for other, at in list(heard_at.items()):
            if now - at > CONFIRMATION_S:
                del heard_at[other]
        return len(heard_at) >= min(PEERS_TO_ADOPT, len(self._live_nodes) - 1)

    def _is_harmless_since(self, part, end_at):
        harmless_at = self._evidence.harmless_since(part)
        return harmless_at is not None and harmless_at > end_at

    def _lift_harmless(self):
        for parts, known in list(self._quarantines.items()):
            remaining = frozenset(
                part for part in parts if not self._is_harmless_since(part, known.last_end_at)
            )
            if remaining == parts:
                continue
            source = self._sources[parts]
            self._end(parts, HARMLESS)
            if remaining:
                self._begin(dataclasses.replace(known, parts=remaining), source)

    def _begin(self, statement, source):
        for parts in list(self._quarantines):
            if parts <= statement.parts:
                # Its requests are refused already.
                return
            if statement.parts < parts:
                self._drop(parts)
        self._quarantines[statement.parts] = statement
        self._sources[statement.parts] = source
        self._urgent_changes += 1
        self._changes.append(quarantine_change.QuarantineChange(statement, source))
        is_request = request_digest.contains_request(statement.parts)
        alike = []
        for known in self._quarantines.values():
            if request_digest.contains_request(known.parts) == is_request:
                alike.append(known)
        if len(alike) > MAX_QUARANTINES:
            oldest = min(alike, key=lambda item: item.last_seen_at)
            self._end(oldest.parts, CROWDED_OUT)

    def _end(self, parts, reason):
        self._changes.append(
            quarantine_change.QuarantineChange(
                self._quarantines[parts], self._sources[parts], reason
            )
        )
        self._drop(parts)

    def _drop(self, parts):
        del self._quarantines[parts]
        del self._sources[parts]
        self._heard_from.pop(parts, None)
        self._report_at.pop(parts, None)
