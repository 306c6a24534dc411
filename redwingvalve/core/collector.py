"""Pauses the garbage collector while large documents are read.

Load pattern: a megabyte of JSON makes some hundred thousand lists. Collections
that run meanwhile go through them again and again, though none is garbage yet,
and take longer than the reading itself.
"""

import contextlib
import gc
from collections import abc as collections_abc


@contextlib.contextmanager
def paused() -> collections_abc.Iterator[None]:
    """Collect nothing until the context ends; for the event loop's thread."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
