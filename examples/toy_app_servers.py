#!/usr/bin/env python3
"""Two toy app servers and a toy discovery service on loopback, to try gradepaddle by hand. Not for load tests."""

import json
import signal
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

APP_SERVERS = {"s-1": 9001, "s-2": 9002}
DISCOVERY = 8500


def app_server(name):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def serve(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            time.sleep(0.05)  # simulated work
            answer = f"{name} did {self.command} {self.path} with {len(body)} bytes\n".encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)

        do_GET = do_POST = serve

        def log_message(self, *_):
            pass

    return Handler


class Discovery(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        hosts = [
            {"host": name, "dial": f"127.0.0.1:{port}", "site": "dc-noord", "class": "std-1c",
             "block": 0, "health": "up", "share": 1.0, "born_ms": 0}
            for name, port in APP_SERVERS.items()
        ]
        line = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode() + b"\n"
        self.send_response(200)
        if "stream=1" not in self.path:
            self.send_header("Content-Length", str(len(line)))
            self.end_headers()
            self.wfile.write(line)
            return
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            while True:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                self.wfile.flush()
                time.sleep(2)
                line = b"\n"  # keep-alive: the host list has not changed
        except OSError:
            self.close_connection = True

    def log_message(self, *_):
        pass


def start(port, handler):
    server = ThreadingHTTPServer(("127.0.0.1", port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()


if __name__ == "__main__":
    for name, port in APP_SERVERS.items():
        start(port, app_server(name))
    start(DISCOVERY, Discovery)
    print("app servers on", *APP_SERVERS.values(), "- discovery on", DISCOVERY, flush=True)
    signal.sigwait({signal.SIGINT, signal.SIGTERM})
