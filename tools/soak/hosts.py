"""Starts, signals and watches the entry hosts, which are real processes."""

import asyncio
import os
import random
import signal
import socket

from wire import Disconnected, connect, format_message, read_message

# Limits of the deployment under test, in the units of their names.
APPLY_LIMIT_MS = 2500
REVOCATION_LIMIT_MS = 5000
STOP_LIMIT_S = 8
EXPOSURE_SHARE = 0.1


def free_port(kind):
    """Returns a free port below those of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15000, 30000)
        with socket.socket(socket.AF_INET, kind) as it:
            try:
                it.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Host:
    def __init__(self, program, folder, name, data_centre, regions, store_address):
        self.program = program
        self.name = name
        self.data_centre = data_centre
        self.callers = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
        self.status = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
        self.settings_path = os.path.join(folder, name + ".flags")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None
        # Set while the process is expected to end.
        self.may_end = False
        # Exit statuses of processes that ended by themselves.
        self.own_ends = []
        self._watcher = None
        settings = {
            "host_name": name,
            "host_data_centre": data_centre,
            "host_report_address": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}",
            "host_relay_address": f"127.0.0.1:{free_port(socket.SOCK_STREAM)}",
            "host_capacity": 0.25,
            "fleet_store_address": store_address,
            "gateway_listen_address": self.callers,
            "gateway_status_address": self.status,
            "gateway_regions": regions,
            "change_apply_limit_ms": APPLY_LIMIT_MS,
            "key_revocation_limit_ms": REVOCATION_LIMIT_MS,
            "gateway_stop_limit_s": STOP_LIMIT_S,
            "rollout_exposure_share": EXPOSURE_SHARE,
        }
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.writelines(f"--{key}={value}\n" for key, value in settings.items())

    async def start(self, is_first=False):
        arguments = ["serve", f"--flagfile={self.settings_path}"]
        if is_first:
            arguments.append("--directory_first_start=true")
        self.may_end = False
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(self.program, *arguments, stdout=log, stderr=log)
        self._watcher = asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process):
        status = await process.wait()
        if not self.may_end:
            self.own_ends.append(status)

    def signal(self, number):
        if self.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.may_end = True
            self.process.send_signal(number)

    async def wait_ended(self, limit_s):
        """Kills the process if it does not end in time; returns false then."""
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
            return True
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return False

    async def is_ready(self):
        try:
            reader, writer = await connect(self.status)
            writer.write(format_message("GET /flamingogauge/ready HTTP/1.1", [("Host", "status")]))
            response = await asyncio.wait_for(read_message(reader, is_response=True), 1)
            writer.close()
            return response.status == 200
        except (OSError, Disconnected, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s):
        for _ in range(int(limit_s / 0.05)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False
