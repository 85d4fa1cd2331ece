"""The process at the other end of a connection must be found, by whichever source there is."""

import os
import socket

from hollowrack_bench.socket_inodes import inode_in_table, socket_inode


def test_inode_of_a_connected_socket_is_found() -> None:
    """Guards against nodes that a soak takes for nodes of the own region of a worker."""
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        port, peer_port = client.getsockname()[1], client.getpeername()[1]
        expected = os.fstat(client.fileno()).st_ino
        assert socket_inode(port, peer_port) == expected
        assert inode_in_table(port, peer_port) == expected


def test_inode_of_an_unknown_connection_is_none() -> None:
    """Guards against an inode of another connection of the same listener."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        assert socket_inode(port, server.getsockname()[1]) is None
