"""The headers of the platform between a node and its target."""

from chivelead_config import HeaderNames
from chivelead_protocol import CallRequest, Headers

from chivelead_node._internal.dialects import TargetDialect
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.targets import TargetAnswer, TargetFailedError

_SUCCESS_STATUS_CLASS = 2
_STATUS_CLASS_SIZE = 100


class PlatformDialect(TargetDialect):
    """Name the target that is meant, and match answers by request id.

    Args:
        names: Names of the headers.
        registration: Knows the identity of the target.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        registration: TargetRegistration,
    ) -> None:
        """Keep the names."""
        self._header_names = header_names
        self._registration = registration

    def request_headers(
        self,
        request: CallRequest,
        token: str,
        left_ms: float,
    ) -> Headers:
        """Return time, organisation and the target that is meant."""
        header_names = self._header_names
        added_headers = (
            (header_names.time_left_ms, str(max(1, int(left_ms)))),
            (header_names.expected_target, self._registration.target_id),
        )
        if request.organisation:
            return (
                *added_headers,
                (header_names.organisation, request.organisation),
            )
        return added_headers

    def is_refusal(self, answer: TargetAnswer) -> bool:
        """Tell whether the answer says that the request has not run."""
        if _is_success(answer.status):
            return False
        return (
            _find_header(answer.headers, self._header_names.not_run) is not None
        )

    def check(
        self, request: CallRequest, status: int, headers: Headers
    ) -> bool:
        """Tell whether an answer is for this very request."""
        header_names = self._header_names
        answered_id = _find_header(headers, header_names.request_id)
        if answered_id is None:
            raise TargetFailedError('an answer without its request', ran=True)
        if answered_id != request.request_id:
            return False
        if _find_header(headers, 'Content-Encoding') is not None:
            raise TargetFailedError('the body is encoded', ran=True)
        is_stamped = (
            _find_header(headers, header_names.answer_stamp) is not None
        )
        if _is_success(status) and not is_stamped:
            raise TargetFailedError('a success without its stamp', ran=True)
        return True


def _is_success(status: int) -> bool:
    return status // _STATUS_CLASS_SIZE == _SUCCESS_STATUS_CLASS


def _find_header(headers: Headers, name: str) -> str | None:
    wanted_name = name.lower()
    for header_name, text in headers:
        if header_name.lower() == wanted_name:
            return text
    return None
