"""The set of possible voters as seen by one of them, and which claims it knows.

Load pattern: processes restart, are replaced, pause, and lose contact for up to
hours. Without rules for these cases, two entries that see different fleets
compute different voters, and a retry runs a second time.

Each rule prevents one failure:

* A voter starts with the names in the store, including those that it can't
  reach: new voters that see only each other must not decide as a fleet.
* A name stays in the roster until it has been absent for MAX_ABSENCE_S: a
  partition must not move keys to voters on both sides. By then all claims have
  expired at every voter.
* The roster changes, and this process votes, only while it sees more than half
  of its roster alive, so that the minority side of a partition doesn't decide.
* After a pause, a process observes the others for SETTLE_S before it votes: its
  view of them is as old as the pause.
* A voter decides about a key only if it knows the earlier claims of the key: it
  has been a voter of the key for as long as callers retry (resend_s), or the
  key contains a time after it became one, or it has copied the claims of enough
  other voters of the key that every majority includes one of these.
* A restarted voter has lost the grants of its name. It has recovered them once
  fewer names than a majority, itself included, have not been copied, since
  every majority then includes a copied one. This holds for the current roster;
  for earlier, smaller ones, one of the copied voters must have all claims.
* A new voter needs the same from a voter that has all claims, or copies from
  every name: its sources may be as new as itself, and an earlier majority may
  have failed.
* A claim that a process voted for just before it ended may get the votes of
  others just after. Copies therefore start once the voter has settled, and a
  claimant doesn't count votes that are as old.
"""

import collections
import itertools
from collections import abc as collections_abc

import attrs

from redwingvalve.at_most_once import claim_table, keys, messages, voters
from redwingvalve.membership import members

SETTLE_S = 2.0
MAX_PAUSE_S = 3.0
MAX_ABSENCE_S = 2 * claim_table.RETENTION_S
CLOCK_SKEW_S = 5.0


@attrs.define
class _Period:
    """A roster, when it took effect, and the voters copied since.

    complete means that all claims from before it are known.
    """

    since_s: float
    names: frozenset[str]
    copied_from: set[str] = attrs.field(factory=set)
    complete: bool = False


