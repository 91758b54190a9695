/**
 * Listeners that outlive failures of their threads, on HttpCore's reactor: begin reading at {@link
 * rockshift.net.SupervisedReactor}.
 */
package rockshift.net;
