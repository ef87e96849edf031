"""Encode typed messages as CBOR and validate them when they are decoded.

A message type is a frozen dataclass registered under a numeric code.  On the
wire a frame is the CBOR array ``[sequence, stamp, code, *fields]``; its first
three elements are the header.
"""

import dataclasses
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2

from chivelead_protocol._internal.exceptions import (
    EncodingError,
    ProtocolError,
)

_Message = TypeVar('_Message', bound=type)
_Converter = Callable[[Any], Any]
HEADER_LENGTH = 3
_StringPairs = tuple[tuple[str, str], ...]
_SCALAR_TYPES = frozenset((str, int, bytes, bool))


@dataclasses.dataclass(frozen=True)
class Frame:
    """One message with its sequence number and stamp.

    Attributes:
        sequence: Positive for a request, the negated number for the reply to
            it, and zero for a message that expects no reply.
        stamp: Hybrid logical clock stamp of the sender.
        message: An instance of a registered message type.
    """

    sequence: int
    stamp: int
    message: Any


@dataclasses.dataclass(frozen=True)
class _MessageLayout:
    """How the fields of one dataclass are encoded and decoded.

    Attributes:
        message_type: The dataclass.
        code: Message code; zero for a dataclass nested in a message.
        names: Names of the fields, in the order in which they are sent.
        encoders: Index and encoder of each field that needs conversion before
            it is written as CBOR.
        scalars: Index and type of each field of a scalar type; its element is
            used unchanged after a check of its type.
        decoders: Index and decoder of each other field; this includes floats,
            for which an integer is accepted too.
    """

    message_type: type
    code: int
    names: tuple[str, ...]
    encoders: tuple[tuple[int, _Converter], ...]
    scalars: tuple[tuple[int, type], ...]
    decoders: tuple[tuple[int, _Converter], ...]


_layouts_by_code: dict[int, _MessageLayout] = {}
_layouts_by_type: dict[type, _MessageLayout] = {}


def message(code: int) -> Callable[[_Message], _Message]:
    """Return a decorator that registers a frozen dataclass as a message."""

    def register(message_type: _Message) -> _Message:
        layout = _make_layout(message_type, code)
        if code in _layouts_by_code:
            raise ProtocolError(
                f'register {message_type.__name__}',
                f'code {code} is already registered',
                'choose an unused code',
            )
        _layouts_by_code[code] = layout
        _layouts_by_type[message_type] = layout
        return message_type

    return register


def encode_frame(sequence: int, stamp: int, body: Any) -> bytes:
    """Return one message encoded as a frame.

    Raises:
        EncodingError: A field holds a value that frames cannot hold.
    """
    try:
        return encode_element(make_elements(sequence, stamp, body))
    except Exception as error:
        raise EncodingError(
            f'encode {type(body).__name__}', str(error)
        ) from error


def make_elements(sequence: int, stamp: int, body: Any) -> list[Any]:
    """Return the elements of the frame of one message."""
    layout = _layouts_by_type[type(body)]
    return [sequence, stamp, layout.code, *_encode_fields(layout, body)]


def encode_element(element: Any) -> bytes:
    """Return one element encoded as CBOR.

    Text that is not valid UTF-8 is encoded as bytes.
    """
    try:
        return cbor2.dumps(element)
    except UnicodeEncodeError:
        return cbor2.dumps(_replace_invalid_text(element))


def find_code(message_type: type) -> int:
    """Return the code of a message type."""
    return _layouts_by_type[message_type].code


def decode_frame(raw: bytes) -> Frame:
    """Return the frame in ``raw``.

    Raises:
        ProtocolError: The bytes are not one well-formed frame.
    """
    return decode_elements(load_elements(raw))


def load_elements(raw: bytes) -> list[Any]:
    """Return the elements of the frame in ``raw``.

    Raises:
        ProtocolError: The bytes are not one array with a header.
    """
    try:
        elements = cbor2.loads(raw)
    except Exception as error:
        raise ProtocolError('decode frame', f'not CBOR: {error}') from error
    if not isinstance(elements, list) or len(elements) < HEADER_LENGTH:
        raise ProtocolError('decode frame', 'not an array with a header')
    return elements


def decode_elements(elements: list[Any]) -> Frame:
    """Return the frame with the given elements.

    Raises:
        ProtocolError: The elements are not those of a message.
    """
    sequence, stamp, code = elements[:HEADER_LENGTH]
    if not all(map(_is_integer, elements[:HEADER_LENGTH])):
        raise ProtocolError('decode frame', 'the header is not three integers')
    layout = _layouts_by_code.get(code)
    if layout is None:
        raise ProtocolError('decode frame', f'unknown message code {code}')
    return Frame(
        sequence, stamp, _decode_fields(layout, elements[HEADER_LENGTH:])
    )


def _replace_invalid_text(element: Any) -> Any:
    """Return an element with all text that is not valid UTF-8 as bytes."""
    if isinstance(element, (list, tuple)):
        return [_replace_invalid_text(child) for child in element]
    if isinstance(element, str):
        return _text_or_bytes(element)
    return element


