package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

class ChannelPacerTest {
    private static final double OVERHEAD_ENTRIES = 3;
    private static final long NOW = 1_000;

    private static Proxy proxy() {
        return new Proxy(4, 0, 70, 0, false, NOW, NOW);
    }

    private static PlannerSettings.Builder oneEntryPerTick() {
        return PlannerSettings.newBuilder()
                .messageOverheadEntries(OVERHEAD_ENTRIES)
                .channelEntriesPerSecond(Ticks.TICKS_PER_SECOND);
    }

    /**
     * Parts that need several messages were counted as one message, both for the message overhead
     * and for the quota.
     */
    @Test
    void eachMessageOfATurnCountsForOverheadAndQuota() {
        Proxy proxy = proxy();
        ChannelPacer pacer = new ChannelPacer(oneEntryPerTick().build(), List.of(proxy), NOW);
        pacer.post(proxy, 100, NOW);
        pacer.post(proxy, 40, NOW);
        FakeController host = FakeController.create();
        host.setMessagesPerTurn(2);
        assertThat(pacer.closeTurn(host, NOW)).isTrue();
        assertThat(host.commands())
                .as("commands: one serial number for both messages")
                .containsExactly(new SentCommand.Acknowledgement(1));
        assertThat(pacer.advanceQueue(NOW)).isEqualTo(140 + 2 * OVERHEAD_ENTRIES + 1);
        assertThat(proxy.sendState().entriesInFlightSince(NOW)).isEqualTo(147);
        proxy.sendState().expireMessages(NOW - 1);
        assertThat(proxy.sendState().messageCount())
                .as("messages in the quota window, both written at NOW")
                .isEqualTo(2);
        proxy.sendState().expireMessages(NOW);
        assertThat(proxy.sendState().messageCount()).isZero();
    }

    /**
     * With a quota of 10, six messages may contain any change; the others are priority messages,
     * spaced over the window. Required ones are spaced from each other only: a removal waited for a
     * deferrable message before it.
     */
    @Test
    void lastPartOfQuotaIsForPriorityMessages() {
        Proxy proxy = proxy();
        PlannerSettings settings =
                oneEntryPerTick().messageQuota(10).messageQuotaWindowTicks(400).build();
        ChannelPacer pacer = new ChannelPacer(settings, List.of(proxy), NOW);
        for (int i = 0; i < 6; i++) {
            assertThat(pacer.allowance(proxy, NOW)).isEqualTo(ChannelPacer.Allowance.ANY);
            proxy.sendState().countMessage(NOW);
        }
        assertThat(pacer.allowance(proxy, NOW + 99))
                .isEqualTo(ChannelPacer.Allowance.REQUIRED_ONLY);
        assertThat(pacer.allowance(proxy, NOW + 100))
                .isEqualTo(ChannelPacer.Allowance.PRIORITY_ONLY);
        proxy.sendState().countMessage(NOW + 100);
        proxy.sendState().recordRequired(NOW + 100);
        assertThat(pacer.allowance(proxy, NOW + 199)).isEqualTo(ChannelPacer.Allowance.NONE);
        assertThat(pacer.allowance(proxy, NOW + 200))
                .isEqualTo(ChannelPacer.Allowance.PRIORITY_ONLY);
        proxy.sendState().countMessage(NOW + 200);
        assertThat(pacer.allowance(proxy, NOW + 300))
                .as("eight of ten messages")
                .isEqualTo(ChannelPacer.Allowance.REQUIRED_ONLY);
        proxy.sendState().countMessage(NOW + 300);
        proxy.sendState().countMessage(NOW + 300);
        assertThat(pacer.allowance(proxy, NOW + 399)).isEqualTo(ChannelPacer.Allowance.NONE);
        pacer.expireMessages(NOW + 400);
        assertThat(pacer.allowance(proxy, NOW + 400)).isEqualTo(ChannelPacer.Allowance.ANY);
    }

    /** A quota of one message left no part for deferrable ones, and the first one failed. */
    @Test
    void quotaOfOneMessageAllowsThatMessage() {
        Proxy proxy = proxy();
        PlannerSettings settings =
                oneEntryPerTick().messageQuota(1).messageQuotaWindowTicks(400).build();
        ChannelPacer pacer = new ChannelPacer(settings, List.of(proxy), NOW);
        assertThat(pacer.allowance(proxy, NOW)).isEqualTo(ChannelPacer.Allowance.PRIORITY_ONLY);
        proxy.sendState().countMessage(NOW);
        assertThat(pacer.allowance(proxy, NOW + 399)).isEqualTo(ChannelPacer.Allowance.NONE);
    }

    /**
     * Unacknowledged messages count as queued, except those written before one that another proxy
     * acknowledged.
     */
    @Test
    void messagesBeforeAnAcknowledgedOneAreNotQueued() {
        Proxy unresponsive = proxy();
        Proxy responsive = new Proxy(5, 0, 70, 0, false, NOW, NOW);
        ChannelPacer pacer =
                new ChannelPacer(oneEntryPerTick().build(), List.of(unresponsive, responsive), NOW);
        FakeController host = FakeController.create();
        pacer.post(unresponsive, 100, NOW);
        pacer.closeTurn(host, NOW);
        long later = NOW + 5_000;
        assertThat(pacer.advanceQueue(later))
                .as("queued entries without acknowledgements")
                .isEqualTo(100 + OVERHEAD_ENTRIES + 1);
        pacer.post(responsive, 10, later);
        pacer.closeTurn(host, later);
        responsive.sendState().acknowledge(2);
        assertThat(pacer.advanceQueue(later + 1_000)).isZero();
    }
}
