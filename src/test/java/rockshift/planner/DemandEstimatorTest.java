package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.groupInEast;

import java.util.List;
import org.junit.jupiter.api.Test;

class DemandEstimatorTest {
    private final DemandEstimator estimator = new DemandEstimator(NOW);
    private final ProxyGroup group = groupInEast(2, List.of());

    private Proxy proxy(double baselineRatePerSecond) {
        Proxy proxy = new Proxy(1, 0, 2, baselineRatePerSecond, false, NOW, NOW);
        proxy.joinGroup(group);
        return proxy;
    }

    private void update(Proxy... proxies) {
        estimator.update(List.of(proxies), List.of(group), group.tables(), NOW);
    }

    @Test
    void demandSharesStayPositiveWithoutArrivals() {
        update(proxy(0));
        assertThat(estimator.expectedPerTick()).isZero();
        assertThat(group.tables())
                .allSatisfy(table -> assertThat(table.demandShare()).isPositive());
    }

    @Test
    void demandIsZeroWithoutTables() {
        estimator.update(List.of(), List.of(), List.of(), NOW);
        assertThat(estimator.expectedPerTick()).isZero();
        assertThat(estimator.busiestProxyRatePerSecond()).isZero();
    }

    @Test
    void sharesFollowReportsAndSumToOne() {
        Proxy proxy = proxy(10);
        proxy.demands().get(0).addReport(1_000, 100_000, NOW + 100_000);
        update(proxy);
        List<RoutingTable> tables = group.tables();
        assertThat(tables.get(0).demandShare()).isGreaterThan(5 * tables.get(1).demandShare());
        assertThat(tables.get(0).demandShare() + tables.get(1).demandShare())
                .isCloseTo(1, within(1e-12));
        assertThat(estimator.busiestProxyRatePerSecond())
                .isEqualTo(group.busiestProxyRatePerSecond());
    }
}
