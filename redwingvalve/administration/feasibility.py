"""Findings on a declaration that no platform of this shape can hold; pure."""

import collections
from collections import abc as collections_abc

from redwingvalve.core import findings
from redwingvalve.declaration import schema
from redwingvalve.documents import binder
from redwingvalve.platform_api import vm_list


def find_impossible(
    bound: binder.BoundDocument[schema.Declaration],
    vms: collections_abc.Sequence[vm_list.Vm],
) -> collections_abc.Iterator[findings.Finding]:
    """Yield a finding for each replica that no fabric domain can hold.

    Missing and leaving VMs count, since they come back or are replaced; a
    shortage for now is a line of the plan and not a mistake in the file.
    """
    known = {vm.data_centre for vm in vms}
    for index, deployment in enumerate(bound.content.deployments):
        yield from _unknown_places(bound, index, deployment, known)
        wanted = frozenset(deployment.data_centres or known)
        sizes = collections.Counter(
            vm.fabric_domain for vm in vms if vm.data_centre in wanted
        )
        largest = max(sizes.values(), default=0)
        if largest < deployment.vms_per_replica:
            yield findings.Finding(
                bound.locations.locate('deployments', index, 'vms_per_replica'),
                f'no fabric domain has {deployment.vms_per_replica} VMs; '
                f'the largest of its data centres has {largest}',
            )


def _unknown_places(
    bound: binder.BoundDocument[schema.Declaration],
    index: int,
    deployment: schema.ModelDeployment,
    known: set[str],
) -> collections_abc.Iterator[findings.Finding]:
    for place, name in enumerate(deployment.data_centres):
        if name not in known:
            yield findings.Finding(
                bound.locations.locate(
                    'deployments', index, 'data_centres', place
                ),
                f'no VM is in the data centre {name!r}',
            )
