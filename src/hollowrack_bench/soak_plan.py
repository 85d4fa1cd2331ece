"""Plan of a soak: duration, seed, faults and number of nodes, with their limits."""

import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack_bench.soak_faults import SoakFault

NUM_EDGES = 4
NUM_FAULT_LOOPS = 2
MAX_FAULT_LOOPS = 20
# Each process uses about 60 MB of memory.
MAX_EDGES = 120


@dataclass(frozen=True)
class SoakPlan:
    """Parameters of a soak.

    Attributes:
        duration_s: Time during which new steps are started, in seconds.
        seed: Seed of the faults.
        faults: Kinds of faults that are injected.
        num_edges: Number of edge processes.
        num_fault_loops: Number of faults that are injected independently at the same time.
        earlier_source: Source folder of an earlier version, which each node runs until its first
            restart; ``None`` for this version.
        folder: Parent of the folders in which each run keeps its logs; ``None`` for a temporary
            folder.
        limits_cold_workers: Whether the settings of the nodes bound the requests to cold workers;
            false only to show that the check finds what the bound prevents.
        silences_lookup_links: Whether the links between the regions discard all bytes to and from
            the workers of plain requests during all steps, instead of the faults of these links.
            Links to engines still work, so that steps are completed.
        first_faults: Kinds that are injected first, one after the other, before any is drawn.
    """

    duration_s: float
    seed: int
    faults: Sequence[SoakFault] = tuple(SoakFault)
    num_edges: int = NUM_EDGES
    folder: Path | None = None
    num_fault_loops: int = NUM_FAULT_LOOPS
    earlier_source: Path | None = None
    limits_cold_workers: bool = True
    first_faults: Sequence[SoakFault] = ()
    silences_lookup_links: bool = False

    @property
    def has_only_region_link_faults(self) -> bool:
        """Whether all workers work, so that each region can answer its own plain requests."""
        return set(self.faults) == {SoakFault.REGION_LINK}

    def new_log_folder(self) -> Path | None:
        """Create a folder for the logs of one run; its name is unique."""
        if self.folder is None:
            return None
        self.folder.mkdir(parents=True, exist_ok=True)
        started = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        return Path(tempfile.mkdtemp(prefix=f"seed-{self.seed}-{started}-", dir=self.folder))

    def check(self) -> None:
        """Check that all parameters are within their limits.

        Raises:
            ProblemError: ``USAGE``, with the command line option as place.
        """
        if not 1 <= self.num_edges <= MAX_EDGES:
            detail = f"{self.num_edges} processes; 1 to {MAX_EDGES} are allowed"
            raise ProblemError(Problem(ResultCode.USAGE, detail, "--nodes"))
        if not 1 <= self.num_fault_loops <= MAX_FAULT_LOOPS:
            detail = f"{self.num_fault_loops} faults at a time; 1 to {MAX_FAULT_LOOPS} are allowed"
            raise ProblemError(Problem(ResultCode.USAGE, detail, "--overlap"))
        if not self.faults:
            known = ", ".join(fault.value for fault in SoakFault)
            raise ProblemError(
                Problem(ResultCode.USAGE, f"no fault given; known faults are {known}", "--faults")
            )
        if self.duration_s < 0 or self.seed < 0:
            detail = "the duration and the seed must not be negative"
            raise ProblemError(Problem(ResultCode.USAGE, detail, "--seconds, --seed"))
