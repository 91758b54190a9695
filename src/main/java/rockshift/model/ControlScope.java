package rockshift.model;

/**
 * What a governor may order: everything; what the rules owe, as it is cut off from most others;
 * nothing.
 */
public enum ControlScope {
    FULL,
    WITHDRAW,
    HOLD
}
