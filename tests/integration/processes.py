"""Child processes on the loopback interface: start, pause, resume, kill.

Only for tests. Signals are sent by process id, and only to processes that this
module started; no process is ended by name.
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
    """A child process that writes its output to its own log file."""

    def __init__(self, name: str, arguments: list[str], directory: str) -> None:
        """Start `python -m ...` with the arguments."""
        self.name = name
        self.log = pathlib.Path(directory) / f'{name}.log'
        with self.log.open('ab') as output:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        return self._process.poll()

    @property
    def handles_signals(self) -> bool:
        """Return whether the process has got as far as its own code."""
        if not self.is_running:
            return False
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        caught = int(status.partition('SigCgt:')[2].split()[0], 16)
        return bool(caught >> signal.SIGTERM - 1 & 1)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP)."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process (SIGCONT)."""
        os.kill(self._process.pid, signal.SIGCONT)

    def send_signal(self, number: int) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and reap it."""
        if self.is_running:
            self._process.kill()
        self._process.wait()

    def stop(self) -> None:
        """Request graceful termination (SIGTERM) without waiting."""
        if self.is_running:
            self._process.terminate()

    async def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the process to exit and return its exit status."""
        with anyio.fail_after(timeout_s):
            while self.is_running:
                await anyio.sleep(0.02)
        return self._process.returncode

    def read_log(self) -> str:
        """Return the contents of the log."""
        return self.log.read_text(errors='replace')


class Processes:
    """The child processes of one test, with a common directory."""

    def __init__(self, directory: str) -> None:
        """Keep settings and logs in directory."""
        self.directory = directory
        self.children: dict[str, Child] = {}

    def start(self, name: str, *arguments: str) -> Child:
        """Start a child; the name of an exited child may be reused."""
        child = Child(name, list(arguments), self.directory)
        self.children[name] = child
        return child

    def write_yaml(self, name: str, content: object) -> str:
        """Write a YAML file and return its path."""
        path = pathlib.Path(self.directory) / f'{name}.yaml'
        path.write_text(yaml.safe_dump(content))
        return str(path)

    def kill_all(self) -> None:
        """Kill all children that are still running."""
        for child in self.children.values():
            if child.is_running:
                child.resume()
                child.kill()


@contextlib.contextmanager
def make_processes() -> collections_abc.Iterator[Processes]:
    """Yield an empty set of children; kill them when the block ends."""
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(directory)
        try:
            yield processes
        finally:
            processes.kill_all()


async def wait_responding(
    client: httpx.AsyncClient, url: str, timeout_s: float = READY_TIMEOUT_S
) -> httpx.Response:
    """Poll url and return the first response with a status below 500."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with contextlib.suppress(httpx.HTTPError):
            response = await client.get(url, timeout=2.0)
            if response.status_code < 500:
                return response
        await anyio.sleep(0.05)
    raise TimeoutError(f'{url} did not respond')
