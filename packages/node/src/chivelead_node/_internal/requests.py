"""Parsing and validation of HTTP requests from callers and targets."""

from aiohttp import web
from chivelead_config import DocumentSet, Route, key_digest
from chivelead_protocol import Headers

from chivelead_node._internal import calls
from chivelead_node._internal.raw_headers import decode_headers

_BAD_REQUEST = 400
_UNAUTHORISED = 401
_NOT_FOUND = 404
_GATEWAY_TIMEOUT = 504
_MAX_KEY_LENGTH = 512
_MAX_TIMEOUT_MS = 600_000
_DROPPED_REQUEST_HEADERS = frozenset(
    (
        'host',
        'connection',
        'keep-alive',
        'proxy-authorization',
        'authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'content-length',
        'upgrade',
        'expect',
        'chivelead-token',
        'chivelead-timeout-ms',
        'chivelead-request-id',
        'chivelead-organisation',
        'chivelead-outcome',
    ),
)


def find_route(
    documents: DocumentSet,
    service: str,
    method: str,
    path: str,
) -> Route:
    """Return the route that matches a request.

    Raises:
        RefusedCallError: The service declares no such route.
    """
    path_without_query = path.partition('?')[0]
    route = documents.services[service].find_route(method, path_without_query)
    if route is None:
        raise calls.refusal_error(
            _NOT_FOUND,
            'unknown-route',
            f'{service} declares no such route',
        )
    return route


def authenticate(
    documents: DocumentSet,
    route: Route,
    request: web.BaseRequest,
) -> str:
    """Return the organisation of the API key.

    The result is empty for a request without a key on an open route, which
    requires none.

    Raises:
        RefusedCallError: The key is missing, unknown or withdrawn, or the
            URL contains it.
    """
    scheme, _, api_key = request.headers.get('Authorization', '').partition(' ')
    api_key = api_key.strip()
    if not api_key and route.open:
        return ''
    organisation = None
    if scheme.lower() == 'bearer' and 0 < len(api_key) <= _MAX_KEY_LENGTH:
        organisation = documents.organisations_by_digest.get(
            key_digest(api_key)
        )
    if organisation is None:
        raise calls.refusal_error(
            _UNAUTHORISED,
            'bad-key',
            'the key is missing, unknown or withdrawn',
        )
    if api_key in request.path_qs:
        raise calls.refusal_error(
            _BAD_REQUEST,
            'key-in-url',
            'send the key in the Authorization header only',
        )
    return organisation


def call_timeout_ms(request: web.BaseRequest, route: Route) -> float:
    """Return the shorter of the timeouts of the caller and the route.

    Raises:
        RefusedCallError: The header is not a valid number, or the deadline
            has passed.
    """
    raw_timeout = request.headers.get(calls.HEADER_TIMEOUT)
    if raw_timeout is None:
        return route.timeout_ms
    try:
        requested_ms = float(raw_timeout)
    except ValueError:
        requested_ms = float('nan')
    if not -_MAX_TIMEOUT_MS <= requested_ms <= _MAX_TIMEOUT_MS:
        raise calls.refusal_error(
            _BAD_REQUEST,
            'bad-timeout',
            f'{calls.HEADER_TIMEOUT}: expected a number of milliseconds',
        )
    if requested_ms <= 0:
        raise calls.refusal_error(
            _GATEWAY_TIMEOUT,
            'deadline',
            'the deadline has passed',
        )
    return min(requested_ms, route.timeout_ms)


def forwarded_headers(request: web.BaseRequest) -> Headers:
    """Return the headers to forward, without any that contain the API key."""
    api_key = request.headers.get('Authorization', '').partition(' ')[2].strip()
    return tuple(
        (name, header_value)
        for name, header_value in decode_headers(request.raw_headers)
        if name.lower() not in _DROPPED_REQUEST_HEADERS
        and not (api_key and api_key in header_value)
    )
