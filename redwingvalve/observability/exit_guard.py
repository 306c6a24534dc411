"""Ends a stopping process whose event loop doesn't get to its end.

Load pattern: a step of the loop that takes seconds, or a call that can't be
cancelled, while the platform waits for the end of the process. The platform
kills it after the grace; this guard is a little earlier.
"""

import _thread
import os
import time

import attrs

from redwingvalve.core import exit_status
from redwingvalve.observability import logs

LOG = logs.make_logger('process')
# Left for the end of the process before it would be killed.
EXIT_MARGIN_S = 0.2
# The log may be what the process hangs on.
_LOG_TIMEOUT_S = 0.05


@attrs.define(eq=False)
class ExitGuard:
    """Ends the process at the end of its grace, once it has been started."""

    grace_s: float
    _is_started: bool = False

    def start(self, stopped_s: float) -> None:
        """Start to wait, unless it has started; safe in a signal handler.

        stopped_s is when the process was told to stop.
        """
        if self._is_started:
            return
        self._is_started = True
        ends_s = stopped_s + self.grace_s - EXIT_MARGIN_S
        # The threading module takes locks that a signal may have interrupted.
        _thread.start_new_thread(self._end_late, (ends_s,))

    def _end_late(self, ends_s: float) -> None:
        time.sleep(max(0, ends_s - time.monotonic()))
        _thread.start_new_thread(LOG.error, ('stop overran its grace',))
        time.sleep(_LOG_TIMEOUT_S)
        os._exit(exit_status.ExitStatus.SUCCESS)
