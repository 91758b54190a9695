/**
 * Stand-ins, faults, rehearsals and checks that ship with the governor: worlds in which its own
 * code is tried. It owns what stands in for disks, networks, clients and processes. Nothing of it
 * is loaded by a governor that serves, and it must never talk to anything but loopback addresses.
 */
package rockshift.testkit;
