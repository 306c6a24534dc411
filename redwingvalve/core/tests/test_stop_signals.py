"""Signals to a process that hangs."""

import os
import signal
import subprocess
import sys
import time

PROGRAM = """
import time
from redwingvalve.core import stop_signals
signals = stop_signals.ProcessSignals()
signals.install()
signals.subscribe(lambda number: None, 1.0)
print('ready', flush=True)
while True:
    time.sleep(60)
"""

SLOW_END = """
import sys
import time
from redwingvalve.node import __main__ as entry_point
from redwingvalve.node import startup

class Kept:
    def __del__(self):
        time.sleep(5)

kept = Kept()
startup.run = lambda signals, arguments: print('finished') or 3
sys.exit(entry_point.main())
"""


def test_the_end_of_the_interpreter_outlasts_no_grace():
    """Guards against a kill of a node that has stopped in time."""
    began_s = time.monotonic()
    ended = subprocess.run(
        [sys.executable, '-c', SLOW_END],
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert time.monotonic() < began_s + 4
    assert (ended.returncode, ended.stdout) == (3, b'finished\n')


def test_a_blocked_log_does_not_keep_a_hanging_process():
    """Guards against a stop that waits for a reader of the log."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    try:
        while True:
            os.write(write_end, bytes(4096))
    except BlockingIOError:
        os.set_blocking(write_end, True)
    process = subprocess.Popen(
        [sys.executable, '-c', PROGRAM],
        stdout=subprocess.PIPE,
        stderr=write_end,
    )
    try:
        process.stdout.readline()
        began_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0
        assert time.monotonic() < began_s + 1
    finally:
        process.kill()
        process.stdout.close()
        os.close(read_end)
        os.close(write_end)
