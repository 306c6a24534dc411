"""Duties that a few controllers have for all, without anybody deciding it."""

from redwingvalve.membership import rendezvous
from redwingvalve.process import parts as process_parts

CONTROL_ROLE = 'control'
HOLDERS = 2


def is_mine(
    parts: process_parts.ProcessParts, duty: str, holders: int = HOLDERS
) -> bool:
    """Tell whether this controller holds a duty.

    Members may be seen differently for a while, so that more or fewer than
    holders may hold it; every duty must bear that.
    """
    present = {member.name for member in parts.node.members.alive(CONTROL_ROLE)}
    mine = parts.settings.node.name
    return mine in rendezvous.select(sorted(present | {mine}), duty, holders)
