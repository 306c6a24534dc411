"""The channel on which entries tell each other of suspects."""

from redwingvalve.news import bus
from redwingvalve.poison import facts

KEY = 'suspects'
# Apart from the models': connections of services break more often, and three
# deaths within seconds count as a lost rack, for which the rules are eased.
SERVICE_KEY = 'service-suspects'

SUSPECTS = bus.Channel(
    name='suspects',
    scope=bus.Scope.EVERYWHERE,
    max_age_s=3600.0,
    max_item_bytes=facts.MAX_ENCODED_FACTS * facts.RECORD.size,
    # A caller sends again within milliseconds of the reset that killed its
    # endpoint; news that waits for the next exchange comes a death too late.
    urgent=True,
)
