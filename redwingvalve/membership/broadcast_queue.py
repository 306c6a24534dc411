"""Queue of member statuses to broadcast with exchanges.

Load pattern: a rack of 40 VMs is lost, and many members start to broadcast 40
statuses within a second. Each member sends a status a bounded number of times
(infect and die, Demers et al. 1987), and a message carries a bounded number
of statuses, the least often sent first. Without these limits, the cost of a
burst would be its size times the number of messages. Whatever the limits
leave out is reconciled by comparing digests.
"""

import math

from redwingvalve.membership import member_status

# With this factor, only about one member in several thousand is missed.
SENDS_FACTOR = 2
MAX_STATUSES_PER_MESSAGE = 24


class BroadcastQueue:
    """Members whose status is broadcast, with the number of sends so far."""

    def __init__(self) -> None:
        """Start empty."""
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued statuses."""
        return len(self._sent)

    def add(self, name: str) -> None:
        """Queue the latest status of a member and reset its send count."""
        self._sent[name] = 0

    def drop(self, name: str) -> None:
        """Remove a member from the queue."""
        self._sent.pop(name, None)

    def take(
        self, statuses: dict[str, member_status.MemberStatus], skip: str = ''
    ) -> list[member_status.MemberStatus]:
        """Return the statuses for one message.

        A status of the receiver itself, skip, doesn't count as a send.
        """
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
