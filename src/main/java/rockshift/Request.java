package rockshift;

import java.util.TreeMap;

/** A class at a place: a table, numbered as the request, over the paths dealt to the place. */
final class Request {
    final Place place;
    final int type;
    final int number;
    final TreeMap<Long, Path> paths = new TreeMap<>();
    double weight;
    double oldWeight;
    double utopic;
    double total;
    double sentLevel;
    /** What the standing weights sum to, where the targets sum to 1. */
    double scale = 1;

    Request(Place place, int type, int number) {
        this.place = place;
        this.type = type;
        this.number = number;
    }
}
