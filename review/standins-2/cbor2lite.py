"""A small CBOR codec: maps, lists, text, numbers, booleans and null. Standard library only."""
import struct


def dumps(value):
    out = bytearray()
    _write(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes((major << 5 | 24, number))
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _write(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        _head(0, value, out) if value >= 0 else _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        text = value.encode()
        _head(3, len(text), out)
        out += text
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _write(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _write(key, out)
            _write(item, out)
    else:
        raise TypeError(type(value))


def loads(data):
    value, end = _read(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


def _read(data, at):
    first = data[at]
    major, low = first >> 5, first & 31
    at += 1
    if major == 7:
        if low == 20:
            return False, at
        if low == 21:
            return True, at
        if low in (22, 23):
            return None, at
        if low == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if low == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if low == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        raise ValueError("simple value %d" % low)
    if low < 24:
        number = low
    elif low == 24:
        number, at = data[at], at + 1
    elif low == 25:
        number, at = struct.unpack_from(">H", data, at)[0], at + 2
    elif low == 26:
        number, at = struct.unpack_from(">I", data, at)[0], at + 4
    elif low == 27:
        number, at = struct.unpack_from(">Q", data, at)[0], at + 8
    elif low == 31:
        number = None
    else:
        raise ValueError("length %d" % low)
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3:
        if number is None:
            parts = []
            while data[at] != 0xFF:
                part, at = _read(data, at)
                parts.append(part)
            return "".join(parts), at + 1
        return data[at:at + number].decode(), at + number
    if major == 4:
        items = []
        while (data[at] != 0xFF) if number is None else (len(items) < number):
            item, at = _read(data, at)
            items.append(item)
        return items, at + (number is None)
    if major == 5:
        items, count = {}, 0
        while (data[at] != 0xFF) if number is None else (count < number):
            key, at = _read(data, at)
            items[key], at = _read(data, at)
            count += 1
        return items, at + (number is None)
    raise ValueError("major type %d" % major)
