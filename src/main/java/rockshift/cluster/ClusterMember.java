package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;
import rockshift.raft.RaftNode;
import rockshift.raft.SafetyRules;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.storage.DurableLog;
import rockshift.storage.FileDisk;
import rockshift.wire.Frames;
import rockshift.wire.Hello;
import rockshift.wire.MessageCodec;

/**
 * One member of the agreement, running: the engine on a thread of its own, the disk on another, its
 * connections, and how the cluster is founded. It owns the order in which they meet: time first,
 * then what came, then what follows.
 */
public final class ClusterMember implements AutoCloseable, Links.Handler, Engine.Environment {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterMember.class);
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * Inputs that may wait; more are dropped like lost messages, and commands told to come again.
     */
    private static final int MOST_WAITING = 20_000;

    /** Inputs taken in before the engine decides: a batch. */
    private static final int MOST_AT_ONCE = 1_000;

    /** Ms between two looks at the clock, at most; and between two tries of a save that failed. */
    private static final long LONGEST_PAUSE = 10;

    private static final long RETRY = 500;

    /** Changes that can be listed afterwards. */
    private static final int MOST_RECENT = 4_096;

    private static final long NANOS_PER_TENTH = 100_000;

    private record Asked(Links.Link link, long number) {}

    private final ClusterSettings settings;
    private final LocalController governor;
    private final AgreedState agreed = new AgreedState();
    private final FileDisk disk;
    private final DurableLog log;
    private final DistributionService distribution;
    private final Links links;
    private final Engine engine;
    private final long id;
    private final LinkedBlockingQueue<Runnable> inputs = new LinkedBlockingQueue<>(MOST_WAITING);
    private final LinkedBlockingQueue<Runnable> diskWork = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::work, "agreement");
    private final Thread diskThread = new Thread(this::store, "agreement-disk");
    private final Map<Long, Asked> asked = new HashMap<>();
    private final ArrayDeque<String> recent = new ArrayDeque<>();
    private long recentFrom = 1;
    private final TreeMap<String, Hello> met = new TreeMap<>();
    private volatile long cluster;

    /** The greeting, for other threads, and the members that it names. */
    private volatile byte[] shown;

    private Membership shownMembers;
    private Membership heardOf;

    /** Addresses of the others; null when they are to be reckoned anew. */
    private Set<String> others;

    private volatile boolean closed;
    private volatile boolean leading;
    private long requests;
    private LocalController.Reach reach;
    private String diskTrouble = "";
    private int port;

    public ClusterMember(ClusterSettings settings, LocalController governor) throws IOException {
        this.settings = settings;
        this.governor = governor;
        disk = new FileDisk(settings.folder());
        try {
            SecureRandom source = new SecureRandom();
            log = new DurableLog(disk, line -> LOG.warn("{}", line));
            DurableLog.Recovered found = log.open(source.nextLong() >>> 1 | 1);
            id = found.id();
            cluster = found.cluster();
            distribution =
                    new DistributionService(
                            settings.subscribers(),
                            settings.timing().electionTimeoutTicks(),
                            new SplittableRandom(source.nextLong()));
            links = new Links(this, distribution.port(), new SplittableRandom(source.nextLong()));
            engine =
                    new Engine(
                            found,
                            settings.timing(),
                            new SafetyRules(),
                            new SplittableRandom(source.nextLong()),
                            now(),
                            agreed,
                            settings.compaction(),
                            this);
        } catch (IOException | RuntimeException failure) {
            disk.close();
            throw failure;
        }
        show();
    }

    /** Listens and takes part. */
    public void start() throws IOException, InterruptedException {
        port = links.listen(settings.listen());
        thread.setDaemon(true);
        diskThread.setDaemon(true);
        tellAgreed();
        distribution.start();
        diskThread.start();
        thread.start();
        LOG.info(
                "member {} ({}) listens on {}, port {}, {} entries, agreed version {}",
                settings.name(),
                Long.toHexString(id),
                settings.listen().getHostString(),
                port,
                engine.raft().log().lastIndex(),
                agreed.version());
    }

    public int port() {
        return port;
    }

    /** Whether it leads, as its own thread last saw it. */
    public boolean leads() {
        return leading;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.interrupt();
        diskThread.interrupt();
        thread.join(RETRY);
        diskThread.join(RETRY);
        distribution.close();
        links.close();
        try {
            disk.close();
        } catch (IOException ignored) {
            LOG.info("folder {} was already let go", settings.folder());
        }
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_TENTH;
    }

    // ---- the member's thread --------------------------------------------------------------------

    private void work() {
        List<Runnable> batch = new ArrayList<>();
        if (cluster == 0) {
            found(null);
        }
        while (!closed) {
            try {
                Runnable first = inputs.poll(LONGEST_PAUSE, TimeUnit.MILLISECONDS);
                engine.tick(now());
                if (first != null) {
                    batch.add(first);
                    inputs.drainTo(batch, MOST_AT_ONCE);
                    for (Runnable input : batch) {
                        input.run();
                        engine.tick(now());
                    }
                    batch.clear();
                }
                engine.run();
                tend();
            } catch (InterruptedException stopped) {
                return;
            } catch (RuntimeException failure) {
                // What it holds in memory may be wrong now: a restart reads the disk anew.
                LOG.error(
                        "failure in the agreement, it stops here; restart this governor", failure);
                governor.reach(cutOff());
                return;
            }
        }
    }

    private LocalController.Reach cutOff() {
        return switch (settings.minority()) {
            case SERVE -> LocalController.Reach.FULL;
            case WITHDRAW -> LocalController.Reach.WITHDRAW;
            case HOLD -> LocalController.Reach.HOLD;
        };
    }

    private void tend() {
        leading = engine.raft().isLeader();
        distribution.tend(cluster, agreed, engine.raft());
        if (engine.raft().membership() != shownMembers) {
            show();
            links.greet();
        }
        LocalController.Reach now =
                engine.raft().hasQuorumContact() ? LocalController.Reach.FULL : cutOff();
        if (now != reach) {
            boolean before = reach != null;
            reach = now;
            governor.reach(now);
            if (engine.raft().hasQuorumContact()) {
                LOG.info("in touch with most members, leader {}", name(engine.raft().leader()));
            } else if (before) {
                LOG.warn(
                        "cut off from most members: nothing new is agreed here, orders by minority"
                                + " = {}",
                        settings.minority().name().toLowerCase(Locale.ROOT));
            }
        }
        if (others == null) {
            others = others();
        }
        links.tend(others, System.nanoTime() / 1_000_000);
    }

    private Set<String> others() {
        Set<String> all = new HashSet<>();
        for (Member member : addressed().all()) {
            if (member.id() != id) {
                all.add(route(member.name(), member.address()));
            }
        }
        if (cluster == 0) {
            settings.founders()
                    .forEach(
                            (name, address) -> {
                                if (!name.equals(settings.name())) {
                                    all.add(route(name, address));
                                }
                            });
        }
        return all;
    }

    /**
     * Whom to reach: the members, or as one that has no entries yet, those that another member
     * named.
     */
    private Membership addressed() {
        Membership members = engine.raft().membership();
        return members.all().isEmpty() && heardOf != null ? heardOf : members;
    }

    private String route(String name, String address) {
        return settings.routes().getOrDefault(name, address);
    }

    private String name(long member) {
        Member known = engine.raft().membership().get(member);
        return known == null ? "none" : known.name();
    }

    private boolean offer(Runnable input) {
        return inputs.offer(input);
    }

    // ---- founding -------------------------------------------------------------------------------

    /**
     * Has everyone know who this is now: a connection tells it as it begins, and again when it
     * changes.
     */
    private void show() {
        try {
            shownMembers = engine.raft().membership();
            others = null;
            shown = new Hello(Frames.VERSION, cluster, id, settings.name(), shownMembers).encode();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    @Override
    public byte[] hello() {
        return shown;
    }

    @Override
    public void met(Hello hello) {
        offer(
                () -> {
                    met.put(hello.name(), hello);
                    if (hello.members().get(id) != null) {
                        heardOf = hello.members();
                        others = null;
                    }
                    if (cluster == 0) {
                        found(hello);
                    } else if (hello.cluster() != 0 && hello.cluster() != cluster) {
                        LOG.warn(
                                "{} belongs to another cluster, {}, not {}",
                                hello.name(),
                                Long.toHexString(hello.cluster()),
                                Long.toHexString(cluster));
                    }
                });
    }

    /**
     * Founders begin once each has met all others blank, one that founds alone at once; who is
     * named by a cluster that exists becomes part of it.
     *
     * @param hello what another said, or null as this member begins
     */
    private void found(Hello hello) {
        try {
            if (hello == null || hello.cluster() == 0) {
                foundTogether();
            } else if (hello.members().get(id) != null) {
                log.joinCluster(hello.cluster(), List.of());
                cluster = hello.cluster();
                LOG.info("part of cluster {} by {}", Long.toHexString(cluster), hello.name());
            } else {
                LOG.warn(
                        "{} has a cluster that this member is no part of:"
                                + " add it with 'cluster member add {} {}'",
                        hello.name(),
                        settings.name(),
                        settings.address());
            }
        } catch (IOException failure) {
            LOG.error("can't found the cluster: {}", failure.getMessage());
        }
        if (cluster != 0) {
            show();
            links.greet();
        }
    }

    private void foundTogether() throws IOException {
        if (!settings.founders().containsKey(settings.name())) {
            return;
        }
        List<Member> founders = new ArrayList<>();
        long sum = 1;
        TreeMap<String, String> sorted = new TreeMap<>(settings.founders());
        for (Map.Entry<String, String> each : sorted.entrySet()) {
            Hello other = met.get(each.getKey());
            boolean self = each.getKey().equals(settings.name());
            if (!self && (other == null || other.cluster() != 0)) {
                return;
            }
            long number = self ? id : other.id();
            sum = sum * 31 + number;
            founders.add(new Member(number, each.getKey(), each.getValue(), Member.Role.VOTER));
        }
        Snapshot first = log.joinCluster(sum >>> 1 | 1, founders);
        cluster = sum >>> 1 | 1;
        engine.found(first.membership());
        LOG.info("cluster {} founded by {}", Long.toHexString(cluster), sorted.keySet());
    }

    // ---- messages -------------------------------------------------------------------------------

    @Override
    public void message(byte[] payload, long from) throws IOException {
        if (cluster != 0 && from == cluster) {
            Message message = MessageCodec.decode(payload);
            offer(
                    () -> {
                        engine.receive(message);
                        distribution.heard(message, engine.raft());
                    });
        }
    }

    @Override
    public void send(Message message) {
        Member to = addressed().get(message.to());
        if (to != null) {
            try {
                links.send(route(to.name(), to.address()), MessageCodec.encode(message));
            } catch (IOException impossible) {
                throw new UncheckedIOException(impossible);
            }
        }
    }

    // ---- the disk's thread ----------------------------------------------------------------------

    private void store() {
        while (!closed) {
            try {
                diskWork.take().run();
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /**
     * Tries until the disk takes it: what was durable stays, and the same save can be tried again.
     */
    private void persist(DiskWork work, Runnable done) throws InterruptedException {
        while (!closed) {
            try {
                work.run();
                if (!diskTrouble.isEmpty()) {
                    LOG.info("folder {} takes entries again", settings.folder());
                    diskTrouble = "";
                }
                inputs.put(
                        () -> {
                            engine.disk(true);
                            done.run();
                        });
                return;
            } catch (IOException failure) {
                String trouble = String.valueOf(failure.getMessage());
                if (!trouble.equals(diskTrouble)) {
                    LOG.error(
                            "folder {} takes nothing: {}; no votes and no entries until it does",
                            settings.folder(),
                            trouble);
                    diskTrouble = trouble;
                }
                inputs.put(() -> engine.disk(false));
                TimeUnit.MILLISECONDS.sleep(RETRY);
            }
        }
    }

    private interface DiskWork {
        void run() throws IOException;
    }

    private void queue(DiskWork work, Runnable done) {
        diskWork.add(
                () -> {
                    try {
                        persist(work, done);
                    } catch (InterruptedException stopped) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    @Override
    public void save(
            long ticket, TermAndVote ballot, long from, List<Entry> entries, Snapshot snapshot) {
        queue(() -> log.save(ballot, entries, snapshot), () -> engine.saved(ticket));
    }

    @Override
    public void keep(Snapshot snapshot) {
        queue(() -> log.saveSnapshot(snapshot), () -> engine.kept(snapshot));
    }

    // ---- what is agreed -------------------------------------------------------------------------

    @Override
    public void applied(Entry entry, ClientSessions.Outcome outcome) {
        if (entry.kind() == Entry.Kind.MEMBERSHIP) {
            LOG.info(
                    "members agreed: {}",
                    entry.members().all().stream()
                            .map(
                                    member ->
                                            member.name()
                                                    + " "
                                                    + member.role().name().toLowerCase(Locale.ROOT))
                            .toList());
        } else if (entry.kind() == Entry.Kind.CHANGE && outcome.applied()) {
            String change = new String(entry.body(), StandardCharsets.UTF_8);
            String answer = new String(outcome.answer(), StandardCharsets.UTF_8);
            LOG.info("agreed {}: {} {}", entry.index(), change, answer);
            recent.add(
                    "{\"index\":"
                            + entry.index()
                            + ",\"change\":"
                            + change
                            + ",\"outcome\":"
                            + answer
                            + "}");
            if (recent.size() > MOST_RECENT) {
                recent.removeFirst();
                recentFrom++;
            }
            distribution.applied(cluster, agreed, entry.body());
            tellAgreed();
        }
    }

    private void tellAgreed() {
        governor.agreed(
                agreed.version(), new TreeMap<>(agreed.out()), new TreeMap<>(agreed.terms()));
    }

    @Override
    public void restored(long index) {
        LOG.info("agreed up to entry {} by a snapshot, version {}", index, agreed.version());
        recentFrom += recent.size();
        recent.clear();
        distribution.restored(cluster, agreed);
        tellAgreed();
    }

    @Override
    public void log(String line) {
        LOG.info("{}", line);
    }

    // ---- commands -------------------------------------------------------------------------------

    @Override
    public void call(Links.Link from, byte[] payload) {
        try {
            Map<String, String> call = read(payload);
            if (!offer(() -> take(from, call))) {
                from.send(Frames.REPLY, refusal(number(call, "call"), "busy", null));
            }
        } catch (IOException malformed) {
            from.send(Frames.REPLY, refusal(0, "malformed", malformed.getMessage()));
        }
    }

    private static Map<String, String> read(byte[] payload) throws IOException {
        Map<String, String> call = new HashMap<>();
        try (JsonParser json = JSON.createParser(payload)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("no JSON object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                if (!json.nextToken().isScalarValue()) {
                    throw new IOException("field " + field + ": must be plain");
                }
                call.put(field, json.getText());
            }
        }
        return call;
    }

    private static long number(Map<String, String> call, String field) throws IOException {
        try {
            return Long.parseLong(call.getOrDefault(field, "0"));
        } catch (NumberFormatException wrong) {
            throw new IOException("field " + field + ": must be a whole number");
        }
    }

    private void take(Links.Link from, Map<String, String> call) {
        long number = 0;
        try {
            number = number(call, "call");
            String op = call.getOrDefault("op", "");
            long request = ++requests;
            asked.put(request, new Asked(from, number));
            switch (op) {
                case "status" -> reply(request, this::status);
                case "log" -> {
                    long first = number(call, "from");
                    reply(request, json -> list(json, first));
                }
                case "open" -> engine.open(request, number(call, "session"));
                case "read" -> engine.read(request);
                case "snapshot" -> {
                    boolean begun = engine.compact();
                    reply(request, json -> json.writeBooleanField("begun", begun));
                }
                case "transfer" -> engine.transfer(request, named(call.get("name")));
                case "remove" ->
                        engine.member(
                                request,
                                new Member(
                                        named(call.get("name")),
                                        call.get("name"),
                                        "",
                                        Member.Role.LEARNER),
                                true);
                case "add" ->
                        engine.member(
                                request,
                                new Member(
                                        number(call, "id"),
                                        call.get("name"),
                                        call.get("address"),
                                        Boolean.parseBoolean(call.get("learner"))
                                                ? Member.Role.LEARNER
                                                : Member.Role.JOINING),
                                false);
                case "change" -> change(request, call);
                default -> throw new IOException("field op: '" + op + "' is not known");
            }
        } catch (IOException malformed) {
            asked.remove(requests);
            from.send(Frames.REPLY, refusal(number, "malformed", malformed.getMessage()));
        }
    }

    private long named(String name) {
        Member member = name == null ? null : engine.raft().membership().byName(name);
        return member == null ? 0 : member.id();
    }

    private void change(long request, Map<String, String> call) throws IOException {
        Change change =
                Change.read(call.getOrDefault("change", "").getBytes(StandardCharsets.UTF_8));
        if (change.kind() == Change.Kind.DRAIN && change.started() == 0) {
            change = change.startedAt(governor.started(change.subject()));
        }
        if (change.scoped() && change.zone().isEmpty()) {
            change = change.inZone(governor.zone(change.subject()));
        }
        // A change sent again must meet its own first time, not this check: only the state can tell
        // which it
        // is.
        boolean first = engine.raft().isLeader() && !Boolean.parseBoolean(call.get("again"));
        String objection = first ? agreed.check(change) : null;
        if (first && objection == null && !Boolean.parseBoolean(call.get("force"))) {
            objection = governor.objection(change, agreed.out());
        }
        if (objection != null) {
            answer(request, new Engine.Answer(objection, new byte[0], 0, null));
        } else {
            engine.change(request, number(call, "session"), number(call, "serial"), change.json());
        }
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private void reply(long request, Fields fields) {
        Asked to = asked.remove(request);
        if (to != null) {
            to.link.send(
                    Frames.REPLY,
                    object(
                            json -> {
                                json.writeNumberField("call", to.number);
                                fields.write(json);
                            }));
        }
    }

    private static byte[] object(Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    private static byte[] refusal(long number, String code, String what) {
        return object(
                json -> {
                    json.writeNumberField("call", number);
                    json.writeStringField("refused", what == null ? code : code + ": " + what);
                });
    }

    @Override
    public void answer(long request, Engine.Answer answer) {
        reply(
                request,
                json -> {
                    if (answer.refused() != null) {
                        json.writeStringField("refused", answer.refused());
                    }
                    if (answer.leader() != null) {
                        json.writeStringField("leader", answer.leader());
                    }
                    if (answer.index() > 0) {
                        json.writeNumberField("index", answer.index());
                    }
                    if (answer.body().length > 0) {
                        json.writeFieldName("answer");
                        json.writeRawValue(new String(answer.body(), StandardCharsets.UTF_8));
                    }
                });
    }

    private void status(JsonGenerator json) throws IOException {
        RaftNode.Status standing = engine.raft().status();
        json.writeStringField("name", settings.name());
        json.writeStringField("id", Long.toHexString(id));
        json.writeNumberField("number", id);
        json.writeStringField("cluster", Long.toHexString(cluster));
        json.writeStringField("role", roleWord(standing.role()));
        json.writeNumberField("term", standing.term());
        json.writeStringField("leader", name(standing.leader()));
        Member leader = engine.raft().membership().get(standing.leader());
        json.writeStringField("leader_address", leader == null ? "" : leader.address());
        json.writeBooleanField("in_touch", engine.raft().hasQuorumContact());
        json.writeStringField("orders", String.valueOf(reach).toLowerCase(Locale.ROOT));
        json.writeBooleanField("leased", standing.holdsLease());
        json.writeNumberField("agreed", standing.commitIndex());
        json.writeNumberField("applied", standing.appliedIndex());
        json.writeNumberField("saved", standing.durableIndex());
        json.writeNumberField("first", standing.firstIndex());
        json.writeNumberField("last", standing.lastIndex());
        json.writeNumberField("snapshot", engine.raft().snapshot().index());
        json.writeNumberField("version", agreed.version());
        json.writeStringField("disk", diskTrouble);
        DistributionService.Standing published = distribution.standing();
        json.writeObjectFieldStart("distribution");
        json.writeNumberField("connections", published.connections());
        json.writeNumberField("subscribers", published.summary().subscribers());
        json.writeNumberField("lowest", published.summary().lowestRevision());
        json.writeNumberField("behind", published.summary().behind());
        json.writeNumberField("unreachable", published.summary().unreachable());
        json.writeEndObject();
        json.writeArrayFieldStart("members");
        for (Member member : standing.membership().all()) {
            json.writeStartObject();
            json.writeStringField("name", member.name());
            json.writeStringField("address", member.address());
            json.writeStringField("role", member.role().name().toLowerCase(Locale.ROOT));
            if (standing.matchIndexes().containsKey(member.id())) {
                json.writeNumberField("match", standing.matchIndexes().get(member.id()));
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private void list(JsonGenerator json, long first) throws IOException {
        json.writeNumberField("from", Math.max(first, recentFrom));
        json.writeNumberField("next", recentFrom + recent.size());
        json.writeArrayFieldStart("changes");
        long skip = Math.max(0, first - recentFrom);
        int size = 0;
        for (String change : recent) {
            size += skip > 0 ? 0 : change.length();
            if (skip-- <= 0 && size < Frames.MAX_FRAME_BYTES / 2) {
                json.writeRawValue(change);
            }
        }
        json.writeEndArray();
    }

    /** The role as the status tells it: commands and their users know the pre-vote as a trial. */
    private static String roleWord(RaftNode.Role role) {
        return role == RaftNode.Role.PRE_CANDIDATE ? "trial" : role.name().toLowerCase(Locale.ROOT);
    }
}
