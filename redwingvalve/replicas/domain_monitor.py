"""Probes the VMs of a domain and builds the view used by placement."""

from collections import abc as collections_abc

import anyio
import attrs

from redwingvalve.core import clock, invariants
from redwingvalve.platform_api import engine_orders, vm_list
from redwingvalve.replicas import domain as domain_module
from redwingvalve.replicas import entry_reports, vm_health
from redwingvalve.replicas import view as view_module

PROBE_TIMEOUT_S = 0.5
MAX_CONCURRENT_PROBES = 32
OWN_PROBE_INTERVAL_S = 5.0
DRAIN_BEFORE_STOP = invariants.Safeguard.DRAIN_BEFORE_STOP


class DomainMonitor:
    """Observes one domain by probes, the VM list and reports of entries."""

    def __init__(
        self,
        orders: engine_orders.EngineOrders,
        time_source: clock.Clock,
        entries: entry_reports.EntryReports,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Start without any probe results."""
        self._orders = orders
        self._clock = time_source
        self._entries = entries
        self._switches = switches
        self._health = vm_health.VmHealthTracker()
        self._draining_since_s: dict[tuple[str, int], float] = {}

    async def probe(self, domain: domain_module.FabricDomain) -> None:
        """Probe every VM once, except those that entries confirm."""
        self._health.retain_only(frozenset(vm.name for vm in domain.vms))
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        confirmed = self._vms_confirmed_by_entries(domain)
        async with anyio.create_task_group() as group:
            for vm in domain.vms:
                if vm.name not in confirmed:
                    group.start_soon(self._probe_vm, vm, limiter)

    def _vms_confirmed_by_entries(
        self, domain: domain_module.FabricDomain
    ) -> frozenset[str]:
        """Return the VMs that this process need not probe itself.

        Entries already probe the VMs of serving replicas twice a second.
        Probing them again would use most of the CPU budget of the controller
        at 64 VMs per domain.
        """
        now_s = self._clock.monotonic_s()
        return frozenset(
            name
            for replica in domain.replicas
            if replica.state == domain_module.ReplicaState.SERVING
            for name in replica.members
            if self._health.responded_within(name, OWN_PROBE_INTERVAL_S, now_s)
            and self._entries.confirms_ready(name, replica, now_s)
        )

    async def _probe_vm(
        self, vm: domain_module.DomainVm, limiter: anyio.CapacityLimiter
    ) -> None:
        async with limiter:
            started_s = self._clock.monotonic_s()
            answer = await self._orders.read_state(vm.address, PROBE_TIMEOUT_S)
        now_s = self._clock.monotonic_s()
        # The VM list lags: its address may belong to another VM by now.
        if answer.is_ok() and answer.ok.vm == vm.name:
            self._health.record_response(vm.name, answer.ok, now_s)
            return
        self._health.record_failure(
            vm.name, started_s, self._entries.last_seen_s(vm.name, now_s)
        )

    def all_probes_failed(self) -> bool:
        """Tell whether the last probe of every VM got no answer."""
        return self._health.all_failing()

    def members_known(self, domain: domain_module.FabricDomain) -> bool:
        """Tell whether the health of every member of a replica is known."""
        now_s = self._clock.monotonic_s()
        return all(
            self._health.is_known(name, now_s) for name in domain.used_vms()
        )

    def unrouted_replicas(
        self, domain: domain_module.FabricDomain
    ) -> frozenset[str]:
        """Return the DRAINING replicas to which no entry sends any more.

        Call this before the probe, so that the requests in flight are counted
        after the last entry has stopped sending.
        """
        now_s = self._clock.monotonic_s()
        draining = [
            replica
            for replica in domain.replicas
            if replica.state == domain_module.ReplicaState.DRAINING
        ]
        self._draining_since_s = {
            (each.name, each.epoch): self._draining_since_s.get(
                (each.name, each.epoch), now_s
            )
            for each in draining
        }
        if not self._switches.enabled(DRAIN_BEFORE_STOP):
            return frozenset(each.name for each in draining)
        return frozenset(
            each.name
            for each in draining
            if self._entries.senders_stopped(
                each, self._draining_since_s[each.name, each.epoch], now_s
            )
        )

    def view(
        self,
        domain: domain_module.FabricDomain,
        desired: tuple[view_module.DesiredShare, ...],
        unrouted: frozenset[str],
    ) -> view_module.DomainView:
        """Return the domain, its VMs and its desired shares after a probe."""
        updated = self._with_probe_results(domain)
        views = {vm.name: self._vm_view(vm) for vm in updated.vms}
        drained = frozenset(
            name for name in unrouted if self._is_idle(updated, name, views)
        )
        return view_module.DomainView(updated, views, desired, drained)

    def _vm_view(self, vm: domain_module.DomainVm) -> view_module.VmView:
        now_s = self._clock.monotonic_s()
        available_s = self._health.available_for_s(vm.name, now_s)
        return view_module.VmView(
            name=vm.name,
            reachable=not vm.missing,
            leaving=vm.leaving,
            quarantined=available_s < vm_health.quarantine_s(vm.flaps),
            failing=self._health.failing(vm.name),
            state=None if vm.missing else self._health.state(vm.name),
        )

    def _is_idle(
        self,
        domain: domain_module.FabricDomain,
        name: str,
        views: dict[str, view_module.VmView],
    ) -> bool:
        if not self._switches.enabled(DRAIN_BEFORE_STOP):
            return True
        replica = domain.replica(name)
        states = [views[vm].state for vm in replica.members] if replica else []
        return all(state and not state.in_flight for state in states)

    def _with_probe_results(
        self, domain: domain_module.FabricDomain
    ) -> domain_module.FabricDomain:
        return attrs.evolve(
            domain, vms=tuple(map(self._updated_vm, domain.vms))
        )

    def _updated_vm(self, vm: domain_module.DomainVm) -> domain_module.DomainVm:
        now_s = self._clock.monotonic_s()
        missing = self._health.missing(vm.name, now_s)
        flaps = vm.flaps + (missing and not vm.missing)
        available_s = self._health.available_for_s(vm.name, now_s)
        if not missing and available_s > vm_health.FLAP_RESET_AFTER_S:
            flaps = 0
        if not self._health.is_known(vm.name, now_s):
            missing = vm.missing
        if (vm.missing, vm.flaps) == (missing, flaps):
            return vm
        return attrs.evolve(vm, missing=missing, flaps=flaps)


def with_listed(
    domain: domain_module.FabricDomain,
    listed: collections_abc.Iterable[vm_list.Vm],
) -> domain_module.FabricDomain:
    """Return the domain with the VMs of the VM list.

    The list lags, so a VM that is no longer listed is removed only once it is
    missing and belongs to no replica.
    """
    shown = {
        vm.name: _domain_vm(vm, domain.vm(vm.name))
        for vm in listed
        if vm.fabric_domain == domain.name
    }
    used = domain.used_vms()
    for vm in domain.vms:
        if vm.name not in shown and (vm.name in used or not vm.missing):
            shown[vm.name] = vm
    ordered = tuple(shown[name] for name in sorted(shown))
    return attrs.evolve(domain, vms=ordered)


def _domain_vm(
    vm: vm_list.Vm, before: domain_module.DomainVm | None
) -> domain_module.DomainVm:
    known = before or domain_module.DomainVm(vm.name, vm.address)
    return attrs.evolve(
        known,
        address=vm.address,
        accelerators=vm.accelerators,
        leaving=vm.state == vm_list.VmState.LEAVING,
    )
