"""Duties that a few controllers have for all, without anybody deciding it."""

from redwingvalve.membership import rendezvous
from redwingvalve.process import dependencies as process_dependencies

CONTROL_ROLE = 'control'
HOLDERS = 2


def is_mine(
    dependencies: process_dependencies.ProcessDependencies,
    duty: str,
    holders: int = HOLDERS,
) -> bool:
    """Tell whether this controller holds a duty.

    Members may be seen differently for a while, so that more or fewer than
    holders may hold it; every duty must bear that.
    """
    present = {
        member.name for member in dependencies.node.members.alive(CONTROL_ROLE)
    }
    mine = dependencies.settings.node.name
    return mine in rendezvous.select(sorted(present | {mine}), duty, holders)
