"""Guards against processes that are ended by signals while they load their code."""

import signal

from hollowrack.platform.program import USAGE_EXIT_STATUS, main


def test_change_of_settings_while_loading_does_not_end_the_process() -> None:
    """The default action of the signal ended a process that had not installed its handler."""
    former = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        assert main([]) == USAGE_EXIT_STATUS
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, former)
