package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores all event orders of a small model: three members, two campaigns, one change and one
 * crash, with every message arriving at any time or never. Runs the production code; a state is
 * reached by repeating its steps from the start.
 */
class ExhaustiveTest {
    /** Maximum number of steps in a path, and of campaigns, changes and crashes among them. */
    private static final int MAX_STEPS = Integer.getInteger("exhaustive.depth", 8);

    private static final int MAX_CAMPAIGNS = 2;
    private static final int MAX_CHANGES = 1;
    private static final int MAX_CRASHES = 1;

    /**
     * The model decides which member campaigns when, so members neither wait nor use a pre-vote.
     */
    private static SafetyRules withoutWaitingAndPreVote() {
        return new SafetyRules() {
            @Override
            protected boolean honorsCurrentLeader(
                    long nowTicks, long lastLeaderContactTicks, Timing timing) {
                return false;
            }

            @Override
            protected boolean usesPreVote() {
                return false;
            }
        };
    }

    /** One state of the model, reached by taking its steps. */
    private static final class Model {
        private final TestCluster cluster;
        private int campaigns;
        private int changes;
        private int crashes;

        Model(SafetyRules rules) {
            cluster = new TestCluster(3, rules);
        }

        /**
         * Returns the steps that can be taken now: the position of a message to deliver, or -10,
         * -20 or -30 minus the id of a member that campaigns, proposes a change or crashes.
         */
        List<Integer> steps() {
            List<Integer> steps = new ArrayList<>();
            for (int i = 0; i < cluster.inFlight.size(); i++) {
                steps.add(i);
            }
            for (int id = 1; id <= 3; id++) {
                RaftNode raft = cluster.member(id).node;
                if (campaigns < MAX_CAMPAIGNS && !raft.isLeader()) {
                    steps.add(-10 - id);
                }
                if (changes < MAX_CHANGES && raft.isLeader()) {
                    steps.add(-20 - id);
                }
                if (crashes < MAX_CRASHES && raft.term() > 0) {
                    steps.add(-30 - id);
                }
            }
            return steps;
        }

        void takeStep(int step) {
            if (step >= 0) {
                List<Message> messages = new ArrayList<>(cluster.inFlight);
                Message message = messages.remove(step);
                cluster.inFlight.clear();
                cluster.inFlight.addAll(messages);
                cluster.member(message.to()).node.receive(message);
                cluster.member(message.to()).pollAll();
                return;
            }
            TestCluster.TestMember member = cluster.member(-step % 10);
            if (step > -20) {
                campaigns++;
                cluster.nowTicks += 10_000;
                member.node.tick(cluster.nowTicks);
            } else if (step > -30) {
                changes++;
                member.propose("change");
            } else {
                crashes++;
                member.restart();
            }
            member.pollAll();
        }

        /** Returns a text of the state that the next step depends on, without times. */
        String state() {
            StringBuilder text =
                    new StringBuilder().append(campaigns).append(changes).append(crashes);
            cluster.members
                    .values()
                    .forEach(
                            member ->
                                    text.append(member.node.fingerprint())
                                            .append(member.termAndVote));
            List<String> messages = new ArrayList<>();
            for (Message message : cluster.inFlight) {
                messages.add(
                        message.toString()
                                .replaceAll(
                                        "(sentAtTicks|followerClockTicks|round)=\\d+|B@[0-9a-f]+",
                                        ""));
            }
            messages.sort(null);
            return text.append(messages).toString();
        }

        /**
         * Returns the invariant that is violated, or null. There is at most one leader per term,
         * and a committed entry is the same on every member and under every later leader.
         */
        String violation(Map<Long, Long> leaders, Map<Long, Long> committedTerms) {
            for (TestCluster.TestMember member : cluster.members.values()) {
                RaftNode raft = member.node;
                Long leader = raft.isLeader() ? leaders.putIfAbsent(raft.term(), member.id) : null;
                if (leader != null && leader != member.id) {
                    return "two leaders in term " + raft.term();
                }
                for (long index = 1; index <= raft.commitIndex(); index++) {
                    Long known = committedTerms.putIfAbsent(index, raft.log().term(index));
                    if (known != null && known != raft.log().term(index)) {
                        return "two entries committed at index " + index;
                    }
                }
            }
            return null;
        }
    }

    /**
     * Explores all orders and stores the number of states in {@code states}.
     *
     * @return the violation found, or null
     */
    private static String explore(SafetyRules rules, int depth, long[] states) {
        ArrayDeque<List<Integer>> paths = new ArrayDeque<>(List.of(List.of()));
        Set<String> seenStates = new HashSet<>();
        while (!paths.isEmpty()) {
            List<Integer> path = paths.removeFirst();
            Model model = new Model(rules);
            Map<Long, Long> leaders = new HashMap<>();
            Map<Long, Long> committedTerms = new HashMap<>();
            String violation = null;
            for (int step : path) {
                model.takeStep(step);
                violation =
                        violation == null ? model.violation(leaders, committedTerms) : violation;
            }
            if (violation != null) {
                return violation;
            }
            if (seenStates.add(model.state()) && path.size() < depth) {
                for (int step : model.steps()) {
                    List<Integer> extended = new ArrayList<>(path);
                    extended.add(step);
                    paths.addLast(extended);
                }
            }
        }
        states[0] = seenStates.size();
        return null;
    }

    @Test
    void allEventOrdersOfASmallModelAreSafe() {
        long[] states = new long[1];
        assertThat(explore(withoutWaitingAndPreVote(), MAX_STEPS, states)).isNull();
        assertThat(states[0]).as("number of states explored").isGreaterThan(1_000);
        System.out.println(
                "exhaustive: " + states[0] + " states of " + MAX_STEPS + " steps at most");
    }

    @Test
    void secondVoteInATermIsDetected() {
        SafetyRules secondVoteAllowed =
                new SafetyRules() {
                    @Override
                    protected boolean honorsCurrentLeader(
                            long nowTicks, long lastLeaderContactTicks, Timing timing) {
                        return false;
                    }

                    @Override
                    protected boolean usesPreVote() {
                        return false;
                    }

                    @Override
                    protected boolean mayVoteFor(TermAndVote termAndVote, long candidate) {
                        return true;
                    }
                };
        assertThat(explore(secondVoteAllowed, 7, new long[1])).contains("two leaders");
    }
}
