#!/usr/bin/env python3
"""Runs clang-tidy over the sources named on standard input, several at a time.

A source that was clean is not analysed again while its preprocessed text with
comments, its flags, the configuration and the linter's version stay the same.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get(
    "XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "flamingogauge-lint"


def digest_of(entry, common):
    """Returns the digest of all that the result for one source depends on."""
    command = shlex.split(entry["command"])
    if os.path.basename(command[0]) == "ccache":
        command = command[1:]
    flags = []
    skip = False
    for word in command[1:]:
        if skip or word in ("-c", "-MD", entry["file"]):
            skip = False
            continue
        if word in ("-o", "-MT", "-MF"):
            skip = True
            continue
        flags.append(word)
    # Without line markers, so that the folder of the checkout does not matter.
    text = subprocess.run(
        ["clang++", *flags, "-w", "-E", "-C", "-P", entry["file"]],
        cwd=entry["directory"], capture_output=True, check=True).stdout
    digest = hashlib.sha256(common)
    digest.update(" ".join(flags).replace(os.getcwd(), "").encode())
    digest.update(os.path.relpath(entry["file"]).encode())
    digest.update(text)
    return digest.hexdigest()


def entry_for(source, entries):
    """Returns the compile command of a source.

    One that the build does not compile, such as a new file that no
    CMakeLists.txt names yet, gets that of the nearest compiled source, as
    clang-tidy itself chooses one for it.
    """
    if source in entries:
        return entries[source]

    def shared_path(file):
        return len(os.path.commonprefix([os.path.dirname(source), file]))

    nearest = entries[max(entries, key=shared_path)]
    return {**nearest, "file": source,
            "command": nearest["command"].replace(nearest["file"], source)}


def check(entry, build, common):
    """Returns the linter's output for a source, or nothing if it is clean."""
    marker = CACHE / digest_of(entry, common)
    if marker.exists():
        return ""
    run = subprocess.run(
        ["clang-tidy", "--quiet", "-p", build, entry["file"]],
        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True,
        check=False)
    if run.returncode != 0:
        return run.stdout or f"{entry['file']}: clang-tidy failed\n"
    marker.touch()
    return ""


def main():
    build, jobs = sys.argv[1], int(sys.argv[2])
    CACHE.mkdir(parents=True, exist_ok=True)
    with open(f"{build}/compile_commands.json", encoding="utf-8") as commands:
        entries = {entry["file"]: entry for entry in json.load(commands)}
    common = pathlib.Path(".clang-tidy").read_bytes() + subprocess.run(
        ["clang-tidy", "--version"], capture_output=True, check=True).stdout
    sources = [os.path.abspath(line.strip()) for line in sys.stdin]
    clean = True
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        wanted = [entry_for(source, entries) for source in sources]
        for output in pool.map(lambda it: check(it, build, common), wanted):
            if output:
                print(output, end="")
                clean = False
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
