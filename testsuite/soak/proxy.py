"""Loopback proxy between the programs and the stand-in of the store. Delays
connections, resets them, or drops the bytes of one or both directions."""

import asyncio

CHUNK_BYTES = 65536
LINK_FAULTS = ("delay", "reset", "one_way", "silent")


class Link:
    """A connection through the proxy."""

    def __init__(self, client_writer, server_writer):
        self.client_writer, self.server_writer = client_writer, server_writer
        # Drops the server's bytes, or the bytes of both directions, until the
        # connection ends.
        self.one_way = self.blackholed = False
        self.delay = 0.0

    def reset(self):
        """Closes both sides at once; bytes not yet sent are lost."""
        self.client_writer.transport.abort()
        self.server_writer.transport.abort()


class Proxy:
    """Forwards connections to `target`. A fault affects only connections that
    are open when it is injected."""

    def __init__(self, target):
        self.target = target
        self.links = set()

    async def listen(self, host, port):
        """Starts to accept connections."""
        return await asyncio.start_server(self._serve, host, port)

    async def inject_fault(self, fault, seconds, is_chosen):
        """Injects a fault into the open links for which `is_chosen()` is true.
        A delay ends after `seconds`, the other faults with the connection."""
        links = [link for link in list(self.links) if is_chosen()]
        for link in links:
            if fault == "reset":
                link.reset()
            link.one_way |= fault == "one_way"
            link.blackholed |= fault == "silent"
            link.delay = 0.3 if fault == "delay" else 0.0
        if fault == "delay":
            await asyncio.sleep(seconds)
            for link in links:
                link.delay = 0.0

    async def _serve(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        link = Link(writer, server_writer)
        self.links.add(link)
        pumps = [
            asyncio.ensure_future(self._pump(link, reader, server_writer, 0)),
            asyncio.ensure_future(self._pump(link, server_reader, writer, 1))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The event loop is closing at the end of the run.
            pass
        finally:
            self.links.discard(link)
            for pump in pumps:
                pump.cancel()
            writer.close()
            server_writer.close()

    @staticmethod
    async def _pump(link, reader, writer, is_answer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if link.delay:
                    await asyncio.sleep(link.delay)
                if link.blackholed or (is_answer and link.one_way):
                    continue
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            # The connection has ended; `_serve` closes both sides.
            pass
