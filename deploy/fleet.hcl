# One of three routers that know of each other; the other two differ in `name`, `zone`, `listen` and `router`.
# `applepond check deploy/fleet.hcl` checks it, docs/operate-fleet.md explains the block.
listen  = "127.0.0.1:8080"
zones   = ["hall-a"]
router  = 0
# The most that may ever run: each keeps to an even part of what all share.
routers = 3
seed    = 1

# Known to each other by datagrams on `listen`. Seeds and key files follow the file at SIGHUP.
fleet {
  name      = "r1"
  zone      = "hall-a"
  listen    = "127.0.0.1:7946"
  seeds     = ["127.0.0.1:7946", "127.0.0.1:7947"]
  key_files = ["/etc/applepond/fleet.key"]
  # What is agreed on, and what outlasts this process.
  keepers   = ["r1", "r2", "r3"]
  votes     = "/var/lib/applepond/votes"
  snapshot  = "/var/lib/applepond/snapshot"
}

rules {
  cold_share    = 0.2
  warm_within   = "10s"
  fall_multiple = 2.5
  fall_span     = "1s"
}

workload "quote" {
  types        = ["quote"]
  function_by  = "subject"
  effect       = "restartable"
  start_target = "1s"
  time_limit   = "5s"
}

worker "w1" {
  address = "127.0.0.1:9001"
  zone    = "hall-a"
}
