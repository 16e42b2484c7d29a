"""A caller that checks that the answer is whole and its own."""

import dataclasses
import json
import time

import urllib3
import xxhash

from lynxlanding_bench import fleet

WHOLE = "whole"
REFUSED = "refused"
BROKEN = "broken"
WRONG = "wrong"


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller saw of one request.

    Parameters
    ----------
    result : {"whole", "refused", "broken", "wrong"}
        ``wrong`` is an answer that ended as if it were whole but is not the expected text.
    status : int or None
        HTTP status.
    executed : str or None
        Value of ``X-Executed``.
    first_token_s : float or None
        Time from sending to the first token.
    gaps_s : list of float
        Times between arrivals after the first token.
    finished_at : float
        End in seconds of the monotonic clock.
    text : str
        Text that was received.
    request_id : str or None
        Value of ``X-Request-Id``.
    """

    result: str
    status: int | None = None
    executed: str | None = None
    first_token_s: float | None = None
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    finished_at: float = 0.0
    text: str = ""
    request_id: str | None = None


class Caller:
    """Sends requests to a node.

    Parameters
    ----------
    url : str
        Base URL of the node, or of an engine for a direct call.
    token : str
        Bearer token.
    pool : urllib3.PoolManager
        Connection pool.
    """

    def __init__(self, url, token, pool):
        self._url = url
        self._token = token
        self._pool = pool

    def stream(self, prompt, tokens, headers=None):
        """Ask for a streamed completion and check it token by token."""
        body = {"model": fleet.MODEL, "prompt": prompt, "stream": True, "max_tokens": tokens}
        sent_at = time.monotonic()
        outcome = Outcome(BROKEN)
        text = []
        done = False
        last_at = None
        response = None
        try:
            response = self._post("/v1/completions", body, headers, preload=False)
            outcome.status = response.status
            outcome.request_id = response.headers.get("X-Request-Id")
            if response.status != 200:
                outcome.result = REFUSED
                outcome.executed = response.headers.get("X-Executed")
                response.read()
                return outcome
            for line in _lines(response):
                if line == b"data: [DONE]":
                    done = True
                    continue
                if not line.startswith(b"data: "):
                    continue
                document = json.loads(line[6:])
                if "error" in document:
                    continue
                now = time.monotonic()
                if last_at is None:
                    outcome.first_token_s = now - sent_at
                else:
                    outcome.gaps_s.append(now - last_at)
                last_at = now
                text.append(document["choices"][0]["text"])
        except (urllib3.exceptions.HTTPError, OSError):
            if done:
                outcome.result = WRONG
            return outcome
        finally:
            outcome.finished_at = time.monotonic()
            outcome.text = "".join(text)
            if response is not None:
                response.close()
        if done:
            outcome.result = WHOLE if "".join(text) == expected_text(prompt, tokens) else WRONG
        return outcome

    def call_service(self, reference, key=None, headers=None, path="/book"):
        """Make a non-idempotent service call; return status, executed, headers and document."""
        all_headers = dict(headers or {})
        if key is not None:
            all_headers["Idempotency-Key"] = key
        response = self._post(
            f"/services/{fleet.SERVICE}{path}", {"reference": reference}, all_headers
        )
        try:
            document = json.loads(response.data)
        except ValueError:
            document = None
        return response.status, response.headers.get("X-Executed"), response.headers, document

    def _post(self, path, body, headers, preload=True):
        all_headers = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        return self._pool.request(
            "POST",
            self._url + path,
            body=json.dumps(body).encode(),
            headers=all_headers,
            retries=False,
            preload_content=preload,
            timeout=urllib3.Timeout(connect=5.0, read=60.0),
        )


def expected_text(prompt, tokens):
    """Return the text that the engine stand-in gives for a prompt."""
    digest = xxhash.xxh32(prompt).hexdigest()
    return "".join(f"{digest}.{index} " for index in range(tokens))


def _lines(response):
    rest = b""
    for chunk in response.stream(65536):
        parts = (rest + chunk).split(b"\n")
        rest = parts.pop()
        yield from parts
