"""Polls the store and the entries during a run."""

import contextlib
import time

import anyio
import attrs
import httpx

from redwingvalve.plans import objects
from redwingvalve.replicas import codec
from redwingvalve.replicas import domain as domain_module
from redwingvalve.soak import breaches, daemons, operators, platform

INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 1.0
OK_STATUS = 200
NEWEST_TRIED = 3


@attrs.define
class Generation:
    """One confirmation seen in the store; times are wall-clock seconds."""

    number: int
    credential: str
    seen_s: float
    in_force_s: float = 0.0


@attrs.define
class Observer:
    """Detects VMs in two replicas and configuration that reverts."""

    platform: platform.Platform
    daemons: daemons.Daemons
    journal: breaches.Journal
    found: list[breaches.Breach] = attrs.field(factory=list)
    generations: list[Generation] = attrs.field(factory=list)
    versions: set[tuple[str, str]] = attrs.field(factory=set)
    capacity_samples: list[tuple[float, int, int]] = attrs.field(factory=list)
    _accepted: dict[str, int] = attrs.field(factory=dict)
    _reported: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._check_store()
            self._sample()
            await self._probe_entries()
            await anyio.sleep(INTERVAL_S)

    def _sample(self) -> None:
        heads = len(self.platform.serving_heads())
        self.capacity_samples.append(
            (time.time(), heads, self.platform.stranded())
        )

    def _check_store(self) -> None:
        store = self.platform.store.store
        domains = map(
            domain_module.from_stored,
            store.list_now(domain_module.KIND).objects,
        )
        replicas = [each for domain in domains for each in domain.replicas]
        self.versions.update((each.model, each.version) for each in replicas)
        self._check_members(replicas)
        self._check_generation()

    def _check_members(
        self, replicas: list[domain_module.DomainReplica]
    ) -> None:
        holders: dict[str, str] = {}
        for replica in replicas:
            for member in replica.members:
                other = holders.setdefault(member, replica.name)
                if other != replica.name:
                    self._breach(
                        breaches.Guarantee.VM_IN_ONE,
                        member,
                        f'it is in {other} and {replica.name}',
                    )

    def _check_generation(self) -> None:
        store = self.platform.store.store
        named = {
            stored.name: stored
            for stored in store.list_now(objects.DECLARATIONS).objects
        }
        if objects.CURRENT not in named:
            return
        current = codec.from_body(
            named[objects.CURRENT].body, objects.Confirmation
        )
        if self.generations and (
            current.generation <= self.generations[-1].number
        ):
            return
        self.generations.append(
            Generation(current.generation, self._credential(), time.time())
        )
        self.journal.note(f'generation {current.generation} is confirmed')

    def _credential(self) -> str:
        """Return the digest of the probe credential in the confirmed plan."""
        store = self.platform.store.store
        current = next(
            stored
            for stored in store.list_now(objects.DECLARATIONS).objects
            if stored.name == objects.CURRENT
        )
        plan_name = codec.from_body(current.body, objects.Confirmation).plan
        plan = next(
            stored
            for stored in store.list_now(objects.PLANS).objects
            if stored.name == plan_name
        )
        accounts = plan.body['declaration']['client_accounts']
        return next(
            account['credential_sha256']
            for account in accounts
            if account['name'] == operators.PROBE_ACCOUNT
        )

    async def _probe_entries(self) -> None:
        now_s = time.time()
        answers: list[int | None] = []
        for daemon in self.daemons.role(daemons.ENTRY):
            index = await self._accepted_by(daemon.address)
            disturbed = self.daemons.disturbed(daemon.address, now_s)
            if not disturbed and not daemon.stopping:
                answers.append(index)
            if index is not None:
                self._note_accepted(daemon.name, index)
        known = [index for index in answers if index is not None]
        if answers and len(known) == len(answers):
            self._note_in_force(min(known))

    def _note_accepted(self, name: str, index: int) -> None:
        before = self._accepted.get(name, 0)
        if index < before:
            self._breach(
                breaches.Guarantee.CONFIGURATION,
                name,
                f'reverted from generation {self.generations[before]} '
                f'to {self.generations[index]}',
            )
        self._accepted[name] = max(before, index)

    def _note_in_force(self, lowest: int) -> None:
        for generation in self.generations[: lowest + 1]:
            if not generation.in_force_s:
                generation.in_force_s = time.time()

    async def _accepted_by(self, address: str) -> int | None:
        """Return the newest generation whose credential an entry accepts."""
        newest = len(self.generations) - 1
        for index in range(newest, max(-1, newest - NEWEST_TRIED), -1):
            if await self._accepts_credential(address, self.generations[index]):
                return index
        return None

    async def _accepts_credential(
        self, address: str, generation: Generation
    ) -> bool:
        credential = credential_of(generation.credential)
        with contextlib.suppress(httpx.HTTPError):
            answer = await self.platform.client.get(
                f'http://{address}/v1/models',
                headers={'authorization': f'Bearer {credential}'},
                timeout=PROBE_TIMEOUT_S,
            )
            return answer.status_code == OK_STATUS
        return False

    def _breach(
        self, guarantee: breaches.Guarantee, subject: str, details: str
    ) -> None:
        if details in self._reported:
            return
        self._reported.add(details)
        self.found.append(
            breaches.Breach(guarantee, subject, details, time.time())
        )


def credential_of(digest: str) -> str:
    """Return the probe credential with a digest; empty when unknown."""
    return next(
        (
            spec.probe_credential
            for spec in map(operators.DeclarationSpec, range(1, 400))
            if operators.digest_of(spec.probe_credential) == digest
        ),
        '',
    )
