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

  subscribers = 1024     # relays and governors that may subscribe here at a time
}

# A relay, `rockshift relay --operator FILE`, reads what is agreed from members and serves governors that are no members.
# docs/on-call-distribution.md tells what to set and what to do.
# distribution {
#   name = "relay-a1"                              # its own, as each governor has its own
#   upstream "n1" { address = "127.0.0.1:7101" }   # members; the next is tried when one fails
#   upstream "n2" { address = "127.0.0.1:7102" }
#   # scope { zones = ["hall-a", "hall-b"] }       # everything, if left out
#   relay {
#     listen      = "127.0.0.1:7201"               # governors connect here
#     subscribers = 1024
#   }
# }

# A governor that is no member, `rockshift serve --operator FILE`: no block cluster, and
# distribution {
#   name = "governor-17"
#   upstream "a1" { address = "127.0.0.1:7201" }   # relays
#   upstream "a2" { address = "127.0.0.1:7202" }
#   scope {
#     services = ["shop"]                          # every service, if left out
#     zones    = ["hall-a", "hall-b"]              # each zone whose replicas it may use; every one, if left out
#   }
# }
