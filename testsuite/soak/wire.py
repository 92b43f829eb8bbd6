"""Wire format of the segments that callers and upstreams of passthrough flows
exchange."""

import socket
import struct

HEADER = struct.Struct(">IIHHBBIIHII")
OPEN, ACK, FINISH, RESET, BOUNCED = 64, 1, 32, 2, 8


def ip_to_int(host):
    """Returns a dotted IPv4 address as an integer."""
    return struct.unpack(">I", socket.inet_aton(host))[0]


def int_to_ip(host):
    """Returns the dotted form of an IPv4 address given as an integer."""
    return socket.inet_ntoa(struct.pack(">I", host))


class Segment:
    """A segment; `source` and `target` are pairs of host and port."""

    def __init__(self, source, target, flags, seq=0, ack=0, data=b"",
                 checksum=1):
        self.source, self.target, self.flags = source, target, flags
        self.seq, self.ack, self.data = seq, ack, data
        self.checksum = checksum

    def pack(self):
        """Returns the segment as a datagram."""
        return HEADER.pack(
            ip_to_int(self.source[0]), ip_to_int(self.target[0]),
            self.target[1], self.source[1], self.flags, 0, self.seq, self.ack,
            len(self.data), 0, self.checksum) + self.data

    @staticmethod
    def unpack(datagram):
        """Parses a datagram; returns None if it is not a valid segment."""
        if len(datagram) < HEADER.size:
            return None
        (src, dst, dport, sport, flags, _, seq, ack, size, _,
         checksum) = HEADER.unpack(datagram[:HEADER.size])
        data = datagram[HEADER.size:]
        if len(data) != size:
            return None
        return Segment((int_to_ip(src), sport), (int_to_ip(dst), dport), flags,
                       seq, ack, data, checksum)
