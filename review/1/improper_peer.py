"""An improper peer: connects, sends much at once that is no proper request, reads nothing, and goes.

Arguments: port, megabytes. It prints what it sent. It ends after 15 s at the latest.
"""

import socket
import sys
import time

port, size = int(sys.argv[1]), int(float(sys.argv[2]) * 1e6)
piece = b"GET / HTTP/1.1\r\n\r\n" * 4000  # no Host, no Request-Id, no Request-Timeout, no class
peer = socket.create_connection(("127.0.0.1", port))
peer.settimeout(15)
sent, start, end = 0, time.monotonic(), "went"
try:
    while sent < size and time.monotonic() - start < 15:
        sent += peer.send(piece[: size - sent])
except OSError as error:
    end = f"closed by the node ({type(error).__name__})"
peer.close()
print(f"sent {sent / 1e6:.1f} MB in {time.monotonic() - start:.1f} s, then {end}")
