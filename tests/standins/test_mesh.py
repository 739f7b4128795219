import socket

from gentianthread.standins.mesh import (
    RESERVATION_HOST_NUMBER,
    RESERVATION_PORT,
    private_network,
)

from ..base import TestCase


class TestPrivateNetwork(TestCase):
    # Guards against "address already in use" in one of two fleets of different processes.
    def test_network_that_another_process_has_reserved_is_not_used(self):
        """Guards against two processes whose fleets get the same addresses."""
        prefix, number = private_network().rsplit(".", 1)
        next_network = f"{prefix}.{(int(number) + 1) % 256}"
        with socket.socket() as other:
            other.bind((f"{next_network}.{RESERVATION_HOST_NUMBER}", RESERVATION_PORT))
            self.assertNotEqual(next_network, private_network())

    def test_each_call_reserves_another_network(self):
        """Guards against a fleet at the addresses of one that was not stopped."""
        self.assertEqual(5, len({private_network() for _ in range(5)}))
