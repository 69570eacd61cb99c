import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 as the protocol uses it: bodies with a length, one request at a time on a connection. */
final class Http {
    static final class Request {
        String method;
        String path;
        final Map<String, String> query = new LinkedHashMap<>();
        byte[] body;

        Map<String, Object> map() {
            return Cbor.map(body);
        }
    }

    static final class Response {
        final int status;
        final byte[] body;

        Response(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        static Response of(int status, Object... pairs) {
            Map<String, Object> map = new LinkedHashMap<>();
            for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
            return new Response(status, Cbor.encode(map));
        }

        Map<String, Object> map() {
            return Cbor.map(body);
        }
    }

    interface Handler {
        /** Returns the response; null closes the connection without one. */
        Response handle(Request request) throws Exception;
    }

    /** Serves on [port] of the loopback interface, with a thread for each connection. */
    static void serve(ServerSocket listener, Handler handler) {
        thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                thread(() -> serveConnection(socket, handler));
            }
        });
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
    }

    private static void serveConnection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16384);
            while (true) {
                String first = line(in);
                if (first == null) return;
                String[] parts = first.split(" ");
                Request request = new Request();
                request.method = parts[0];
                int mark = parts[1].indexOf('?');
                request.path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
                if (mark >= 0) {
                    for (String pair : parts[1].substring(mark + 1).split("&")) {
                        int eq = pair.indexOf('=');
                        request.query.put(pair.substring(0, eq), pair.substring(eq + 1));
                    }
                }
                request.body = in.readNBytes(contentLength(in));
                Response response = handler.handle(request);
                if (response == null) return;
                send(socket.getOutputStream(), "HTTP/1.1 " + response.status + " x", response.body);
            }
        } catch (IOException e) {
            // The peer has closed or reset the connection.
        }
    }

    /** A connection of a client to one address; opened when needed and closed after a failure. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Returns the response, or null if there was none within the timeout. */
        Response call(String method, String path, Object body, int timeoutMillis) {
            long end = System.nanoTime() + timeoutMillis * 1_000_000L;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMillis, 2000));
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                byte[] bytes = body == null ? new byte[0] : body instanceof byte[] ? (byte[]) body : Cbor.encode(body);
                send(socket.getOutputStream(), method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1", bytes);
                String first = line(in);
                if (first == null) throw new EOFException();
                int status = Integer.parseInt(first.split(" ")[1]);
                return new Response(status, in.readNBytes(contentLength(in)));
            } catch (IOException e) {
                close();
                return null;
            }
        }

        void close() {
            if (socket != null) quietly(socket::close);
            socket = null;
        }
    }

    private static void send(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes((head + "\r\nContent-Type: application/cbor\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    private static int contentLength(InputStream in) throws IOException {
        int length = 0;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(header.substring(15).trim());
        }
        return length;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') return text.toString(StandardCharsets.US_ASCII).trim();
            text.write(b);
        }
        return null;
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread thread(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                if (System.getenv("STAND_DEBUG") != null) e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void quietly(Action action) {
        try {
            action.run();
        } catch (Exception e) {
            // Nothing depends on it.
        }
    }
}
