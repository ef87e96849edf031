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
_PLAIN_TYPES = frozenset((str, int, bytes, bool))


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
    """How one dataclass is packed and unpacked.

    Attributes:
        encoders: Positions of the fields that CBOR cannot hold as they are.
        plain: Positions of the fields that it can, and their types.
        decoders: Positions of all others.
    """

    kind: type
    code: int
    names: tuple[str, ...]
    encoders: tuple[tuple[int, _Convert], ...]
    plain: tuple[tuple[int, type], ...]
    decoders: tuple[tuple[int, _Convert], ...]


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
    held = body.__dict__
    packed = [held[name] for name in plan.names]
    for index, encoder in plan.encoders:
        packed[index] = encoder(packed[index])
    return packed


def _unpack(plan: _Plan, parts: list[Any]) -> Any:
    if len(parts) != len(plan.names):
        raise ProtocolError(
            f'decode {plan.kind.__name__}',
            f'{len(parts)} fields in place of {len(plan.names)}',
        )
    try:
        return _built(plan, parts)
    except (TypeError, ValueError) as error:
        raise ProtocolError(
            f'decode {plan.kind.__name__}',
            str(error),
        ) from error


def _built(plan: _Plan, parts: list[Any]) -> Any:
    for index, kind in plan.plain:
        # A Boolean is no number here, so the type must be the very same.
        if parts[index].__class__ is not kind:
            raise TypeError(
                f'{type(parts[index]).__name__} in place of {kind.__name__}',
            )
    for place, decoder in plan.decoders:
        parts[place] = decoder(parts[place])
    body: Any = object.__new__(plan.kind)
    # A frozen dataclass would set each of its fields by a call.
    body.__dict__.update(zip(plan.names, parts, strict=True))
    return body


def _make_plan(kind: type, code: int) -> _Plan:
    hints = typing.get_type_hints(kind)
    names = tuple(field.name for field in dataclasses.fields(kind))
    fields = [(index, hints[name]) for index, name in enumerate(names)]
    encoders = [(index, _encoder(hint)) for index, hint in fields]
    return _Plan(
        kind=kind,
        code=code,
        names=names,
        encoders=tuple(
            (index, encoder)
            for index, encoder in encoders
            if encoder is not None
        ),
        plain=tuple(
            (index, hint) for index, hint in fields if hint in _PLAIN_TYPES
        ),
        decoders=tuple(
            (index, _decoder(hint))
            for index, hint in fields
            if hint not in _PLAIN_TYPES
        ),
    )


def _encoder(hint: Any) -> _Convert | None:
    if hint == _TextPairs:
        return _flat_texts
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


def _flat_texts(pairs: _TextPairs) -> list[str]:
    """Pack headers, the largest part of most messages, as one list."""
    return [text for pair in pairs for text in pair]


def _text_pairs(parts: Any) -> _TextPairs:
    if not set(map(type, _expect(parts, list))) <= {str}:
        raise TypeError('a list of texts is expected')
    return tuple(zip(parts[::2], parts[1::2], strict=True))


def _expect(part: Any, kind: type) -> Any:
    # A Boolean is no number here, so the type must be the very same.
    if part.__class__ is not kind:
        raise TypeError(f'{type(part).__name__} in place of {kind.__name__}')
    return part


def _is_integer(part: Any) -> bool:
    return isinstance(part, int) and not isinstance(part, bool)


def _expect_number(part: Any) -> float:
    if part.__class__ is float or _is_integer(part):
        return float(part)
    raise TypeError(f'{type(part).__name__} in place of a number')
