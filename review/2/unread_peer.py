"""A bad client: one proper request, whose answer it reads; then much at once that is no proper request.

Arguments: port, megabytes, seconds at most. It reads no answer to the improper requests, and goes. It prints
what it sent.
"""

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import make_request  # noqa: E402

port, size, most_s = int(sys.argv[1]), int(float(sys.argv[2]) * 1e6), float(sys.argv[3])
piece = b"GET / HTTP/1.1\r\n\r\n" * 4000  # no Host, no Request-Id, no Request-Timeout, no class
sent, start, end = 0, time.monotonic(), "went"
try:
    with socket.create_connection(("127.0.0.1", port)) as peer:
        peer.settimeout(5)
        peer.sendall(make_request("unread0000", 480))
        first = peer.recv(4096).split(b"\r\n")[0].decode()
        while sent < size and time.monotonic() - start < most_s:
            sent += peer.send(piece[: size - sent])
except OSError as error:
    end = f"the connection ended ({type(error).__name__})"
print(f"first answer {first!r}, sent {sent / 1e6:.1f} MB in {time.monotonic() - start:.1f} s, then {end}")
