"""Counts and logs the waits and refusals of competing client accounts."""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.ingress import fair_shares, waiting_lines
from redwingvalve.observability import logs, node_metrics

LOG = logs.make_logger('allocation')
# Interval between two log lines about accounts that are held back.
LOG_INTERVAL_S = 1.0

_Lines: typing.TypeAlias = waiting_lines.WaitingLines[typing.Any]


@attrs.frozen
class Wait:
    """The wait of one request."""

    account: str
    started_s: float
    # Whether its account used more than an equal share at its start.
    is_above_share: bool


@attrs.define(eq=False)
class AccountLog:
    """Counts and logs the waits of one pool."""

    _clock: collections_abc.Callable[[], float]
    _uses: fair_shares.AccountUses
    _logged_s: float = -LOG_INTERVAL_S

    def start(self, account: str, lines: _Lines) -> Wait:
        """Return the beginning of a wait."""
        now_s = self._clock()
        share = self._uses.equal_share(lines.accounts(), now_s)
        return Wait(account, now_s, self._uses.use(account, now_s) > share)

    def end(self, wait: Wait, lines: _Lines, *, has_slot: bool) -> None:
        """Count the end of a wait."""
        now_s = self._clock()
        share = 'above' if wait.is_above_share else 'below'
        node_metrics.METRICS.observe(
            'redwingvalve_account_wait_seconds',
            now_s - wait.started_s,
            outcome='place' if has_slot else 'no place',
            share=share,
        )
        if has_slot:
            return
        node_metrics.METRICS.count('redwingvalve_account_refusals', share=share)
        if wait.is_above_share and now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            self._log(wait.account, lines)

    def _log(self, account: str, lines: _Lines) -> None:
        now_s = self._clock()
        share = self._uses.equal_share(lines.accounts(), now_s)
        LOG.info(
            'client account held back',
            extra={
                'account': account,
                'use': round(self._uses.use(account, now_s), 1),
                'equal_share': round(share, 1),
                'held': self._uses.held(account),
                'waiting': lines.waiting(account),
            },
        )
