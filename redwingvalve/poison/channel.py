"""The channel on which entries publish suspect requests."""

from redwingvalve.news import bus
from redwingvalve.poison import facts

KEY = 'suspects'
# Separate from models: connections of services break more often, and three
# failures within seconds count as a lost rack, for which the rules are relaxed.
SERVICE_KEY = 'service-suspects'

SUSPECTS = bus.Channel(
    name='suspects',
    scope=bus.Scope.EVERYWHERE,
    max_age_s=3600.0,
    max_item_bytes=facts.MAX_ENCODED_FACTS * facts.RECORD.size,
    # A caller retries within milliseconds of the failure of its endpoint. If
    # the item waited for the next exchange, another endpoint would fail first.
    urgent=True,
)
