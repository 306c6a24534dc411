"""Members and words as thrift records."""

from expression import Error, Ok, Result

from redwingvalve.membership import members, words
from redwingvalve.wire import messages

Record = messages.peer.MemberRecord
_TEXT_FIELDS = ('name', 'role', 'host', 'data_centre', 'region', 'vm')
_NUMBER_FIELDS = ('incarnation', 'peer_port', 'http_port')


def to_record(word: words.Word) -> Record:
    """Return a word as it travels."""
    member = word.member
    plain = {
        name: getattr(member, name) for name in _TEXT_FIELDS + _NUMBER_FIELDS
    }
    return Record(state=member.state.value, heartbeat=word.heartbeat, **plain)


def from_record(record: Record) -> Result[words.Word, str]:
    """Return the word of a record, or say what is wrong with it."""
    if not record.name or record.incarnation is None:
        return Error('a member record without name or incarnation')
    try:
        state = members.MemberState(record.state)
    except ValueError:
        return Error(f'{record.name}: {record.state!r} is no state')
    texts = {name: getattr(record, name) or '' for name in _TEXT_FIELDS}
    numbers = {name: getattr(record, name) or 0 for name in _NUMBER_FIELDS}
    member = members.Member(state=state, **texts, **numbers)
    return Ok(words.Word(member, record.heartbeat or 0))


def words_of(records: list[Record] | None) -> list[words.Word]:
    """Return the words of all sound records; the others are left out."""
    read = [from_record(record) for record in records or ()]
    return [word.ok for word in read if word.is_ok()]
