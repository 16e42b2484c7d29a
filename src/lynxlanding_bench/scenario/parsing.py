"""Parses scenario files."""

import pathlib

import lark

from lynxlanding.errors import operators as operator_errors
from lynxlanding_bench.scenario import steps

OPTIONS = {
    "nodes": 2,
    "engines": 4,
    "token_interval": 0.025,
    "service_time": 0.02,
    # With VMs, engines form replica groups on them, and there is no plain service.
    "vms": 0,
    "group_vms": 3,
    "groups": 1,
}

_GRAMMAR = pathlib.Path(__file__).with_name("scenario.lark").read_text(encoding="utf-8")
_PARSER = lark.Lark(_GRAMMAR, parser="lalr", lexer="contextual")


def parse(text):
    """Parse a scenario.

    Returns
    -------
    Scenario

    Raises
    ------
    errors.operators.StatementError
        If the text is invalid, with line, column and what was expected.
    """
    try:
        tree = _PARSER.parse(text)
    except lark.exceptions.UnexpectedToken as e:
        token = str(e.token) or "the end of the text"
        raise operator_errors.StatementError(
            e.line, e.column, f"unexpected {token!r}", _names(e.accepts or e.expected)
        ) from e
    except lark.exceptions.UnexpectedCharacters as e:
        raise operator_errors.StatementError(
            e.line, e.column, "unexpected character", _names(e.allowed or ())
        ) from e
    try:
        scenario = _Builder().transform(tree)
    except lark.exceptions.VisitError as e:
        if isinstance(e.orig_exc, operator_errors.StatementError):
            raise e.orig_exc from e
        raise
    return scenario


def _names(terminals):
    return tuple(sorted(name.lower() for name in terminals))


@lark.v_args(inline=True)
class _Builder(lark.Transformer):
    def __init__(self):
        super().__init__()
        self._indexes = []

    def start(self, title, seed, *rest):
        *options, scenario_steps = rest
        chosen = dict(OPTIONS)
        chosen.update(option for option in options if option is not None)
        seed = 0 if seed is None else int(seed)
        self._check_indexes(chosen)
        return steps.Scenario(_unquote(title), seed, chosen, scenario_steps)

    def option(self, name, value):
        if str(name) not in OPTIONS:
            raise operator_errors.StatementError(
                name.line, name.column, f"unknown option {str(name)!r}", sorted(OPTIONS)
            )
        return str(name), value

    def number(self, token):
        return int(token)

    def steps(self, *scenario_steps):
        return scenario_steps

    def start_fleet(self):
        return steps.StartFleet()

    def load(self, name, kind, rate, duration, *options):
        chosen = dict(options)
        if kind == "unkeyed" and "retry" in chosen:
            raise operator_errors.StatementError(
                kind.line, kind.column, "unkeyed calls cannot be retried", ("bookings",)
            )
        return steps.Load(str(name), str(kind), float(rate), duration, **chosen)

    def tokens(self, count):
        return "tokens", int(count)

    def retry(self, count):
        return "retry", int(count)

    def nodes(self, *indexes):
        return "nodes", tuple(self._index(steps.NODE, index) for index in indexes)

    def wait(self, duration):
        return steps.Wait(duration)

    def wait_for_load(self, name):
        return steps.WaitForLoad(str(name))

    def kill(self, process):
        return steps.SignalProcess("kill", process)

    def pause(self, process, duration):
        return steps.SignalProcess("pause", process, duration)

    def resume(self, process):
        return steps.SignalProcess("resume", process)

    def stop(self, process):
        return steps.SignalProcess("stop", process)

    def restart(self, process):
        return steps.SignalProcess("restart", process)

    def store_unavailable(self):
        return _store(unavailable=True)

    def store_slow(self, duration):
        return _store(delay_ms=int(duration * 1000))

    def store_loses(self, count):
        return _store(lose_answers=int(count))

    def store_healthy(self):
        return _store(unavailable=False, delay_ms=0, lose_answers=0)

    def engine_down(self, index):
        return self._engine(index, down=True)

    def engine_stalls(self, index):
        return self._engine(index, stall=True)

    def engine_healthy(self, index):
        return self._engine(index, down=False, stall=False)

    def service_breaks(self, count, order):
        reference = steps.ProcessReference(steps.SERVICE)
        return steps.SetFaults(reference, {f"break_{order}_run": int(count)})

    def operator(self, name, text, node, expects):
        expected = None if expects in (None, "anything") else str(expects)
        index = self._index(steps.NODE, node)
        return steps.Operator(str(name), _unquote(text), index, expected)

    def together(self, inner):
        return steps.Together(inner)

    def expect_revision(self, revision, within):
        return steps.ExpectRevision(int(revision), within)

    def expect(self, metric, load, comparison, limit, percent):
        name = None if load is None else str(load)
        return steps.Expect(str(metric), name, str(comparison), float(limit), percent is not None)

    def check(self):
        return steps.Check()

    def process(self, kind, index):
        needs_index = kind in steps.INDEXED
        if needs_index != (index is not None):
            expected = f"a number after {kind}" if needs_index else f"no number after {kind}"
            raise operator_errors.StatementError(
                kind.line, kind.column, f"cannot tell which {kind}", (expected,)
            )
        if needs_index:
            return steps.ProcessReference(str(kind), self._index(str(kind), index))
        return steps.ProcessReference(str(kind))

    def duration(self, number, unit):
        return float(number) / (1000 if unit == "ms" else 1)

    def _engine(self, index, **faults):
        reference = steps.ProcessReference(steps.ENGINE, self._index(steps.ENGINE, index))
        return steps.SetFaults(reference, faults)

    def _index(self, kind, token):
        self._indexes.append((kind, token))
        return int(token)

    def _check_indexes(self, options):
        for kind, token in self._indexes:
            count = int(options[f"{kind}s"])
            if int(token) >= count:
                raise operator_errors.StatementError(
                    token.line,
                    token.column,
                    f"there is no {kind} {token}",
                    (f"a number below {count}",),
                )


def _store(**faults):
    return steps.SetFaults(steps.ProcessReference(steps.STORE), faults)


def _unquote(token):
    return str(token)[1:-1]
