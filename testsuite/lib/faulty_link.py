"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import socket
import struct

import processes


def reset_connection(writer):
    """Closes with a reset. Without it `abort` may send a plain end, which ends a response without framing."""
    if not writer.transport.is_closing():
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class FaultyLink:
    """Forwards connections to a target port. `mode` is one of MODES and applies to open and new connections."""

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
        lost = False
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                if self.mode == "silent" or (self.mode == "one_way" and not forward):
                    lost = True  # Dropped, as by a router that has lost the connection's state.
                if lost:
                    continue  # TCP delivers nothing after a gap, not even the end of the connection.
                writer.write(data)
                await writer.drain()
            if not lost:
                writer.close()
        except (ConnectionError, asyncio.CancelledError):
            reset_connection(writer)

    def reset(self):
        """Resets all open connections."""
        async def abort():
            for it in list(self.writers):
                reset_connection(it)

        self.platform.run(abort())


class CutLink(FaultyLink):
    """A link that can be partitioned as a network does it: packets vanish, or connections are reset and refused."""

    WAYS = ("hang", "reset", "live")  # "live": open connections go on, new ones are refused.

    is_cut = False

    async def start(self):
        self.blockers = []
        await super().start()

    def block_port(self):
        """Listens without accepting. Once its queue is full, the kernel drops the packets of new connections."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((processes.LOOPBACK, self.port))
        listener.listen(0)
        self.blockers = [listener]
        for _ in range(2):
            it = socket.socket()
            it.setblocking(False)
            it.connect_ex((processes.LOOPBACK, self.port))
            self.blockers.append(it)

    def cut(self, way):
        """Must run on the platform's event loop."""
        self.is_cut = True
        self.server.close()
        if way == "hang":
            self.mode = "silent"
            self.block_port()
        elif way == "reset":
            for it in list(self.writers):
                reset_connection(it)

    async def heal(self):
        for it in self.blockers:
            it.close()
        self.blockers = []
        if self.mode == "silent":
            for it in list(self.writers):
                reset_connection(it)  # Their bytes of meanwhile are lost.
        self.mode = "pass"
        self.is_cut = False
        await super().start()
