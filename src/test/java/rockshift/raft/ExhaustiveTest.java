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
 * A small model played in every order: three members, two campaigns, one change and one crash,
 * every message arriving at any time or never. It runs the code that ships; a state is reached by
 * doing its steps anew.
 */
class ExhaustiveTest {
    /** Steps that a path has at most, and campaigns, changes and crashes among them. */
    private static final int DEPTH = Integer.getInteger("exhaustive.depth", 8);

    private static final int CAMPAIGNS = 2;
    private static final int CHANGES = 1;
    private static final int CRASHES = 1;

    /** Without waiting and without asking first: the model's orders say who campaigns when. */
    private static SafetyRules free() {
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
        final Table table;
        int campaigns;
        int changes;
        int crashes;

        Model(SafetyRules rules) {
            table = new Table(3, rules);
        }

        /** Steps that can be taken now, by number. */
        List<Integer> steps() {
            List<Integer> steps = new ArrayList<>();
            for (int i = 0; i < table.mail.size(); i++) {
                steps.add(i);
            }
            for (int id = 1; id <= 3; id++) {
                RaftNode raft = table.seat(id).raft;
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

        void take(int step) {
            if (step >= 0) {
                List<Message> mail = new ArrayList<>(table.mail);
                Message message = mail.remove(step);
                table.mail.clear();
                table.mail.addAll(mail);
                table.seat(message.to()).raft.receive(message);
                table.seat(message.to()).run();
                return;
            }
            Table.Seat seat = table.seat(-step % 10);
            if (step > -20) {
                campaigns++;
                table.now += 10_000;
                seat.raft.tick(table.now);
            } else if (step > -30) {
                changes++;
                seat.propose("change");
            } else {
                crashes++;
                seat.start();
            }
            seat.run();
        }

        /** What a next step depends on, times left out. */
        String state() {
            StringBuilder text =
                    new StringBuilder().append(campaigns).append(changes).append(crashes);
            table.seats
                    .values()
                    .forEach(seat -> text.append(seat.raft.fingerprint()).append(seat.ballot));
            List<String> mail = new ArrayList<>();
            for (Message message : table.mail) {
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
         * One leader a term, and what is agreed is the same everywhere and with whoever leads
         * later.
         */
        String broken(Map<Long, Long> leaders, Map<Long, Long> agreed) {
            for (Table.Seat seat : table.seats.values()) {
                RaftNode raft = seat.raft;
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

    /** Plays all orders; answers what broke, or null, and how many states there were. */
    private static String explore(SafetyRules rules, int depth, long[] states) {
        ArrayDeque<List<Integer>> paths = new ArrayDeque<>(List.of(List.of()));
        Set<String> seen = new HashSet<>();
        while (!paths.isEmpty()) {
            List<Integer> path = paths.removeFirst();
            Model model = new Model(rules);
            Map<Long, Long> leaders = new HashMap<>();
            Map<Long, Long> agreed = new HashMap<>();
            String broken = null;
            for (int step : path) {
                model.take(step);
                broken = broken == null ? model.broken(leaders, agreed) : broken;
            }
            if (broken != null) {
                return broken;
            }
            if (seen.add(model.state()) && path.size() < depth) {
                for (int step : model.steps()) {
                    List<Integer> longer = new ArrayList<>(path);
                    longer.add(step);
                    paths.addLast(longer);
                }
            }
        }
        states[0] = seen.size();
        return null;
    }

    @Test
    void noOrderOfASmallModelBreaksAnything() {
        long[] states = new long[1];
        assertThat(explore(free(), DEPTH, states)).isNull();
        assertThat(states[0]).as("states").isGreaterThan(1_000);
        System.out.println("exhaustive: " + states[0] + " states of " + DEPTH + " steps at most");
    }

    @Test
    void aSecondVoteInATermIsFoundThere() {
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
