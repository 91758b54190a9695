# Optional settings of an installation, in addition to the platform's file. They are read only with --operator:
#   RELAY_CONFIG=... rockshift serve --operator deploy/operator.hcl
# `rockshift check FILE` checks such a file and reports errors by line and field.

# A cluster of controllers that agree on drains, holds, budgets and terms by consensus. docs/raft.md describes the
# protocol, docs/on-call-cluster.md its operation.
cluster {
  name   = "n1"                    # this member; name, listen, address and folder differ between members
  listen = "127.0.0.1:7101"        # for members and commands; not the platform's listener
  # address = "10.0.0.4:7101"      # where other members reach it, if not at listen
  folder = "/var/lib/rockshift/n1" # persistent and local, for one process at a time. A new folder makes a new member

  founder "n1" { address = "127.0.0.1:7101" } # one, three or five initial members, the same in each file;
  founder "n2" { address = "127.0.0.1:7102" } # a member that is added later lists none
  founder "n3" { address = "127.0.0.1:7103" }

  initial_cluster = "new" # a founder with a new folder may found; "existing" once the cluster runs: it waits to be added

  # route "n2" { address = "127.0.0.1:9102" } # another address of a member, for this member only

  election  = "1s"       # minimum time without contact from a leader before an election; 50ms to 60s
  heartbeat = "200ms"    # at most a third of election
  drift     = 0.05       # maximum drift between two members' clocks, as a fraction; read leases are shorter by it
  leases    = true       # reads use a leader lease; if false, each read contacts a majority
  minority  = "withdraw" # isolated from a majority: withdraw (what the rules require), hold (nothing) or serve (all)
  batch     = 512        # maximum entries in one message

  snapshot_after = 10000 # entries between snapshots
  snapshot_bytes = "4MB" # or this many bytes of entries in memory

  subscribers = 1024     # maximum number of relays and controllers subscribed here
}

# A relay, `rockshift relay --operator FILE`, reads the agreed state from members and serves it to controllers that are
# not members. docs/on-call-distribution.md describes its settings and operation.
# distribution {
#   name = "relay-a1"                              # unique among relays and controllers
#   upstream "n1" { address = "127.0.0.1:7101" }   # members; if one fails, the next is tried
#   upstream "n2" { address = "127.0.0.1:7102" }
#   # scope { zones = ["hall-a", "hall-b"] }       # everything, if omitted
#   relay {
#     listen      = "127.0.0.1:7201"               # controllers connect here
#     subscribers = 1024
#   }
# }

# A controller that is not a member, `rockshift serve --operator FILE`: no cluster block, but
# distribution {
#   name = "governor-17"
#   upstream "a1" { address = "127.0.0.1:7201" }   # relays
#   upstream "a2" { address = "127.0.0.1:7202" }
#   scope {
#     services = ["shop"]                          # every service, if omitted
#     zones    = ["hall-a", "hall-b"]              # each zone whose replicas it may use; every zone, if omitted
#   }
# }
