"""Conversion of member statuses to and from Thrift records."""

import types

from redwingvalve.membership import member_status, members
from redwingvalve.wire import messages

Record = messages.peer.MemberRecord
_STATES = types.MappingProxyType(
    {state.value: state for state in members.MemberState}
)
_TEXT_FIELDS = ('name', 'role', 'host', 'data_centre', 'region', 'vm')
_NUMBER_FIELDS = ('incarnation', 'peer_port', 'http_port')


def to_record(status: member_status.MemberStatus) -> Record:
    """Return a status as a Thrift record."""
    member = status.member
    plain = {
        name: getattr(member, name) for name in _TEXT_FIELDS + _NUMBER_FIELDS
    }
    return Record(state=member.state.value, heartbeat=status.heartbeat, **plain)


def from_record(record: Record) -> member_status.MemberStatus | None:
    """Return the status in a record, or None if the record is invalid."""
    state = _STATES.get(record.state)
    if state is None or not record.name or record.incarnation is None:
        return None
    texts = {name: getattr(record, name) or '' for name in _TEXT_FIELDS}
    numbers = {name: getattr(record, name) or 0 for name in _NUMBER_FIELDS}
    member = members.Member(state=state, **texts, **numbers)
    return member_status.MemberStatus(member, record.heartbeat or 0)


def from_records(
    records: list[Record] | None,
) -> list[member_status.MemberStatus]:
    """Return the statuses of all valid records; others are left out."""
    read = [from_record(record) for record in records or ()]
    return [status for status in read if status is not None]
