"""JSON codecs for ``attrs`` classes.

Two converters are used: a strict one for what people write (settings, release notes), which
refuses unknown keys and reports every mistake, and a lenient one for what programs exchange,
which ignores unknown keys so that neighbouring releases can talk to each other.
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
    """Return ``value`` when it has exactly the expected type, bool not counting as int.

    :param expected: a basic type, or an enumeration derived from one.
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
    """A document could not be decoded.

    :param mistakes: one line for each mistake, naming the path of the value.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def structure_strictly(value: Any, expected: type[T]) -> T:
    """Turn plain JSON values into ``expected`` and list every mistake found.

    :param value: dicts, lists, strings, numbers as a JSON reader returns them.
    :param expected: the ``attrs`` class to build.
    :raises DecodeError: for unknown keys, missing keys and wrong types.
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
    """Return the plain dicts and lists of an ``attrs`` instance, for dumps and tables."""
    return lenient_converter.unstructure(value)


def to_compact(value: Any) -> Any:
    """Return the plain values of an ``attrs`` instance without those that are the default."""
    return compact_converter.unstructure(value)


def encoded_size(value: Any) -> int:
    """Return the length of plain values as JSON, in bytes."""
    return len(msgspec.json.encode(value))


def from_plain(value: Any, expected: type[T]) -> T:
    """Build ``expected`` from plain values that jaypier itself wrote.

    :raises DecodeError: when the values do not fit ``expected``.
    """
    try:
        return lenient_converter.structure(value, expected)
    except cattrs.BaseValidationError as error:
        raise DecodeError(cattrs.transform_error(error)) from error
    except (ValueError, TypeError, KeyError) as error:
        raise DecodeError([str(error)]) from error
