package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rockshift.cluster.ClusterSettings.InitialCluster;
import rockshift.cluster.FoundingPolicy.Decision;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/** Founders with empty folders, with the time and the hellos of others passed in. */
class FoundingPolicyTest {
    private static final long OWN_ID = 11;
    private static final long OLD_ID = 7;
    private static final long CLUSTER = 99;
    private static final String ADDRESS = "127.0.0.1:1";

    private long nowMillis;

    private FoundingPolicy policy(InitialCluster initialCluster, String... founders) {
        Map<String, String> addresses = new TreeMap<>();
        for (String founder : founders) {
            addresses.put(founder, ADDRESS);
        }
        return new FoundingPolicy(
                "n1", OWN_ID, addresses, initialCluster, FoundingPolicy.NO_CLUSTER, nowMillis);
    }

    /** Returns the policy of one of three founders that the two others have greeted. */
    private FoundingPolicy policyWithTwoEmptyFounders() {
        FoundingPolicy policy = policy(InitialCluster.NEW, "n1", "n2", "n3");
        policy.helloReceived(hello("n2", 22, FoundingPolicy.NO_CLUSTER));
        policy.helloReceived(hello("n3", 33, FoundingPolicy.NO_CLUSTER));
        return policy;
    }

    private static Hello hello(String name, long id, long cluster, long... members) {
        List<Member> all = new ArrayList<>();
        for (long member : members) {
            all.add(new Member(member, "m" + member, ADDRESS, Member.Role.VOTER));
        }
        return new Hello(Frames.VERSION, cluster, id, name, new Membership(all));
    }

    /** Lets the time for listening pass in small steps. */
    private void listen(FoundingPolicy policy) {
        for (long end = nowMillis + FoundingPolicy.LISTEN_MS; nowMillis < end; ) {
            nowMillis += 10;
            policy.tick(nowMillis);
        }
    }

    /** Guards against a replaced sole founder that begins a second cluster before it hears any. */
    @Test
    void soleFounderListensBeforeItFounds() {
        FoundingPolicy policy = policy(InitialCluster.NEW, "n1");
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Found.class);
    }

    /** Guards against a founder that stalls while it should listen, and then heard nothing. */
    @Test
    void stalledTimeDoesNotCountAsListening() {
        FoundingPolicy policy = policy(InitialCluster.NEW, "n1");
        nowMillis += 10 * FoundingPolicy.LISTEN_MS;
        policy.tick(nowMillis);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
    }

    /** Guards against a replaced founder that founds once the member that warned it is gone. */
    @Test
    void founderThatHeardOfAClusterNeverFounds() {
        FoundingPolicy policy = policy(InitialCluster.NEW, "n1");
        Hello known = hello("n2", 2, CLUSTER, OLD_ID, 2, 3);
        policy.helloReceived(known);
        policy.helloEnded(known);
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
        assertThat(policy.existingCluster()).isEqualTo(CLUSTER);
    }

    /** Guards against two replaced founders that found although the third has the cluster. */
    @Test
    void replacedFoundersDoNotFoundWhileOneIsInTheCluster() {
        FoundingPolicy policy = policy(InitialCluster.NEW, "n1", "n2", "n3");
        policy.helloReceived(hello("n2", 22, FoundingPolicy.NO_CLUSTER));
        listen(policy);
        assertThat(policy.decide()).as("the third is down").isInstanceOf(Decision.Wait.class);
        policy.helloReceived(hello("n3", 3, CLUSTER, OLD_ID, 2, 3));
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
    }

    /** Guards against founders that are all replaced while a member added later has the cluster. */
    @Test
    void replacedFoundersDoNotFoundIfAMemberAddedLaterIsInTheCluster() {
        FoundingPolicy policy = policyWithTwoEmptyFounders();
        policy.helloReceived(hello("n4", 4, CLUSTER, OLD_ID, 2, 3, 4));
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
    }

    /** Guards against a membership with the id that a founder had before it was replaced. */
    @Test
    void helloOfAnEndedConnectionIsNotUsed() {
        FoundingPolicy policy = policyWithTwoEmptyFounders();
        Hello before = hello("n2", 22, FoundingPolicy.NO_CLUSTER);
        policy.helloEnded(before);
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
        policy.helloReceived(hello("n2", 23, FoundingPolicy.NO_CLUSTER));
        policy.helloEnded(before);
        assertThat(policy.decide())
                .isInstanceOfSatisfying(
                        Decision.Found.class,
                        found ->
                                assertThat(found.founders().stream().map(Member::id))
                                        .containsExactly(OWN_ID, 23L, 33L));
    }

    /** Guards against a founder that forgets, at a restart, the cluster that it had heard of. */
    @Test
    void founderWhoseEarlierRunHeardOfAClusterOnlyJoins() {
        Map<String, String> founders = Map.of("n1", ADDRESS);
        FoundingPolicy policy =
                new FoundingPolicy("n1", OWN_ID, founders, InitialCluster.NEW, CLUSTER, nowMillis);
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
        policy.helloReceived(hello("n2", 2, CLUSTER, OWN_ID, 2, 3));
        assertThat(policy.decide()).isInstanceOf(Decision.Join.class);
    }

    /** Guards against a founder that founds although its operator says that there is a cluster. */
    @Test
    void founderOfAnExistingClusterWaitsToBeAdded() {
        FoundingPolicy policy = policy(InitialCluster.EXISTING, "n1");
        listen(policy);
        assertThat(policy.decide()).isInstanceOf(Decision.Wait.class);
        policy.helloReceived(hello("n2", 2, CLUSTER, OWN_ID, 2, 3));
        assertThat(policy.decide()).isInstanceOf(Decision.Join.class);
    }

    /** A founder that is started later must begin with the same members, not with none. */
    @Test
    void founderFollowsAnotherThatHasBegunTheSameCluster() {
        FoundingPolicy policy = policyWithTwoEmptyFounders();
        listen(policy);
        Decision.Found own = (Decision.Found) policy.decide();
        FoundingPolicy later = policy(InitialCluster.NEW, "n1", "n2", "n3");
        later.helloReceived(hello("n2", 22, FoundingPolicy.NO_CLUSTER));
        later.helloReceived(hello("n3", 33, own.cluster(), OWN_ID, 22, 33));
        assertThat(later.decide()).isEqualTo(own);
    }
}
