"""Commands ``status`` and ``drain``."""

from chivelead_protocol import DrainRequest

from chivelead_cli._internal import context
from chivelead_cli._internal.operations.fleet_view import (
    request_nodes,
    view_fleet,
)


def status(
    *peers: str,
    store: str = '',
    secret: str = '',
    as_json: bool = False,
) -> None:
    """Print the target, rate shares, load and document version of all nodes.

    Args:
        peers: Nodes to contact first, as host:port; read from the store by
            default.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        secret: Secret of the fleet; taken from CHIVELEAD_SECRET if empty.
        as_json: Print one JSON object per line.
    """

    async def execute() -> context.ExitStatus:
        addresses = await context.node_addresses(store, peers)
        view = await view_fleet(addresses, context.fleet_secret(secret))
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
            fields.pop('confirmed')
            if as_json:
                context.print_json(fields)
            else:
                pairs = (f'{key}={text}' for key, text in fields.items())
                context.print_line(' '.join(pairs))
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
        members = {
            member.vm: member
            for report in view.reports
            for member in report.members
        }
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
