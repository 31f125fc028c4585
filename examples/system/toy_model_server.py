"""A toy model server for the router fleet: registers itself, streams three events per request, accepts orders to load weights.

toy_model_server.py ID PORT CONTROL...    CONTROL: control addresses (IP:PORT), tried in turn until one answers
"""
import http.client
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MODEL = "advisor"
NAME, PORT, CONTROL = sys.argv[1], int(sys.argv[2]), sys.argv[3:]
state = {"version": 1, "callCount": 0, "orders": 0}


class Server(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self, status, body=b"", **fields):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        self.wfile.write(body)

    def models(self):
        return [{"name": MODEL, "version": state["version"]}]

    def read(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def do_GET(self):
        if self.path == "/v1/report":
            self.answer(200, json.dumps({"models": self.models(), "callCount": state["orders"]}).encode())
        elif self.path == "/health":
            self.answer(200, X_Server_Id=NAME)
        else:
            self.generate()

    def do_POST(self):
        body = self.read()
        if self.path == "/v1/order":
            state["version"] = json.loads(body)["version"]
            state["orders"] += 1
            self.answer(200)
        else:
            self.generate()

    def generate(self):
        addressed_here = self.headers.get("X-Target-Server", NAME) == NAME
        if not addressed_here:
            return self.answer(421, X_Not_Run="1", X_Request_Id=self.headers.get("X-Request-Id", ""))
        tenant = self.headers.get("X-Tenant", "nobody")
        self.send_response(200)
        for name, value in {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Request-Id": self.headers.get("X-Request-Id", ""),
            "X-Server-Seal": "toy",
            "Versions": f"{MODEL}={state['version']}",
        }.items():
            self.send_header(name, value)
        self.end_headers()
        for number in range(1, 4):
            event = f"id: {number}\ndata: {NAME} to {tenant}, version {state['version']}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.flush()
            time.sleep(0.1)
        self.wfile.write(b"0\r\n\r\n")

    def log_message(self, *_):
        pass


def register():
    while True:
        state["callCount"] += 1
        body = json.dumps({
            "backend": "advice", "address": f"127.0.0.1:{PORT}", "zone": "zone-1", "version": "v1", "slots": 8,
            "state": "ready", "warmupLeftMs": 0, "callCount": state["callCount"],
            "models": [{"name": MODEL, "version": state["version"]}],
        })
        for control in CONTROL:
            try:
                call = http.client.HTTPConnection(control, timeout=1)
                call.request("PUT", f"/v1/servers/{NAME}", body, {"Content-Type": "application/json"})
                if call.getresponse().status == 200:
                    break
            except OSError:
                continue
        time.sleep(1)


threading.Thread(target=register, daemon=True).start()
ThreadingHTTPServer(("127.0.0.1", PORT), Server).serve_forever()
