"""Why calls at the target had no complete response."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CallFailure:
    """Failure of one call at the target.

    Attributes:
        why: Description.
        is_response: Whether the target broke off its response, or sent
            something else; False if nothing came.
    """

    why: str
    is_response: bool


NO_RESPONSE = CallFailure('no response in time', is_response=False)
