"""Stand-in of a runner, in a process of its own so that it can be killed.

It answers a long request before it has read all of the body, and its answer has
no length: it ends with the channel. Half of the answer is sent at once, the rest
after `pause` seconds; then the runner reads the rest of the body and closes the
channel. Prints its port, then a line for each thing that it does.

    early_runner.py ID ANSWER_BYTES PAUSE_S
"""

import socket
import sys
import threading
import time

NAME, SIZE, PAUSE_S = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
SEGMENT = 1460  # as on a network
BUFFER = 8192


def field(head, name):
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def serve(channel):
    data = b""
    while b"\r\n\r\n" not in data:
        part = channel.recv(512)
        if not part:
            return
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    rid, left = field(head, b"request-id"), int(field(head, b"content-length") or 0)
    if field(head, b"expect-instance") not in (b"", NAME.encode()):
        channel.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        channel.close()
        return
    print("runs", rid.decode(), flush=True)
    answer = b"r" * SIZE
    channel.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: " + rid + b"\r\nResponse-Seal: seal-" + rid +
                    b"\r\nConnection: close\r\n\r\n" + answer[:SIZE // 2])
    print("sent half of the answer to", rid.decode(), flush=True)
    time.sleep(PAUSE_S)
    channel.sendall(answer[SIZE // 2:])
    got = len(body)
    while got < left:
        part = channel.recv(65536)
        if not part:
            break
        got += len(part)
    print("finished", rid.decode(), "and has", got, "of", left, "bytes", flush=True)
    channel.shutdown(socket.SHUT_WR)
    channel.close()


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
listener.bind(("127.0.0.1", 0))
listener.listen(50)
print(listener.getsockname()[1], flush=True)
while True:
    threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()
