"""The targets of the fleet, and those of them that this node reaches."""

import attrs

from redwingvalve.fleet import lost_paths, target_builder
from redwingvalve.ingress import load_balancing

_Targets = tuple[load_balancing.Target, ...]


@attrs.define(eq=False)
class ReachedTargets:
    """Targets by service and model ('' for a plain service).

    If this node reaches none of a model, it uses them all: a path may be back.
    """

    _paths: lost_paths.LostPaths
    _in_fleet: target_builder.Targets = attrs.field(factory=dict)
    _reached: target_builder.Targets = attrs.field(factory=dict)

    def update(self, targets: target_builder.Targets) -> None:
        """Replace the targets of the fleet."""
        self._in_fleet = targets
        self._reached = {
            key: tuple(
                target
                for target in found
                if not self._paths.is_avoided(*target.incarnation)
            )
            for key, found in targets.items()
        }

    def find(self, service: str, model: str) -> _Targets:
        """Return the targets for requests of this node."""
        return self._reached.get((service, model)) or self.find_of_fleet(
            service, model
        )

    def find_of_fleet(self, service: str, model: str) -> _Targets:
        """Return the targets for requests of any node."""
        return self._in_fleet.get((service, model), ())

    def unreached(self, service: str, model: str) -> tuple[str, ...]:
        """Return the ids of the targets that are left to other nodes."""
        used = set(self.find(service, model))
        return tuple(
            target.endpoint_id
            for target in self.find_of_fleet(service, model)
            if target not in used
        )

    def is_out_of_reach(self, service: str, model: str) -> bool:
        """Return whether only other nodes may reach the targets."""
        has_any = bool(self.find_of_fleet(service, model))
        return has_any and not self._reached.get((service, model))
