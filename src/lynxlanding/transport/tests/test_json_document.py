import time

import pytest

from lynxlanding.transport import json_document

NESTED = "[" * 100_000 + "]" * 100_000


@pytest.mark.parametrize(
    "raw",
    [
        NESTED,
        '{"a":' * 50_000 + "1" + "}" * 50_000,
        "9" * 5000,
        "-" + "9" * 30,
        "1e999",
        "-1e999",
        "NaN",
        "Infinity",
        '"\\ud800"',
        '{"\\udfff": 1}',
    ],
    ids=lambda raw: raw[:12],
)
def test_unreadable_value_leaves_the_others_readable(raw):
    """Guards against a list that is lost with one of its entries."""
    document = json_document.decode(b'{"a": [1, %s, {"b": 2.5}], "c": "]"}' % raw.encode())
    first, odd, last = document["a"]
    assert (first, last, document["c"]) == (1, {"b": 2.5}, "]")
    assert not json_document.is_readable(odd)
    assert not json_document.is_readable(document)
    assert json_document.is_readable(last)


def test_bytes_that_are_no_text_leave_the_other_values_readable():
    document = json_document.decode(b'["\xff\xfe", "a\xc3\xbc"]')
    assert not json_document.is_readable(document[0])
    assert document[1] == "a\u00fc"
    assert json_document.is_readable(document[1])


def test_brackets_in_strings_do_not_count():
    text = b'["%s", "\\"%s", %s]' % (b"[" * 500, b"{" * 500, NESTED.encode())
    first, second, odd = json_document.decode(text)
    assert (first, second) == ("[" * 500, '"' + "{" * 500)
    assert not json_document.is_readable(odd)


@pytest.mark.parametrize("text", [b"", b"[", b"[" * 100_000, b"{]", b'{"a": 1} x'])
def test_text_that_is_not_json_raises_a_value_error(text):
    with pytest.raises(ValueError, match=r".+"):
        json_document.decode(text)


@pytest.mark.parametrize("number", [time.time_ns(), -(1 << 63), (1 << 64) - 1])
def test_numbers_of_64_bits_are_readable(number):
    """Guards against registrations of nodes, which have times in nanoseconds, that are lost."""
    assert json_document.decode(b'{"incarnation": %d}' % number) == {"incarnation": number}


@pytest.mark.parametrize("number", [-(1 << 63) - 1, 1 << 64])
def test_larger_numbers_are_not_readable(number):
    assert json_document.decode(b"[%d]" % number) == [json_document.UNREADABLE]


@pytest.mark.parametrize("depth", [5, 60])
def test_ordinary_values_are_unchanged(depth):
    value = b"[" * depth + b'{"n": 123456789012345678, "f": -1.5e3, "t": true}' + b"]" * depth
    assert json_document.is_readable(json_document.decode(value))
