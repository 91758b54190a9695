/**
 * The command line: one class for each group of commands. It owns options, help, exit statuses and
 * how results are printed. It must never hold what a command decides or does; nothing else in the
 * program knows of it but the word that starts it.
 */
package rockshift.cli;
