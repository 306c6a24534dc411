"""Findings on declarations that the platform can't accommodate; pure."""

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
    """Yield a finding for each deployment that fits in no fabric domain.

    Missing and leaving VMs count, since they come back or are replaced. A
    temporary shortage is part of the plan and not an error in the file.
    """
    known_data_centres = {vm.data_centre for vm in vms}
    for index, deployment in enumerate(bound.content.deployments):
        yield from _unknown_data_centres(
            bound, index, deployment, known_data_centres
        )
        allowed = frozenset(deployment.data_centres or known_data_centres)
        domain_sizes = collections.Counter(
            vm.fabric_domain for vm in vms if vm.data_centre in allowed
        )
        largest = max(domain_sizes.values(), default=0)
        if largest < deployment.vms_per_replica:
            yield findings.Finding(
                bound.locations.locate('deployments', index, 'vms_per_replica'),
                f'no fabric domain has {deployment.vms_per_replica} VMs; '
                f'the largest of its data centres has {largest}',
            )


def _unknown_data_centres(
    bound: binder.BoundDocument[schema.Declaration],
    index: int,
    deployment: schema.ModelDeployment,
    known_data_centres: set[str],
) -> collections_abc.Iterator[findings.Finding]:
    for position, name in enumerate(deployment.data_centres):
        if name not in known_data_centres:
            yield findings.Finding(
                bound.locations.locate(
                    'deployments', index, 'data_centres', position
                ),
                f'no VM is in the data centre {name!r}',
            )
