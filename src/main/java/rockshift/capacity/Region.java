package rockshift.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import rockshift.testkit.FaultyLink;
import rockshift.testkit.LoggedProcess;
import rockshift.testkit.ProgramCommand;

/**
 * The relays of a region in their own processes, with links to the members that can be partitioned.
 * Both relays are upstreams of every controller of the region.
 */
final class Region implements AutoCloseable {
    static final int RELAYS = 2;
    private static final Pattern PORT = Pattern.compile("relay listening .* port=(\\d+)");

    private final String name;
    private final Path folder;
    private final List<FaultyLink> links = new ArrayList<>();
    private final int[] ports = new int[RELAYS];
    private final LoggedProcess[] relays = new LoggedProcess[RELAYS];

    Region(String name, Path folder, List<Integer> memberPorts, long seed) throws IOException {
        this.name = name;
        this.folder = folder;
        for (int port : memberPorts) {
            FaultyLink link = new FaultyLink(seed + port);
            link.connectTo(port);
            links.add(link);
        }
        for (int i = 0; i < RELAYS; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[i] = free.getLocalPort();
            }
        }
    }

    /** Starts a relay on its fixed port; {@link #awaitRelay} waits until it serves. */
    void startRelay(int number) throws IOException {
        StringBuilder text =
                new StringBuilder(
                        "distribution {\n  name = \"" + name + "-relay-" + number + "\"\n");
        for (int i = 0; i < links.size(); i++) {
            // Each relay prefers a different member, to spread the relays over the members.
            int member = (i + number + Math.abs(name.hashCode())) % links.size();
            text.append(
                    "  upstream \"n"
                            + member
                            + "\" { address = \""
                            + links.get(member).address()
                            + "\" }\n");
        }
        text.append(
                "  scope { everything = true }\n  relay { listen = \"127.0.0.1:"
                        + ports[number]
                        + "\" }\n}\n");
        Path file = Files.writeString(folder.resolve(name + "-relay-" + number + ".hcl"), text);
        relays[number] =
                new LoggedProcess(
                        ProgramCommand.command(
                                List.of(), List.of("relay", "--operator", file.toString())),
                        PORT,
                        line -> {});
    }

    void awaitRelay(int number) throws IOException, InterruptedException {
        relays[number].awaitPort();
    }

    void killRelay(int number) {
        relays[number].close();
    }

    long pid(int number) {
        return relays[number].pid();
    }

    /** Sets whether the region is partitioned, silently, from all members in both directions. */
    void setPartitioned(boolean partitioned) {
        links.forEach(link -> link.setPartitioned(partitioned));
    }

    /** The addresses of the relays; the first one alternates between controllers. */
    List<InetSocketAddress> upstreams(int controller) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            addresses.add(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), ports[(controller + i) % RELAYS]));
        }
        return addresses;
    }

    @Override
    public void close() throws IOException {
        for (LoggedProcess relay : relays) {
            if (relay != null) {
                relay.close();
            }
        }
        for (FaultyLink link : links) {
            link.close();
        }
    }
}
