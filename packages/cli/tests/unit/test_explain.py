"""Command ``explain`` on the logs of several nodes."""

import pytest
from chivelead_cli._internal.commands.explain import explain

ENTRY_NODE_LOG = """\
time=1.000 stamp=100.00002 vm=a request_id=ab12 ending=overload status=503
time=1.000 stamp=90.00000 vm=a request_id=ab123 ending=answered status=200
"""
TARGET_NODE_LOG = """\
time=1.000 stamp=99.00001 vm=b request_id=ab12 reason=overload load=1.5
time=1.000 stamp=101.00000 vm=b request_id=ab12.cd34 ending=answered
not a line of a node
"""


def test_lines_of_all_files_come_in_causal_order(tmp_path, capsys):
    entry, target = tmp_path / 'entry.log', tmp_path / 'target.log'
    entry.write_text(ENTRY_NODE_LOG)
    target.write_text(TARGET_NODE_LOG)
    explain('ab12', entry, target)
    lines = capsys.readouterr().out.splitlines()
    assert [line.partition(' ')[0] for line in lines] == [
        'stamp=99.00001',
        'stamp=100.00002',
        'stamp=101.00000',
    ]


def test_unknown_request_is_reported(tmp_path, capsys):
    log = tmp_path / 'entry.log'
    log.write_text(ENTRY_NODE_LOG)
    with pytest.raises(SystemExit) as exit_info:
        explain('nowhere', log)
    assert exit_info.value.code == 1
    assert 'no line of nowhere in 1 files' in capsys.readouterr().out


def test_missing_file_is_reported(tmp_path, capsys):
    with pytest.raises(SystemExit):
        explain('ab12', tmp_path / 'missing.log')
    assert 'No such file' in capsys.readouterr().out
