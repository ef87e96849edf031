"""Command ``timeline``."""

import html
import pathlib

from chivelead_protocol import TimelineEvent, format_stamp, stamp_ms

from chivelead_cli._internal import context
from chivelead_cli._internal.operations.fleet_view import (
    gather_timeline,
)

_DEFAULT_EVENT_LIMIT = 2000
_COLUMN_PX = 190
_ROW_PX = 18


def timeline(
    *peers: str,
    store: str = '',
    secret: str = '',
    request: str = '',
    most: int = _DEFAULT_EVENT_LIMIT,
    page: pathlib.Path | None = None,
) -> None:
    """Print the recent events of all nodes in causal order.

    Args:
        peers: Nodes to contact first, as host:port; read from the store by
            default.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        secret: Secret of the fleet; taken from CHIVELEAD_SECRET if empty.
        request: Print only events of this request ID; all if empty.
        most: Maximum number of events from each node.
        page: Write an HTML page to this file, with one column per node.
    """

    async def execute() -> context.ExitStatus:
        addresses = await context.node_addresses(store, peers)
        events = await gather_timeline(
            addresses,
            context.fleet_secret(secret),
            request,
            most,
        )
        if page is not None:
            page.write_text(render_page(events), encoding='utf-8')
            context.print_line(f'events={len(events)} page={page}')
            return context.ExitStatus.ok
        for event in events:
            context.print_line(render_line(event))
        return context.ExitStatus.ok

    context.run(execute)


def render_line(event: TimelineEvent) -> str:
    """Return an event as one line of ``name=value`` pairs."""
    pairs = ' '.join(f'{name}={text}' for name, text in event.fields)
    stamp = format_stamp(event.stamp)
    return f'stamp={stamp} vm={event.vm} event={event.event} {pairs}'


def render_page(events: list[TimelineEvent]) -> str:
    """Return an HTML page with one column per node.

    An input on the page filters the events by request ID.
    """
    vms = sorted({event.vm for event in events})
    first_ms = stamp_ms(events[0].stamp) if events else 0
    rows = [
        _render_row(event, row, vms.index(event.vm), first_ms)
        for row, event in enumerate(events)
    ]
    headings = ''.join(
        f'<b style="left:{column * _COLUMN_PX}px">{html.escape(vm)}</b>'
        for column, vm in enumerate(vms)
    )
    return _PAGE.format(headings=headings, rows=''.join(rows))


def _render_row(
    event: TimelineEvent,
    row: int,
    column: int,
    first_ms: int,
) -> str:
    offset_ms = stamp_ms(event.stamp) - first_ms
    title = html.escape(render_line(event), quote=True)
    request = html.escape(dict(event.fields).get('request_id', ''), quote=True)
    return (
        f'<div class="e" data-r="{request}" title="{title}" '
        f'style="left:{column * _COLUMN_PX}px;top:{row * _ROW_PX}px">'
        f'+{offset_ms} ms {html.escape(event.event)}</div>'
    )


_PAGE = """<!doctype html><meta charset="utf-8">
<title>chivelead timeline</title>
<style>
body{{font:12px monospace}}
#h{{position:sticky;top:0;height:20px;background:#fff}}
#h b,.e{{position:absolute;white-space:nowrap}}
#b{{position:relative}}
</style>
<p>request id <input oninput="for(const e of document.querySelectorAll('.e'))
e.hidden=this.value!==''&&!e.dataset.r.startsWith(this.value)"></p>
<div id="h">{headings}</div><div id="b">{rows}</div>
"""
