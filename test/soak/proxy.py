"""Loopback links that a fault can delay, reset, cut one way or silence.

A cut holds bytes and delivers them when it ends, as a network does that repeats
what was lost; what a sender had sent before it reset its connection is dropped.
"""
import asyncio
import collections
import socket
import struct
import threading


class Loop:
    """One thread on which all links run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def do(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


class End(asyncio.Protocol):
    """One end of a connection; passes what it reads on to its peer."""

    def __init__(self, link, cut):
        self.link, self.cut = link, cut
        self.peer = self.transport = None
        self.held = collections.deque()  # b"" is the orderly end
        self.due = 0.0  # when the last of `held` may go on
        self.ended = False  # its orderly end was passed on
        self.ready = 0  # so many of `held` may go on as far as delays are concerned

    def connection_made(self, transport):
        self.transport = transport
        self.link.ends.add(self)
        if self.cut == "cut_there":
            asyncio.ensure_future(self.link.connect(self))

    def data_received(self, data):
        self.held.append(data)
        loop = asyncio.get_running_loop()
        self.due = max(self.due, loop.time() + self.link.delay())
        loop.call_at(self.due, self.ripe)

    def eof_received(self):
        self.data_received(b"")
        return True  # the other way stays open

    def connection_lost(self, _error):
        self.link.ends.discard(self)
        self.held.clear()
        if self.peer is not None and not (self.ended and self.peer.ended):
            self.peer.reset()

    def ripe(self):
        self.ready += 1
        self.flush()

    def flush(self):
        while (self.ready and self.held and self.peer is not None and
               not self.link.has(self.cut, "silence")):
            self.ready -= 1
            data = self.held.popleft()
            if data:
                self.peer.transport.write(data)
                continue
            self.ended = True
            try:
                self.peer.transport.write_eof()
            except OSError:  # the peer was reset meanwhile
                return self.reset()
            if self.peer.ended:
                self.transport.close()
                self.peer.transport.close()
        return None

    def reset(self):
        if not self.transport.is_closing():
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Link:
    """Passes connections on to `target`, an "ip:port" that may change."""

    def __init__(self, loop, target):
        self.loop, self.target = loop, target
        self.faults = collections.Counter()  # those of a kind may overlap
        self.delay_s = 0.0
        self.reset_s = None  # age at which a connection is reset; None: at once
        self.ends = set()
        self.address = loop.do(self._listen())

    async def _listen(self):
        server = await asyncio.get_running_loop().create_server(
            lambda: End(self, "cut_there"), "127.0.0.1", 0, backlog=256)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def connect(self, caller):
        host, port = self.target.split(":")
        try:
            if self.has("reset") and self.reset_s is None:
                raise OSError("the link resets")
            _, server = await asyncio.get_running_loop().create_connection(
                lambda: End(self, "cut_back"), host, int(port))
        except OSError:
            return caller.reset()
        if caller.transport.is_closing():
            return server.reset()
        caller.peer, server.peer = server, caller
        if self.has("reset"):
            asyncio.get_running_loop().call_later(self.reset_s, caller.reset)
        caller.flush()
        return server.flush()

    def begin(self, kind, value=0):
        self.loop.do(self._change(kind, 1, value))

    def end(self, kind):
        self.loop.do(self._change(kind, -1, 0))

    async def _change(self, kind, step, value):
        self.faults[kind] += step
        if kind == "delay" and step > 0:
            self.delay_s = 0.01 + (value % 300) / 1000
        if kind == "reset" and step > 0:
            self.reset_s = None if value % 4 == 0 else (value % 500) / 1000
        for end in list(self.ends):
            if kind == "reset" and step > 0:
                end.reset()
            else:
                end.flush()

    def has(self, *kinds):
        return any(self.faults[kind] > 0 for kind in kinds)

    def delay(self):
        return self.delay_s if self.has("delay") else 0.0
