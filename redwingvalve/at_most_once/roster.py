"""The processes that may vote, as one of them sees them, and what it knows.

Load pattern: entries restart, are replaced, pause, and lose each other for up
to hours. Without rules for these times two entries that see different fleets
each find their own voters, and a resend runs a second time.

The rules, each for one failure:

* A voter starts with the names that the store holds, also of those that it
  cannot reach: newcomers that see only each other must not be a fleet.
* A name stays in the roster until it has been gone for LONGEST_ABSENCE_S: a
  partition must not move keys to voters on both its sides. Claims are older
  than the memory of any voter by then.
* The roster changes, and this entry votes, only while it sees more than half
  of its roster alive: the smaller side of a partition stands still.
* After a pause an entry looks around for SETTLE_S before it votes: what it
  believed of the others is as old as the pause.
* A voter decides about a key only if it knows the key's earlier claims. It
  has been a voter of the key for as long as callers send again (resend_s), or
  the key carries a time after it became one, or it has copied the claims of so
  many of the key's other voters that every majority held one of these.
* A restarted voter has lost what its name granted. It has got all of that back
  once fewer names than a majority are left uncopied, itself included: every
  majority held one that was copied. That is so for the roster that holds now;
  of earlier and smaller ones, one of those copied must have everything.
* A new voter needs the same of one that has everything, or of everybody: its
  sources may be as new as itself, and a majority from before may have died.
* What was granted just before the end of a process may still be granted by
  others just after it. Copies therefore begin when the voter has settled, and
  a claimant counts no vote that is as old.
"""

import collections
import itertools
from collections import abc as collections_abc

import attrs

from redwingvalve.at_most_once import claim_table, keys, messages, voters
from redwingvalve.membership import members

SETTLE_S = 2.0
LONGEST_PAUSE_S = 3.0
LONGEST_ABSENCE_S = 2 * claim_table.MEMORY_S
CLOCK_SKEW_S = 5.0


@attrs.define
class _Period:
    """A roster, when it began to hold, and whose claims were copied since.

    complete says that all claims from before it are known.
    """

    since_s: float
    names: frozenset[str]
    learned: set[str] = attrs.field(factory=set)
    complete: bool = False


