"""Command-line interface of ``chivelead``."""

import defopt

from chivelead_cli._internal.commands.apply import apply
from chivelead_cli._internal.commands.check import check
from chivelead_cli._internal.commands.documents import diff, history, show
from chivelead_cli._internal.commands.explain import explain
from chivelead_cli._internal.commands.key import issue, list_names, withdraw
from chivelead_cli._internal.commands.status import drain, status
from chivelead_cli._internal.commands.timeline import timeline


def main() -> None:
    """Run the command named on the command line."""
    defopt.run(
        {
            'apply': apply,
            'check': check,
            'diff': diff,
            'drain': drain,
            'explain': explain,
            'history': history,
            'key': {
                'issue': issue,
                'list': list_names,
                'withdraw': withdraw,
            },
            'show': show,
            'status': status,
            'timeline': timeline,
        },
    )
