"""Hands a message about places to the part that it is for."""

from redwingvalve.allocation import allocator as allocator_module
from redwingvalve.allocation import messages
from redwingvalve.allocation import reserver as reserver_module


def dispatch_message(
    envelope: messages.Envelope,
    allocator: allocator_module.Allocator,
    reserver: reserver_module.NodeReserver,
    reply: allocator_module.ReplyCallback,
) -> None:
    """Let a node's parts take a message; reply answers its sender."""
    sender, message = envelope.sender, envelope.message
    if isinstance(message, messages.Ask):
        allocator.ask(sender, message, reply)
    elif isinstance(message, messages.Reply):
        reserver.heard(sender.vm, message)
    elif isinstance(message, messages.Release):
        allocator.release(sender, message)
    else:
        allocator.holdings(sender, message)
