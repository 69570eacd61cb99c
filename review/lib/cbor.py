"""CBOR for the bodies of the protocol: maps with text keys, lists, text, numbers, booleans and null."""
import struct


def _head(major, value):
    if value < 24:
        return bytes([major << 5 | value])
    for code, size, fmt in ((24, 1 << 8, ">B"), (25, 1 << 16, ">H"), (26, 1 << 32, ">I"), (27, 1 << 64, ">Q")):
        if value < size:
            return bytes([major << 5 | code]) + struct.pack(fmt, value)
    raise ValueError("integer too large")


def encode(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        data = value.encode()
        return _head(3, len(data)) + data
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(item) for item in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(encode(k) + encode(v) for k, v in value.items())
    raise TypeError(type(value))


class _Reader:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, count):
        part = self.data[self.at:self.at + count]
        if len(part) != count:
            raise ValueError("body ends too early")
        self.at += count
        return part

    def read(self):
        first = self.take(1)[0]
        major, info = first >> 5, first & 31
        if first == 0xFF:
            return _BREAK
        if major == 7:
            if info in (20, 21, 22, 23):
                return {20: False, 21: True, 22: None, 23: None}[info]
            size, fmt = {25: (2, ">e"), 26: (4, ">f"), 27: (8, ">d")}[info]
            return struct.unpack(fmt, self.take(size))[0]
        if info == 31:
            return self.indefinite(major)
        if info < 24:
            value = info
        else:
            size, fmt = {24: (1, ">B"), 25: (2, ">H"), 26: (4, ">I"), 27: (8, ">Q")}[info]
            value = struct.unpack(fmt, self.take(size))[0]
        if major == 0:
            return value
        if major == 1:
            return -1 - value
        if major == 3:
            return self.take(value).decode()
        if major == 4:
            return [self.read() for _ in range(value)]
        if major == 5:
            return {self.read(): self.read() for _ in range(value)}
        raise ValueError("unsupported item")

    def indefinite(self, major):
        items = []
        while (item := self.read()) is not _BREAK:
            items.append(item)
        if major == 3:
            return "".join(items)
        if major == 4:
            return items
        return dict(zip(items[::2], items[1::2]))


_BREAK = object()


def decode(data):
    return _Reader(data).read()
