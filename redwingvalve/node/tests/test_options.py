"""Options of the node program."""

import subprocess
import sys

import pytest

from redwingvalve.core import exit_status, stop_signals
from redwingvalve.node import options, runner


def test_without_options_nothing_is_hedged():
    assert options.parse([]).hedge_shares.share('any') == 0


@pytest.mark.parametrize(
    'arguments',
    [
        ['--hedge-share', '0.05', '--hedge-share', 'plain=0.1'],
        ['--hedge-share=plain=0.1', '--hedge-share=0.05'],
    ],
)
def test_shares_are_read_by_service(arguments):
    shares = options.parse(arguments).hedge_shares
    assert (shares.share('plain'), shares.share('other')) == (0.1, 0.05)


@pytest.mark.parametrize('text', ['', 'x', '-0.1', '1.1', 'nan', 's=', 's=x'])
def test_a_node_with_an_invalid_share_does_not_start(text, capsys):
    status = runner.run(
        None, None, ['--hedge-share', text], stop_signals.ProcessSignals()
    )
    assert status is exit_status.ExitStatus.USAGE
    assert '--hedge-share' in capsys.readouterr().err


def test_a_missing_share_is_named():
    with pytest.raises(options.OptionError, match='needs a share'):
        options.parse(['--hedge-share'])


def test_unknown_arguments_are_ignored_as_before():
    assert options.parse(['--else', '1']).unknown == ('--else', '1')


def test_sockets_listen_before_options_are_read():
    """Connections would be refused meanwhile, and callers retry only once."""
    code = (
        'import sys, redwingvalve.node.startup\n'
        'late = {"argparse", "redwingvalve.node.options", "anyio"}\n'
        'assert not late & set(sys.modules), late & set(sys.modules)'
    )
    subprocess.run([sys.executable, '-c', code], check=True)
