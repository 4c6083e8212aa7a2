listen  = "GATEWAY"
record  = "RECORD"
zones   = ["room-1"]
router  = ROUTER
routers = 2
seed    = SEED

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

workload "confirm" {
  types        = ["confirm"]
  function_by  = "subject"
  effect       = "run-once"
  start_target = "750ms"
  time_limit   = "5s"
  importance   = 5
  lanes        = 4
  memory_mb    = 400
}

chain "book" {
  types      = ["book"]
  time_limit = "5s"

  step "price" {
    workload = "quote"
    next { go = "confirm" }
  }
  step "confirm" {
    workload = "confirm"
  }
}
