"""Tests of datagrams between VMs."""

from __future__ import annotations

import asyncio

from berylstage_entry.membership import Member
from berylstage_entry.peer_datagrams import PeerDatagrams

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.1.1")


class FakeMembership:
    """Three VMs of two data centres."""

    def members(self):
        return [Member(f"vm-{h}", f"{h}:1", f"dc-{h[5]}", 1.0) for h in HOSTS]


class FakeTransport:
    """Records what is sent to which host."""

    def __init__(self):
        self.sent = []
        self.closed = False

    def sendto(self, data, address):
        self.sent.append((data, address))

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed


def make_datagrams():
    datagrams = PeerDatagrams(FakeMembership(), HOSTS[0], 7)
    datagrams._transport = FakeTransport()
    return datagrams, datagrams._transport.sent


class TestDatagrams:
    def test_datagram_is_sent_to_all_other_vms(self):
        datagrams, sent = make_datagrams()
        datagrams.send(b"x")
        assert sorted(sent) == [(b"x", (host, 7)) for host in HOSTS[1:]]

    def test_datagram_can_be_sent_within_the_data_centre_only(self):
        datagrams, sent = make_datagrams()
        datagrams.send(b"x", same_data_centre=True)
        assert sent == [(b"x", (HOSTS[1], 7))]

    def test_handler_gets_the_address_of_the_sender(self):
        datagrams, _ = make_datagrams()
        calls = []
        datagrams.handlers[18] = lambda data, host: calls.append((data, host))
        datagrams.datagram_received(b"\x12abc", ("10.0.0.2", 7))
        assert calls == [(b"\x12abc", "10.0.0.2")]

    def test_unknown_datagram_is_ignored(self):
        datagrams, _ = make_datagrams()
        datagrams.datagram_received(b"", ("10.0.0.2", 7))
        datagrams.datagram_received(b"\x99", ("10.0.0.2", 7))

    def test_send_on_a_closed_socket_does_nothing(self):
        # The last requests of a stopping VM release their permits after the socket is
        # closed. Guards against an exception in each of them.
        datagrams, sent = make_datagrams()
        datagrams.close()
        datagrams.send_to("10.0.0.2", b"x")
        assert sent == []

    def test_send_before_the_socket_is_open_does_nothing(self):
        PeerDatagrams(FakeMembership(), HOSTS[0], 7).send(b"x")

    def test_datagram_reaches_another_vm(self):
        async def scenario():
            sender, received = PeerDatagrams(FakeMembership(), "127.0.0.1", 0), []
            datagrams = PeerDatagrams(FakeMembership(), "127.0.0.1", 0)
            datagrams.handlers[1] = lambda data, host: received.append(data)
            sender.start()
            datagrams.start()
            await asyncio.sleep(0.05)
            port = datagrams._transport.get_extra_info("sockname")[1]
            sender._transport.sendto(b"\x01abc", ("127.0.0.1", port))
            await asyncio.sleep(0.05)
            sender.close()
            datagrams.close()
            return received

        assert asyncio.run(scenario()) == [b"\x01abc"]
