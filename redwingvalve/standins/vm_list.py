"""A fake list of the platform's VMs, with a configurable lag."""

import time
import typing

from redwingvalve.standins import asgi

VmRow = dict[str, typing.Any]
VmRows = list[VmRow]


class LaggingVmList:
    """All lists that were set, each with the time it was set."""

    def __init__(self, lag_s: float = 1.0) -> None:
        """Show changes after lag_s; the first list is visible at once."""
        self.lag_s = lag_s
        self._lists: list[tuple[float, VmRows]] = []

    def set(self, vms: list[VmRow]) -> None:
        """Replace the current list."""
        since_s = time.monotonic()
        if not self._lists:
            since_s -= self.lag_s
        self._lists.append((since_s, [dict(vm) for vm in vms]))

    def current_rows(self) -> list[VmRow]:
        """Return the current list, without the lag."""
        return [dict(vm) for vm in self._lists[-1][1]] if self._lists else []

    def remove(self, name: str) -> None:
        """Remove a VM from the current list."""
        self.set([vm for vm in self.current_rows() if vm['name'] != name])

    def set_state(self, name: str, state: str) -> None:
        """Set the state of a VM, such as leaving, in the current list."""
        self.set(
            [
                {**vm, 'state': state} if vm['name'] == name else vm
                for vm in self.current_rows()
            ]
        )

    def visible(self) -> list[VmRow]:
        """Return the newest list that is at least lag_s old."""
        shown_until_s = time.monotonic() - self.lag_s
        visible: list[VmRow] = []
        for since_s, vms in self._lists:
            if since_s <= shown_until_s:
                visible = vms
        return visible

    async def handle(self, exchange: asgi.Exchange) -> None:
        """Handle GET /vms; PUT /vms replaces the current list, for tests."""
        if exchange.path == '/faults':
            if exchange.method == 'POST':
                fault = await exchange.json_body()
                self.lag_s = float(fault['lag_s'])
            await exchange.respond(200, {})
            return
        if exchange.path != '/vms':
            await exchange.respond(404, {'error': {'code': 'not-found'}})
            return
        if exchange.method == 'PUT':
            self.set((await exchange.json_body())['vms'])
        await exchange.respond(200, {'vms': self.visible()})


def make_vm_list(
    vms: list[VmRow] | None = None, lag_s: float = 1.0
) -> tuple[typing.Any, LaggingVmList]:
    """Return the ASGI app and its state."""
    listed = LaggingVmList(lag_s)
    listed.set(vms or [])
    return asgi.make_asgi_app(listed.handle), listed


def make_vm_row(
    name: str,
    address: str,
    data_centre: str,
    fabric_domain: str,
    region: str = '',
) -> VmRow:
    """Return a row for a live VM with one accelerator."""
    return {
        'name': name,
        'address': address,
        'data_centre': data_centre,
        'fabric_domain': fabric_domain,
        'region': region,
        'accelerators': 1,
        'state': 'live',
    }
