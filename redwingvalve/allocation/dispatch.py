"""Dispatches a message about slots to the allocator or the reserver."""

from redwingvalve.allocation import allocator as allocator_module
from redwingvalve.allocation import endpoint_reports, messages
from redwingvalve.allocation import reserver as reserver_module


def dispatch_message(
    envelope: messages.Envelope,
    allocator: allocator_module.Allocator,
    reserver: reserver_module.NodeReserver,
    reply: allocator_module.ReplyCallback,
) -> None:
    """Let the node's allocator or reserver handle a message.

    reply sends a reply to the sender of the message.
    """
    sender, message = envelope.sender, envelope.message
    if isinstance(message, messages.Reply):
        reserver.handle_reply(sender.vm, message)
        return
    if isinstance(message, messages.HoldingsRequest):
        allocator.yield_pool(message.pool)
        reserver.report_pool(message.pool, sender.vm)
        return
    if isinstance(message, messages.Ask):
        allocator.ask(sender, message, reply)
    elif isinstance(message, messages.Release):
        allocator.release(sender, message)
    elif isinstance(message, endpoint_reports.EndpointReport):
        allocator.record_report(sender, message)
    else:
        allocator.holdings(sender, message)
