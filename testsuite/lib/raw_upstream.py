"""An upstream that answers requests with raw bytes, before it has read their bodies, and ends or resets the connection."""

import socket
import struct
import threading
import time

import processes

PART = b"part of the answer"
# Framing of the head, and the bytes of the body before the reset.
FRAMINGS = {
    "none": (b"", PART),
    "none, closing": (b"Connection: close\r\n", PART),
    "none, no body yet": (b"", b""),
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n" % (len(PART), PART)),
    "length": (b"Content-Length: 100\r\n", PART),
}
BAD_STATUSES = (b"000", b"0", b"00", b"099", b"20", b"1000", b"-200", b"2 0", b"abc", b"", b"\xb2\xb0\xb0")


class RawUpstream:
    """Answers POST requests with what `reply(request_id)` returns, as soon as it has read their heads: (bytes, seconds
    until the connection ends, whether it is reset). Other requests are health checks."""

    def __init__(self, name):
        self.name = name
        self.reply = None
        self.born = int(time.time() * 1000)
        self.read_bytes = []  # Of each body, before the connection was reset.
        self.listener = socket.create_server((processes.LOOPBACK, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def registration(self, service="raw"):
        return {"service": service, "address": f"{processes.LOOPBACK}:{self.port}", "zone": "z-1", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            while True:
                head = b""
                while not head.endswith(b"\r\n\r\n"):
                    byte = connection.recv(1)
                    if not byte:
                        return
                    head += byte
                fields = dict(it.lower().split(b": ", 1) for it in head.split(b"\r\n")[1:] if it)
                if not head.startswith(b"POST "):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                       % self.name.encode())
                    continue
                reply, open_s, reset = self.reply(fields.get(b"x-request-id", b""))
                connection.sendall(reply)
                self.read_bytes.append(self.read_for(connection, open_s))
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
        except OSError:
            pass
        finally:
            connection.close()

    @staticmethod
    def read_for(connection, open_s):
        """Reads the body slowly, so that it is still being written. Returns how many bytes it has read."""
        n, end = 0, time.monotonic() + open_s
        while (left := end - time.monotonic()) > 0:
            connection.settimeout(left)
            try:
                n += len(connection.recv(50_000))
            except TimeoutError:
                break
            time.sleep(0.01)
        return n


def head(status, request_id, framing):
    return (b"HTTP/1.1 " + status + b" OK\r\nX-Request-Id: " + request_id + b"\r\nX-Response-Stamp: s." + request_id
            + b"\r\n" + framing + b"\r\n")