class Roster:
    """The names among which voters are found, with their history."""

    def __init__(
        self,
        myself: str,
        now_s: float,
        *,
        first_start: bool,
        names: collections_abc.Iterable[str] = (),
        alone: bool = False,
        resend_s: float = claim_table.MEMORY_S,
    ) -> None:
        """Start with the own name and the names that the store holds.

        first_start says that no process had this name before, so that no
        claim was lost with one; alone says that no other voter is expected.
        No caller sends a request again later than resend_s after the first
        time; at most as long as claims are remembered.
        """
        self._resend_s = min(resend_s, claim_table.MEMORY_S)
        self._myself = myself
        self._started_s = now_s
        self._whole = first_start
        self._alone = alone
        self._looked_s = now_s
        self._settled_s = now_s + SETTLE_S
        self._absent_since: dict[str, float] = {}
        self._majority = True
        self._periods: collections.deque[_Period] = collections.deque()
        others = frozenset(() if alone else names)
        self._begin_period(others | {myself}, now_s)
        # Where nobody has voted nothing is to be known.
        self._periods[-1].complete = first_start and not self.missing()

    @property
    def names(self) -> frozenset[str]:
        """Return the names that hold now."""
        return self._periods[-1].names

    def voters(self, account: str, request_key: str) -> tuple[str, ...]:
        """Return the voters of a key in the roster that holds now."""
        return voters.voters_of(self.names, account, request_key)

    def observe(
        self,
        known: collections_abc.Iterable[members.Member],
        now_s: float,
    ) -> None:
        """Look at the members; called about every second."""
        if now_s - self._looked_s > LONGEST_PAUSE_S:
            self._settled_s = now_s + SETTLE_S
        self._looked_s = now_s
        present = {self._myself} | {
            member.name
            for member in known
            if member.role in voters.ROLES
            and member.state != members.MemberState.DEAD
        }
        self._majority = 2 * len(self.names & present) > len(self.names)
        if not self._majority:
            return
        self._change((self.names | present) - self._gone(present, now_s), now_s)
        while len(self._periods) > 1 and (
            now_s - self._periods[1].since_s > self._resend_s
        ):
            self._periods.popleft()

    def introduce(
        self, names: collections_abc.Iterable[str], now_s: float
    ) -> None:
        """Count further names in, such as one that asks for claims.

        The smaller side of a partition must not grow into a majority.
        """
        if not self._majority:
            return
        self._change(self.names | frozenset(names), now_s)

    def missing(self) -> frozenset[str]:
        """Return the names whose claims are still to be copied."""
        return self.names - self._periods[-1].learned - {self._myself}

    def to_copy(self, now_s: float) -> frozenset[str]:
        """Return whose claims may be copied now; none before it settled."""
        if now_s < self._settled_s and not self._whole:
            return frozenset()
        return self.missing()

    def learned_from(
        self, name: str, copied: messages.ClaimPage, now_s: float
    ) -> None:
        """Count the claims of another voter in."""
        self.introduce(copied.names, now_s)
        period = self._periods[-1]
        if frozenset(copied.names) != period.names or not copied.whole:
            # Under other names it may go on to grant what we would not know.
            return
        period.learned.add(name)
        period.complete = period.complete or copied.complete
        if not self.missing():
            self._whole = True
            period.complete = True
        self._inherit(now_s)
        uncopied = len(period.names - period.learned)
        if period.complete and uncopied < _majority_of(period.names):
            self._whole = True

    def is_whole(self, now_s: float) -> bool:
        """Tell whether this voter has every claim that its name granted."""
        return self._whole or now_s - self._started_s > self._resend_s

    def is_complete(self, now_s: float) -> bool:
        """Tell whether it has all claims from before its names held."""
        period = self._periods[-1]
        since_s = now_s - period.since_s
        return period.complete or since_s > self._resend_s

    def why_not(
        self, account: str, request_key: str, now_s: float, wall_s: float
    ) -> str:
        """Return why this entry may not decide about a key; empty if it may."""
        if now_s - self._looked_s > LONGEST_PAUSE_S:
            return 'this voter was paused'
        if now_s < self._settled_s and not self._alone:
            return 'this voter has just started or was paused'
        lonely = len(self.names) == 1 and not self._alone
        if lonely or not self._majority:
            return 'this voter sees too few others'
        if not self._votes(self._periods[-1], account, request_key):
            return 'this process is no voter of the key'
        if _too_old(request_key, wall_s):
            return 'the key is older than claims are remembered'
        if self._knows(account, request_key, now_s, wall_s):
            return ''
        return 'this voter does not yet know the earlier uses of the key'

    def wait_s(self, now_s: float) -> float:
        """Return after how long this voter decides at the latest, 0 if unknown.

        Copies may come sooner, for which nobody knows the time.
        """
        if now_s < self._settled_s:
            return self._settled_s - now_s
        if self.is_whole(now_s):
            return 0.0
        return self._started_s + self._resend_s - now_s

    def _knows(
        self, account: str, request_key: str, now_s: float, wall_s: float
    ) -> bool:
        made_at_s = keys.made_at_s(request_key) or 0
        if made_at_s > wall_s + CLOCK_SKEW_S:
            # A time to come proves nothing about the time before.
            made_at_s = 0
        for index in reversed(range(len(self._periods))):
            period = self._periods[index]
            if not self._votes(period, account, request_key):
                return False
            voter_for_s = now_s - period.since_s
            if voter_for_s > self._resend_s:
                return True
            became_wall_s = wall_s - voter_for_s
            if made_at_s > became_wall_s + CLOCK_SKEW_S:
                return True
            if self._copied(index, account, request_key):
                return True
        return False

    def _copied(self, index: int, account: str, request_key: str) -> bool:
        """Tell whether a period's copies meet every earlier majority."""
        sources = set(self._periods[index].learned)
        if self._whole:
            sources.add(self._myself)
        if not self._periods[index].complete:
            # A majority of a roster before this process started may have died
            # with all that it granted; the sources would not know of it.
            return False
        for period in itertools.islice(self._periods, index + 1):
            for names in (period.names, period.names - {self._myself}):
                chosen = voters.voters_of(names, account, request_key)
                needed = len(chosen) - voters.votes_needed(len(chosen)) + 1
                if chosen and len(sources.intersection(chosen)) < needed:
                    return False
        return True

    def _votes(self, period: _Period, account: str, request_key: str) -> bool:
        return self._myself in voters.voters_of(
            period.names, account, request_key
        )

    def _inherit(self, now_s: float) -> None:
        """Complete this period from the last one that was complete.

        What was granted between the two was granted by a majority. Fewer than
        that are neither copied since nor this process itself.
        """
        period = self._periods[-1]
        uncopied = len(period.names - period.learned - {self._myself})
        smallest = _majority_of(period.names)
        for earlier in reversed(self._periods):
            smallest = min(smallest, _majority_of(earlier.names))
            old = now_s - earlier.since_s > self._resend_s
            if earlier.complete or old:
                period.complete = period.complete or uncopied < smallest
                return

    def _change(self, names: frozenset[str], now_s: float) -> None:
        if names != self.names:
            self._begin_period(names, now_s)

    def _begin_period(self, names: frozenset[str], now_s: float) -> None:
        self._periods.append(_Period(now_s, names))

    def _gone(self, present: set[str], now_s: float) -> set[str]:
        self._absent_since = {
            name: self._absent_since.get(name, now_s)
            for name in self.names - present
        }
        return {
            name
            for name, since_s in self._absent_since.items()
            if now_s - since_s > LONGEST_ABSENCE_S
        }


def _majority_of(names: frozenset[str]) -> int:
    return voters.votes_needed(min(len(names), voters.VOTERS_PER_KEY))


def _too_old(request_key: str, wall_s: float) -> bool:
    made_at_s = keys.made_at_s(request_key)
    if made_at_s is None:
        return False
    return wall_s - made_at_s > claim_table.MEMORY_S - CLOCK_SKEW_S