def _text_or_bytes(text: str) -> str | bytes:
    try:
        text.encode()
    except UnicodeEncodeError:
        return text.encode('utf-8', 'surrogateescape')
    return text


def _encode_fields(layout: _MessageLayout, body: Any) -> list[Any]:
    attributes = body.__dict__
    encoded = [attributes[name] for name in layout.names]
    for index, encoder in layout.encoders:
        encoded[index] = encoder(encoded[index])
    return encoded


def _decode_fields(layout: _MessageLayout, elements: list[Any]) -> Any:
    if len(elements) != len(layout.names):
        raise ProtocolError(
            f'decode {layout.message_type.__name__}',
            f'{len(elements)} fields instead of {len(layout.names)}',
        )
    try:
        return _build_message(layout, elements)
    except (TypeError, ValueError, OverflowError) as error:
        raise ProtocolError(
            f'decode {layout.message_type.__name__}',
            str(error),
        ) from error


def _build_message(layout: _MessageLayout, elements: list[Any]) -> Any:
    for index, scalar_type in layout.scalars:
        # isinstance would accept a bool as an int, so the types are compared.
        if elements[index].__class__ is not scalar_type:
            elements[index] = _require_type(elements[index], scalar_type)
    for position, decoder in layout.decoders:
        elements[position] = decoder(elements[position])
    body: Any = object.__new__(layout.message_type)
    # The constructor of a frozen dataclass calls object.__setattr__ for each
    # field; a single update of __dict__ avoids these calls.
    body.__dict__.update(zip(layout.names, elements, strict=True))
    return body


def _make_layout(message_type: type, code: int) -> _MessageLayout:
    hints = typing.get_type_hints(message_type)
    names = tuple(field.name for field in dataclasses.fields(message_type))
    fields = [(index, hints[name]) for index, name in enumerate(names)]
    encoders = [(index, _make_encoder(hint)) for index, hint in fields]
    return _MessageLayout(
        message_type=message_type,
        code=code,
        names=names,
        encoders=tuple(
            (index, encoder)
            for index, encoder in encoders
            if encoder is not None
        ),
        scalars=tuple(
            (index, hint) for index, hint in fields if hint in _SCALAR_TYPES
        ),
        decoders=tuple(
            (index, _make_decoder(hint))
            for index, hint in fields
            if hint not in _SCALAR_TYPES
        ),
    )


def _make_encoder(hint: Any) -> _Converter | None:
    if hint == _StringPairs:
        return _encode_string_pairs
    if dataclasses.is_dataclass(hint):
        layout = _make_layout(typing.cast('type', hint), 0)
        return lambda body: _encode_fields(layout, body)
    origin = typing.get_origin(hint)
    if origin not in {tuple, types.UnionType}:
        return None
    inner = _make_encoder(typing.get_args(hint)[0])
    if inner is None:
        return None
    if origin is types.UnionType:
        return lambda optional: None if optional is None else inner(optional)
    return lambda elements: [inner(element) for element in elements]


def _make_decoder(hint: Any) -> _Converter:
    if hint == _StringPairs:
        return _decode_string_pairs
    if dataclasses.is_dataclass(hint):
        layout = _make_layout(typing.cast('type', hint), 0)
        return lambda elements: _decode_fields(
            layout, _require_type(elements, list)
        )
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _make_tuple_decoder(typing.get_args(hint))
    if origin is types.UnionType:
        inner = _make_decoder(typing.get_args(hint)[0])
        return lambda element: None if element is None else inner(element)
    if hint is float:
        return _require_number
    return lambda element: _require_type(element, hint)


def _make_tuple_decoder(arguments: tuple[Any, ...]) -> _Converter:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        inner = _make_decoder(arguments[0])
        return lambda elements: tuple(
            inner(element) for element in _require_type(elements, list)
        )
    item_decoders = tuple(_make_decoder(argument) for argument in arguments)
    return lambda elements: tuple(
        inner(element)
        for inner, element in zip(
            item_decoders, _require_type(elements, list), strict=True
        )
    )


def _encode_string_pairs(pairs: _StringPairs) -> list[str]:
    """Flatten pairs of strings into one list.

    Headers, the largest part of most messages, have this type.
    """
    return [text for pair in pairs for text in pair]


def _decode_string_pairs(elements: Any) -> _StringPairs:
    if not set(map(type, _require_type(elements, list))) <= {str}:
        elements = [_require_type(element, str) for element in elements]
    return tuple(zip(elements[::2], elements[1::2], strict=True))


def _require_type(element: Any, expected: type) -> Any:
    # isinstance would accept a bool as an int, so the types are compared.
    if element.__class__ is expected:
        return element
    if expected is str and element.__class__ is bytes:
        return element.decode('utf-8', 'surrogateescape')
    raise TypeError(f'{type(element).__name__} instead of {expected.__name__}')


def _is_integer(element: Any) -> bool:
    return isinstance(element, int) and not isinstance(element, bool)


def _require_number(element: Any) -> float:
    if element.__class__ is float or _is_integer(element):
        return float(element)
    raise TypeError(f'{type(element).__name__} instead of a number')
