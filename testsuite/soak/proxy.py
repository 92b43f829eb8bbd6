"""Loopback proxy between the programs and the store's stand-in: connections
that are delayed, reset, cut one way or silenced for good."""

import asyncio

CHUNK = 65536
FAULTS = ("delay", "reset", "one_way", "silent")


class Link:
    """One connection through the proxy."""

    def __init__(self, near, far):
        self.near, self.far = near, far
        # Answers, or all bytes, are swallowed from now on.
        self.one_way = self.silent = False
        self.delay = 0.0

    def reset(self):
        """Drops the connection without a farewell."""
        self.near.transport.abort()
        self.far.transport.abort()


class Proxy:
    """Forwards connections; faults meet those that are open at the time."""

    def __init__(self, target):
        self.target = target
        self.links = set()

    async def listen(self, host, port):
        """Starts to forward."""
        return await asyncio.start_server(self._serve, host, port)

    async def trouble(self, how, seconds, chosen):
        """Harms the open links for which `chosen` is true."""
        links = [link for link in list(self.links) if chosen()]
        for link in links:
            if how == "reset":
                link.reset()
            link.one_way |= how == "one_way"
            link.silent |= how == "silent"
            link.delay = 0.3 if how == "delay" else 0.0
        if how == "delay":
            await asyncio.sleep(seconds)
            for link in links:
                link.delay = 0.0

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        link = Link(writer, far_writer)
        self.links.add(link)
        pumps = [asyncio.ensure_future(self._pump(link, reader, far_writer, 0)),
                 asyncio.ensure_future(self._pump(link, far_reader, writer, 1))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The run is over.
            pass
        finally:
            self.links.discard(link)
            for pump in pumps:
                pump.cancel()
            writer.close()
            far_writer.close()

    @staticmethod
    async def _pump(link, reader, writer, is_answer):
        try:
            while chunk := await reader.read(CHUNK):
                if link.delay:
                    await asyncio.sleep(link.delay)
                if link.silent or (is_answer and link.one_way):
                    continue
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            # The link ends; both sides are closed by the caller.
            pass
