"""Tests of datagrams between VMs."""

from __future__ import annotations

import asyncio

from berylstage_entry.membership import Member
from berylstage_entry.peer_datagrams import PeerDatagrams

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.1.1")


class Members:
    """Three VMs of two data centres."""

    def members(self):
        return [Member(f"vm-{h}", f"{h}:1", f"dc-{h[5]}", 1.0) for h in HOSTS]


class Transport:
    """Notes what is sent to which host."""

    def __init__(self):
        self.sent = []
        self.closed = False

    def sendto(self, data, address):
        self.sent.append((data, address))

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed


def datagrams():
    each = PeerDatagrams(Members(), HOSTS[0], 7)
    each._transport = Transport()
    return each, each._transport.sent


class TestDatagrams:
    def test_all_other_vms_are_told(self):
        each, sent = datagrams()
        each.send(b"x")
        assert sorted(sent) == [(b"x", (host, 7)) for host in HOSTS[1:]]

    def test_vms_of_this_data_centre_can_be_told_alone(self):
        each, sent = datagrams()
        each.send(b"x", near=True)
        assert sent == [(b"x", (HOSTS[1], 7))]

    def test_reader_is_told_who_has_sent(self):
        each, _ = datagrams()
        read = []
        each.takers[18] = lambda data, host: read.append((data, host))
        each.datagram_received(b"\x12abc", ("10.0.0.2", 7))
        assert read == [(b"\x12abc", "10.0.0.2")]

    def test_unknown_datagram_is_passed_over(self):
        each, _ = datagrams()
        each.datagram_received(b"", ("10.0.0.2", 7))
        each.datagram_received(b"\x99", ("10.0.0.2", 7))

    def test_closed_socket_sends_nothing_and_fails_nobody(self):
        # The last requests of a VM that stops give their turns back when the socket is
        # closed already. Each of them met a fault of the program for it.
        each, sent = datagrams()
        each.close()
        each.send_to("10.0.0.2", b"x")
        assert sent == []

    def test_what_comes_before_the_socket_is_open_is_left_out(self):
        PeerDatagrams(Members(), HOSTS[0], 7).send(b"x")

    def test_reaches_another_vm(self):
        async def play():
            one, other = PeerDatagrams(Members(), "127.0.0.1", 0), []
            each = PeerDatagrams(Members(), "127.0.0.1", 0)
            each.takers[1] = lambda data, host: other.append(data)
            one.start()
            each.start()
            await asyncio.sleep(0.05)
            port = each._transport.get_extra_info("sockname")[1]
            one._transport.sendto(b"\x01abc", ("127.0.0.1", port))
            await asyncio.sleep(0.05)
            one.close()
            each.close()
            return other

        assert asyncio.run(play()) == [b"\x01abc"]