class Roster:
    """The names from which voters are selected, with their history."""

    def __init__(
        self,
        local_name: str,
        now_s: float,
        *,
        first_start: bool,
        names: collections_abc.Iterable[str] = (),
        alone: bool = False,
        resend_s: float = claim_table.RETENTION_S,
    ) -> None:
        """Start with the local name and the names in the store.

        first_start means that no process had this name before, so that no
        claims were lost; alone, that no other voter is expected. No caller
        retries a request later than resend_s after its first attempt; at most
        as long as claims are kept.
        """
        self._resend_s = min(resend_s, claim_table.RETENTION_S)
        self._local_name = local_name
        self._started_s = now_s
        self._whole = first_start
        self._alone = alone
        self._observed_s = now_s
        self._settled_s = now_s + SETTLE_S
        self._absent_since: dict[str, float] = {}
        self._has_majority = True
        self._periods: collections.deque[_Period] = collections.deque()
        others = frozenset(() if alone else names)
        self._start_period(others | {local_name}, now_s)
        # Without earlier voters there are no earlier claims.
        self._periods[-1].complete = first_start and not self.missing()

    @property
    def names(self) -> frozenset[str]:
        """Return the current names."""
        return self._periods[-1].names

    def voters(self, account: str, request_key: str) -> tuple[str, ...]:
        """Return the voters of a key in the current roster."""
        return voters.voters_of(self.names, account, request_key)

    def observe(
        self,
        known: collections_abc.Iterable[members.Member],
        now_s: float,
    ) -> None:
        """Update the roster from the members; called about every second."""
        if now_s - self._observed_s > MAX_PAUSE_S:
            self._settled_s = now_s + SETTLE_S
        self._observed_s = now_s
        present = {self._local_name} | {
            member.name
            for member in known
            if member.role in voters.ROLES
            and member.state != members.MemberState.DEAD
        }
        self._has_majority = 2 * len(self.names & present) > len(self.names)
        if not self._has_majority:
            return
        self._set_names(
            (self.names | present) - self._find_removed(present, now_s), now_s
        )
        while len(self._periods) > 1 and (
            now_s - self._periods[1].since_s > self._resend_s
        ):
            self._periods.popleft()

    def add_names(
        self, names: collections_abc.Iterable[str], now_s: float
    ) -> None:
        """Add names, such as one that copies claims.

        Without a majority nothing is added, so that the minority side of a
        partition can't grow into a majority.
        """
        if not self._has_majority:
            return
        self._set_names(self.names | frozenset(names), now_s)

    def missing(self) -> frozenset[str]:
        """Return the names whose claims have not been copied yet."""
        return self.names - self._periods[-1].copied_from - {self._local_name}

    def names_to_copy(self, now_s: float) -> frozenset[str]:
        """Return the names to copy claims from; none before it has settled."""
        if now_s < self._settled_s and not self._whole:
            return frozenset()
        return self.missing()

    def record_copy(
        self, name: str, copied: messages.ClaimPage, now_s: float
    ) -> None:
        """Record that the claims of another voter have been copied."""
        self.add_names(copied.names, now_s)
        period = self._periods[-1]
        if frozenset(copied.names) != period.names or not copied.whole:
            # With other names, it may still grant claims unknown to this voter.
            return
        period.copied_from.add(name)
        period.complete = period.complete or copied.complete
        if not self.missing():
            self._whole = True
            period.complete = True
        self._inherit_completeness(now_s)
        uncopied = len(period.names - period.copied_from)
        if period.complete and uncopied < _majority_size(period.names):
            self._whole = True

    def is_whole(self, now_s: float) -> bool:
        """Tell whether this voter has every claim that its name granted."""
        return self._whole or now_s - self._started_s > self._resend_s

    def is_complete(self, now_s: float) -> bool:
        """Tell whether it has all claims from before its current names."""
        period = self._periods[-1]
        since_s = now_s - period.since_s
        return period.complete or since_s > self._resend_s

    def refusal_reason(
        self, account: str, request_key: str, now_s: float, wall_s: float
    ) -> str:
        """Return why this voter can't decide about a key; empty if it can."""
        if now_s - self._observed_s > MAX_PAUSE_S:
            return 'this voter was paused'
        if now_s < self._settled_s and not self._alone:
            return 'this voter has just started or was paused'
        is_isolated = len(self.names) == 1 and not self._alone
        if is_isolated or not self._has_majority:
            return 'this voter sees too few other voters'
        if not self._is_voter(self._periods[-1], account, request_key):
            return 'this process is not a voter of the key'
        if _is_expired(request_key, wall_s):
            return 'the key is older than claims are remembered'
        if self._knows_earlier_uses(account, request_key, now_s, wall_s):
            return ''
        return 'this voter does not yet know the earlier uses of the key'

    def wait_s(self, now_s: float) -> float:
        """Return the longest time until this voter can decide, 0 if unknown.

        It may decide sooner, once its copies are complete.
        """
        if now_s < self._settled_s:
            return self._settled_s - now_s
        if self.is_whole(now_s):
            return 0.0
        return self._started_s + self._resend_s - now_s

    def _knows_earlier_uses(
        self, account: str, request_key: str, now_s: float, wall_s: float
    ) -> bool:
        created_at_s = keys.created_at_s(request_key) or 0
        if created_at_s > wall_s + CLOCK_SKEW_S:
            # A time in the future shows nothing about earlier claims.
            created_at_s = 0
        for index in reversed(range(len(self._periods))):
            period = self._periods[index]
            if not self._is_voter(period, account, request_key):
                return False
            voter_for_s = now_s - period.since_s
            if voter_for_s > self._resend_s:
                return True
            voter_since_wall_s = wall_s - voter_for_s
            if created_at_s > voter_since_wall_s + CLOCK_SKEW_S:
                return True
            if self._copies_suffice(index, account, request_key):
                return True
        return False

    def _copies_suffice(
        self, index: int, account: str, request_key: str
    ) -> bool:
        """Tell whether the copies of a period cover every earlier majority."""
        sources = set(self._periods[index].copied_from)
        if self._whole:
            sources.add(self._local_name)
        if not self._periods[index].complete:
            # A majority of a roster from before this process started may have
            # failed with all its grants, unknown to the copied voters.
            return False
        for period in itertools.islice(self._periods, index + 1):
            for names in (period.names, period.names - {self._local_name}):
                chosen = voters.voters_of(names, account, request_key)
                needed = len(chosen) - voters.votes_needed(len(chosen)) + 1
                if chosen and len(sources.intersection(chosen)) < needed:
                    return False
        return True

    def _is_voter(
        self, period: _Period, account: str, request_key: str
    ) -> bool:
        return self._local_name in voters.voters_of(
            period.names, account, request_key
        )

    def _inherit_completeness(self, now_s: float) -> None:
        """Mark this period complete based on the last complete one.

        All claims between the two were granted by a majority. This holds if
        fewer voters than that are neither copied nor this process.
        """
        period = self._periods[-1]
        uncopied = len(period.names - period.copied_from - {self._local_name})
        smallest_majority = _majority_size(period.names)
        for earlier in reversed(self._periods):
            smallest_majority = min(
                smallest_majority, _majority_size(earlier.names)
            )
            is_old = now_s - earlier.since_s > self._resend_s
            if earlier.complete or is_old:
                period.complete = (
                    period.complete or uncopied < smallest_majority
                )
                return

    def _set_names(self, names: frozenset[str], now_s: float) -> None:
        if names != self.names:
            self._start_period(names, now_s)

    def _start_period(self, names: frozenset[str], now_s: float) -> None:
        self._periods.append(_Period(now_s, names))

    def _find_removed(self, present: set[str], now_s: float) -> set[str]:
        self._absent_since = {
            name: self._absent_since.get(name, now_s)
            for name in self.names - present
        }
        return {
            name
            for name, since_s in self._absent_since.items()
            if now_s - since_s > MAX_ABSENCE_S
        }


def _majority_size(names: frozenset[str]) -> int:
    return voters.votes_needed(min(len(names), voters.VOTERS_PER_KEY))


def _is_expired(request_key: str, wall_s: float) -> bool:
    created_at_s = keys.created_at_s(request_key)
    if created_at_s is None:
        return False
    return wall_s - created_at_s > claim_table.RETENTION_S - CLOCK_SKEW_S
