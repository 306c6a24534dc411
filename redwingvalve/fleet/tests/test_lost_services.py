"""Two lost paths to a service put its others in doubt."""

import attrs

from redwingvalve.fleet import lost_services

INTERVAL_S = lost_services.ROUND_INTERVAL_S


@attrs.frozen
class Entry:
    """As much of an endpoint as the decision reads."""

    endpoint_id: str
    service: str


USABLE = [
    Entry(f'{service}-{number}', service)
    for service in ('plain', 'engine')
    for number in range(30)
]


def doubted(services, lost, now_s):
    found = services.find_doubted(USABLE, lost, now_s)
    return [one.endpoint_id for one in found]


def test_one_lost_path_is_a_matter_of_its_endpoint():
    services = lost_services.LostServices()
    assert not doubted(services, {'plain-1', 'engine-1'}, 0)


def test_two_lost_paths_put_the_others_of_their_service_in_doubt():
    """Each path was learned by a request that failed."""
    found = doubted(lost_services.LostServices(), {'plain-1', 'plain-2'}, 0)
    assert len(found) == lost_services.MAX_DOUBTED
    assert all(name.startswith('plain-') for name in found)
    assert not {'plain-1', 'plain-2'} & set(found)


def test_rounds_of_probes_are_limited_and_reach_all_endpoints():
    services = lost_services.LostServices()
    lost = {'plain-1', 'plain-2'}
    lost.update(doubted(services, lost, 0))
    assert not doubted(services, lost, INTERVAL_S / 2)
    lost.update(doubted(services, lost, INTERVAL_S))
    assert len(lost) == 30


def test_a_round_that_finds_no_lost_path_is_the_last():
    """A node without paths to one domain probed the others every second."""
    services = lost_services.LostServices()
    lost = {'plain-1', 'plain-2'}
    assert doubted(services, lost, 0)
    assert not doubted(services, lost, 2 * INTERVAL_S)
    assert doubted(services, {*lost, 'plain-3'}, 3 * INTERVAL_S)


def test_a_service_that_is_lost_again_is_probed_at_once():
    services = lost_services.LostServices()
    assert doubted(services, {'plain-1', 'plain-2'}, 0)
    assert not doubted(services, set(), 0.1)
    assert doubted(services, {'plain-1', 'plain-2'}, 0.2)
