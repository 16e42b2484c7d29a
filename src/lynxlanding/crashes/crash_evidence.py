"""Ends of endpoints and harmless answers, as this node and its peers have seen them."""

import collections
import dataclasses
import math

from lynxlanding.crashes import request_digest, statements, suspicion

# Ends are remembered for this long: bad requests may come a minute apart.
EVIDENCE_S = 120.0
MAX_ENDS = 128
# Of one node's statement, and of all together.
MAX_STATED_PARTS = 32
MAX_PARTS_PER_END = 256
# Parts that are remembered as harmless. Prompts may have more parts of their own than this.
MAX_HARMLESS = 4096
# The same for requests, which are too many to share that memory: only those that come again
# within a minute or two are found in it.
MAX_HARMLESS_REQUESTS = 4096
# New statements are part of every report for this long, so that a lost report does no harm.
FRESH_S = 1.0
# Bounds of the size of a report.
MAX_REPORTED_ENDS = 8
MAX_REPORTED_HARMLESS = 32
MAX_REPORTED_HARMLESS_REQUESTS = 16
# The times of peers are known to within the delay of a datagram.
CLOCK_MARGIN_S = 0.1
# An endpoint takes longer than this to start again.
MIN_RESTART_S = 1.0


@dataclasses.dataclass(slots=True)
class _End:
    ended_at: float
    sent_at_by_part: dict
    own: statements.EndStatement | None = None
    own_changed_at: float = 0.0

    @property
    def has_requests(self):
        """Whether it is known which requests the endpoint was working on, besides their parts."""
        return request_digest.contains_request(self.sent_at_by_part)


