"""A server that answers each request with bytes that never end."""

import socket
import threading

BLOCK_BYTES = 64 * 1024
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"


def filled(part):
    """`part` repeated to a block."""
    return part * (BLOCK_BYTES // len(part))


# What comes first, and what then follows without end.
WAYS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * BLOCK_BYTES),
    "head": (STATUS + b"A: ", b"x" * BLOCK_BYTES),
    "headers": (STATUS, filled(b"a:\r\n")),
    "body": (STATUS + b"\r\n", b"x" * BLOCK_BYTES),
    "body with a length": (STATUS + b"Content-Length: 99999999999999\r\n\r\n",
                           b"x" * BLOCK_BYTES),
    "chunks": (CHUNKED, filled(b"10\r\n" + b"x" * 16 + b"\r\n")),
    "chunk": (CHUNKED + b"7fffffffffff\r\n", b"x" * BLOCK_BYTES),
    "chunk extension": (CHUNKED + b"10;", b"x" * BLOCK_BYTES),
    "trailers": (CHUNKED + b"0\r\n", filled(b"a:b\r\n")),
    "trailer": (CHUNKED + b"0\r\nA: ", b"x" * BLOCK_BYTES),
    "interim answers": (b"", filled(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")),
    "empty lines": (b"", filled(b"\r\n")),
    "other answers": (b"", filled(
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok")),
}


class EndlessServer:
    """Listens on `address`; takes whole requests and answers in `way`."""

    def __init__(self, way, address=("127.0.0.1", 0)):
        self.first, self.more = WAYS[way]
        self.endless = 0  # answers that have begun
        self.socket = socket.create_server(address, backlog=256)
        self.stopping = False
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def address(self):
        return "%s:%d" % self.socket.getsockname()

    def stop(self):
        self.stopping = True
        self.socket.shutdown(socket.SHUT_RDWR)  # wakes accept()
        self.socket.close()

    def accept(self):
        while True:
            try:
                plug, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(plug,), daemon=True).start()

    def serve(self, plug):
        try:
            with plug:
                request = b""
                while b"\r\n\r\n" not in request:
                    data = plug.recv(BLOCK_BYTES)
                    if not data:
                        return
                    request += data
                self.endless += 1
                plug.sendall(self.first)
                while not self.stopping:
                    plug.sendall(self.more)
        except OSError:
            pass  # the other side has closed
