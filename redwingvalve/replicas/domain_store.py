"""Reads and writes domain objects, and resolves writes with lost answers.

Load pattern: a few writes a minute for each domain, of which some take effect
although their answer is lost. Without the writer id and write number, a
controller that repeats such a write would take its own first write for that of
another controller, or send orders for a state that was never stored.
"""

import attrs
from expression import Error, Ok, Result

from redwingvalve.core import invariants
from redwingvalve.platform_api import object_api
from redwingvalve.replicas import domain as domain_module

CONDITIONAL_WRITE = invariants.Safeguard.DOMAIN_CONDITIONAL_WRITE


@attrs.frozen
class StoredDomain:
    """A domain and its version in the store."""

    domain: domain_module.FabricDomain
    version: str


DomainResult = Result[StoredDomain, object_api.ObjectError]


class DomainStore:
    """The domain objects as seen by one writer.

    The writer id is unique to a process incarnation. Two processes with the
    same id could take each other's writes for their own.
    """

    def __init__(
        self,
        objects: object_api.ObjectApi,
        writer: str,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Read and write through objects, with writer as the writer id."""
        self._objects = objects
        self._writer = writer
        self._switches = switches
        self._write_number = 0
        self._latest: dict[str, StoredDomain] = {}

    async def read(self, name: str) -> DomainResult:
        """Read one domain, and check it against the latest state seen."""
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
        """Write domain if the object has not changed since it was read.

        An error with maybe_applied means that the check by reading failed too.
        The caller must then read the domain again before anything else.
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
        # Without the condition a writer that was paused would overwrite what
        # others have written meanwhile, and VMs would be assigned to two
        # replicas. The store compares versions, so the later of two concurrent
        # writers always gets a conflict.
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
        # A lost answer does not mean that the write failed: the stored writer
        # id and write number show which write took effect. A write still in
        # flight either fails on a changed version, or is applied later and
        # then makes the next conditional write fail.
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
                domain_module.KIND,
                written.name,
                'the write did not take effect',
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
