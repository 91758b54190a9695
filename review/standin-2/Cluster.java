import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Three governors that agree by consensus, each with discovery, an operator's file and a folder of its own. */
final class Cluster {
    static final long ELECTION_MS = 500;
    static final List<String> CLASSES = List.of("subset", "licence-use");
    static final List<String> HALLS = List.of("hall-a", "hall-b", "hall-c");

    final List<Kit.Governor> governors = new ArrayList<>();
    final int[] ports = new int[HALLS.size()];
    private final int[] memberPorts = new int[HALLS.size()];

    /** Starts the governors, and waits until all are in contact with a quorum. */
    Cluster(List<Kit.Listed> listed, int sidecars) throws Exception {
        for (int i = 0; i < ports.length; i++) {
            ports[i] = Kit.freePort();
            memberPorts[i] = Kit.freePort();
        }
        for (int i = 0; i < ports.length; i++) {
            Kit.Discovery discovery = new Kit.Discovery(listed);
            governors.add(
                    new Kit.Governor("n" + i, ports[i],
                            "{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:" + ports[i] + "\",\"discovery\":\"127.0.0.1:"
                                    + discovery.port() + "\",\"seed\":\"8c1f30d27a5be96" + i
                                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                                    + discovery.whole() + ",\"settings\":" + settings(i, sidecars) + "}",
                            " --operator " + writeOperatorFile(i)));
        }
        for (Kit.Governor each : governors) {
            each.start();
        }
        for (Kit.Governor each : governors) {
            each.awaitReady();
        }
        awaitQuorum();
    }

    private static String settings(int number, int sidecars) {
        return "{\"n_instances\":3,\"my_number\":" + number + ",\"my_zone\":\"" + HALLS.get(number) + "\",\"dcs\":[\""
                + String.join("\",\"", HALLS) + "\"],\"granularity_us\":5000,"
                + "\"discovery\":\"automatic\",\"weight_kind\":\"none\",\"report\":{\"names\":[\"util\"],\"how\":\"answers\"},"
                + "\"classes\":[{\"name\":\"subset\",\"aim_us\":1000000,\"hard_limit_us\":2500000,\"worth\":2.0,\"late_worth\":0.2,"
                + "\"semantics\":\"retryable\",\"group\":\"all\"},{\"name\":\"licence-use\",\"aim_us\":1200000,"
                + "\"hard_limit_us\":3000000,\"worth\":3.0,\"late_worth\":0.2,\"semantics\":\"fragile\",\"group\":\"all\"}],"
                + "\"domain\":{\"proxy_count\":" + sidecars + ",\"channel_rate\":6100.0,\"backlog\":9200.0,"
                + "\"fixed_cost\":3.0,\"late_us\":100000,\"worst_transit_us\":250000,\"update_cap\":20,"
                + "\"update_window_us\":10000000,\"cycle_us\":1000000,\"blackhole_us\":5400000,\"admission\":\"fraction\","
                + "\"slices\":0,\"push_price\":0.02,\"base_mode\":0,\"ejects\":0,\"lb_method\":\"random\"},"
                + "\"ceilings\":{\"idle_close_us\":15000000},\"goal\":{\"worst_class\":0.3},\"prices\":{\"cross_zone\":0.01},"
                + "\"invariants\":{\"drain_grace_us\":3000000,\"start_capacity\":0.19,\"warm_after_us\":18000000,"
                + "\"fall_multiple\":4.0,\"fall_us\":1500000}}";
    }

    private String writeOperatorFile(int member) throws IOException {
        StringBuilder text = new StringBuilder("cluster {\n  name = \"n" + member + "\"\n  listen = \"127.0.0.1:"
                + memberPorts[member] + "\"\n  folder = \"" + folder(member) + "\"\n  election = \"" + ELECTION_MS
                + "ms\"\n  heartbeat = \"100ms\"\n  minority = \"withdraw\"\n");
        for (int i = 0; i < memberPorts.length; i++) {
            text.append("  founder \"n" + i + "\" { address = \"127.0.0.1:" + memberPorts[i] + "\" }\n");
        }
        return Files.writeString(operatorFile(member), text.append("}\n")).toString();
    }

    static Path operatorFile(int member) {
        return Kit.folder().resolve("operator" + member + ".hcl");
    }

    static Path folder(int member) {
        return Kit.folder().resolve("d" + member);
    }

    private void awaitQuorum() throws Exception {
        long until = Kit.now() + 30_000;
        for (Kit.Governor each : governors) {
            while (!each.log().contains("quorum contact established")) {
                if (Kit.now() > until) {
                    throw new Kit.NotRun(each.name + " has no quorum: " + each.log());
                }
                Thread.sleep(100);
            }
        }
        Kit.note("governor", "all three have contact with a quorum");
    }

    /** Runs one of the project's own commands at a member, and records its answer. */
    void command(int member, String... words) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/rockshift.jar", "cluster"));
        command.addAll(List.of(words));
        command.addAll(List.of("--at", "127.0.0.1:" + memberPorts[member]));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String answer = new String(process.getInputStream().readAllBytes()).trim();
        process.waitFor();
        Kit.note("n" + member, String.join(" ", words) + ": " + answer);
    }
}
