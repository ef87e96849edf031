"""Numbered changes of the membership table, to send only what is new."""

from chivelead_protocol import ChangePosition, Member

from chivelead_coordination._internal.membership import Membership

_MAX_CHANGES_PER_MESSAGE = 256


class MemberChanges:
    """Number the changes of a membership table.

    Only the last change of each entry is kept, so a receiver that is far behind
    gets each entry once.

    Args:
        membership: Table whose changes are numbered.

    Attributes:
        boot_id: Start of this process; numbers of other starts mean nothing.
    """

    def __init__(self, membership: Membership) -> None:
        """Number the present entries first."""
        self.boot_id = membership.own.boot_id
        self._membership = membership
        self._last_number = 0
        # In the order of the numbers.
        self._numbers_by_vm: dict[str, int] = {}
        for member in membership.all_members():
            self._record(member)
        membership.listen(self._record)

    def since(
        self, position: ChangePosition, failure_domain: str = ''
    ) -> tuple[tuple[Member, ...], ChangePosition]:
        """Return the entries that changed after a position.

        Args:
            position: What the receiver has; ignored if it is of another start.
            failure_domain: Restricts the entries to this failure domain.

        Returns:
            The entries, and the position that the receiver then has.
        """
        known_number = (
            position.number if position.boot_id == self.boot_id else 0
        )
        if known_number >= self._last_number:
            return (), ChangePosition(self.boot_id, self._last_number)
        members = []
        for vm, number in self._numbers_by_vm.items():
            if number <= known_number:
                continue
            member = self._membership.find(vm)
            if member is not None and failure_domain in {
                '',
                member.failure_domain,
            }:
                members.append(member)
            if len(members) == _MAX_CHANGES_PER_MESSAGE:
                return tuple(members), ChangePosition(self.boot_id, number)
        return tuple(members), ChangePosition(self.boot_id, self._last_number)

    def _record(self, member: Member) -> None:
        self._last_number += 1
        self._numbers_by_vm.pop(member.vm, None)
        self._numbers_by_vm[member.vm] = self._last_number
