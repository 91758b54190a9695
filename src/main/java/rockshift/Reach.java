package rockshift;

/**
 * What a governor may order: everything; what the rules owe, as it is cut off from most others;
 * nothing.
 */
public enum Reach {
    FULL,
    WITHDRAW,
    HOLD
}
