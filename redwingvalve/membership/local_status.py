"""What this process says of itself; nobody else may raise its heartbeat."""

import attrs

from redwingvalve.membership import member_status, members, status_store

State = members.MemberState


class OwnWord:
    """This process's own word, and its answers to what others say of it."""

    def __init__(self, me: members.Member, book: status_store.WordBook) -> None:
        """Say that me is there."""
        self.superseded = False
        self._name = me.name
        self._book = book
        self._joined = False
        book.put(member_status.Word(me, 0))

    def word(self) -> member_status.Word:
        """Return the newest word."""
        return self._book.held()[self._name]

    def member(self) -> members.Member:
        """Return this process."""
        return self.word().member

    def joined(self) -> None:
        """Note that a first exchange has ended; our incarnation stands."""
        self._joined = True

    def leave(self) -> None:
        """Say that this process takes no new work from now on."""
        if self.word().state is not State.LEAVING:
            self._say(State.LEAVING)

    def depart(self) -> None:
        """Say that this process ends now."""
        self._say(State.DEAD)

    def renew(self) -> None:
        """Raise the heartbeat, which refutes every doubt so far."""
        self._refute(self.word().heartbeat)

    def answer(self, heard: member_status.Word) -> None:
        """Refute what a peer says of this process, if it is newer."""
        mine = self.word()
        if heard.member.incarnation > mine.member.incarnation:
            self._answer_later_life(heard)
            return
        if heard.order() > mine.order() and mine.state is not State.DEAD:
            self._refute(heard.heartbeat)

    def _answer_later_life(self, heard: member_status.Word) -> None:
        # Before the first exchange, or when that life has ended, the clock
        # of our VM merely runs behind; else another process runs under our
        # name and started later, and only one of us may go on.
        if self._joined and heard.state is not State.DEAD:
            self.superseded = True
            return
        incarnation = heard.member.incarnation + 1
        reborn = attrs.evolve(self.member(), incarnation=incarnation)
        self._book.put(member_status.Word(reborn, 0))

    def _refute(self, heartbeat: int) -> None:
        mine = self.word()
        raised = max(heartbeat, mine.heartbeat) + 1
        self._book.put(member_status.Word(mine.member, raised))
        self._book.mark_urgent()

    def _say(self, state: State) -> None:
        mine = self.word()
        changed = attrs.evolve(mine.member, state=state)
        self._book.put(member_status.Word(changed, mine.heartbeat + 1))
