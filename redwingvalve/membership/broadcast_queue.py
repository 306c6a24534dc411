"""Words that still have to be passed on.

Load pattern: a rack of 40 VMs is lost, and 40 words start at many members
within a second. Each word is sent a bounded number of times by each member
(infect and die, after Demers et al. 1987), and a message carries a bounded
number of words, the least often sent first; without these bounds a storm
would cost its size times the number of messages. What the bounds leave out is
repaired by comparing digests.
"""

import math

from redwingvalve.membership import member_status

# Enough that all but one in some thousand members hear of it this way.
SENDS_FACTOR = 2
MAX_STATUSES_PER_MESSAGE = 24


class BroadcastQueue:
    """Names whose newest word is passed on, with how often it was sent."""

    def __init__(self) -> None:
        """Start empty."""
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many words wait."""
        return len(self._sent)

    def add(self, name: str) -> None:
        """Pass on the newest word of a member, from now on."""
        self._sent[name] = 0

    def drop(self, name: str) -> None:
        """Forget a member."""
        self._sent.pop(name, None)

    def take(
        self, statuses: dict[str, member_status.MemberStatus], skip: str = ''
    ) -> list[member_status.MemberStatus]:
        """Return the words for one message; skip names its receiver."""
        limit = SENDS_FACTOR * math.ceil(math.log2(len(statuses) + 2))
        chosen = sorted(self._sent, key=self._sent.__getitem__)
        taken = []
        for name in chosen[:MAX_STATUSES_PER_MESSAGE]:
            if name not in statuses:
                self.drop(name)
                continue
            taken.append(statuses[name])
            if name != skip:
                self._count(name, limit)
        return taken

    def _count(self, name: str, limit: int) -> None:
        self._sent[name] += 1
        if self._sent[name] >= limit:
            self.drop(name)
