import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Three governors agree by consensus that a replica is held out of service. The machine of one of them dies and is replaced: it
 * starts again from nothing. Its sidecars must not be ordered to send to the held replica, as those of the others are not.
 */
final class HoldLostWithMachine {
    private static final List<String> CLASSES = Cluster.CLASSES;
    private static final List<String> HALLS = Cluster.HALLS;
    private static final int REPLICAS = 9;
    private static final int SIDECARS_PER_GOVERNOR = 2;
    private static final String HELD = "s-4";

    /** Time for the new machine to be told what was agreed, from its first answer on. */
    private static final long CATCH_UP_MS = 10_000;

    private static final long LOOK_MS = 25_000;

    private HoldLostWithMachine() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], HoldLostWithMachine::run);
    }

    private static List<String> run() throws Exception {
        List<Kit.Listed> listed = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            listed.add(new Kit.Listed("s-" + i, HALLS.get(i % 3), "Ready", 0));
        }
        Cluster cluster = new Cluster(listed, 3 * SIDECARS_PER_GOVERNOR);
        List<Kit.Governor> governors = cluster.governors;
        List<Sidecar> all = new ArrayList<>();
        List<Sidecar.Channel> channels = new ArrayList<>();
        List<World> worlds = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Sidecar.Channel channel = new Sidecar.Channel(6_100, 3, 100);
            channels.add(channel);
            List<Sidecar> own = new ArrayList<>();
            for (int k = 0; k < SIDECARS_PER_GOVERNOR; k++) {
                Sidecar sidecar = new Sidecar(i * SIDECARS_PER_GOVERNOR + k, HALLS.get(i), 10, CLASSES);
                sidecar.restart(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5"));
                own.add(sidecar);
            }
            all.addAll(own);
            World world = new World(own, CLASSES, 10);
            worlds.add(world);
            listed.forEach(each -> world.setUp(each.id(), true));
            for (Sidecar each : own) {
                each.join(cluster.ports[i], channel);
            }
            world.connectCollector(HALLS.get(i), cluster.ports[i]);
            world.start();
        }
        Thread.sleep(4_000);
        cluster.command(0, "hold", HELD);
        Thread.sleep(5_000);
        long heldAt = Kit.now();
        for (Sidecar each : all) {
            if (CLASSES.stream().anyMatch(one -> each.lines(one).containsKey(HELD))) {
                throw new Kit.NotRun("the hold is not in force at sidecar " + each.number);
            }
        }
        Kit.note("hold", HELD + " is in no table of any sidecar, 5 s after the hold was agreed");
        List<Sidecar> first = all.subList(0, SIDECARS_PER_GOVERNOR);
        long answersAt = Kit.now();
        if (Kit.TROUBLE) {
            governors.get(0).kill();
            deleteFolder(Cluster.folder(0));
            // As docs/raft.md says for the time after the first leader.
            Path file = Cluster.operatorFile(0);
            Files.writeString(file, Files.readString(file).replace("minority =", "initial_cluster = \"existing\"\n  minority ="));
            Thread.sleep(3_000);
            governors.get(0).start();
            governors.get(0).awaitReady();
            answersAt = Kit.now();
            Thread.sleep(700);
            for (Sidecar each : first) {
                each.leave();
                each.join(cluster.ports[0], channels.get(0));
            }
            worlds.get(0).connectCollector(HALLS.get(0), cluster.ports[0]);
        }
        Kit.sleepUntil(answersAt + LOOK_MS);
        for (int i = 0; i < 3; i++) {
            cluster.command(i, "status", "--json");
            governors.get(i).noteLog("quorum contact", "leads in term", "not in the membership", "waiting to be added", "change applied");
        }
        if (governors.stream().anyMatch(each -> !each.isAlive())) {
            throw new Kit.NotRun("a governor has ended");
        }
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            for (Sidecar each : all.subList(i * SIDECARS_PER_GOVERNOR, (i + 1) * SIDECARS_PER_GOVERNOR)) {
                long from = Math.max(heldAt, Kit.TROUBLE ? answersAt + CATCH_UP_MS : heldAt);
                long sent = worlds.get(i).sent().stream()
                        .filter(one -> one.sidecar() == each.number && HELD.equals(one.replica()) && one.atMillis() > from)
                        .count();
                String text = "sidecar " + each.number + " of n" + i + " sent " + sent + " transactions to the held " + HELD
                        + " from " + Kit.seconds(from) + " on; its lines for " + CLASSES.get(0) + ": "
                        + each.lines(CLASSES.get(0)).keySet();
                Kit.note("hold", text);
                if (sent > 0) {
                    broken.add(text);
                }
            }
        }
        return broken;
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
        Kit.note("trouble", "the machine of n0 is replaced: its folder is empty");
    }
}
