# Gets a price, holds beds at the hut that the price names or, if none are free, at a second hut, and confirms
# the booking, which runs at most once. Held beds are released if the booking fails.
chain "book" {
  types      = ["book"]
  time_limit = "2s"

  step "price" {
    workload = "quote"
    at_least = "40ms"
    next { go = "beds" }
  }
  step "beds" {
    workload      = "hold"
    function_from = "price.hut"
    at_least      = "40ms"
    undo          = "release"
    next {
      when = "free"
      is   = "true"
      go   = "confirm"
    }
    next { go = "second" }
    else { go = "second" }
  }
  step "second" {
    workload      = "hold"
    function_from = "price.other"
    at_least      = "40ms"
    undo          = "release-second"
    next { go = "confirm" }
  }
  step "confirm" {
    workload      = "confirm"
    function_from = "price.desk"
    at_least      = "40ms"
  }
  step "release" {
    workload      = "hold"
    function_from = "price.hut"
  }
  step "release-second" {
    workload      = "hold"
    function_from = "price.other"
  }
}
