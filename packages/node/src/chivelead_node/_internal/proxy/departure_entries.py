"""Entries of departures in the store: IDs of targets and their starts."""

import logging
from collections.abc import Mapping
from typing import Any

import orjson

from chivelead_node._internal.proxy.identifiers import is_identifier

logger = logging.getLogger(__name__)

# Milliseconds since 1970; larger numbers are no times.
_MAX_TIME_MS = 1_000_000_000_000_000


def format_departures(departures: Mapping[str, int]) -> str:
    """Return the entry for departures.

    Args:
        departures: For the ID of each target that has left, the Unix time in
            milliseconds of its latest start that is included.
    """
    return orjson.dumps(dict(departures)).decode()


def parse_departures(text: str) -> dict[str, int]:
    """Return the departures in an entry, without those that are malformed."""
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        logger.warning('the departures in the store are malformed: %s', error)
        return {}
    if not isinstance(raw, dict):
        logger.warning('the departures in the store are no JSON object')
        return {}
    departures = {
        target_id: latest_start_ms
        for target_id, latest_start_ms in raw.items()
        if is_identifier(target_id) and _is_time(latest_start_ms)
    }
    if len(departures) < len(raw):
        logger.warning(
            '%d of %d departures in the store are malformed',
            len(raw) - len(departures),
            len(raw),
        )
    return departures


def _is_time(time_ms: Any) -> bool:
    # The types are compared, as a bool is an int too.
    return time_ms.__class__ is int and 0 <= time_ms <= _MAX_TIME_MS
