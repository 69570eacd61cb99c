import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of CBOR that the protocol uses: maps with text keys, lists, text, numbers, booleans and null. */
final class Cbor {
    private final ByteBuffer in;

    private Cbor(byte[] bytes) {
        in = ByteBuffer.wrap(bytes);
    }

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    static Object decode(byte[] bytes) {
        return new Cbor(bytes).read();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] bytes) {
        return bytes.length == 0 ? new LinkedHashMap<>() : (Map<String, Object>) decode(bytes);
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        if (n >= 0 && n < 24) {
            out.write(major << 5 | (int) n);
        } else if (n >= 0 && n < 65536) {
            out.write(major << 5 | 25);
            out.write((int) (n >> 8));
            out.write((int) n);
        } else {
            out.write(major << 5 | 27);
            out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
        }
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean) {
            out.write((Boolean) value ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long n = ((Number) value).longValue();
            if (n >= 0) head(out, 0, n); else head(out, 1, -1 - n);
        } else if (value instanceof BigInteger) {
            head(out, 0, ((BigInteger) value).longValue());
        } else if (value instanceof Double) {
            out.write(0xfb);
            out.writeBytes(ByteBuffer.allocate(8).putDouble((Double) value).array());
        } else if (value instanceof String) {
            byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
            head(out, 3, text.length);
            out.writeBytes(text);
        } else if (value instanceof List) {
            head(out, 4, ((List<?>) value).size());
            for (Object item : (List<?>) value) write(out, item);
        } else if (value instanceof Map) {
            head(out, 5, ((Map<?, ?>) value).size());
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                write(out, e.getKey());
                write(out, e.getValue());
            }
        } else {
            throw new IllegalArgumentException("cannot encode " + value.getClass());
        }
    }

    private long count(int info) {
        if (info < 24) return info;
        switch (info) {
            case 24: return in.get() & 0xffL;
            case 25: return in.getShort() & 0xffffL;
            case 26: return in.getInt() & 0xffffffffL;
            case 27: return in.getLong();
            default: return -1;
        }
    }

    private static final Object BREAK = new Object();

    private Object read() {
        int first = in.get() & 0xff;
        int major = first >> 5;
        int info = first & 31;
        switch (major) {
            case 0: return count(info);
            case 1: return -1 - count(info);
            case 3: return text(count(info));
            case 4: {
                long n = count(info);
                List<Object> list = new ArrayList<>();
                for (long i = 0; n < 0 || i < n; i++) {
                    Object item = read();
                    if (item == BREAK) break;
                    list.add(item);
                }
                return list;
            }
            case 5: {
                long n = count(info);
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; n < 0 || i < n; i++) {
                    Object key = read();
                    if (key == BREAK) break;
                    map.put((String) key, read());
                }
                return map;
            }
            case 6: count(info); return read();
            case 7:
                switch (info) {
                    case 20: return Boolean.FALSE;
                    case 21: return Boolean.TRUE;
                    case 22: case 23: return null;
                    case 26: return (double) in.getFloat();
                    case 27: return in.getDouble();
                    case 31: return BREAK;
                    default: throw new IllegalArgumentException("simple value " + info);
                }
            default: throw new IllegalArgumentException("major type " + major);
        }
    }

    private String text(long n) {
        if (n < 0) {
            StringBuilder all = new StringBuilder();
            for (Object part = read(); part != BREAK; part = read()) all.append(part);
            return all.toString();
        }
        byte[] bytes = new byte[(int) n];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
