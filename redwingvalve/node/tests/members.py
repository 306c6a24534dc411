"""Replica members for tests without a network."""

from redwingvalve.fleet import endpoints


def make_member(endpoint_id, number, rank, state):
    """Return a member of the numbered replica of the small model."""
    return endpoints.Endpoint(
        endpoint_id=endpoint_id,
        born_ms=1,
        service='engine',
        host='127.0.0.1',
        port=80,
        data_centre='zone-1',
        slots=4,
        draining=False,
        domain='d1',
        staged=('small',),
        membership=endpoints.Membership(
            f'small.1.{number}', number, rank, state
        ),
    )
