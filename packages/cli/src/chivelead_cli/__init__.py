"""Command-line interface for operators of chivelead."""

from chivelead_cli._internal.operations.edits import (
    EditConflictError as EditConflictError,
)
from chivelead_cli._internal.operations.edits import apply_edit as apply_edit
from chivelead_cli._internal.operations.edits import (
    read_documents as read_documents,
)
from chivelead_cli._internal.operations.fleet_view import (
    gather_timeline as gather_timeline,
)
from chivelead_cli._internal.operations.fleet_view import (
    view_fleet as view_fleet,
)
from chivelead_cli._internal.operations.keys import (
    withdraw_key as withdraw_key,
)
