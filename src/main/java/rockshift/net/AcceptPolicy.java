package rockshift.net;

/** Decides, on the accepting thread, whether it accepts the next connection now. */
public interface AcceptPolicy {
    /** Accepts while descriptors are free. */
    AcceptPolicy WHILE_DESCRIPTORS_ARE_FREE =
            new AcceptPolicy() {
                @Override
                public boolean mayAccept(int channels) {
                    return true;
                }

                @Override
                public void descriptorsShort() {
                    // Connections end by their own time limits.
                }
            };

    /**
     * Returns whether the next connection may be accepted.
     *
     * @param channels connections that are open or being opened
     */
    boolean mayAccept(int channels);

    /**
     * Called repeatedly while too few descriptors are free, to close connections that can be
     * spared. Excludes all events.
     */
    void descriptorsShort();
}
