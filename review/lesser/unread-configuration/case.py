"""A machine freezes while configurations come in quick succession, and never reads them."""

import http.client
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common"))

import callers  # noqa: E402
import configurations  # noqa: E402
import nodes  # noqa: E402
import trial  # noqa: E402

# Three quarters of ``value_bytes``.
ROUTES = 3100
# As in the site files: a change each 0.08 s for 2 s, twice, while the machine is frozen for 4 s.
STORMS = 2
CHANGES = 25
GAP_S = 0.08
FREEZE_S = 4.0
CONFIG_S = 2.0
ASKING_S = 10.0
INTERVAL_S = 0.25


def send(node, key, request_id):
    connection = http.client.HTTPConnection("127.0.0.1", node.front, timeout=callers.TIMEOUT_S)
    headers = {
        "Host": callers.HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {key}",
    }
    try:
        connection.request("GET", "/pufi791/2f", headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as e:
        return type(e).__name__
    finally:
        connection.close()


def main():
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    operator = configurations.Operator(ROUTES)
    version = 7
    configuration = operator.make(version)
    with trial.deployment(configuration, work_s=0.05) as site:
        if not site.wait_ready():
            return nodes.CANNOT_RUN
        site.lines.append(f"a version has {len(configuration)} bytes")
        frozen = site.nodes[1]
        time.sleep(trial.STABLE_WINDOW_S + 1)
        begun_at = time.monotonic()
        if with_trouble:
            os.kill(frozen.process.pid, signal.SIGSTOP)
            for change in range(STORMS * CHANGES):
                version += 1
                site.put_configuration(operator.make(version, timeout_ms=4000 + change))
                next_at = begun_at + (change + 1) * GAP_S
                time.sleep(max(0.0, next_at - time.monotonic()))
            time.sleep(max(0.0, begun_at + FREEZE_S - time.monotonic()))
            os.kill(frozen.process.pid, signal.SIGCONT)
        woken_at = time.monotonic()
        site.lines.append(
            f"front-1 frozen from {site.at(begun_at)} s to {site.at(woken_at)} s; meanwhile "
            f"versions up to {version}"
        )
        version += 1
        keys = (configurations.KEPT_KEY,)
        site.put_configuration(operator.make(version, keys=keys))
        acknowledged_at = time.monotonic()
        site.lines.append(
            f"version {version}, without a key, acknowledged {site.at(acknowledged_at)} s"
        )
        # From then on, front-1 is in touch and the bound of configurations has passed.
        bound_at = max(woken_at + trial.STABLE_WINDOW_S, acknowledged_at + CONFIG_S)
        sent = []
        while time.monotonic() < bound_at + ASKING_S:
            for node in site.nodes:
                request_id = f"dropped-{len(sent):04d}"
                sent_at = time.monotonic()
                status = send(node, configurations.DROPPED_KEY, request_id)
                sent.append((request_id, node.name, sent_at, status))
            time.sleep(INTERVAL_S)
        site.describe_nodes()
        runs = site.runs()
    late = []
    for request_id, name, sent_at, status in sent:
        has_run = request_id in runs
        site.lines.append(
            f"  {request_id} at {name}: sent {site.at(sent_at)} s, answered {status}"
            f"{', ran' if has_run else ''}"
        )
        if has_run and sent_at > bound_at:
            late.append(request_id)
    site.lines.append(
        f"requests with the dropped key that were sent after {site.at(bound_at)} s and ran: {len(late)}"
    )
    site.lines.append("CONFIG is broken" if late else "CONFIG held")
    trial.write_record(__file__, site.lines)
    return 1 if late else 0


if __name__ == "__main__":
    trial.run(main)
