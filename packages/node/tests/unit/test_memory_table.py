"""Each socket of a node belongs to an edge, and all edges to one budget."""

import ast
import pathlib

import pytest
from chivelead_node._internal import memory_budget
from chivelead_node._internal.proxy import components
from chivelead_protocol.bounds import edges

_ROOT = pathlib.Path(__file__).parents[4]
_PAGE = _ROOT / 'docs' / 'design' / 'memory.md'
_EDGES_SOURCE = pathlib.Path('protocol/src/chivelead_protocol/_internal/edges')
# Tools and stand-ins are processes of their own.
_OTHER_PROCESSES = frozenset(('standins', 'cli'))
_OPENERS = frozenset(
    (
        'create_connection',
        'create_datagram_endpoint',
        'create_server',
        'create_unix_server',
        'open_connection',
        'start_server',
        'TCPSite',
    )
)
_OPENING_CLASSES = frozenset(('ClientSession', 'TCPConnector', 'socket'))
# What keeps a class from opening sockets of its own.
_EDGE_ARGUMENTS = frozenset(('connector', 'socket_factory'))
# The limit that the platform sets; a process of a node without any requests
# takes less than a fifth of it.
_MEMORY_BYTES = 300_000_000
_PROCESS_FRACTION = 0.2
# Probes, and calls to the store at once with their retired connections.
_ESSENTIAL_CONNECTIONS = 8
_ESSENTIAL_RECEIVED_BYTES = 524_288


def _find_openers(source):
    """Yield the line and name of each use that opens a socket."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and node.attr in _OPENERS:
            yield node.lineno, node.attr
        elif isinstance(node, ast.Name) and node.id in _OPENERS:
            yield node.lineno, node.id
        elif isinstance(node, ast.Call):
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            arguments = {keyword.arg for keyword in node.keywords}
            if name in _OPENING_CLASSES and not arguments & _EDGE_ARGUMENTS:
                yield node.lineno, name


def _sources():
    for package in (_ROOT / 'packages').iterdir():
        if package.name not in _OTHER_PROCESSES:
            yield from package.glob('src/**/*.py')


def _rows():
    """Return the cells of each row of the table of edges, by its edge."""
    section = _PAGE.read_text().partition('## One budget')[2]
    rows = {}
    for line in section.partition('\n## ')[0].splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if line.startswith('| `'):
            rows[cells[0].strip('`')] = cells
    return rows


def test_each_edge_has_a_row_with_its_figures():
    defined = {
        edge.name: edge
        for edge in vars(edges).values()
        if isinstance(edge, edges.Edge)
    }
    assert dict(edges.EDGES) == defined
    rows = _rows()
    assert set(rows) == set(defined)
    for name, edge in defined.items():
        figures = (
            edge.receive_buffer_bytes,
            edge.unread_limit_bytes,
            edge.object_bytes,
            edge.reserved_bytes,
        )
        assert rows[name][-4:] == [str(figure) for figure in figures], name


def test_sockets_are_opened_by_edges_only():
    found = [
        f'{path.relative_to(_ROOT)}:{line}: {name}'
        for path in _sources()
        if path != _ROOT / 'packages' / _EDGES_SOURCE.with_suffix('.py')
        for line, name in _find_openers(path.read_text())
    ]
    assert not found


# Guards against a search that finds nothing.
@pytest.mark.parametrize(
    'source',
    [
        'await loop.create_connection(make, host, port)',
        'web.TCPSite(runner, host, port)',
        'functools.partial(asyncio.start_server, handle)',
        'aiohttp.TCPConnector(limit=0)',
        'aiohttp.ClientSession()',
        'socket.socket(socket.AF_INET)',
    ],
)
def test_search_finds_what_opens_a_socket(source):
    assert list(_find_openers(source))


def test_search_passes_what_an_edge_opens():
    source = 'ClientSession(connector=TCPConnector(socket_factory=edge.open))'
    assert not list(_find_openers(source))


def test_budget_leaves_room_for_the_process_and_a_copy_of_one_body():
    budget = memory_budget.MemoryBudget(_MEMORY_BYTES)
    essential_bytes = _ESSENTIAL_CONNECTIONS * (
        edges.STORE.reserved_bytes + _ESSENTIAL_RECEIVED_BYTES
    )
    assert (
        _MEMORY_BYTES * _PROCESS_FRACTION
        + components._RESPONSE_LIMIT_BYTES
        + budget.bodies._limit_bytes
        + budget.bodies.message_limit_bytes
        + budget.connections._limit_bytes
        + essential_bytes
        <= _MEMORY_BYTES
    )
