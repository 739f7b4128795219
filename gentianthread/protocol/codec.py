"""Encode typed messages in CBOR.

A message is an `attrs` class registered with `@message(code)`. On the wire it is one CBOR array:
the code, then the fields in the order of the class. Field types are checked on decoding.
"""

from collections.abc import Callable
from enum import Enum
from operator import attrgetter
from types import NoneType, UnionType
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import attrs
import cbor2
import xxhash

from ..errors import MessageError

T = TypeVar("T")

# Peers refuse longer messages; body chunks are at most 16 KiB, configuration parts 1 MB.
MESSAGE_LIMIT_BYTES = 1_200_000

Converter = Callable[[Any], Any]

_types_by_code: dict[int, type] = {}
_codes_by_type: dict[type, int] = {}
_readers: dict[int, "_Reader"] = {}
_encoders: dict[type, Callable[[Any], list]] = {}
_packers: dict[type, Callable[[Any], list]] = {}


def message(code: int) -> Callable[[type[T]], type[T]]:
    """Return a class decorator that registers a message type.

    Args:
        code: Unique number on the wire.

    Raises:
        ValueError: The code is taken.
    """

    def add(cls: type[T]) -> type[T]:
        if code in _types_by_code:
            raise ValueError(f"message code {code} is used twice")
        _types_by_code[code] = cls
        _codes_by_type[cls] = code
        return cls

    return add


def fingerprint(*classes: type) -> int:
    """Return a number that differs where the wire form of any of some messages does.

    Args:
        classes: Registered classes.

    Raises:
        MessageError: A class is not registered.
    """
    forms = []
    for cls in classes:
        if cls not in _codes_by_type:
            raise MessageError(cls.__name__, "type is not registered")
        forms.append((_codes_by_type[cls], wire_form(cls)))
    return xxhash.xxh32_intdigest(repr(forms).encode())


def wire_form(cls: type) -> list:
    """Return names and types of the fields of a class, with what is inside of these."""
    hints = get_type_hints(cls)
    found = []
    for field in attrs.fields(cls):
        hint = hints[field.name]
        parts = (hint, *get_args(hint))
        inner = [wire_form(part) for part in parts if attrs.has(part)]
        members = [
            [member.value for member in part]
            for part in parts
            if isinstance(part, type) and issubclass(part, Enum)
        ]
        found.append((field.name, str(hint), inner, members))
    return found


def encode(value: Any) -> bytes:
    """Return the wire form of a message.

    Raises:
        MessageError: The type is not registered.
    """
    cls = type(value)
    encoder = _encoders.get(cls)
    if encoder is None:
        encoder = _encoders[cls] = _make_encoder(cls)
    return cbor2.dumps(encoder(value))


def encode_batch(values: list[Any]) -> bytes:
    """Return the wire form of several messages that travel as one.

    Raises:
        MessageError: A type is not registered.
    """
    batch = []
    for value in values:
        cls = type(value)
        encoder = _encoders.get(cls)
        if encoder is None:
            encoder = _encoders[cls] = _make_encoder(cls)
        batch.append(encoder(value))
    return cbor2.dumps(batch)


def decode_batch(data: bytes) -> list[Any]:
    """Return the messages of a batch.

    Raises:
        MessageError: The data is no valid batch.
    """
    batch = _loads(data)
    if not isinstance(batch, list):
        raise MessageError("?", "not a batch")
    return [_decode_items(items) for items in batch]


