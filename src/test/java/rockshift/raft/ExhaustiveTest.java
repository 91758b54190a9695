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
 * A small model explored in every order: three members, two campaigns, one change and one crash,
 * every message arriving at any time or never. It runs the production code; a state is reached by
 * repeating its steps from the start.
 */
class ExhaustiveTest {
    /** The most steps of a path, and the most campaigns, changes and crashes among them. */
    private static final int DEPTH = Integer.getInteger("exhaustive.depth", 8);

    private static final int CAMPAIGNS = 2;
    private static final int CHANGES = 1;
    private static final int CRASHES = 1;

    /** The model decides who campaigns when, so nobody waits or asks for a pre-vote. */
    private static SafetyRules withoutWaitingAndPreVote() {
        return new SafetyRules() {
            @Override
            protected boolean honorsCurrentLeader(long now, long heardAt, Timing timing) {
                return false;
            }

            @Override
            protected boolean usesPreVote() {
                return false;
            }
        };
    }

    /** One state, as its steps lead to it. */
    private static final class Model {
        private final TestCluster cluster;
        private int campaigns;
        private int changes;
        private int crashes;

        Model(SafetyRules rules) {
            cluster = new TestCluster(3, rules);
        }

        /** Steps that can be taken now, by number. */
        List<Integer> steps() {
            List<Integer> steps = new ArrayList<>();
            for (int i = 0; i < cluster.inFlight.size(); i++) {
                steps.add(i);
            }
            for (int id = 1; id <= 3; id++) {
                RaftNode raft = cluster.member(id).node;
                if (campaigns < CAMPAIGNS && !raft.isLeader()) {
                    steps.add(-10 - id);
                }
                if (changes < CHANGES && raft.isLeader()) {
                    steps.add(-20 - id);
                }
                if (crashes < CRASHES && raft.term() > 0) {
                    steps.add(-30 - id);
                }
            }
            return steps;
        }

        void takeStep(int step) {
            if (step >= 0) {
                List<Message> mail = new ArrayList<>(cluster.inFlight);
                Message message = mail.remove(step);
                cluster.inFlight.clear();
                cluster.inFlight.addAll(mail);
                cluster.member(message.to()).node.receive(message);
                cluster.member(message.to()).pollAll();
                return;
            }
            TestCluster.TestMember seat = cluster.member(-step % 10);
            if (step > -20) {
                campaigns++;
                cluster.nowTicks += 10_000;
                seat.node.tick(cluster.nowTicks);
            } else if (step > -30) {
                changes++;
                seat.propose("change");
            } else {
                crashes++;
                seat.restart();
            }
            seat.pollAll();
        }

        /** What the next step depends on, times left out. */
        String state() {
            StringBuilder text =
                    new StringBuilder().append(campaigns).append(changes).append(crashes);
            cluster.members
                    .values()
                    .forEach(seat -> text.append(seat.node.fingerprint()).append(seat.termAndVote));
            List<String> mail = new ArrayList<>();
            for (Message message : cluster.inFlight) {
                mail.add(
                        message.toString()
                                .replaceAll(
                                        "(sentAtTicks|followerClockTicks|round)=\\d+|B@[0-9a-f]+",
                                        ""));
            }
            mail.sort(null);
            return text.append(mail).toString();
        }

        /**
         * What is violated, or null: one leader a term, and what is committed is the same on every
         * member and under every later leader.
         */
        String violation(Map<Long, Long> leaders, Map<Long, Long> agreed) {
            for (TestCluster.TestMember seat : cluster.members.values()) {
                RaftNode raft = seat.node;
                Long leader = raft.isLeader() ? leaders.putIfAbsent(raft.term(), seat.id) : null;
                if (leader != null && leader != seat.id) {
                    return "two leaders in term " + raft.term();
                }
                for (long index = 1; index <= raft.commitIndex(); index++) {
                    Long known = agreed.putIfAbsent(index, raft.log().term(index));
                    if (known != null && known != raft.log().term(index)) {
                        return "two entries agreed at " + index;
                    }
                }
            }
            return null;
        }
    }

    /** Explores all orders; returns what was violated, or null, and the count of states. */
    private static String explore(SafetyRules rules, int depth, long[] states) {
        ArrayDeque<List<Integer>> paths = new ArrayDeque<>(List.of(List.of()));
        Set<String> seenStates = new HashSet<>();
        while (!paths.isEmpty()) {
            List<Integer> path = paths.removeFirst();
            Model model = new Model(rules);
            Map<Long, Long> leaders = new HashMap<>();
            Map<Long, Long> agreed = new HashMap<>();
            String violation = null;
            for (int step : path) {
                model.takeStep(step);
                violation = violation == null ? model.violation(leaders, agreed) : violation;
            }
            if (violation != null) {
                return violation;
            }
            if (seenStates.add(model.state()) && path.size() < depth) {
                for (int step : model.steps()) {
                    List<Integer> longer = new ArrayList<>(path);
                    longer.add(step);
                    paths.addLast(longer);
                }
            }
        }
        states[0] = seenStates.size();
        return null;
    }

    @Test
    void everyOrderOfASmallModelIsSafe() {
        long[] states = new long[1];
        assertThat(explore(withoutWaitingAndPreVote(), DEPTH, states)).isNull();
        assertThat(states[0]).as("states").isGreaterThan(1_000);
        System.out.println("exhaustive: " + states[0] + " states of " + DEPTH + " steps at most");
    }

    @Test
    void secondVoteInATermIsFound() {
        SafetyRules twice =
                new SafetyRules() {
                    @Override
                    protected boolean honorsCurrentLeader(long now, long heardAt, Timing timing) {
                        return false;
                    }

                    @Override
                    protected boolean usesPreVote() {
                        return false;
                    }

                    @Override
                    protected boolean mayVoteFor(TermAndVote ballot, long candidate) {
                        return true;
                    }
                };
        assertThat(explore(twice, 7, new long[1])).contains("two leaders");
    }
}
