# A minimal target in Python that follows the protocols specified in docs/protocols.md.
#
# python3 examples/target.py KEY_FILE ENTRY_IP:PORT LISTEN_IP:PORT SERVICE
import json
import sys
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

key_file, entry, listen, service = sys.argv[1:5]
key = open(key_file).read().strip()
ip, port = listen.rsplit(":", 1)
lease_until = 0; grants = {}; version = 0; session = None; highest = {}
lock = threading.Lock()
class H(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def log_message(self, *a): pass
    def answer(self, status, body, extra={}):
        self.send_response(status)
        rid = self.headers.get("Camphordale-Request")
        if rid: self.send_header("Camphordale-Request", rid)
        for k, v in extra.items(): self.send_header(k, v)
        self.send_header("Content-Length", str(len(body))); self.end_headers(); self.wfile.write(body)
    def work(self):
        n = int(self.headers.get("Content-Length") or 0); self.rfile.read(n)
        shard = self.headers.get("Camphordale-Shard"); tok = self.headers.get("Camphordale-Token")
        with lock:
            ok = time.monotonic() < lease_until
            if shard and ok:
                t = tuple(map(int, tok.split(".")))
                ok = (shard in grants or t[2] > version) and t >= highest.get(shard, (0, 0, 0))
                if ok: highest[shard] = t
        if not ok: return self.answer(503, b"", {"Camphordale-Outcome": "not-run"})
        self.answer(200, json.dumps({"served": self.path, "shard": shard, "token": tok}).encode())
    do_GET = do_POST = work
    def do_OPTIONS(self): self.answer(200, b"")
srv = ThreadingHTTPServer((ip, int(port)), H)
threading.Thread(target=srv.serve_forever, daemon=True).start()
def call(path, body):
    req = urllib.request.Request(f"http://{entry}{path}", json.dumps(body).encode(), {"Authorization": "Bearer " + key, "Content-Type": "application/json"})
    return json.load(urllib.request.urlopen(req, timeout=1))
def take(r, sent):
    global lease_until, version, grants
    with lock:
        lease_until = max(lease_until, sent + r["lease_ms"] * 0.9 / 1000)
        version = r["grants_version"]
        if "grants" in r:
            grants = {f'{g["service"]}/{g["shard"]}': tuple(map(int, g["token"].split("."))) for g in r["grants"]}
            for k, t in grants.items(): highest[k] = max(highest.get(k, (0, 0, 0)), t)
while True:
    sent = time.monotonic()
    try:
        if session is None:
            r = call("/v1/targets", {"name": "py", "service": service, "side": "old", "address": listen, "checks_tokens": True, "slots": 4}); session = r["target"]
        else: r = call(f"/v1/targets/{session}/renew", {"running": 0, "load": 0.0, "grants_version": version})
        take(r, sent); time.sleep(r["renew_ms"] / 1000)
    except urllib.error.HTTPError as e:
        if e.code == 404: session = None; grants = {}; lease_until = 0
        time.sleep(0.2)
    except OSError: time.sleep(0.2)
