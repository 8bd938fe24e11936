#!/usr/bin/env python3
"""Fails when two types of the same scope have one name.

All types of the program share the namespace flamingogauge. Two classes with one
name in different libraries make the linker keep one of their destructors, which
ends the process.
"""
import collections
import re
import subprocess
import sys

TYPE = re.compile(
    r"^(?:struct|class|enum class) (\w+)(?: final)?\s*(?::(?!:)[^;{]*)?\{", re.M)
ANONYMOUS = re.compile(r"^namespace \{.*?^\}  // namespace$", re.M | re.S)


def main():
    listed = subprocess.check_output(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard",
         "src/*.h", "src/*.cc", "platform/*.h", "platform/*.cc"], text=True)
    places = collections.defaultdict(list)
    for path in listed.split():
        if ".capnp." in path:
            continue
        with open(path, encoding="utf-8") as source:
            text = ANONYMOUS.sub("", source.read())
        for name in TYPE.findall(text):
            places[name].append(path)
    names = {name: paths for name, paths in places.items() if len(paths) > 1}
    for name, paths in sorted(names.items()):
        print(f"type {name} is defined in {', '.join(sorted(paths))}",
              file=sys.stderr)
    if names:
        return 1
    print(f"type names: {len(places)} unique")
    return 0


if __name__ == "__main__":
    sys.exit(main())