def decode(data: bytes) -> Any:
    """Return the message of a wire form.

    Raises:
        MessageError: The data is no valid message.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageError("?", f"{len(data)} bytes exceed {MESSAGE_LIMIT_BYTES}")
    return _decode_items(_loads(data))


def _loads(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except Exception as error:  # cbor2 lets several exception types out on bad input.
        raise MessageError("?", f"not CBOR: {type(error).__name__}") from error


def _decode_items(items: Any) -> Any:
    if not isinstance(items, list) or not items or not _is_int(items[0]):
        raise MessageError("?", "not an array that starts with a code")
    reader = _readers.get(items[0])
    if reader is None:
        cls = _types_by_code.get(items[0])
        if cls is None:
            raise MessageError(str(items[0]), "unknown code")
        reader = _readers[items[0]] = _Reader(cls)
    return reader.build(items[1:])


def _make_encoder(cls: type) -> Callable[[Any], list]:
    if cls not in _codes_by_type:
        raise MessageError(cls.__name__, "type is not registered")
    code = _codes_by_type[cls]
    pack = _packer_of_fields(cls)
    return lambda value: [code, *pack(value)]


def _packer_of_fields(cls: type) -> Callable[[Any], list]:
    """Return the function that turns a value of a class into the list of its packed fields."""
    hints = get_type_hints(cls)
    names = [field.name for field in attrs.fields(cls)]
    packers = [(place, _packer(hints[name])) for place, name in enumerate(names)]
    converted = [(place, convert) for place, convert in packers if convert is not None]
    if len(names) < 2:
        return lambda value: [
            (
                getattr(value, names[place])
                if convert is None
                else convert(getattr(value, names[place]))
            )
            for place, convert in packers
        ]
    read = attrgetter(*names)

    def pack(value: Any) -> list:
        items = list(read(value))
        for place, convert in converted:
            items[place] = convert(items[place])
        return items

    return pack


def _packer(hint: Any) -> Converter | None:
    """Return the function that packs values of a type hint, or None where CBOR takes them as is."""
    hint = getattr(hint, "__supertype__", hint)
    origin = get_origin(hint)
    if origin in (Union, UnionType):
        inner = [part for part in get_args(hint) if part is not NoneType]
        pack = _packer(inner[0]) if len(inner) == 1 else _pack
        return None if pack is None else lambda value: None if value is None else pack(value)
    if origin in (tuple, dict):
        plain = all(part is Ellipsis or _packer(part) is None for part in get_args(hint))
        return None if plain else _pack
    if isinstance(hint, type) and issubclass(hint, Enum):
        return lambda value: value.value
    if isinstance(hint, type) and attrs.has(hint):
        return _packer_of_fields(hint)
    return None


def _pack(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple | list):
        return [_pack(item) for item in value]
    if isinstance(value, dict):
        return {_pack(key): _pack(item) for key, item in value.items()}
    if attrs.has(type(value)):
        packer = _packers.get(type(value))
        if packer is None:
            packer = _packers[type(value)] = _packer_of_fields(type(value))
        return packer(value)
    return value


class _Reader:
    """Build the values of one class from their wire form.

    Classes whose hints are not all plain get no fast path, since no item has type `type`.
    """

    __slots__ = ("_cls", "_converters", "_exact", "_others")

    def __init__(self, cls: type):
        hints = get_type_hints(cls)
        self._cls = cls
        self._converters = [_converter(hints[field.name]) for field in attrs.fields(cls)]
        # The types that the fields have on the wire, and the converters of those that need one.
        self._exact: list[type] = []
        self._others: list[tuple[int, Converter]] = []
        for place, field in enumerate(attrs.fields(cls)):
            hint = getattr(hints[field.name], "__supertype__", hints[field.name])
            self._exact.append(_wire_type(hint))
            if hint not in (str, int, bool, bytes):
                self._others.append((place, self._converters[place]))

    def build(self, items: list) -> Any:
        """Return the value of a list of fields; the list may be changed.

        Raises:
            MessageError: A field is missing, too many, or has the wrong type.
        """
        cls = self._cls
        try:
            if list(map(type, items)) == self._exact:
                for place, convert in self._others:
                    items[place] = convert(items[place])
                return cls(*items)
            if len(items) != len(self._exact):
                raise MessageError(
                    cls.__name__, f"{len(items)} fields in place of {len(self._exact)}"
                )
            return cls(
                *[convert(item) for convert, item in zip(self._converters, items, strict=True)]
            )
        except (TypeError, ValueError) as error:
            raise MessageError(cls.__name__, str(error)) from error


def _wire_type(hint: Any) -> type:
    """Return the type that values of a hint have on the wire, or `type` for several ones."""
    if hint in (str, int, bool, bytes, float):
        return hint
    if get_origin(hint) is tuple or (isinstance(hint, type) and attrs.has(hint)):
        return list
    if isinstance(hint, type) and issubclass(hint, Enum):
        return str
    return type


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _expect(accepted: type | tuple[type, ...], name: str) -> Converter:
    def convert(value: Any) -> Any:
        if not isinstance(value, accepted) or (isinstance(value, bool) and accepted is not bool):
            raise TypeError(f"{type(value).__name__} in place of {name}")
        return value

    return convert


def _float(value: Any) -> float:
    # The difference of a finite number to itself is 0, of others it is no number.
    if type(value) is float and value - value == 0.0:
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} in place of a number")
    number = float(value)
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError("a number that is not finite")
    return number


def _converter(hint: Any) -> Converter:
    """Return the function that checks and converts values of a type hint."""
    hint = getattr(hint, "__supertype__", hint)
    origin = get_origin(hint)
    if origin in (Union, UnionType):
        return _optional(hint)
    if origin is tuple:
        return _tuple(get_args(hint))
    if origin is dict:
        return _dict(get_args(hint))
    if hint is float:
        return _float
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _enum(hint)
    if isinstance(hint, type) and attrs.has(hint):
        return _nested(hint)
    return _expect(hint, hint.__name__)


def _enum(cls: type[Enum]) -> Converter:
    """Return the converter of an enum; calling the enum itself takes three calls."""
    members = {member.value: member for member in cls}

    def convert(value: Any) -> Enum:
        try:
            return members[value]
        except KeyError:
            raise ValueError(f"{value!r} is no {cls.__name__}") from None

    return convert


def _optional(hint: Any) -> Converter:
    inner = [part for part in get_args(hint) if part is not NoneType]
    if len(inner) != 1:
        raise TypeError(f"unsupported field type {hint}")
    convert = _converter(inner[0])
    return lambda value: None if value is None else convert(value)


def _tuple(parts: tuple) -> Converter:
    check = _expect(list, "an array")
    if len(parts) == 2 and parts[1] is Ellipsis:
        each = _converter(parts[0])
        return lambda value: tuple(each(item) for item in check(value))
    converters = tuple(_converter(part) for part in parts)
    if parts == (str, str):
        return _text_pair

    def convert(value: Any) -> tuple:
        items = check(value)
        return tuple(one(item) for one, item in zip(converters, items, strict=True))

    return convert


def _text_pair(value: Any) -> tuple[str, str]:
    """Convert a header field; the usual type of long sequences, so it has no inner calls."""
    if type(value) is list and len(value) == 2:
        first, second = value
        if type(first) is str and type(second) is str:
            return first, second
    raise TypeError("no pair of texts")


def _dict(parts: tuple) -> Converter:
    check = _expect(dict, "a map")
    key, item = _converter(parts[0]), _converter(parts[1])
    return lambda value: {key(k): item(v) for k, v in check(value).items()}


def _nested(cls: type) -> Converter:
    check = _expect(list, "an array")
    reader = _Reader(cls)
    return lambda value: reader.build(check(value))
