"""Open-loop streaming load from one process; prints its outcomes as JSON."""

# Many concurrent streams in one process; the patch must come before any other import.
from gevent import monkey

monkey.patch_all()

import dataclasses  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import numpy  # noqa: E402
import urllib3  # noqa: E402

from lynxlanding_bench import caller  # noqa: E402


@click.command()
@click.option("--url", required=True, multiple=True)
@click.option("--token", default="desk-secret")
@click.option("--rate", type=float, required=True, help="Requests a second.")
@click.option("--duration-s", type=float, required=True)
@click.option("--count", type=int, default=None, help="Send this many at once instead.")
@click.option("--tokens", type=int, default=285)
@click.option("--prefixes", type=int, default=200, help="Number of distinct prompts.")
@click.option("--label", default="prompt", help="Start of every prompt.")
@click.option("--seed", type=int, default=1)
def main(url, token, rate, duration_s, count, tokens, prefixes, label, seed):
    """Send streams with Poisson arrivals and print the outcomes."""
    random_state = numpy.random.default_rng(seed)
    pool = urllib3.PoolManager(num_pools=64, maxsize=2000)
    callers = [caller.Caller(base, token, pool) for base in url]
    started_at = time.monotonic()
    jobs = []
    sent = 0
    due = 0.0
    while sent < count if count is not None else due < duration_s:
        prompt = f"{label} {random_state.integers(prefixes)}"
        delay_s = due - (time.monotonic() - started_at)
        if delay_s > 0:
            gevent.sleep(delay_s)
        jobs.append(gevent.spawn(callers[sent % len(callers)].stream, prompt, tokens))
        sent += 1
        if count is None:
            due += random_state.exponential(1.0 / rate)
    gevent.joinall(jobs)
    click.echo(json.dumps([dataclasses.asdict(job.value) for job in jobs]))


if __name__ == "__main__":
    main()
