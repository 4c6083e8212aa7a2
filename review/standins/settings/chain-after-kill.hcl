listen  = "GATEWAY"
hosts   = "LIST"
record  = "FOLDER/record.redb"
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

workload "hold" {
  types        = ["hold"]
  function_by  = "subject"
  effect       = "fingerprinted"
  within       = "everywhere"
  window       = "3s"
  start_target = "1500ms"
  time_limit   = "5s"
  importance   = 3
  lanes        = 4
  memory_mb    = 400
}

chain "book" {
  types      = ["book"]
  time_limit = "10s"

  step "price" {
    workload = "quote"
    next { go = "hold" }
  }
  step "hold" {
    workload = "hold"
  }
}
