"""The headers of the platform between a node and its target."""

from chivelead_config import HeaderNames
from chivelead_protocol import CallRequest, Headers

from chivelead_node._internal.dialects import TargetDialect
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.targets import TargetResponse, TargetFailedError

_SUCCESS_CLASS = 2
_CLASS_SIZE = 100


class PlatformDialect(TargetDialect):
    """Name the target that is meant, and match answers by request id.

    Args:
        names: Names of the headers.
        registration: Knows the identity of the target.
    """

    def __init__(
        self,
        names: HeaderNames,
        registration: TargetRegistration,
    ) -> None:
        """Keep the names."""
        self._names = names
        self._registration = registration

    def request_headers(
        self,
        request: CallRequest,
        token: str,
        remaining_ms: float,
    ) -> Headers:
        """Return time, organisation and the target that is meant."""
        names = self._names
        own = (
            (names.time_left_ms, str(max(1, int(remaining_ms)))),
            (names.expected_target, self._registration.target_id),
        )
        if request.organisation:
            return (*own, (names.organisation, request.organisation))
        return own

    def is_overload_refusal(self, response: TargetResponse) -> bool:
        """Tell whether the answer says that the request has not run."""
        if _is_success(response.status):
            return False
        return _find(response.headers, self._names.not_run) is not None

    def is_response_to(
        self, request: CallRequest, status: int, headers: Headers
    ) -> bool:
        """Tell whether an answer is for this very request."""
        names = self._names
        answered_id = _find(headers, names.request_id)
        if answered_id is None:
            raise TargetFailedError(
                'an answer without its request', may_have_run=True
            )
        if answered_id != request.request_id:
            return False
        if _find(headers, 'Content-Encoding') is not None:
            raise TargetFailedError('the body is encoded', may_have_run=True)
        is_stamped = _find(headers, names.response_stamp) is not None
        if _is_success(status) and not is_stamped:
            raise TargetFailedError(
                'a success without its stamp', may_have_run=True
            )
        return True


def _is_success(status: int) -> bool:
    return status // _CLASS_SIZE == _SUCCESS_CLASS


def _find(heads: Headers, name: str) -> str | None:
    wanted = name.lower()
    for head, text in heads:
        if head.lower() == wanted:
            return text
    return None
