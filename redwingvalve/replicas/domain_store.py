"""Reads and writes a domain object, and settles writes with lost answers.

Load pattern: a few writes a minute for each domain; answers get lost after
the write took effect. Without the writer id and write number, a controller
that repeats such a write takes its own first write for a rival's, or orders
endpoints by a state that was never agreed on.
"""

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import invariants
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import domain as domain_module

CONDITIONAL_WRITE = invariants.Safeguard.DOMAIN_CONDITIONAL_WRITE


@attrs.frozen
class StoredDomain:
    """A domain and the version of the store that it was read at."""

    domain: domain_module.FabricDomain
    version: str


DomainResult = Result[StoredDomain, object_api.ObjectError]


class DomainStore:
    """The domain objects as one writer sees them.

    writer is unique to a process's incarnation; two processes with one writer
    id could take each other's writes for their own.
    """

    def __init__(
        self,
        objects: object_api.ObjectApi,
        writer: str,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Write under the name writer."""
        self._objects = objects
        self._writer = writer
        self._switches = switches
        self._write_number = 0
        self._latest: dict[str, StoredDomain] = {}

    async def read(self, name: str) -> DomainResult:
        """Read one domain; the newest state seen never goes back."""
        answer = await self._objects.get(domain_module.KIND, name)
        if answer.is_error():
            return Error(answer.error)
        return Ok(self._remember(answer.ok))

    async def create(self, domain: domain_module.FabricDomain) -> DomainResult:
        """Create a domain object; Conflict when it exists."""
        stamped = self._stamp(domain)
        answer = await self._objects.create(
            domain_module.KIND, domain.name, domain_module.to_body(stamped)
        )
        if answer.is_error():
            return await self._resolve_lost_answer(stamped, answer.error)
        return Ok(self._remember(answer.ok))

    async def write(
        self, read: StoredDomain, domain: domain_module.FabricDomain
    ) -> DomainResult:
        """Write domain if the object is still as it was read.

        An error with maybe_applied means that even the read-back failed; the
        caller then knows nothing and reads again before anything else.
        """
        domain_module.require_monotonic(read.domain, domain)
        stamped = self._stamp(domain)
        version = await self._expected_version(read)
        answer = await self._objects.update(
            object_api.StoredObject(
                domain_module.KIND,
                domain.name,
                version,
                domain_module.to_body(stamped),
            )
        )
        if answer.is_error():
            return await self._resolve_lost_answer(stamped, answer.error)
        return Ok(self._remember(answer.ok))

    async def _expected_version(self, read: StoredDomain) -> str:
        # Without the condition a paused writer overwrites what others agreed
        # on meanwhile: VMs are then given to two replicas. The store compares
        # versions, so the later of two writers always loses.
        if self._switches.enabled(CONDITIONAL_WRITE):
            return read.version
        current = await self._objects.get(domain_module.KIND, read.domain.name)
        return current.ok.version if current.is_ok() else read.version

    def _stamp(
        self, domain: domain_module.FabricDomain
    ) -> domain_module.FabricDomain:
        self._write_number += 1
        return attrs.evolve(
            domain, writer=self._writer, write_number=self._write_number
        )

    async def _resolve_lost_answer(
        self,
        written: domain_module.FabricDomain,
        problem: object_api.ObjectError,
    ) -> DomainResult:
        # A lost answer is not a failed write: the object itself tells whose
        # write stands. A write that is still under way meets a changed
        # version, or lands and is found by the next conditional write.
        maybe_applied = (
            isinstance(problem, object_api.Unavailable)
            and problem.maybe_applied
        )
        if not maybe_applied:
            return Error(problem)
        answer = await self.read(written.name)
        if answer.is_error():
            return Error(problem)
        found = answer.ok.domain
        was_applied = (found.writer, found.write_number) == (
            written.writer,
            written.write_number,
        )
        if was_applied:
            return answer
        return Error(
            object_api.Conflict(
                domain_module.KIND, written.name, 'the write did not stand'
            )
        )

    def _remember(self, stored: object_api.StoredObject) -> StoredDomain:
        read = StoredDomain(domain_module.from_stored(stored), stored.version)
        before = self._latest.get(stored.name)
        if before is not None and int(read.version) >= int(before.version):
            domain_module.require_monotonic(before.domain, read.domain)
        if before is None or int(read.version) >= int(before.version):
            self._latest[stored.name] = read
        return read
