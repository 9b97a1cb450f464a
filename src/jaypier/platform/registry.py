"""Lazy registry of platform back ends, so that another protocol replaces one module."""

from importlib import import_module

from jaypier.core.address import Address
from jaypier.platform.abstract import Platform
from jaypier.platform.errors import PlatformError

BACK_ENDS = {"http": "jaypier.platform.http:HttpPlatform"}
"""Name of each back end and where its class is, imported on first use."""


def open_platform(back_end: str, address: Address, timeout: float) -> Platform:
    """Create the platform client called ``back_end``.

    :param back_end: a key of ``BACK_ENDS``.
    :param address: where the platform listens.
    :param timeout: seconds to wait for one answer.
    :raises PlatformError: when the name is unknown.
    """
    try:
        module, _, name = BACK_ENDS[back_end].partition(":")
    except KeyError:
        known = ", ".join(sorted(BACK_ENDS))
        raise PlatformError(f"unknown platform {back_end!r}; use one of: {known}") from None
    return getattr(import_module(module), name)(address, timeout)
