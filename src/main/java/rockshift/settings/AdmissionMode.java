package rockshift.settings;

/** What an admission level means to the proxies of a deployment. */
public enum AdmissionMode {
    /** Levels are the fraction of requests that is admitted. */
    FRACTION,

    /** Levels are the requests a second that each proxy admits. */
    RATE_PER_SECOND,

    /** Proxies ignore levels. */
    NONE
}
