"""A loopback proxy that harms the connections that go through it."""

import asyncio

import processes


class FaultyLink:
    """Passes a port's connections on to another port. `mode` is one of MODES, for old and new ones."""

    MODES = ("pass", "delay", "silent", "one_way", "refuse")

    def __init__(self, platform, target):
        self.target = target
        self.mode = "pass"
        self.port = processes.free_port()
        self.writers = set()
        self.platform = platform
        platform.run(self.start())

    async def start(self):
        self.server = await asyncio.start_server(self.handle_connection, processes.LOOPBACK, self.port)

    async def handle_connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(processes.LOOPBACK, self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer, True), self.pump(target_reader, writer, False))
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer, forward):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                if self.mode == "silent" or (self.mode == "one_way" and not forward):
                    continue  # Lost, as behind a router that has forgotten the connection.
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()

    def reset(self):
        """Resets all connections of this moment."""
        async def abort():
            for it in list(self.writers):
                it.transport.abort()

        self.platform.run(abort())
