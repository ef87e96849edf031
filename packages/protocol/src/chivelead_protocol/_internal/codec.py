"""Encode typed messages as CBOR and check them when they are decoded.

A message type is a frozen dataclass registered under a number.  On the wire
a frame is the array ``[sequence, stamp, code, *fields]``.
"""

import dataclasses
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2

from chivelead_protocol._internal.exceptions import ProtocolError

_Message = TypeVar('_Message', bound=type)
_Convert = Callable[[Any], Any]
_HEADER_LENGTH = 3
_TextPairs = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Frame:
    """One message with its position on the link.

    Attributes:
        sequence: Positive for a request, negative for the reply to it, zero
            for a message without a reply.
        stamp: Hybrid logical clock stamp of the sender.
        message: An instance of a registered message type.
    """

    sequence: int
    stamp: int
    message: Any


@dataclasses.dataclass(frozen=True)
class _Plan:
    """How one dataclass is packed and unpacked."""

    kind: type
    code: int
    names: tuple[str, ...]
    encoders: tuple[_Convert | None, ...]
    decoders: tuple[_Convert, ...]


_plans_by_code: dict[int, _Plan] = {}
_plans_by_kind: dict[type, _Plan] = {}


def message(code: int) -> Callable[[_Message], _Message]:
    """Register a frozen dataclass as the message with number ``code``."""

    def register(kind: _Message) -> _Message:
        plan = _make_plan(kind, code)
        if code in _plans_by_code:
            raise ProtocolError(
                f'register {kind.__name__}',
                f'code {code} is taken',
                'choose a free number',
            )
        _plans_by_code[code] = plan
        _plans_by_kind[kind] = plan
        return kind

    return register


def encode_frame(sequence: int, stamp: int, body: Any) -> bytes:
    """Return the bytes of one frame."""
    plan = _plans_by_kind[type(body)]
    return cbor2.dumps([sequence, stamp, plan.code, *_pack(plan, body)])


def decode_frame(raw: bytes) -> Frame:
    """Return the frame in ``raw``.

    Raises:
        ProtocolError: The bytes are not one well-formed frame.
    """
    try:
        parts = cbor2.loads(raw)
    except Exception as error:
        raise ProtocolError('decode frame', f'not CBOR: {error}') from error
    if not isinstance(parts, list) or len(parts) < _HEADER_LENGTH:
        raise ProtocolError('decode frame', 'not an array with a header')
    sequence, stamp, code = parts[:_HEADER_LENGTH]
    if not all(map(_is_integer, parts[:_HEADER_LENGTH])):
        raise ProtocolError('decode frame', 'header is not three integers')
    plan = _plans_by_code.get(code)
    if plan is None:
        raise ProtocolError('decode frame', f'unknown message code {code}')
    return Frame(sequence, stamp, _unpack(plan, parts[_HEADER_LENGTH:]))


def _pack(plan: _Plan, body: Any) -> list[Any]:
    packed = [getattr(body, name) for name in plan.names]
    for index, encoder in enumerate(plan.encoders):
        if encoder is not None:
            packed[index] = encoder(packed[index])
    return packed


def _unpack(plan: _Plan, parts: list[Any]) -> Any:
    if len(parts) != len(plan.decoders):
        raise ProtocolError(
            f'decode {plan.kind.__name__}',
            f'{len(parts)} fields in place of {len(plan.decoders)}',
        )
    try:
        return plan.kind(
            *[
                decoder(part)
                for decoder, part in zip(plan.decoders, parts, strict=True)
            ],
        )
    except (TypeError, ValueError) as error:
        raise ProtocolError(
            f'decode {plan.kind.__name__}',
            str(error),
        ) from error


def _make_plan(kind: type, code: int) -> _Plan:
    hints = typing.get_type_hints(kind)
    names = tuple(field.name for field in dataclasses.fields(kind))
    return _Plan(
        kind=kind,
        code=code,
        names=names,
        encoders=tuple(_encoder(hints[name]) for name in names),
        decoders=tuple(_decoder(hints[name]) for name in names),
    )


def _encoder(hint: Any) -> _Convert | None:
    if dataclasses.is_dataclass(hint):
        plan = _make_plan(typing.cast('type', hint), 0)
        return lambda body: _pack(plan, body)
    origin = typing.get_origin(hint)
    if origin not in {tuple, types.UnionType}:
        return None
    inner = _encoder(typing.get_args(hint)[0])
    if inner is None:
        return None
    if origin is types.UnionType:
        return lambda body: None if body is None else inner(body)
    return lambda members: [inner(member) for member in members]


def _decoder(hint: Any) -> _Convert:
    if hint == _TextPairs:
        return _text_pairs
    if dataclasses.is_dataclass(hint):
        plan = _make_plan(typing.cast('type', hint), 0)
        return lambda parts: _unpack(plan, _expect(parts, list))
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _tuple_decoder(typing.get_args(hint))
    if origin is types.UnionType:
        inner = _decoder(typing.get_args(hint)[0])
        return lambda part: None if part is None else inner(part)
    if hint is float:
        return _expect_number
    return lambda part: _expect(part, hint)


def _tuple_decoder(arguments: tuple[Any, ...]) -> _Convert:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        inner = _decoder(arguments[0])
        return lambda parts: tuple(inner(part) for part in _expect(parts, list))
    inners = tuple(_decoder(argument) for argument in arguments)
    return lambda parts: tuple(
        inner(part)
        for inner, part in zip(inners, _expect(parts, list), strict=True)
    )


def _text_pairs(parts: Any) -> tuple[tuple[str, str], ...]:
    """Decode headers, the largest part of most messages, in one pass."""
    pairs = tuple(map(tuple, parts))
    for pair in pairs:
        if len(pair) != 2 or set(map(type, pair)) != {str}:
            raise TypeError('a pair of texts is expected')
    return pairs


def _expect(part: Any, kind: type) -> Any:
    # A Boolean is no number here, so the type must be the very same.
    if part.__class__ is not kind:
        raise TypeError(f'{type(part).__name__} in place of {kind.__name__}')
    return part


def _is_integer(part: Any) -> bool:
    return isinstance(part, int) and not isinstance(part, bool)


def _expect_number(part: Any) -> float:
    if _is_integer(part) or isinstance(part, float):
        return float(part)
    raise TypeError(f'{type(part).__name__} in place of a number')
