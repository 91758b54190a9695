package rockshift.planner;

import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import rockshift.model.ClassSet;

/** A class at a place: a table, numbered as the request, over the paths dealt to the place. */
final class RoutingTable {
    final ProxyGroup place;
    final int type;
    final int number;

    /** The class alone, as the host is told of it. */
    final ClassSet classes;

    final TreeMap<Long, Route> paths = new TreeMap<>();
    double weight;
    double oldWeight;
    double utopic;
    double total;
    double sentLevel;

    /**
     * Lines that its table has since the last batch; lines sent of it so far, while one is
     * published.
     */
    int filled;

    double sent;

    /** What the standing weights sum to, where the targets sum to 1. */
    double scale = 1;

    RoutingTable(ProxyGroup place, int type, int number) {
        this.place = place;
        this.type = type;
        this.number = number;
        classes = ClassSet.of(type);
    }

    /** The capacity of the links at the end of such paths. */
    double reach(Predicate<Route> such) {
        return paths.values().stream().filter(such).mapToDouble(path -> path.link.capacity).sum();
    }

    /**
     * The paper's start of the penalty, from utopic totals and lower bounds; the weights sum to 1.
     */
    static double penalty(List<RoutingTable> requests, double alpha) {
        double lowest =
                requests.stream()
                        .filter(request -> request.utopic > 0)
                        .mapToDouble(request -> request.weight * request.utopic)
                        .min()
                        .orElse(1);
        double least = Double.MAX_VALUE;
        double most = 0;
        for (RoutingTable request : requests) {
            double midpoint = request.weight * request.utopic;
            double bound = Math.pow(lowest, 1 - 1 / alpha) * Math.pow(midpoint, 1 / alpha);
            if (midpoint > 0) {
                least = Math.min(least, request.weight / Math.pow(request.utopic, alpha + 1));
                most = Math.max(most, request.weight / Math.pow(bound, alpha + 1));
            }
        }
        return most > 0 ? alpha / Math.sqrt(least * most) : 1;
    }
}
