# One instance with two workers by name, as in the README. `applepond check deploy/example.hcl` checks it.
listen  = "127.0.0.1:8080"
zones   = ["hall-a"]
router  = 0
routers = 1
seed    = 1

# Answers of workers say how many jobs of the same function they held.
tells_company = true
# An idle copy stays loaded at a worker for at least this long.
keep = "10s"

# What a worker that has just started bears.
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
  lanes        = 4
  memory_mb    = 400
  load_time    = "300ms"
}

workload "confirm" {
  types        = ["confirm"]
  effect       = "run-once"
  start_target = "1s"
  time_limit   = "5s"
  importance   = 5
  lanes        = 4
  memory_mb    = 400
  load_time    = "300ms"
}

# A chain on one clock: a price, then the booking. An event of type "book" asks for it and gets the last
# answer. With record = "FILE" at the top of this file a chain goes on after a kill; see
# docs/workflow.md.
chain "book" {
  types      = ["book"]
  time_limit = "4s"

  step "price" {
    workload = "quote"
    at_least = "20ms"
    next { go = "confirm" }
  }
  step "confirm" {
    workload = "confirm"
    at_least = "20ms"
  }
}

customer "krkonose-huts" {
  jobs_per_s = 60
}

worker "w1" {
  address = "127.0.0.1:9001"
  zone    = "hall-a"
}

worker "w2" {
  address = "127.0.0.1:9002"
  zone    = "hall-a"
}
