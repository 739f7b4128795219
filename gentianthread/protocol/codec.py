"""Encode and decode typed messages as CBOR.

A message is an `attrs` class registered with `@message(code)`. It is encoded as one CBOR array: the
code, then the fields in the order of the class. Decoding checks the field types.

Text of HTTP heads may hold bytes that are not UTF-8, as surrogates. Such a text is encoded as its
bytes under `RAW_TEXT_TAG`, since CBOR text is always UTF-8.
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

# Decoding refuses longer messages. The longest are configuration parts of 1 MB; body chunks have at
# most 16 KiB.
MESSAGE_LIMIT_BYTES = 1_200_000

# CBOR tag of a text that is not UTF-8. The number is not assigned to another use.
RAW_TEXT_TAG = 55_800

FieldConverter = Callable[[Any], Any]

_types_by_code: dict[int, type] = {}
_codes_by_type: dict[type, int] = {}
_decoders: dict[int, "_Decoder"] = {}
_encoders: dict[type, Callable[[Any], list]] = {}
_value_packers: dict[type, Callable[[Any], list]] = {}


def message(code: int) -> Callable[[type[T]], type[T]]:
    """Return a class decorator that registers a message type.

    Args:
        code: Number that identifies the type in encoded messages.

    Raises:
        ValueError: Another type has this code.
    """

    def register(cls: type[T]) -> type[T]:
        if code in _types_by_code:
            raise ValueError(f"message code {code} is used twice")
        _types_by_code[code] = cls
        _codes_by_type[cls] = code
        return cls

    return register


def fingerprint(*classes: type) -> int:
    """Return a hash of the encoding of several message types, to compare between peers.

    Args:
        classes: Registered message types.

    Raises:
        MessageError: A class is not registered.
    """
    schemas = []
    for cls in classes:
        if cls not in _codes_by_type:
            raise MessageError(cls.__name__, "type is not registered")
        schemas.append((_codes_by_type[cls], wire_schema(cls)))
    return xxhash.xxh32_intdigest(repr(schemas).encode())


def wire_schema(cls: type) -> list:
    """Describe how a class is encoded: its field names and types, and those of nested classes."""
    type_hints = get_type_hints(cls)
    schema = []
    for field in attrs.fields(cls):
        type_hint = type_hints[field.name]
        parts = (type_hint, *get_args(type_hint))
        nested = [wire_schema(part) for part in parts if attrs.has(part)]
        members = [
            [member.value for member in part]
            for part in parts
            if isinstance(part, type) and issubclass(part, Enum)
        ]
        schema.append((field.name, str(type_hint), nested, members))
    return schema


def encode(value: Any) -> bytes:
    """Encode a message.

    Raises:
        MessageError: The type is not registered.
    """
    cls = type(value)
    encoder = _encoders.get(cls)
    if encoder is None:
        encoder = _encoders[cls] = _make_encoder(cls)
    return _dumps(encoder(value))


def encode_batch(values: list[Any]) -> bytes:
    """Encode several messages as one CBOR array.

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
    return _dumps(batch)


def _dumps(items: list) -> bytes:
    try:
        return cbor2.dumps(items)
    except (UnicodeEncodeError, cbor2.CBOREncodeError):
        return cbor2.dumps(_tag_raw_text(items))


def _tag_raw_text(value: Any) -> Any:
    """Replace each text that is not UTF-8 by its tagged bytes."""
    if isinstance(value, str):
        return value if _is_utf_8(value) else cbor2.CBORTag(RAW_TEXT_TAG, _encode_raw_text(value))
    if isinstance(value, list | tuple):
        return [_tag_raw_text(item) for item in value]
    if isinstance(value, dict):
        return {key: _tag_raw_text(item) for key, item in value.items()}
    return value


def _is_utf_8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _encode_raw_text(text: str) -> bytes:
    try:
        return text.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        # A surrogate that stands for no byte, as a JSON document may hold; it is not restored.
        return text.encode("utf-8", "surrogatepass")


def decode_batch(data: bytes) -> list[Any]:
    """Decode the messages of a batch.

    Raises:
        MessageError: The data is not a valid batch.
    """
    batch = _loads(data)
    if not isinstance(batch, list):
        raise MessageError("?", "not a batch")
    return [_decode_items(items) for items in batch]


