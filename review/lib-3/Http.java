import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** HTTP/1.1 over TCP on loopback: a server with a thread for each connection, and a client connection. */
final class Http {
    private Http() {}

    record Request(String method, String path, String query, byte[] body) {
        String param(String name) {
            for (String part : query.split("&")) if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
            return null;
        }
    }

    record Response(int status, byte[] body) {
        static Response of(int status, Object... fields) {
            return new Response(status, fields.length == 0 ? new byte[0] : Cbor.encode(Cbor.map(fields)));
        }

        Map<String, Object> map() {
            return Cbor.decodeMap(body);
        }
    }

    /** Answers a request; returns null to close the connection without an answer. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    private record Message(String first, byte[] body, boolean close) {}

    private static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        int length = 0;
        boolean close = false;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            if (colon < 0) continue;
            String name = header.substring(0, colon).trim().toLowerCase();
            String value = header.substring(colon + 1).trim();
            if (name.equals("content-length")) length = Integer.parseInt(value);
            if (name.equals("connection")) close = value.equalsIgnoreCase("close");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException();
        return new Message(first, body, close);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return out.size() == 0 ? null : out.toString(StandardCharsets.US_ASCII);
            if (b == '\n') return out.toString(StandardCharsets.US_ASCII).stripTrailing();
            out.write(b);
        }
    }

    /**
     * Returns a port of the loopback address that nothing listens on. It is below the range from which the system takes the ports of
     * outgoing connections, so that it is still free when a controller is started again.
     */
    static int freePort() throws IOException {
        while (true) {
            int port = java.util.concurrent.ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // In use: try another one.
            }
        }
    }

    static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress("127.0.0.1", port), 200);
        return socket;
    }

    static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void serve(int port, Handler handler) throws IOException {
        ServerSocket server = listen(port);
        daemon("accept-" + port, () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon("http-" + port, () -> serveConnection(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void serveConnection(Socket socket, Handler handler) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message message = read(in);
                if (message == null) return;
                String[] words = message.first.split(" ");
                int mark = words[1].indexOf('?');
                String path = mark < 0 ? words[1] : words[1].substring(0, mark);
                String query = mark < 0 ? "" : words[1].substring(mark + 1);
                Response response = handler.handle(new Request(words[0], path, query, message.body));
                if (response == null) return;
                write(socket, "HTTP/1.1 " + response.status + " X\r\n", response.body);
                if (message.close) return;
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    private static void write(Socket socket, String first, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes((first + "Content-Type: application/cbor\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        out.writeBytes(body);
        socket.getOutputStream().write(out.toByteArray());
    }

    /** A client connection, which is opened again after a failure. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Returns the response, or null if there is none within [timeoutMillis]. */
        Response call(String method, String path, byte[] body, int timeoutMillis) {
            for (int attempt = 0; ; attempt++) {
                boolean fresh = socket == null;
                try {
                    if (socket == null) {
                        socket = new Socket();
                        socket.setTcpNoDelay(true);
                        // Closing leaves no port behind, so that many short connections do not use up the ports of the machine.
                        socket.setSoLinger(true, 0);
                        socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMillis, 500));
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    socket.setSoTimeout(timeoutMillis);
                    write(socket, method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n", body == null ? new byte[0] : body);
                    Message message = read(in);
                    if (message == null) throw new EOFException();
                    Response response = new Response(Integer.parseInt(message.first.split(" ")[1]), message.body);
                    if (message.close) close();
                    return response;
                } catch (java.net.SocketTimeoutException e) {
                    close();
                    return null;
                } catch (IOException e) {
                    close();
                    if (fresh || attempt > 0) return null;
                }
            }
        }

        void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // Already closed.
            }
            socket = null;
        }
    }
}
