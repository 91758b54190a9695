package rockshift.settings;

/** How the proxies of a deployment interpret an admission level. */
public enum AdmissionMode {
    /** A level is the fraction of requests that a proxy admits. */
    FRACTION,

    /** A level is the number of requests per second that each proxy admits. */
    RATE_PER_SECOND,

    /** Proxies ignore levels. */
    NONE
}
