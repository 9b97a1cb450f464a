"""JSON codecs for ``attrs`` classes.

The strict converter decodes what people write (settings, release notes): it rejects unknown keys
and reports every error. The lenient converter is for what programs exchange: it ignores unknown
keys, so that adjacent releases can interoperate. The compact converter omits fields that hold
their default.
"""

from enum import Enum
from typing import Any, TypeVar

import cattrs
import msgspec
from cattrs.preconf.json import make_converter as make_json_converter
from cattrs.preconf.msgspec import make_converter

from jaypier.core.errors import JaypierError

T = TypeVar("T")

strict_converter = make_converter(forbid_extra_keys=True)
lenient_converter = make_converter()
compact_converter = make_json_converter(omit_if_default=True)


def _enum_member(value: Any, expected: type[Enum]) -> Enum:
    try:
        return expected(value)
    except ValueError:
        known = ", ".join(str(member) for member in expected)
        raise ValueError(f"{value!r} is not known; use one of: {known}") from None


def _require_exact_type(value: Any, expected: type) -> Any:
    """Return ``value`` if it has exactly the expected type.

    A ``bool`` is not accepted as an ``int``; an ``int`` is converted where a ``float`` is expected.

    :param expected: a basic type, or an enumeration derived from one.
    :raises ValueError: if the type differs, or ``value`` is no member of the enumeration.
    """
    if issubclass(expected, Enum):
        return _enum_member(value, expected)
    if expected is float and type(value) is int:
        return float(value)
    if type(value) is not expected:
        raise ValueError(f"expected {expected.__name__}, got {value!r}")
    return value


for _type in (int, float, str, bool):
    strict_converter.register_structure_hook(_type, _require_exact_type)


class DecodeError(JaypierError):
    """A value could not be decoded.

    :param errors: one line per error, with the path of the value where it is known.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def structure_strictly(value: Any, expected: type[T]) -> T:
    """Build ``expected`` from plain JSON values and report all errors at once.

    :param value: dicts, lists, strings and numbers as a JSON parser returns them.
    :param expected: the ``attrs`` class to build.
    :raises DecodeError: on unknown keys, missing keys and wrong types.
    """
    if not isinstance(value, dict):
        raise DecodeError([f"expected an object, got {type(value).__name__}"])
    try:
        return strict_converter.structure(value, expected)
    except cattrs.BaseValidationError as error:
        raise DecodeError(cattrs.transform_error(error, format_exception=_format_error)) from error


def _format_error(error: BaseException, expected: type | None) -> str:
    if isinstance(error, KeyError):
        return f"missing key {error.args[0]!r}"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return "unknown key " + ", ".join(repr(key) for key in sorted(error.extra_fields))
    if isinstance(error, ValueError):
        return str(error)
    return f"invalid value, expected {getattr(expected, '__name__', expected)}"


def to_json(value: Any) -> bytes:
    """Encode an ``attrs`` instance, or plain values, as JSON."""
    return lenient_converter.dumps(value)


def to_plain(value: Any) -> Any:
    """Convert an ``attrs`` instance to plain dicts and lists, for dumps and table rows."""
    return lenient_converter.unstructure(value)


def to_compact(value: Any) -> Any:
    """Convert an ``attrs`` instance to plain values, without fields that hold their default."""
    return compact_converter.unstructure(value)


def encoded_size(value: Any) -> int:
    """Return the size of plain values encoded as JSON, in bytes."""
    return len(msgspec.json.encode(value))


def from_plain(value: Any, expected: type[T]) -> T:
    """Build ``expected`` from plain values that jaypier itself wrote; ignore unknown keys.

    :raises DecodeError: if the values do not match ``expected``.
    """
    try:
        return lenient_converter.structure(value, expected)
    except cattrs.BaseValidationError as error:
        raise DecodeError(cattrs.transform_error(error)) from error
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise DecodeError([str(error)]) from error
