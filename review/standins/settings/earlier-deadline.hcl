listen  = "GATEWAY"
zones   = ["room-1"]
router  = 0
routers = 1
seed    = 1

keep = "10s"

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
  start_target = "1500ms"
  time_limit   = "4s"
  lanes        = 4
  memory_mb    = 400
}

worker "w1" {
  address = "WORKER1"
  zone    = "room-1"
}

worker "w2" {
  address = "WORKER2"
  zone    = "room-1"
}