def decode(data: bytes) -> Any:
    """Decode a message.

    Raises:
        MessageError: The data is not a valid message.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MessageError("?", f"{len(data)} bytes exceed {MESSAGE_LIMIT_BYTES}")
    return _decode_items(_loads(data))


def _loads(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except Exception as error:  # cbor2 raises several exception types on bad input.
        raise MessageError("?", f"not CBOR: {type(error).__name__}") from error


def _decode_items(items: Any) -> Any:
    if not isinstance(items, list) or not items or not _is_int(items[0]):
        raise MessageError("?", "not an array that starts with a code")
    decoder = _decoders.get(items[0])
    if decoder is None:
        cls = _types_by_code.get(items[0])
        if cls is None:
            raise MessageError(str(items[0]), "unknown code")
        decoder = _decoders[items[0]] = _Decoder(cls)
    return decoder.build(items[1:])


def _make_encoder(cls: type) -> Callable[[Any], list]:
    if cls not in _codes_by_type:
        raise MessageError(cls.__name__, "type is not registered")
    code = _codes_by_type[cls]
    pack = _make_fields_packer(cls)
    return lambda value: [code, *pack(value)]


def _make_fields_packer(cls: type) -> Callable[[Any], list]:
    """Return the function that converts an instance to the list of its fields, ready for CBOR."""
    type_hints = get_type_hints(cls)
    names = [field.name for field in attrs.fields(cls)]
    packers = [(index, _make_packer(type_hints[name])) for index, name in enumerate(names)]
    converted_fields = [(index, convert) for index, convert in packers if convert is not None]
    if len(names) < 2:
        return lambda value: [
            (
                getattr(value, names[index])
                if convert is None
                else convert(getattr(value, names[index]))
            )
            for index, convert in packers
        ]
    get_values = attrgetter(*names)

    def pack(value: Any) -> list:
        items = list(get_values(value))
        for index, convert in converted_fields:
            items[index] = convert(items[index])
        return items

    return pack


def _make_packer(type_hint: Any) -> FieldConverter | None:
    """Return the function that converts values of a type for CBOR, or None if none is needed."""
    type_hint = getattr(type_hint, "__supertype__", type_hint)
    origin = get_origin(type_hint)
    if origin in (Union, UnionType):
        inner = [part for part in get_args(type_hint) if part is not NoneType]
        pack = _make_packer(inner[0]) if len(inner) == 1 else _pack_value
        return None if pack is None else lambda value: None if value is None else pack(value)
    if origin in (tuple, dict):
        needs_no_packing = all(
            part is Ellipsis or _make_packer(part) is None for part in get_args(type_hint)
        )
        return None if needs_no_packing else _pack_value
    if isinstance(type_hint, type) and issubclass(type_hint, Enum):
        return lambda value: value.value
    if isinstance(type_hint, type) and attrs.has(type_hint):
        return _make_fields_packer(type_hint)
    return None


def _pack_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple | list):
        return [_pack_value(item) for item in value]
    if isinstance(value, dict):
        return {_pack_value(key): _pack_value(item) for key, item in value.items()}
    if attrs.has(type(value)):
        packer = _value_packers.get(type(value))
        if packer is None:
            packer = _value_packers[type(value)] = _make_fields_packer(type(value))
        return packer(value)
    return value


class _Decoder:
    """Build instances of one class from lists of decoded CBOR items.

    Items whose types are exactly the expected ones take a fast path. A class with a field that may
    have several types in CBOR never takes it, since its expected type is set to `type`.
    """

    __slots__ = ("_cls", "_converted_fields", "_converters", "_wire_types")

    def __init__(self, cls: type):
        type_hints = get_type_hints(cls)
        self._cls = cls
        self._converters = [_make_converter(type_hints[field.name]) for field in attrs.fields(cls)]
        # For the fast path: the CBOR types of the fields, and the converters that are still needed.
        self._wire_types: list[type] = []
        self._converted_fields: list[tuple[int, FieldConverter]] = []
        for index, field in enumerate(attrs.fields(cls)):
            type_hint = getattr(type_hints[field.name], "__supertype__", type_hints[field.name])
            self._wire_types.append(_wire_type(type_hint))
            if type_hint not in (str, int, bool, bytes):
                self._converted_fields.append((index, self._converters[index]))

    def build(self, items: list) -> Any:
        """Build an instance from a list of field values; the list may be modified.

        Raises:
            MessageError: The number of fields or the type of a field is wrong.
        """
        cls = self._cls
        try:
            if list(map(type, items)) == self._wire_types:
                for index, convert in self._converted_fields:
                    items[index] = convert(items[index])
                return cls(*items)
            if len(items) != len(self._wire_types):
                raise MessageError(
                    cls.__name__, f"{len(items)} fields in place of {len(self._wire_types)}"
                )
            return cls(
                *[convert(item) for convert, item in zip(self._converters, items, strict=True)]
            )
        except (TypeError, ValueError) as error:
            raise MessageError(cls.__name__, str(error)) from error


def _wire_type(type_hint: Any) -> type:
    """Return the type that values of a type hint have in CBOR, or `type` if there are several."""
    if type_hint in (str, int, bool, bytes, float):
        return type_hint
    if get_origin(type_hint) is tuple or (isinstance(type_hint, type) and attrs.has(type_hint)):
        return list
    if isinstance(type_hint, type) and issubclass(type_hint, Enum):
        return str
    return type


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _type_converter(accepted: type | tuple[type, ...], name: str) -> FieldConverter:
    def convert(value: Any) -> Any:
        if not isinstance(value, accepted) or (isinstance(value, bool) and accepted is not bool):
            raise TypeError(f"{type(value).__name__} in place of {name}")
        return value

    return convert


def _convert_float(value: Any) -> float:
    # `value - value` is 0 for finite numbers and NaN for infinities and NaN.
    if type(value) is float and value - value == 0.0:
        return value
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} in place of a number")
    number = float(value)
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError("a number that is not finite")
    return number


def _convert_text(value: Any) -> str:
    if type(value) is str:
        return value
    if (
        type(value) is cbor2.CBORTag
        and value.tag == RAW_TEXT_TAG
        and isinstance(value.value, bytes)
    ):
        return value.value.decode("utf-8", "surrogateescape")
    raise TypeError(f"{type(value).__name__} in place of str")


def _make_converter(type_hint: Any) -> FieldConverter:
    """Return the function that checks and converts decoded values of a type hint."""
    type_hint = getattr(type_hint, "__supertype__", type_hint)
    origin = get_origin(type_hint)
    if origin in (Union, UnionType):
        return _optional_converter(type_hint)
    if origin is tuple:
        return _tuple_converter(get_args(type_hint))
    if origin is dict:
        return _dict_converter(get_args(type_hint))
    if type_hint is float:
        return _convert_float
    if type_hint is str:
        return _convert_text
    if isinstance(type_hint, type) and issubclass(type_hint, Enum):
        return _enum_converter(type_hint)
    if isinstance(type_hint, type) and attrs.has(type_hint):
        return _nested_converter(type_hint)
    return _type_converter(type_hint, type_hint.__name__)


def _enum_converter(cls: type[Enum]) -> FieldConverter:
    """Return the converter of an enum; a dict look-up costs less than calling the enum class."""
    members = {member.value: member for member in cls}

    def convert(value: Any) -> Enum:
        try:
            return members[value]
        except KeyError:
            raise ValueError(f"{value!r} is no {cls.__name__}") from None

    return convert


def _optional_converter(type_hint: Any) -> FieldConverter:
    inner = [part for part in get_args(type_hint) if part is not NoneType]
    if len(inner) != 1:
        raise TypeError(f"unsupported field type {type_hint}")
    convert = _make_converter(inner[0])
    return lambda value: None if value is None else convert(value)


def _tuple_converter(parts: tuple) -> FieldConverter:
    check = _type_converter(list, "an array")
    if len(parts) == 2 and parts[1] is Ellipsis:
        convert_item = _make_converter(parts[0])
        return lambda value: tuple(convert_item(item) for item in check(value))
    converters = tuple(_make_converter(part) for part in parts)
    if parts == (str, str):
        return _convert_text_pair

    def convert(value: Any) -> tuple:
        items = check(value)
        return tuple(converter(item) for converter, item in zip(converters, items, strict=True))

    return convert


def _convert_text_pair(value: Any) -> tuple[str, str]:
    """Convert a pair of texts; makes no further calls, since headers are long tuples of these."""
    if type(value) is list and len(value) == 2:
        first, second = value
        if type(first) is str and type(second) is str:
            return first, second
        return _convert_text(first), _convert_text(second)
    raise TypeError("no pair of texts")


def _dict_converter(parts: tuple) -> FieldConverter:
    check = _type_converter(dict, "a map")
    convert_key, convert_value = _make_converter(parts[0]), _make_converter(parts[1])
    return lambda value: {
        convert_key(key): convert_value(item) for key, item in check(value).items()
    }


def _nested_converter(cls: type) -> FieldConverter:
    check = _type_converter(list, "an array")
    decoder = _Decoder(cls)
    return lambda value: decoder.build(check(value))
