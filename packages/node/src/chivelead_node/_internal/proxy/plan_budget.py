"""Parts of the time in which a new plan must take effect."""

import dataclasses

# What is left is for reading the plan on a new connection and for passing it
# on, or for a standby to notice that the watch fails.
_WATCH_FRACTION = 0.35
_RESPONSE_FRACTION = 0.2


@dataclasses.dataclass(frozen=True)
class PlanBudget:
    """Parts of the time in which a new plan must take effect everywhere.

    A watch may hear nothing without failing, and its connection may have gone
    silent.  Both end in time to read the plan anew and to pass it on.

    Attributes:
        bound_ms: Time in which a new plan must take effect everywhere.
    """

    bound_ms: float

    @property
    def watch_ms(self) -> int:
        """Duration of a watch without changes."""
        return int(self.bound_ms * _WATCH_FRACTION)

    @property
    def response_ms(self) -> int:
        """Time for the response to arrive after the watch has ended."""
        return int(self.bound_ms * _RESPONSE_FRACTION)

    @property
    def spread_ms(self) -> float:
        """Time to read the plan anew and to pass it on."""
        return self.bound_ms - self.watch_ms - self.response_ms
