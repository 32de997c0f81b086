"""Settings of the C library's allocator, so that large buffers leave no gaps behind in the heap.

By default glibc raises the size from which a buffer gets a mapping of its own as soon as one is freed; from
then on bodies of some hundred kilobytes are cut out of the heap, which hardly ever shrinks. Other C libraries
are left as they are.
"""

from __future__ import annotations

import ctypes

# Numbers of mallopt(3).
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
MAPPED_BYTES = 64 * 1024  # from this size on a buffer is given back to the system as soon as it is freed
TRIM_BYTES = 256 * 1024  # free at the heap's end, from which it is given back

_library = ctypes.CDLL(None)


def configure_heap() -> bool:
    """Fix the allocator's thresholds; whether this C library has them."""
    try:
        mallopt = _library.mallopt
    except AttributeError:
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)) and bool(mallopt(M_TRIM_THRESHOLD, TRIM_BYTES))


def trim_heap() -> bool:
    """Give free pages inside the heap back to the system; whether there were any."""
    try:
        return bool(_library.malloc_trim(0))
    except AttributeError:
        return False
