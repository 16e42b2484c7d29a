"""The rules of a day: each names what is broken, from what callers and endpoints saw."""

from lynxlanding_bench.site_day import (
    answer_checker,
    cold_checker,
    crash_checker,
    cut_checker,
    day_record,
    evacuation_checker,
    leaving_checker,
    limit_checker,
    rejection_checker,
)


def check_runs(record):
    """Return the unsafe requests that ran twice, or ran although they were refused."""
    problems = [f"{item} ran more than once" for item in answer_checker.find_repeated_runs(record)]
    for item in answer_checker.find_false_refusals(record):
        problems.append(f"{item} was refused and has run")
    return problems


def check_answers(record):
    """Return the answers that look complete and are not."""
    return [f"{item} is not whole" for item in answer_checker.find_false_successes(record)]


def check_crashes(record):
    """Return late requests with parts that crash engines, and sound ones that are refused."""
    problems = []
    responses = record.response_by_id()
    for played in record.faults_of("crash_part"):
        crashes = []
        runs = []
        for event in record.events:
            if not played.begun_at <= event.at <= played.ended_at:
                continue
            if event.kind == "crash":
                crashes.append(event.at)
            response = responses.get(event.request_id)
            if event.kind == "run" and response is not None and response.has_bad_part:
                runs.append(crash_checker.Run(event.at, event.request_id, event.endpoint_id))
        if not crashes:
            continue
        late = crash_checker.late_runs(runs, crashes)
        if len(late) > crash_checker.ALLOWED_AFTER:
            problems.append(f"{len(late)} requests after the fifth crash, {len(crashes)} crashes")
        problems.extend(_check_sound(record, played, crashes))
    return problems


def _check_sound(record, played, crashes):
    sound = [
        item
        for item in record.responses
        if item.kind == day_record.STREAM and not item.has_bad_part
    ]
    before = crash_checker.served_share(sound, record.started_at, played.begun_at)
    after = crash_checker.served_share(sound, crash_checker.sound_since(crashes), played.ended_at)
    if before is None or after is None or after >= 0.5 * before:
        return []
    return [f"sound requests served {after:.3f}, before {before:.3f}"]


def check_cuts(record):
    """Return the cuts in which callers of nodes that are cut were served too rarely."""
    problems = []
    for played in record.faults_of("cut"):
        since = played.begun_at + cut_checker.STABLE_S
        others = [node for node in record.nodes if node not in played.fault.targets]
        span = (since, played.ended_at)
        cut = cut_checker.count_served(record.responses, played.fault.targets, *span)
        rest = cut_checker.count_served(record.responses, others, *span)
        if cut_checker.is_broken(cut, rest):
            problems.append(
                f"line {played.fault.line}: {cut[0]} of {cut[1]} served at the nodes that are cut,"
                f" {rest[0]} of {rest[1]} at the others"
            )
    return problems


def check_leavings(record):
    """Return the requests at endpoints that had stated their leaving to the node."""
    attempts = []
    responses = record.response_by_id()
    for event in record.runs():
        response = responses.get(event.request_id)
        if response is not None:
            attempts.append(
                leaving_checker.Attempt(
                    response.sent_at,
                    event.at,
                    response.node,
                    event.endpoint_id,
                    response.states_leaving,
                )
            )
    problems = []
    for played in record.faults_of("state_leaving"):
        for endpoint_id in played.fault.targets:
            late = leaving_checker.late_attempts(attempts, endpoint_id)
            if late:
                problems.append(f"{len(late)} late requests at {endpoint_id}")
    return problems


def check_limits(record):
    """Return the endpoints that got more requests than they had stated."""
    responses = record.response_by_id()
    endpoints = {event.request_id: event.endpoint_id for event in record.runs()}
    arrivals = []
    for event in record.runs():
        if event.request_id in responses:
            node = responses[event.request_id].node
            arrivals.append(limit_checker.Arrival(event.at, node, event.endpoint_id))
    problems = []
    for played in record.faults_of("state_limit"):
        allowed = limit_checker.allowed_requests(played.fault.value)
        for endpoint_id in played.fault.targets:
            told_at = {}
            for response in record.responses:
                is_told = (
                    response.states_limit and endpoints.get(response.request_id) == endpoint_id
                )
                if is_told and played.begun_at <= response.ended_at <= played.ended_at:
                    known = told_at.get(response.node, response.ended_at)
                    told_at[response.node] = min(known, response.ended_at)
            worst = limit_checker.worst_window(
                arrivals, endpoint_id, told_at, played.begun_at, played.ended_at
            )
            if worst > allowed:
                problems.append(f"{worst} requests in a window at {endpoint_id}, allowed {allowed}")
    return problems


def check_rejections(record):
    """Return the endpoints that got requests in a time in which they had said to want none."""
    responses = record.response_by_id()
    problems = []
    for played in record.faults_of("reject"):
        for endpoint_id in played.fault.targets:
            arrivals = []
            for event in record.events:
                is_in_span = played.begun_at <= event.at <= played.ended_at + played.fault.value
                response = responses.get(event.request_id)
                if event.endpoint_id != endpoint_id or response is None or not is_in_span:
                    continue
                retry_after_s = played.fault.value if event.kind == "reject" else None
                arrivals.append(
                    rejection_checker.Arrival(event.at, response.node, endpoint_id, retry_after_s)
                )
            worst = rejection_checker.worst_count(arrivals)
            if worst > rejection_checker.ALLOWED:
                problems.append(f"{worst} requests from one node at {endpoint_id}")
    return problems


def check_cold_engines(record):
    """Return the cold engines that got more requests than they bear."""
    if not record.cold_per_s:
        return []
    cold_since = {}
    for played in record.faults_of("cold"):
        for endpoint_id in played.fault.targets:
            cold_since.setdefault(endpoint_id, []).append(played.begun_at)
    allowed = cold_checker.allowed_requests(record.cold_per_s)
    problems = []
    for endpoint_id, worst in cold_checker.worst_windows(record.cold_arrivals, cold_since).items():
        if worst > allowed:
            problems.append(f"{worst} requests in a second at {endpoint_id}, allowed {allowed}")
    return problems


def check_evacuations(record):
    """Return the requests at endpoints of data centres that were evacuated."""
    responses = record.response_by_id()
    arrivals = []
    for event in record.runs():
        response = responses.get(event.request_id)
        if response is not None:
            arrivals.append(evacuation_checker.Arrival(event.at, response.node, event.endpoint_id))
    cuts = []
    for kind in ("cut_store", "store", "roll_back_store"):
        for played in record.faults_of(kind):
            for node in played.fault.targets or (None,):
                cuts.append((node, played.begun_at, played.ended_at))
    problems = []
    for played in record.faults_of("evacuate"):
        late = evacuation_checker.late_arrivals(
            arrivals, played.fault.targets, played.begun_at, played.ended_at, cuts
        )
        if late:
            problems.append(f"line {played.fault.line}: {len(late)} late requests")
    return problems


RULES = {
    "unsafe requests run once, refused ones never": check_runs,
    "answers are whole": check_answers,
    "prompts that crash engines stop": check_crashes,
    "nodes that are cut serve their callers": check_cuts,
    "endpoints that state their leaving are left": check_leavings,
    "limits that endpoints state are kept": check_limits,
    "endpoints that reject requests are left alone": check_rejections,
    "cold engines get few requests": check_cold_engines,
    "evacuated data centres get no requests": check_evacuations,
}


def check(record):
    """Return the problems of a ``DayRecord`` by rule; empty lists for rules that are kept."""
    return {name: rule(record) for name, rule in RULES.items()}
