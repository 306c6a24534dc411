"""Real processes on the loopback: started, paused and killed by id.

Only for tests. A child is always one that this module started; nothing is
ever ended by name.
"""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections import abc as collections_abc

import anyio
import httpx
import yaml

READY_TIMEOUT_S = 30.0
END_TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).parents[2]


class Child:
    """One child process; its output goes into a file of its own."""

    def __init__(self, name: str, arguments: list[str], folder: str) -> None:
        """Start `python -m ...` with the arguments."""
        self.name = name
        self.log = pathlib.Path(folder) / f'{name}.log'
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
            )

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, None while it runs."""
        return self._process.poll()

    def pause(self) -> None:
        """Stop it in its tracks (SIGSTOP)."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on (SIGCONT)."""
        os.kill(self._process.pid, signal.SIGCONT)

    def kill(self) -> None:
        """Kill it without warning (SIGKILL)."""
        if self.running:
            self._process.kill()
        self._process.wait()

    def stop(self) -> None:
        """Ask it to end gracefully (SIGTERM) without waiting."""
        if self.running:
            self._process.terminate()

    async def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Return the exit status once it has ended."""
        with anyio.fail_after(timeout_s):
            while self.running:
                await anyio.sleep(0.02)
        return self._process.returncode

    def text(self) -> str:
        """Return everything it wrote."""
        return self.log.read_text(errors='replace')


class Processes:
    """All children of one test, in one folder."""

    def __init__(self, folder: str) -> None:
        """Keep settings and logs in folder."""
        self.folder = folder
        self.children: dict[str, Child] = {}

    def start(self, name: str, *arguments: str) -> Child:
        """Start a child; a name that ended may be started again."""
        child = Child(name, list(arguments), self.folder)
        self.children[name] = child
        return child

    def write_yaml(self, name: str, content: object) -> str:
        """Write a YAML file and return its path."""
        path = pathlib.Path(self.folder) / f'{name}.yaml'
        path.write_text(yaml.safe_dump(content))
        return str(path)

    def kill_all(self) -> None:
        """End every child that still runs."""
        for child in self.children.values():
            if child.running:
                child.resume()
                child.kill()


@contextlib.contextmanager
def make_processes() -> collections_abc.Iterator[Processes]:
    """Give an empty set of children; all end with the block."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder)
        try:
            yield processes
        finally:
            processes.kill_all()


async def wait_answering(
    client: httpx.AsyncClient, url: str, timeout_s: float = READY_TIMEOUT_S
) -> httpx.Response:
    """Return the first answer below 500 from url."""
    ends_at_s = time.monotonic() + timeout_s
    while time.monotonic() < ends_at_s:
        with contextlib.suppress(httpx.HTTPError):
            answer = await client.get(url, timeout=2.0)
            if answer.status_code < 500:
                return answer
        await anyio.sleep(0.05)
    raise TimeoutError(f'{url} does not answer')
