/**
 * The operator's file: what an installation switches on beside the platform's own file, in HCL. It
 * owns reading it, checking it and naming what is wrong by file, line and field. It must never act
 * on what it reads, and nothing half-read comes into force.
 */
package rockshift.config;
