package rockshift;

/** A request's way to a replica: its own copy, the link's copy, their mean, the dual, and what was sent. */
final class Path {
    final Request request;
    final Replica link;
    final boolean near;
    double x;
    double z;
    double mean;
    double dual;
    double target;
    double published;
    /** As of the last batch: whether the request may use it, and does. */
    boolean allowed;
    boolean open;

    Path(Request request, Replica link) {
        this.request = request;
        this.link = link;
        near = request.place.near(link);
        link.paths.add(this);
    }
}
