"""The codec decodes what it encoded and rejects malformed frames."""

import dataclasses

import cbor2
import pytest
from chivelead_protocol import (
    CallReply,
    EncodingError,
    GuardDecision,
    Ping,
    ProtocolError,
    TakeTokens,
    decode_frame,
    encode_frame,
)
from hypothesis import given, settings
from hypothesis import strategies as st

REPLY = CallReply(200, (('a', 'b'),), b'x', 'done', '', 1, 0.5, 2.0, 0.1, 0.0)


@pytest.mark.parametrize(
    'body',
    [
        Ping(),
        REPLY,
        GuardDecision('done', REPLY),
        GuardDecision('run', None),
        TakeTokens('mill', 3, 1, 2.5, (4, 5)),
        TakeTokens('caf\udce9', 3, 1, 2.5, (4, 5)),
        dataclasses.replace(REPLY, headers=(('a', 'caf\udce9'), ('b', 'é'))),
    ],
)
def test_message_round_trip(body):
    frame = decode_frame(encode_frame(7, 99, body))
    assert frame.message == body
    assert (frame.sequence, frame.stamp) == (7, 99)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_protocol_error(raw):
    try:
        decode_frame(raw)
    except ProtocolError as error:
        assert 'decode' in str(error)


JSON_LIKE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 70), st.lists(JSON_LIKE, max_size=12))
def test_arbitrary_arrays_decode_or_raise_protocol_error(code, fields):
    raw = cbor2.dumps([1, 2, code, *fields])
    try:
        decode_frame(raw)
    except ProtocolError as error:
        assert 'decode' in str(error)


def test_value_that_frames_cannot_hold_raises_encoding_error():
    with pytest.raises(EncodingError, match='encode TakeTokens'):
        encode_frame(7, 99, TakeTokens('\ud800', 3, 1, 2.5, (4, 5)))
