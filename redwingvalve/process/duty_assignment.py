"""Assigns duties to a few controllers by rendezvous hashing."""

from redwingvalve.membership import rendezvous
from redwingvalve.process import dependencies as process_dependencies

CONTROL_ROLE = 'control'
DEFAULT_HOLDERS = 2


def is_assigned(
    dependencies: process_dependencies.ProcessDependencies,
    duty: str,
    holders: int = DEFAULT_HOLDERS,
) -> bool:
    """Return whether this controller holds a duty.

    While controllers' views of the members differ, more or fewer than holders
    of them may hold it; every duty must tolerate that.
    """
    present = {
        member.name for member in dependencies.node.members.alive(CONTROL_ROLE)
    }
    own_name = dependencies.settings.node.name
    return own_name in rendezvous.select(
        sorted(present | {own_name}), duty, holders
    )
