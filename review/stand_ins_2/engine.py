"""A model server that streams events and moves a running stream to another one."""

import asyncio
import json
import random

from deployment import Server, reset

# Time for one event, and for the copy of a request's memory to another server.
EVENT_S = 0.1
COPY_S = 0.015


class Engine(Server):
    """Sends as many events as Token-Count names as the most output tokens.

    Answers are sent in chunks, but for the share `unframed` of them: those have
    no length and end with their channel.
    """

    unframed = 0.0
    spot = False

    async def start(self):
        self.runs = {}
        self.copies = {}
        await super().start()

    def register(self):
        if self.spot:
            self.extra["spot"] = True
        super().register()

    def notice(self, leaves_s):
        """The server will be taken away after `leaves_s`."""
        self.state = "draining"
        self.extra["leaves_ms"] = int(leaves_s * 1000)
        self.register()
        asyncio.get_running_loop().call_later(leaves_s, self.take_away)

    def take_away(self):
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)
        self.store.remove("servers", self.id)

    async def handle(self, request, reader, writer):
        if request.first.startswith("POST /kv-move "):
            await self.move(json.loads(request.body), writer)
            return True
        return await super().handle(request, reader, writer)

    def reply(self, writer, status, body):
        text = json.dumps(body).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)

    async def move(self, order, writer):
        run = self.runs.get(order["id"])
        other = next((server for server in self.fleet if server.address == order["to"]), None)
        if run is None or other is None:
            self.reply(writer, 404, {})
            return
        if order.get("last"):
            run["stopped"] = True
            await run["ended"].wait()
        await asyncio.sleep(COPY_S)
        handle = "h-%s" % order["id"]
        other.copies[self.address + "/" + handle] = run["made"]
        self.record.line("move %s from %s to %s after event %d"
                         % (order["id"], self.id, other.id, run["made"]))
        self.reply(writer, 200, {"handle": handle, "created": run["made"]})

    async def run(self, request, reader, writer):
        name = request.get("request-id")
        events = int(request.get("token-count").split(",")[1])
        first = 1
        source = request.get("kv-from")
        if source:
            if source not in self.copies:
                self.refuse(request, writer, 503)
                return True
            self.copies.pop(source)
            first = int(request.get("last-event-id", "0")) + 1
        run = {"made": first - 1, "stopped": False, "ended": asyncio.Event()}
        self.runs[name] = run
        framed = random.random() >= self.unframed
        self.record.line("run %s at %s from event %d%s"
                         % (name, self.id, first, "" if framed else ", no length"))
        framing = b"Transfer-Encoding: chunked\r\n" if framed else b""
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s-%s\r\n"
                     b"Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n%s\r\n"
                     % (name.encode(), name.encode(), framing))
        try:
            while run["made"] < events and not run["stopped"]:
                await asyncio.sleep(EVENT_S)
                if writer.is_closing() or reader.at_eof():
                    return False
                if run["stopped"]:
                    break
                run["made"] += 1
                event = b"id: %d\ndata: piece %d\n\n" % (run["made"], run["made"])
                writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
                await writer.drain()
            if run["made"] < events:
                # Stopped for a move: the stream is closed without its end.
                return False
            self.record.line("run %s ends at %s" % (name, self.id))
            if framed:
                writer.write(b"0\r\n\r\n")
            return framed
        finally:
            if not framed or run["stopped"]:
                writer.close()
            self.runs.pop(name, None)
            run["ended"].set()
