"""Callers that wait for an interim response before they send a body.

See RFC 9110, section 10.1.1.
"""

from aiohttp import HttpVersion11, web

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def may_await_continue(request: web.BaseRequest) -> bool:
    """Return whether the caller may wait before it sends its whole body."""
    return (
        request.headers.get('Expect', '').lower() == '100-continue'
        and request.version >= HttpVersion11
        and not request.content.is_eof()
    )


def send_continue(request: web.BaseRequest) -> None:
    """Tell the caller to send the body, if it may wait for that."""
    if request.transport is not None and may_await_continue(request):
        request.transport.write(_CONTINUE)
