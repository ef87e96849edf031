"""HTTP headers of the platform for calls from a node to its target."""

from chivelead_config import HeaderNames
from chivelead_protocol import CallRequest, Headers

from chivelead_node._internal.dialects import TargetDialect
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.targets import TargetFailedError, TargetResponse

_SUCCESS_STATUS_CLASS = 2
_STATUS_CLASS_SIZE = 100


class PlatformDialect(TargetDialect):
    """Address requests to a specific target and match responses by request ID.

    Args:
        header_names: Names of the headers.
        registration: Source of the target ID.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        registration: TargetRegistration,
    ) -> None:
        """Create the dialect."""
        self._header_names = header_names
        self._registration = registration

    def request_headers(
        self,
        request: CallRequest,
        token: str,
        remaining_ms: float,
    ) -> Headers:
        """Return headers for the remaining time, target ID and organisation."""
        header_names = self._header_names
        added_headers = (
            (header_names.time_left_ms, str(max(1, int(remaining_ms)))),
            (header_names.expected_target, self._registration.target_id),
        )
        if request.organisation:
            return (
                *added_headers,
                (header_names.organisation, request.organisation),
            )
        return added_headers

    def is_overload_refusal(self, response: TargetResponse) -> bool:
        """Return whether an error response says that the call was not run."""
        if _is_success(response.status):
            return False
        return (
            _find_header(response.headers, self._header_names.not_run)
            is not None
        )

    def is_response_to(
        self, request: CallRequest, status: int, headers: Headers
    ) -> bool:
        """Return whether a response has the ID of the request.

        A success response needs a stamp, a header that proves that the target
        itself produced it.

        Raises:
            TargetFailedError: The response has no request ID, has a content
                encoding, or is a success without a stamp.
        """
        header_names = self._header_names
        response_request_id = _find_header(headers, header_names.request_id)
        if response_request_id is None:
            raise TargetFailedError(
                'the response has no request ID', may_have_run=True
            )
        if response_request_id != request.request_id:
            return False
        if _find_header(headers, 'Content-Encoding') is not None:
            raise TargetFailedError(
                'the response body has a content encoding', may_have_run=True
            )
        is_stamped = (
            _find_header(headers, header_names.response_stamp) is not None
        )
        if _is_success(status) and not is_stamped:
            raise TargetFailedError(
                'a success response has no stamp header', may_have_run=True
            )
        return True


def _is_success(status: int) -> bool:
    return status // _STATUS_CLASS_SIZE == _SUCCESS_STATUS_CLASS


def _find_header(headers: Headers, name: str) -> str | None:
    wanted_name = name.lower()
    for header_name, header_value in headers:
        if header_name.lower() == wanted_name:
            return header_value
    return None
