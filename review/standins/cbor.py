"""CBOR (RFC 8949) for the values that the protocol uses: maps, lists, text, numbers, booleans and null."""
import struct


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes([major << 5 | 24, number])
    elif number < 1 << 16:
        out.append(major << 5 | 25)
        out += struct.pack(">H", number)
    elif number < 1 << 32:
        out.append(major << 5 | 26)
        out += struct.pack(">I", number)
    else:
        out.append(major << 5 | 27)
        out += struct.pack(">Q", number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        _head(0, value, out) if value >= 0 else _head(1, -1 - value, out)
    elif isinstance(value, float):
        out.append(0xFB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def decode(data):
    value, end = _decode(data, 0)
    if end != len(data):
        raise ValueError("trailing bytes")
    return value


_BREAK = object()


def _decode(data, at):
    first = data[at]
    at += 1
    major, low = first >> 5, first & 31
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
        if low == 31:
            return _BREAK, at
        raise ValueError("simple value")
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
        raise ValueError("length")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3:
        if number is None:
            raise ValueError("indefinite text")
        return data[at:at + number].decode(), at + number
    if major == 4:
        items = []
        while number is None or len(items) < number:
            item, at = _decode(data, at)
            if item is _BREAK:
                break
            items.append(item)
        return items, at
    if major == 5:
        result = {}
        while number is None or len(result) < number:
            key, at = _decode(data, at)
            if key is _BREAK:
                break
            result[key], at = _decode(data, at)
        return result, at
    raise ValueError("major type")
