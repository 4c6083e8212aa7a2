//! Chains of functions that carry one deadline.
//!
//! A `Plan` says which step leads where; `check` looks at it whole before any chain is taken. A `Run` is one
//! chain: it is told how its steps ended and says what comes next. `Times` learns how long functions take, so
//! that what cannot finish is refused at once. No I/O, no clock: time is handed in. `docs/workflow.md` weighs
//! the ways.
pub mod pace;
pub mod plan;
pub mod run;
pub mod times;

pub use pace::Pace;
pub use plan::{Branch, Fault, Function, Go, Part, Plan, Step, StepId, Test};
pub use run::{Do, Ended, How, Run, Why};
pub use times::Times;
