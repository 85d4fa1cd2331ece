"""Entry point of a process with the role ``edge`` or ``storage``."""

import os
import signal
import sys

EDGE_ROLE = "edge"
STORAGE_ROLE = "storage"
USAGE_EXIT_STATUS = 25
LOG_DRAIN_TIMEOUT_S = 0.5


def main(arguments: list[str]) -> int:
    """Run the role given as the only argument; returns the exit status."""
    # The settings are read below. Until its handler is installed, the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Lazy imports per role: memory and CPU time at start-up are billed.
    if arguments == [STORAGE_ROLE]:
        from hollowrack.platform.storage_process import serve_storage  # noqa: PLC0415

        serve_storage()
        return 0
    if arguments == [EDGE_ROLE]:
        return _run_edge()
    sys.stderr.write("usage: run.py edge|storage\n")
    return USAGE_EXIT_STATUS


def _run_edge() -> int:
    # aiohttp creates TLS contexts when it is imported, and each loads the certificates of the
    # system: 1.9 MB and 0.06 s. The platform is addressed over plain HTTP only.
    os.environ["SSL_CERT_FILE"] = os.devnull
    from returns.result import Failure  # noqa: PLC0415

    from hollowrack.observability.logs import setup_logging, use_bounded_handler  # noqa: PLC0415
    from hollowrack.platform.edge_process import serve_edge  # noqa: PLC0415
    from hollowrack.platform.settings import read_process_settings  # noqa: PLC0415
    from hollowrack.results import ProblemError, exit_status  # noqa: PLC0415
    from hollowrack.settings.sections import Logging  # noqa: PLC0415
    from hollowrack.suspension import run_on_boot_time  # noqa: PLC0415

    settings = read_process_settings()
    if isinstance(settings, Failure):
        sys.stderr.write(f"{settings.failure()}\n")
        return exit_status(settings.failure().code)
    process_settings = settings.unwrap()
    setup_logging(Logging(), process_settings.node_name, process_settings.zone)
    log_handler = use_bounded_handler()
    try:
        run_on_boot_time(serve_edge(process_settings))
    except ProblemError as error:
        sys.stderr.write(f"{error.problem}\n")
        return exit_status(error.problem.code)
    finally:
        log_handler.drain(LOG_DRAIN_TIMEOUT_S)
    return 0
