import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** The links between controllers: one proxy for each direction, whose connections can be refused. */
final class PeerLinks {
    private static final class Link {
        int port;
        int target;
        ServerSocket listener;
        final List<Socket> sockets = new ArrayList<>();
    }

    private final Link[][] links = new Link[Site.NODES][Site.NODES];

    /** Creates open links to the controllers that listen on [targets]. */
    PeerLinks(int[] targets) throws IOException {
        for (int from = 0; from < Site.NODES; from++) {
            for (int to = 0; to < Site.NODES; to++) {
                if (from == to) continue;
                Link link = new Link();
                link.port = Site.freePort();
                link.target = targets[to];
                links[from][to] = link;
                open(link);
            }
        }
    }

    /** Returns the port at which controller [from] reaches controller [to]. */
    int port(int from, int to) {
        return links[from][to].port;
    }

    /** From now on connections are refused; those that are open end. */
    void refuse() throws IOException {
        for (Link[] row : links) {
            for (Link link : row) {
                if (link == null) continue;
                synchronized (link) {
                    link.listener.close();
                    for (Socket socket : link.sockets) Http.quietly(socket::close);
                    link.sockets.clear();
                }
            }
        }
    }

    private static void open(Link link) throws IOException {
        link.listener = new ServerSocket();
        link.listener.setReuseAddress(true);
        link.listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), link.port));
        Http.thread(() -> {
            while (true) {
                Socket near = link.listener.accept();
                Socket far = new Socket();
                try {
                    far.connect(new InetSocketAddress("127.0.0.1", link.target), 1_000);
                } catch (IOException e) {
                    near.close();
                    continue;
                }
                synchronized (link) {
                    link.sockets.add(near);
                    link.sockets.add(far);
                }
                pass(near, far);
                pass(far, near);
            }
        });
    }

    private static void pass(Socket from, Socket to) {
        Http.thread(() -> {
            byte[] bytes = new byte[8192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) out.write(bytes, 0, n);
            } finally {
                Http.quietly(from::close);
                Http.quietly(to::close);
            }
        });
    }
}
