import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR of maps with text keys, lists, texts, numbers, booleans and null, and the size of such a value in its JSON form. */
final class Cbor {
    private Cbor() {}

    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        return map;
    }

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        if (n < 24) {
            out.write(major << 5 | (int) n);
        } else if (n < 0x100) {
            out.write(major << 5 | 24);
            out.write((int) n);
        } else if (n < 0x10000) {
            out.write(major << 5 | 25);
            out.writeBytes(ByteBuffer.allocate(2).putShort((short) n).array());
        } else if (n < 0x100000000L) {
            out.write(major << 5 | 26);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) n).array());
        } else {
            out.write(major << 5 | 27);
            out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
        }
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long n = ((Number) value).longValue();
            if (n >= 0) head(out, 0, n); else head(out, 1, -1 - n);
        } else if (value instanceof Double d) {
            out.write(0xfb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble(d).array());
        } else if (value instanceof String s) {
            byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, bytes.length);
            out.writeBytes(bytes);
        } else if (value instanceof List<?> list) {
            head(out, 4, list.size());
            for (Object item : list) write(out, item);
        } else if (value instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            for (Map.Entry<?, ?> e : map.entrySet()) {
                write(out, e.getKey());
                write(out, e.getValue());
            }
        } else {
            throw new IllegalArgumentException("cannot encode " + value.getClass());
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decodeMap(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Object value = read(in);
        if (!(value instanceof Map) || in.hasRemaining()) throw new IllegalArgumentException("not a map");
        return (Map<String, Object>) value;
    }

    private static final Object BREAK = new Object();

    private static Object read(ByteBuffer in) {
        int first = in.get() & 0xff;
        int major = first >> 5;
        int info = first & 31;
        if (major == 7) {
            return switch (info) {
                case 20 -> false;
                case 21 -> true;
                case 22, 23 -> null;
                case 25 -> half(in.getShort());
                case 26 -> (double) in.getFloat();
                case 27 -> in.getDouble();
                case 31 -> BREAK;
                default -> throw new IllegalArgumentException("simple value " + info);
            };
        }
        long n = switch (info) {
            case 24 -> in.get() & 0xff;
            case 25 -> in.getShort() & 0xffff;
            case 26 -> in.getInt() & 0xffffffffL;
            case 27 -> in.getLong();
            case 31 -> -1;
            default -> info;
        };
        switch (major) {
            case 0:
                return n;
            case 1:
                return -1 - n;
            case 2:
            case 3: {
                if (info != 31) {
                    byte[] text = new byte[(int) n];
                    in.get(text);
                    return new String(text, StandardCharsets.UTF_8);
                }
                StringBuilder all = new StringBuilder();
                for (Object part = read(in); part != BREAK; part = read(in)) all.append(part);
                return all.toString();
            }
            case 4: {
                List<Object> list = new ArrayList<>();
                for (long i = 0; info == 31 || i < n; i++) {
                    Object item = read(in);
                    if (item == BREAK) break;
                    list.add(item);
                }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; info == 31 || i < n; i++) {
                    Object key = read(in);
                    if (key == BREAK) break;
                    map.put((String) key, read(in));
                }
                return map;
            }
            default:
                return read(in);
        }
    }

    private static double half(short bits) {
        int exponent = bits >> 10 & 31;
        int mantissa = bits & 1023;
        double value = exponent == 0 ? mantissa * Math.pow(2, -24) : (1024 + mantissa) * Math.pow(2, exponent - 25);
        if (exponent == 31) value = mantissa == 0 ? Double.POSITIVE_INFINITY : Double.NaN;
        return bits < 0 ? -value : value;
    }

    /** Returns the number of bytes of the JSON form of [value]. */
    static int jsonSize(Object value) {
        if (value instanceof String s) {
            int size = 2;
            for (byte b : s.getBytes(StandardCharsets.UTF_8)) size += b == '"' || b == '\\' ? 2 : b >= 0 && b < 32 ? 6 : 1;
            return size;
        }
        if (value instanceof List<?> list) {
            int size = 2 + Math.max(0, list.size() - 1);
            for (Object item : list) size += jsonSize(item);
            return size;
        }
        if (value instanceof Map<?, ?> map) {
            int size = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> e : map.entrySet()) size += jsonSize(e.getKey()) + 1 + jsonSize(e.getValue());
            return size;
        }
        return String.valueOf(value).length();
    }
}
