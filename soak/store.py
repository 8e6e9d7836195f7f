"""Stand-in of the users' object store, with one listener for each instance.

Each listener also injects the store's faults for its instance: according to
its own mode, it answers, refuses, resets, does not respond or responds slowly,
independently of the other listeners.
"""
import asyncio
import collections
import json
import time
import urllib.parse

# Changes that the store can go back by.
COPIES = 400


class Store:
    def __init__(self):
        self.revision = 1
        # Rises when the store is restored from an earlier copy.
        self.era = 1
        self.is_away = False
        self.copies = collections.deque(maxlen=COPIES)
        self.objects = {}
        self.events = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.cut = asyncio.Event()
        self.calls = 0

    def put(self, kind, name, spec):
        """Creates or replaces an object; returns its revision."""
        self.revision += 1
        self.objects[(kind, name)] = (self.revision, spec)
        self._notify(kind, name, self.revision, spec, False)
        return self.revision

    def delete(self, kind, name):
        if (kind, name) not in self.objects:
            return
        _, spec = self.objects.pop((kind, name))
        self.revision += 1
        self._notify(kind, name, self.revision, spec, True)

    def _copy(self):
        self.copies.append((time.monotonic(), self.revision,
                            dict(self.objects)))

    def restore(self, age_s):
        """Comes back as it was age_s ago, or as the oldest copy; waiting watches
        end."""
        wanted = time.monotonic() - age_s
        older = [it for it in self.copies if it[0] <= wanted]
        _, self.revision, objects = older[-1] if older else self.copies[0]
        self.objects = dict(objects)
        self.era += 1
        self.copies.clear()
        self._copy()
        self.forget_history()

    def forget_history(self):
        self.events.clear()
        self.oldest = self.revision
        self._wake()

    def cut_watches(self):
        """Ends the waiting watches without an answer, as the store may."""
        self.cut.set()
        self.cut = asyncio.Event()

    def _notify(self, kind, name, revision, spec, deleted):
        self._copy()
        self.events.append((kind, self.revision, {
            "deleted": deleted, "object": _object(name, revision, spec)}))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self, kind):
        items = [_object(name, rev, spec)
                 for (k, name), (rev, spec) in sorted(self.objects.items())
                 if k == kind]
        return 200, {"items": items, "hasMore": False, "atRev": self.revision}

    async def watch(self, kind, after, wait_s):
        deadline = asyncio.get_running_loop().time() + wait_s
        era, cut = self.era, self.cut
        while True:
            if cut.is_set():
                raise ConnectionAbortedError
            if era != self.era or not self.oldest <= after <= self.revision:
                return 410, {"atRev": self.revision}
            events = [e for k, rev, e in self.events
                      if k == kind and rev > after]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            waits = [asyncio.ensure_future(it.wait())
                     for it in (self.changed, cut)]
            try:
                await asyncio.wait(waits, timeout=left,
                                   return_when=asyncio.FIRST_COMPLETED)
            finally:
                for it in waits:
                    it.cancel()

    def create(self, kind, body):
        name = body["meta"]["name"]
        if (kind, name) in self.objects:
            revision, spec = self.objects[(kind, name)]
            return 409, _object(name, revision, spec)
        return 200, _object(name, self.put(kind, name, body["spec"]),
                            body["spec"])


def _object(name, revision, spec):
    return {"meta": {"name": name, "revision": revision, "created": revision,
                     "finalizers": [], "deletion": False},
            "spec": spec, "status": None}


class Listener:
    """The store as one instance reaches it, with its own fault mode."""
    MODES = ("ok", "busy", "reset", "silent", "slow", "lost")

    def __init__(self, store, stale_store=None):
        self.store = store
        self.mode = "ok"
        # If set, this old state is served instead of the store, as a
        # deliberate fault.
        self.stale_store = stale_store

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split("\r\n")[0].split(" ")
        length = [int(line.split(":")[1]) for line in head.split("\r\n")
                  if line.lower().startswith("content-length:")]
        body = await reader.readexactly(length[0]) if length else b""
        self.store.calls += 1
        if self.mode == "silent":
            await asyncio.sleep(60)
            return
        if self.mode == "slow":
            await asyncio.sleep(0.25)
        is_refused = self.mode == "busy" or self.store.is_away
        status, answer = (503, {}) if is_refused else (
            await self.answer(method, target, body))
        if self.mode in ("silent", "lost"):
            await asyncio.sleep(60)
            return
        text = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Store-Era: %d\r\n"
                     b"Content-Length: %d\r\nConnection: close\r\n\r\n%s"
                     % (status, self.store.era, len(text), text))
        await writer.drain()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = urllib.parse.parse_qs(url.query)
        kind = url.path.split("/")[2]
        store = self.stale_store or self.store
        if method == "POST":
            return self.store.create(kind, json.loads(body))
        if method != "GET":
            return 404, {}
        if "watch" in query:
            return await store.watch(kind, int(query["watch"][0]),
                                     int(query["waitMs"][0]) / 1000)
        return store.list(kind)
