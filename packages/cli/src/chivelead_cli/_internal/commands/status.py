"""Commands ``status`` and ``drain``."""

from chivelead_protocol import DrainRequest

from chivelead_cli._internal import context
from chivelead_cli._internal.operations.fleet_view import (
    FleetView,
    request_nodes,
    view_fleet,
)


def status(
    *peers: str,
    store: str = '',
    secret: str = '',
    no_secret: bool = False,
    as_json: bool = False,
) -> None:
    """Print the target, rate shares, load and document version of all nodes.

    The last line sums up the requests that ended without the answer of a
    target, by cause, also at processes that have ended.

    Args:
        peers: Nodes to contact first, as host:port; read from the store by
            default.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        secret: Secret of the fleet; taken from CHIVELEAD_SECRET if empty.
        no_secret: Whether the links of the fleet have no secret.
        as_json: Print one JSON object per line.
    """

    async def execute() -> context.ExitStatus:
        addresses = await context.node_addresses(store, peers)
        link_secret = '' if no_secret else context.fleet_secret(secret)
        view = await view_fleet(addresses, link_secret)
        for report in sorted(view.reports, key=lambda report: report.vm):
            own_member = next(
                member for member in report.members if member.vm == report.vm
            )
            fields = {
                'vm': report.vm,
                'failure_domain': own_member.failure_domain,
                'service': own_member.service,
                'target': own_member.target_state,
                'slots': own_member.target_slots,
                'shares': len(own_member.shares),
                'relay': own_member.relay,
                **dict(report.fields),
            }
            # On relays, this lists the version that each VM confirmed.
            fields.pop('confirmed', None)
            if as_json:
                context.print_json(fields)
            else:
                pairs = (f'{key}={text}' for key, text in fields.items())
                context.print_line(' '.join(pairs))
        _print_ends(view, as_json=as_json)
        for vm in view.unreachable:
            context.print_line(f'vm={vm} not-reached')
        if view.unreachable or not view.reports:
            return context.ExitStatus.not_confirmed
        return context.ExitStatus.ok

    context.run(execute)


def drain(
    vm: str,
    *,
    store: str = '',
    secret: str = '',
    resume: bool = False,
) -> None:
    """Stop sending requests to a target, or resume sending them.

    Args:
        vm: VM of the target.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        secret: Secret of the fleet; taken from CHIVELEAD_SECRET if empty.
        resume: Resume sending requests to the target.
    """

    async def execute() -> context.ExitStatus:
        fleet_secret = context.fleet_secret(secret)
        view = await view_fleet(
            await context.node_addresses(store, ()), fleet_secret
        )
        members = view.newest_members()
        if vm not in members:
            context.print_line(f'vm={vm} is not known to any reachable node')
            return context.ExitStatus.invalid
        message = DrainRequest(draining=not resume)
        replies = await request_nodes([members[vm]], fleet_secret, message)
        if replies[0] is None:
            context.print_line(f'vm={vm} not-reached')
            return context.ExitStatus.not_confirmed
        context.print_line(f'vm={vm} draining={not resume}')
        return context.ExitStatus.ok

    context.run(execute)


def _print_ends(view: FleetView, *, as_json: bool) -> None:
    ends = view.count_ends()
    if as_json:
        context.print_json({'fleet': {'unanswered': ends}})
        return
    pairs = (f'{cause}:{count}' for cause, count in ends.items())
    context.print_line('fleet unanswered={0}'.format(','.join(pairs)))
