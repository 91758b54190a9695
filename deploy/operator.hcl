# What an installation switches on beside the platform's file. Nothing here is read unless it is named:
#   RELAY_CONFIG=... rockshift serve --operator deploy/operator.hcl
# `rockshift check FILE` reads a file like this one and names what is wrong by line and field.

# Governors that agree on drains, holds, budgets and terms. docs/raft.md tells how, docs/on-call-cluster.md what to do.
cluster {
  name   = "n1"                    # this member; the others' files differ in name, listen, address and folder
  listen = "127.0.0.1:7101"        # members and commands connect here; not the platform's listener
  # address = "10.0.0.4:7101"      # where the others reach it, if not at listen
  folder = "/var/lib/rockshift/n1" # lasting and local; one process at a time. A new folder makes a new member

  founder "n1" { address = "127.0.0.1:7101" } # one, three or five that begin the cluster, alike in each file;
  founder "n2" { address = "127.0.0.1:7102" } # a member that is added later names none
  founder "n3" { address = "127.0.0.1:7103" }

  # route "n2" { address = "127.0.0.1:9102" } # reach a member elsewhere than all others do

  election  = "1s"       # without word from a leader until another is sought, at least; 50ms to 60s
  heartbeat = "200ms"    # a third of election at most
  drift     = 0.05       # by how much two members' clocks may run apart; reads' leases are shorter by it
  leases    = true       # reads from a lease; false has each read ask most members
  minority  = "withdraw" # when cut off from most: withdraw (what the rules owe), hold (nothing) or serve (all)
  batch     = 512        # entries in one message

  snapshot_after = 10000 # entries between snapshots
  snapshot_bytes = "4MB" # or so many bytes of them in memory
}
