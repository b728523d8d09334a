"""A plain server, and clients that keep connections and repeat as the pages say."""

import asyncio
import random

from deployment import Answer, Server, read_answer

# No attempt follows these statuses, nor a success.
FINAL_STATUSES = (400, 401, 404, 413, 431)


class PlainServer(Server):
    """Answers each request after `work_s` with 800 bytes."""

    work_s = 0.06

    async def run(self, request, reader, writer):
        name = request.get("request-id")
        self.record.line("run %s at %s" % (name, self.id))
        await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
        if writer.is_closing():
            return False
        body = (b"%s " % name.encode() * 100)[:800]
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s-%s\r\n"
                     b"Content-Length: %d\r\n\r\n" % (name.encode(), name.encode(), len(body))
                     + body)
        await writer.drain()
        return True


class Clients:
    """Sends requests on kept connections to nodes that are picked at random."""

    def __init__(self, nodes, record):
        self.nodes = nodes
        self.record = record
        self.idle = {node["ip"]: [] for node in nodes}
        self.count = 0

    async def attempt(self, method, target, host, key, deadline_ms, body=b""):
        """Makes one attempt, and returns its id and its answer."""
        self.count += 1
        name = "q-%06d" % self.count
        node = random.choice(self.nodes)
        self.record.line("sent %s %s %s to %s" % (name, method, target, node["ip"]))
        idle = self.idle[node["ip"]]
        answer = Answer()
        try:
            reader, writer = (idle.pop() if idle else await asyncio.wait_for(
                asyncio.open_connection(node["ip"], node["callers"]), 1))
            length = "Content-Length: %d\r\n" % len(body) if body else ""
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: %s\r\n"
                          "Deadline-Ms: %d\r\n%s\r\n"
                          % (method, target, host, name, key, deadline_ms, length)).encode()
                         + body)
            answer = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000)
            if answer.complete and answer.fields.get("connection", "") != "close":
                idle.append((reader, writer))
            else:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.line("answer %s %d %s" % (
            name, answer.status,
            "of a server" if "server-stamp" in answer.fields else "of the gateway"))
        return name, answer

    async def safe_request(self, target, host, key, deadline_ms, retries=1):
        """Makes the attempts of one idempotent request, and returns their answers."""
        answers = []
        end = asyncio.get_running_loop().time() + deadline_ms / 1000
        for _ in range(retries + 1):
            left_ms = int((end - asyncio.get_running_loop().time()) * 1000)
            if left_ms < 50:
                break
            _, answer = await self.attempt("GET", target, host, key, left_ms)
            answers.append(answer)
            if 200 <= answer.status < 300 or answer.status in FINAL_STATUSES:
                break
            wait = float(answer.fields.get("retry-after", "0"))
            await asyncio.sleep(min(wait, left_ms / 3000))
        return answers