class CrashEvidence:
    """Collects the evidence; performs no I/O.

    Ends that a later answer on the same part refutes do not count for that part.
    """

    def __init__(self):
        self._ends = collections.OrderedDict()
        self._harmless = collections.OrderedDict()
        self._harmless_requests = collections.OrderedDict()
        self._any_harmless = collections.ChainMap(self._harmless, self._harmless_requests)
        self._fresh_harmless = {}
        self._changes = 0
        self._version = 0
        self._latest_end_at = -math.inf

    @property
    def changes(self):
        """Number of changes that peers should hear of at once."""
        return self._changes

    @property
    def version(self):
        """Number that changes with everything that may change the suspects."""
        return self._version

    @property
    def latest_end_at(self):
        """When the latest end occurred, in monotonic seconds."""
        return self._latest_end_at

    def record_own_end(self, statement, now):
        """Record an end that this node has seen."""
        end = self._merge(statement)
        sent_at_by_part = _select_sent_before(statement.sent_at_by_part, end.ended_at)
        if end.own is not None:
            known = dict(end.own.sent_at_by_part)
            _keep_latest(known, sent_at_by_part, MAX_STATED_PARTS)
            statement = end.own
            sent_at_by_part = known
        statement = dataclasses.replace(statement, sent_at_by_part=sent_at_by_part)
        end.own = statement
        end.own_changed_at = now
        self._changes += 1

    def record_peer_end(self, statement):
        """Record an end that a peer has seen."""
        self._merge(statement)

    def record_harmless(self, parts, begun_at, now):
        """Record that an answer to a request with these keys was written, and when it began."""
        for part in parts:
            # One end alone does not make a request suspect.
            min_ends = suspicion.ENDS_TO_EXPLAIN if request_digest.is_request(part) else 1
            if self._remember_harmless(part, begun_at) and self._is_at_issue(part, min_ends):
                self._fresh_harmless[part] = now
                self._changes += 1
                self._version += 1

    def record_peer_harmless(self, statement):
        """Record that a peer has got an answer on a part."""
        if self._remember_harmless(statement.part, statement.begun_at):
            self._version += 1

    def harmless_since(self, part):
        """Return when the last harmless answer on a part began; None if there is none."""
        return self._any_harmless.get(part)

    def has_ended(self, key):
        """Return whether an endpoint has ended under a request, and no answer refutes it."""
        return bool(self._find_ends({key}))

    def repeat_harmless(self, part, now):
        """Report once more that a part is harmless, to peers that have not heard it."""
        self._fresh_harmless[part] = now
        self._changes += 1

    def find_suspects(self, ends_to_name, before=math.inf, known_before=math.inf):
        """Return the suspect sets of keys, with the time of their last end.

        Parameters
        ----------
        ends_to_name : int
            Ends in sequence that are needed for a part without harmless answers so far.
        before : float, optional
            Ends from this time on do not count, in monotonic seconds.
        known_before : float, optional
            The same for parts with harmless answers, at ends under requests that may explain them.
        """
        ends_by_part = self._find_ends(before=before)
        for part in self._harmless.keys() & ends_by_part.keys():
            ends = ends_by_part[part]
            for key in list(ends):
                if self._ends[key].ended_at >= known_before and self._ends[key].has_requests:
                    del ends[key]
        return suspicion.find_suspects(ends_by_part, self._any_harmless, ends_to_name)

    def _find_ends(self, wanted=None, before=math.inf):
        """Return the ends that no answer refutes, by the keys that may have caused them."""
        ends_by_part = {}
        for key, end in self._ends.items():
            if end.ended_at >= before:
                continue
            for part, sent_at in end.sent_at_by_part.items():
                if wanted is not None and part not in wanted:
                    continue
                if sent_at > end.ended_at + CLOCK_MARGIN_S:
                    # A peer has seen the end earlier than the one that stated the part.
                    continue
                harmless_at = self._any_harmless.get(part)
                if harmless_at is None or harmless_at < end.ended_at:
                    ends_by_part.setdefault(part, {})[key] = (sent_at, end.ended_at)
        return ends_by_part

    def statements_to_report(self, now):
        """Return the ends and the harmless parts that this node's next report states."""
        reported = []
        for end in self._ends.values():
            if end.own is not None and now - end.own_changed_at <= FRESH_S:
                reported.append(end.own)
        for part, changed_at in list(self._fresh_harmless.items()):
            if now - changed_at > FRESH_S:
                del self._fresh_harmless[part]
        harmless = []
        parts, requests = request_digest.split(self._fresh_harmless)
        # Many requests share the end of an endpoint, so they have a bound of their own.
        for key in (*parts[-MAX_REPORTED_HARMLESS:], *requests[-MAX_REPORTED_HARMLESS_REQUESTS:]):
            begun_at = self._any_harmless.get(key)
            if begun_at is not None:
                harmless.append(statements.HarmlessStatement(key, begun_at))
        return tuple(reported[-MAX_REPORTED_ENDS:]), tuple(harmless)

    def expire(self, last_event_at_by_key, now):
        """Drop old ends, and those of endpoints that have gone on sending to this node.

        Parameters
        ----------
        last_event_at_by_key : callable
            Returns when an endpoint last sent something to this node, by the hash of its id.
        now : float
            Monotonic seconds.
        """
        for key, end in list(self._ends.items()):
            is_old = now - end.ended_at > EVIDENCE_S
            last_event_at = last_event_at_by_key(key[0])
            silent_s = last_event_at - end.ended_at
            lives = end.own is None and CLOCK_MARGIN_S < silent_s < MIN_RESTART_S
            if is_old or lives:
                del self._ends[key]
                self._version += 1

    def _merge(self, statement):
        end = self._ends.get(statement.key)
        if end is None:
            end = _End(statement.ended_at, {})
            self._ends[statement.key] = end
            if len(self._ends) > MAX_ENDS:
                self._ends.popitem(last=False)
        self._version += 1
        self._latest_end_at = max(self._latest_end_at, statement.ended_at)
        end.ended_at = min(end.ended_at, statement.ended_at)
        sent_at_by_part = _select_sent_before(statement.sent_at_by_part, end.ended_at)
        _keep_latest(end.sent_at_by_part, sent_at_by_part, MAX_PARTS_PER_END)
        return end

    def _remember_harmless(self, part, begun_at):
        """Remember a harmless answer; return whether it is later than the known one."""
        is_request = request_digest.is_request(part)
        harmless = self._harmless_requests if is_request else self._harmless
        known_at = harmless.get(part)
        if known_at is not None and begun_at <= known_at:
            return False
        harmless[part] = begun_at
        harmless.move_to_end(part)
        if len(harmless) > (MAX_HARMLESS_REQUESTS if is_request else MAX_HARMLESS):
            harmless.popitem(last=False)
        return True

    def _is_at_issue(self, part, min_ends=1):
        """Return whether so many endpoints have ended under a request or part."""
        count = 0
        for end in self._ends.values():
            count += part in end.sent_at_by_part
            if count >= min_ends:
                return True
        return False


def _select_sent_before(sent_at_by_part, ended_at):
    """Return the parts of requests that were sent before an end.

    Later ones have met whatever accepts connections in place of the endpoint.
    """
    selected = {}
    for part, sent_at in sent_at_by_part.items():
        if sent_at <= ended_at + CLOCK_MARGIN_S:
            selected[part] = sent_at
    return selected


def _keep_latest(times, others, max_parts):
    """Merge ``others`` into ``times``, keeping the later time of at most ``max_parts`` parts."""
    for part, at in others.items():
        if part in times:
            times[part] = max(times[part], at)
        elif len(times) < max_parts:
            times[part] = at
