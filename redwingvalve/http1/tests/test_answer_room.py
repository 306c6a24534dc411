"""When an answer asks for room."""

from redwingvalve.http1 import answer_room, byte_account, stepped_reads

EVENT_BYTES = 40


class Answer(answer_room.HeldAnswer):
    """Counts how often it is looked at."""

    def __init__(self):
        account = byte_account.make_account(1)
        self.memory = account.open(byte_account.Part.LONG_ANSWERS)
        self.looks = 0

    @property
    def held_bytes(self):
        self.looks += 1
        return EVENT_BYTES


def test_short_events_are_not_counted_one_by_one():
    """Each event cost a node twice as much as without the account."""
    answer = Answer()
    room = answer_room.AnswerRoom(stepped_reads.SteppedReads(lambda data: None))
    room.start(answer, 0)
    for _ in range(byte_account.GRAIN_BYTES // EVENT_BYTES):
        room.received(EVENT_BYTES)
    assert answer.looks <= 2
    room.received(byte_account.GRAIN_BYTES)
    assert answer.looks > 1
