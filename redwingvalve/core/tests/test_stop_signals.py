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
